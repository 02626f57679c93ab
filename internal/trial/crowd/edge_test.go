//go:build crowd

package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/front/detour"
	"github.com/skylarkquay/skylarkquay/internal/trial/site"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

const (
	// callers is the size of a crowd.
	callers = 900
	// memoryMB is the memory that the process is told, and descriptors how many it may open.
	memoryMB    = 40
	descriptors = 700
	// bodyLimit is the limit of the fake site's document.
	bodyLimit = 64 << 10
	// closedDescriptors bounds the descriptors after a crowd whose connections the process ends.
	closedDescriptors = 200
	// largeBytes is the size of a large answer.
	largeBytes = 1 << 20
	// settleTime is how long the process goes on with what a crowd has sent. Nothing is asserted of it.
	settleTime = time.Second
)

// edgeProcess is a skylarkedge process with its site.
type edgeProcess struct {
	*Process
	// listen is the address for callers, peer that for other instances.
	listen, peer string
}

func startEdge(t *testing.T, program string) edgeProcess {
	t.Helper()
	s, err := fake.NewSite(1, 1)
	must.NoError(t, err)
	t.Cleanup(s.Close)
	s.Rate, s.Burst = 1e9, 1e9
	s.PublishDocument()
	large := fake.SignedHead("HTTP/1.1 200 OK") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", largeBytes, strings.Repeat("x", largeBytes))
	event := "id: %d\ndata: " + strings.Repeat("x", 1000) + "\n\n"
	var events strings.Builder
	for i := range largeBytes / 1000 {
		fmt.Fprintf(&events, event, i+1)
	}
	stream := fake.SignedHead("HTTP/1.1 200 OK") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", events.Len(), events.String())
	for _, u := range s.Upstreams() {
		answer := func(r *http.Request) fake.Answer {
			switch {
			case u.Model != "":
				return fake.Answer{Bytes: stream}
			case strings.HasSuffix(r.URL.Path, "failing"):
				return fake.Answer{Bytes: strings.Replace(large, "200 OK", "500 Failed", 1)}
			case strings.HasSuffix(r.URL.Path, "large"):
				return fake.Answer{Bytes: large}
			default:
				return fake.Answer{Bytes: fake.SignedHead("HTTP/1.1 200 OK") + "Content-Length: 5\r\n\r\nwhole"}
			}
		}
		scripted, err := fake.NewScriptedUpstream(answer)
		must.NoError(t, err)
		t.Cleanup(scripted.Close)
		s.RegisterAt(u, scripted.Address())
	}
	return startProcess(t, program, s)
}

// startProcess starts a process at a site and waits until it is ready.
func startProcess(t *testing.T, program string, s *fake.Site) edgeProcess {
	t.Helper()
	addresses := make([]any, 4)
	for i := range addresses {
		var err error
		addresses[i], err = site.FreeAddress()
		must.NoError(t, err)
	}
	path := filepath.Join(t.TempDir(), "edge.yaml")
	settings := fmt.Sprintf("name: router\nzone: a\nlisten: %s\nready: %s\npeer: %s\nmetrics: %s\nstore: %s\nmemory: %d\ndescriptors: %d\n"+
		"cores: 1\nlink: 100\ngrace: 2\nrevocation: 5000\nweights: 8000\nturn: 300\nratio: 0.2\nslack: 100\nwindow: 10\nlevel: info\n",
		append(addresses, s.StoreAddr, memoryMB, descriptors)...)
	must.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	e := edgeProcess{Start(t, program, "run", "--config", path), addresses[0].(string), addresses[2].(string)}
	Eventually(t, "ready", func() bool {
		e.CheckAlive(t)
		resp, err := http.Get(fmt.Sprintf("http://%s/readiness", addresses[1]))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return e
}

// checkOrdinary waits until an ordinary request is answered, and returns the last answer.
func (e edgeProcess) checkOrdinary(t *testing.T) string {
	t.Helper()
	last := "no answer"
	Eventually(t, "an ordinary request is answered", func() bool {
		e.CheckAlive(t)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		r, err := fake.Send(ctx, e.listen, fake.Call{
			Method: http.MethodPost, Path: fake.LookPath + "1", ID: fmt.Sprintf("%08x", ids.Add(1)), Key: fake.Key, Deadline: 5000, Body: "ordinary",
		})
		last = fmt.Sprint(r.Status, r.Body, err)
		return err == nil && r.Status == http.StatusOK
	})
	return last
}

var ids atomic.Int64

// head is the head of a request up to its last header lines.
func head(method, path, key, last string) string {
	authorization := ""
	if key != "" {
		authorization = "Authorization: Token " + key + "\r\n"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %08x\r\n%s%s", method, path, fake.Host, fake.HeaderID, 1<<24+ids.Add(1), authorization, last)
}

func post(key, last string) func(int) string {
	return func(int) string { return head(http.MethodPost, fake.LookPath+"1", key, last+"\r\n\r\n") }
}

// prompt is a whole request with a prompt.
func prompt(call fake.Call) string {
	var text strings.Builder
	request, err := call.NewRequest(context.Background(), fake.Host)
	if err == nil {
		err = request.Write(&text)
	}
	if err != nil {
		panic(err)
	}
	return text.String()
}

// promptFor is a whole request with a prompt for a path.
func promptFor(path string) string {
	return prompt(fake.Call{Method: http.MethodPost, Path: path + "1", ID: fmt.Sprintf("%08x", 1<<24+ids.Add(1)), Key: fake.Key, Prompt: 100, Body: "a prompt"})
}

// ways are what callers send that the operators don't control.
func ways() []Way {
	length := fmt.Sprintf("Content-Length: %d", bodyLimit)
	chunked := "Transfer-Encoding: chunked"
	almost := strings.Repeat("x", bodyLimit-1)
	pipelined := func(c net.Conn) error {
		for range 4 {
			whole := head(http.MethodPost, fake.LookPath+"1", fake.Key, length+"\r\n\r\n") + strings.Repeat("x", bodyLimit)
			if _, err := c.Write([]byte(whole)); err != nil {
				return err
			}
		}
		return text(head(http.MethodPost, fake.LookPath+"1", fake.Key, length+"\r\n\r\n") + almost)(c)
	}
	return []Way{
		{Name: "length, all but the last byte", Head: post(fake.Key, length), Body: text(almost)},
		{Name: "one large chunk, all but the last byte", Head: post(fake.Key, chunked), Body: text(fmt.Sprintf("%x\r\n%s", bodyLimit, almost))},
		{Name: "chunks of one byte", Head: post(fake.Key, chunked), Body: text(chunks(bodyLimit-1, 1))},
		{Name: "many small chunks", Head: post(fake.Key, chunked), Body: text(chunks(bodyLimit-16, 16))},
		{Name: "length over the limit", Head: post(fake.Key, fmt.Sprintf("Content-Length: %d", 2*bodyLimit)), Body: text(almost), Closed: true},
		{Name: "chunks over the limit", Head: post(fake.Key, chunked), Body: text(chunks(2*bodyLimit, 1<<12)), Closed: true},
		{Name: "one chunk over the limit", Head: post(fake.Key, chunked), Body: text(fmt.Sprintf("%x\r\n%s", 2*bodyLimit+1, strings.Repeat("x", 2*bodyLimit))), Closed: true},
		{Name: "without a key", Head: post("", length), Body: text(almost), Closed: true},
		{Name: "heads without an end", Head: func(int) string {
			return head(http.MethodPost, fake.LookPath+"1", fake.Key, "A: "+strings.Repeat("x", 12<<10))
		}},
		{Name: "long heads without an end", Head: func(int) string {
			return head(http.MethodPost, fake.LookPath+"1", fake.Key, strings.Repeat("A: "+strings.Repeat("x", 1000)+"\r\n", 60))
		}},
		{Name: "pipelined", Head: func(int) string { return "" }, Body: pipelined},
		{Name: "unread large answers", Head: func(int) string { return head(http.MethodGet, fake.LookPath+"large", fake.Key, "\r\n") }, SlowReader: true},
		{Name: "unread large failures", Head: func(int) string {
			return head(http.MethodPost, fake.BookPath+"failing", fake.Key, "Content-Length: 0\r\n\r\n")
		}, SlowReader: true},
		{Name: "unread streams", Head: func(int) string {
			return promptFor(fake.QuotePath)
		}, SlowReader: true},
	}
}

// Callers that sent bodies but for their last byte made the process hold more than its machine has.
func TestEdgeOutlivesCrowds(t *testing.T) {
	RaiseDescriptors(t)
	program := Build(t, "skylarkedge")
	for _, way := range ways() {
		t.Run(way.Name, func(t *testing.T) {
			e := startEdge(t, program)
			before, _ := e.Resident(t)
			Send(t, e.listen, callers, way)
			time.Sleep(settleTime)
			e.CheckAlive(t)
			open := e.Descriptors(t)
			last := e.checkOrdinary(t)
			now, peak := e.Resident(t)
			t.Logf("resident %d KB before, %d KB at the peak, %d KB now; %d descriptors; ordinary: %s", before>>10, peak>>10, now>>10, open, last)
			must.LessEq(t, memoryMB<<20, peak)
			must.LessEq(t, descriptors, open)
			if way.Closed {
				Eventually(t, "the connections are closed", func() bool { return e.Descriptors(t) <= closedDescriptors })
			}
			e.CheckAlive(t)
		})
	}
}

// upstreamsEach is the number of upstreams of each service in a site of upstreams without an end.
const upstreamsEach = 8

// startEndlessEdge starts a process whose upstreams all send bytes without end, and returns the upstreams' site.
func startEndlessEdge(t *testing.T, program string, f fake.Flood) (edgeProcess, *fake.Site) {
	t.Helper()
	s, err := fake.NewSite(upstreamsEach, upstreamsEach)
	must.NoError(t, err)
	t.Cleanup(s.Close)
	s.Rate, s.Burst = 1e9, 1e9
	s.PublishDocument()
	for _, u := range s.Upstreams() {
		contentType := "text/plain"
		if u.Model != "" {
			contentType = "text/event-stream"
		}
		endless, err := fake.NewFloodUpstream(f, contentType)
		must.NoError(t, err)
		t.Cleanup(endless.Close)
		s.RegisterAt(u, endless.Address())
	}
	return startProcess(t, program, s), s
}

// endlessFloods returns some floods, or all of them if CROWD_ALL is set.
func endlessFloods(some ...fake.Flood) []fake.Flood {
	if os.Getenv("CROWD_ALL") != "" {
		return append(slices.Clone(fake.SlowFloods), fake.Floods...)
	}
	return some
}

// Heads of many short lines took many times their length and made the process hold more than its machine has.
func TestEdgeOutlivesEndlessAnswers(t *testing.T) {
	RaiseDescriptors(t)
	program := Build(t, "skylarkedge")
	for _, f := range endlessFloods(fake.FloodShortLines, fake.FloodOldHead, fake.FloodLongHead, fake.FloodBody, fake.FloodChunks) {
		t.Run(string(f), func(t *testing.T) {
			e, s := startEndlessEdge(t, program, f)
			before, _ := e.Resident(t)
			Send(t, e.listen, callers, Way{Head: func(i int) string {
				if i%2 == 0 {
					return post(fake.Key, "Content-Length: 0")(i)
				}
				return promptFor(fake.QuotePath)
			}})
			time.Sleep(settleTime)
			e.CheckAlive(t)
			job, err := fake.NewScriptedUpstream(func(*http.Request) fake.Answer {
				return fake.Answer{Bytes: fake.SignedHead("HTTP/1.1 200 OK") + "Content-Length: 5\r\n\r\nwhole"}
			})
			must.NoError(t, err)
			t.Cleanup(job.Close)
			for _, u := range s.Jobs {
				s.RegisterAt(u, job.Address())
			}
			last := e.checkOrdinary(t)
			now, peak := e.Resident(t)
			t.Logf("resident %d KB before, %d KB at the peak, %d KB now; ordinary: %s", before>>10, peak>>10, now>>10, last)
			must.LessEq(t, memoryMB<<20, peak)
			e.CheckAlive(t)
		})
	}
}

const (
	// askers is how many connections to upstreams other instances ask for at the same time.
	askers = 100
	// askTime is how long they go on.
	askTime = 2 * time.Second
)

// askFor asks an instance for a connection to an upstream, sends a request through it and reads what comes back.
func askFor(ctx context.Context, peer, id, address string) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", peer)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	ask := fmt.Sprintf("POST %s?id=%s&address=%s&left=5000&Framed=1 HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", detour.Path, id, address, peer)
	// The instance may close the connection at any time.
	_, _ = io.WriteString(c, ask+post(fake.Key, "Content-Length: 0")(0))
	_, _ = io.Copy(io.Discard, c)
}

// An instance that connects to upstreams for others keeps a part of what passes by.
func TestEdgeOutlivesEndlessAnswersForOthers(t *testing.T) {
	RaiseDescriptors(t)
	program := Build(t, "skylarkedge")
	for _, f := range endlessFloods(fake.FloodLongHead) {
		t.Run(string(f), func(t *testing.T) {
			e, s := startEndlessEdge(t, program, f)
			before, _ := e.Resident(t)
			ctx, cancel := context.WithTimeout(context.Background(), askTime)
			defer cancel()
			var group sync.WaitGroup
			for i := range askers {
				u := s.Jobs[i%upstreamsEach]
				group.Go(func() {
					for ctx.Err() == nil {
						askFor(ctx, e.peer, u.ID, s.Address(u))
					}
				})
			}
			group.Wait()
			now, peak := e.Resident(t)
			t.Logf("resident %d KB before, %d KB at the peak, %d KB now", before>>10, peak>>10, now>>10)
			must.LessEq(t, memoryMB<<20, peak)
			e.CheckAlive(t)
		})
	}
}
