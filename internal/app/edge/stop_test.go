package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"gopkg.in/yaml.v3"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// startStoppable starts a site whose routes have a timeout of 12 s, and a router with that grace period in seconds.
func startStoppable(t *testing.T, engines, jobs int, grace float64) (*fake.Site, *router) {
	t.Helper()
	s := newSite(t, engines, jobs)
	s.Timeout = 12000
	s.PublishDocument()
	settings := testSettings(t, s)
	settings.Grace = grace
	r := startRouter(t, settings)
	eventually(t, "ready", r.isReady)
	return s, r
}

// stopReply is a response, or why there is none.
type stopReply struct {
	fake.Response
	err error
}

func (r stopReply) String() string {
	return fmt.Sprintf("status %d, %q, error %v", r.Status, r.Body, r.err)
}

// sendNow sends a call whose connection may end without an answer.
func (r *router) sendNow(c fake.Call) stopReply {
	reply, err := fake.Send(context.Background(), r.settings.Listen, c)
	return stopReply{reply, err}
}

// checkRefused checks that a reply promises that the request has not run, and asks the caller to retry.
func checkRefused(t *testing.T, reply stopReply) {
	t.Helper()
	must.NoError(t, reply.err)
	must.Eq(t, http.StatusServiceUnavailable, reply.Status, must.Sprint(reply))
	must.Positive(t, reply.RetryAfter)
}

// Requests that came during a planned stop and took longer than its grace period were cut without an answer.
func TestRequestsLongerThanTheGraceAreNotCut(t *testing.T) {
	for _, c := range []struct {
		path string
		// status is that of the answer, and arrives the number of requests that reach the upstream.
		status, arrives int
	}{
		{fake.BookPath, http.StatusServiceUnavailable, 0},
		{fake.LookPath, http.StatusGatewayTimeout, 3},
	} {
		t.Run(c.path, func(t *testing.T) {
			t.Parallel()
			s, r := startStoppable(t, 1, 1, 5)
			s.Jobs[0].SetFaults(fake.Faults{Work: 6 * time.Second})
			r.stop()
			replies := make([]stopReply, 3)
			var callers sync.WaitGroup
			for i, at := range []time.Duration{100 * time.Millisecond, 900 * time.Millisecond, 1900 * time.Millisecond} {
				callers.Go(func() {
					time.Sleep(at)
					call := newCall(http.MethodPost, c.path+"1")
					call.Deadline = 12000
					replies[i] = r.sendNow(call)
				})
			}
			callers.Wait()
			for _, reply := range replies {
				must.NoError(t, reply.err)
				must.Eq(t, c.status, reply.Status, must.Sprint(reply))
				must.Eq(t, c.status == http.StatusServiceUnavailable, reply.RetryAfter > 0)
			}
			must.Eq(t, c.arrives, s.Jobs[0].Requests())
		})
	}
}

// Requests that were open when the instance began to stop were cut without an answer at the end of the grace period.
func TestOpenRequestsAreAnsweredAtTheEndOfTheGrace(t *testing.T) {
	s, r := startStoppable(t, 1, 1, 2)
	s.Engines[0].SetFaults(fake.Faults{Hang: true})
	s.Jobs[0].SetFaults(fake.Faults{Hang: true})
	calls := []fake.Call{
		newCall(http.MethodPost, fake.BookPath+"1"), newCall(http.MethodGet, fake.LookPath+"1"),
		newPromptCall(fake.QuotePath + "1"), newPromptCall(fake.BriefPath + "1"),
	}
	replies := make([]stopReply, len(calls))
	var callers sync.WaitGroup
	for i, call := range calls {
		call.Deadline = 12000
		callers.Go(func() { replies[i] = r.sendNow(call) })
	}
	eventually(t, "all run", func() bool { return s.Engines[0].Requests() == 2 && s.Jobs[0].Requests() == 2 })
	r.stop()
	callers.Wait()
	for i, reply := range replies {
		must.NoError(t, reply.err, must.Sprint(calls[i].Path))
		must.Eq(t, http.StatusGatewayTimeout, reply.Status, must.Sprint(calls[i].Path, reply))
	}
}

// Guards against a stream that is cut at the end of the grace period and looks complete.
func TestStreamCutAtTheEndOfTheGraceIsIncomplete(t *testing.T) {
	s, r := startStoppable(t, 1, 1, 2)
	s.Engines[0].PerEvent = 800 * time.Millisecond
	replies := make(chan stopReply, 1)
	go func() {
		call := newPromptCall(fake.BriefPath + "1")
		call.Deadline = 12000
		replies <- r.sendNow(call)
	}()
	eventually(t, "the stream runs", func() bool { return len(s.Engines[0].Runs()) == 1 })
	r.stop()
	reply := <-replies
	must.NoError(t, reply.err)
	must.False(t, reply.Complete)
	must.StrHasPrefix(t, reply.Body, events(1, 5))
	must.Less(t, len(events(1, 5)), len(reply.Body))
}

// Guards against refusals of requests that a stopping instance can serve while the load balancer still sends them.
func TestRequestsEarlyInAStopAreServed(t *testing.T) {
	const grace = 4
	s, r := startStoppable(t, 1, 1, grace)
	r.stop()
	eventually(t, "not ready", func() bool { return !r.isReady() })
	for _, call := range []fake.Call{newBookCall(), newLookCall(), newPromptCall(fake.QuotePath + "1"), newPromptCall(fake.BriefPath + "1")} {
		reply := r.sendNow(call)
		must.NoError(t, reply.err)
		must.Eq(t, http.StatusOK, reply.Status, must.Sprint(call.Path, reply))
		must.True(t, reply.Complete)
	}
	for _, run := range slices.Concat(s.Jobs[0].Runs(), s.Engines[0].Runs()) {
		left, err := strconv.Atoi(run.Header.Get(fake.HeaderDeadline))
		must.NoError(t, err)
		must.Less(t, int((grace*time.Second - shutdownMargin).Milliseconds()), left, must.Sprint(run.Path))
	}
}

// The stream of a silent upstream was sent to another one late in a planned stop although no time was left for it.
func TestSilentUpstreamIsNotReplacedWithoutTimeLeft(t *testing.T) {
	s, r := startPausedSite(t, 2, time.Minute, fake.Faults{Hang: true}, func(cfg *Settings) { cfg.Grace = 1.9 })
	replies := make(chan stopReply, 1)
	go func() { replies <- r.sendNow(newPromptCall(fake.QuotePath + "1")) }()
	eventually(t, "the stream runs", func() bool { return s.Engines[0].Requests() == 1 })
	r.stop()
	reply := <-replies
	must.NoError(t, reply.err)
	must.False(t, reply.Complete)
	must.Eq(t, events(1, 2), reply.Body)
	must.Zero(t, s.Engines[1].Requests())
}

// A response to a request from before the stop did not say that its connection is closed, so that the next request could cross the close.
func TestResponsesDuringAStopCloseTheirConnections(t *testing.T) {
	s, r := startStoppable(t, 1, 1, 4)
	s.Jobs[0].SetFaults(fake.Faults{Work: 500 * time.Millisecond})
	conn, err := fake.Dial(context.Background(), r.settings.Listen)
	must.NoError(t, err)
	defer conn.Close()
	opens := make(chan bool, 1)
	go func() {
		reply, _, open, err := conn.Send(context.Background(), newBookCall())
		opens <- open || err != nil || reply.Status != http.StatusOK
	}()
	eventually(t, "the request runs", func() bool { return s.Jobs[0].Requests() == 1 })
	r.stop()
	must.False(t, <-opens)
}

// Guards against requests of other instances that are lost because the instance that relays them stops.
func TestRelayedRequestsOutliveTheStopOfTheirRelay(t *testing.T) {
	s, routers, paths := startCutSite(t, 1, 1, 2)
	s.Jobs[0].SetFaults(fake.Faults{Work: 600 * time.Millisecond})
	paths[0].set(cutHang)
	replies := make(chan stopReply, 1)
	go func() { replies <- routers[0].sendNow(newCall(http.MethodPost, fake.BookPath+"1")) }()
	eventually(t, "the request is relayed", func() bool { return routers[1].relay.Open() == 1 && s.Jobs[0].Requests() == 1 })
	routers[1].stop()
	eventually(t, "not ready", func() bool { return !routers[1].isReady() })
	second := routers[0].sendNow(newBookCall())
	checkRefused(t, second)
	first := <-replies
	must.NoError(t, first.err)
	must.Eq(t, http.StatusOK, first.Status, must.Sprint(first))
	must.Eq(t, 1, s.Jobs[0].Requests())
}

// processVariable names the settings file of the process that TestSecondSIGTERMIsNoKill starts.
const processVariable = "SKYLARKEDGE_TEST_PROCESS"

// Guards against a second SIGTERM that ends the process before its requests are answered.
func TestSecondSIGTERMIsNoKill(t *testing.T) {
	if path := os.Getenv(processVariable); path != "" {
		os.Exit(Main([]string{"run", "--config", path}, io.Discard, os.Stderr))
	}
	s := newSite(t, 1, 1)
	s.Jobs[0].SetFaults(fake.Faults{Work: 500 * time.Millisecond})
	settings := testSettings(t, s)
	text, err := yaml.Marshal(settings)
	must.NoError(t, err)
	path := filepath.Join(t.TempDir(), "settings")
	must.NoError(t, os.WriteFile(path, text, 0o600))
	process := exec.Command(os.Args[0], "-test.run=^TestSecondSIGTERMIsNoKill$")
	process.Env = append(os.Environ(), processVariable+"="+path)
	must.NoError(t, process.Start())
	defer func() { _ = process.Process.Kill() }()
	eventually(t, "ready", func() bool { return isReady(settings) })
	replies := make(chan stopReply, 1)
	go func() {
		reply, err := fake.Send(context.Background(), settings.Listen, newCall(http.MethodPost, fake.BookPath+"1"))
		replies <- stopReply{reply, err}
	}()
	eventually(t, "the request runs", func() bool { return s.Jobs[0].Requests() == 1 })
	for range 2 {
		must.NoError(t, process.Process.Signal(syscall.SIGTERM))
		eventually(t, "not ready", func() bool { return !isReady(settings) })
	}
	reply := <-replies
	must.NoError(t, reply.err)
	must.Eq(t, http.StatusOK, reply.Status)
	must.NoError(t, process.Wait())
}

// rawCaller writes the bytes of its requests piece by piece.
type rawCaller struct {
	net.Conn
	t *testing.T
}

func (r *router) dialRaw(t *testing.T) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp4", r.settings.Listen)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &rawCaller{conn, t}
}

func (c *rawCaller) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.Conn, text)
	must.NoError(c.t, err)
}

// read returns the response, or why there is none.
func (c *rawCaller) read() stopReply {
	must.NoError(c.t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c.Conn), nil)
	if err != nil {
		return stopReply{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	reply := stopReply{fake.Response{Status: resp.StatusCode, Body: string(body), Header: resp.Header}, err}
	if resp.Header.Get("Retry-After") != "" {
		reply.RetryAfter = time.Millisecond
	}
	return reply
}

// rawHead returns the head of a request without its last line.
func rawHead(path, more string) string {
	return fmt.Sprintf("POST %s1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\n%s: %08x\r\n%s: 12000\r\n%s", path, fake.Host, fake.Key, fake.HeaderID,
		ids.Add(1), fake.HeaderDeadline, more)
}

// Requests of which a part had arrived at the end of the grace period were cut without an answer.
func TestArrivingRequestsAreRefusedAtTheEndOfTheGrace(t *testing.T) {
	for name, c := range map[string]struct {
		part string
		// kept sends a whole request on the connection before.
		kept bool
	}{
		"head":             {part: rawHead(fake.LookPath, "")},
		"head, second":     {part: rawHead(fake.LookPath, ""), kept: true},
		"body":             {part: rawHead(fake.LookPath, "Content-Length: 10\r\n\r\n12345")},
		"body, second":     {part: rawHead(fake.BookPath, "Content-Length: 10\r\n\r\n12345"), kept: true},
		"body in chunks":   {part: rawHead(fake.BookPath, "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n")},
		"body not allowed": {part: rawHead(fake.BookPath, "Content-Length: 10\r\nExpect: 100-continue\r\n\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, r := startStoppable(t, 1, 1, 2)
			caller := r.dialRaw(t)
			before := 0
			if c.kept {
				before = 1
				caller.write(rawHead(fake.LookPath, "Content-Length: 0\r\n\r\n"))
				must.Eq(t, http.StatusOK, caller.read().Status)
			}
			caller.write(c.part)
			time.Sleep(100 * time.Millisecond)
			r.stop()
			reply := caller.read()
			if strings.Contains(c.part, "Expect") && reply.Status == http.StatusContinue {
				reply = caller.read()
			}
			checkRefused(t, reply)
			must.Eq(t, before, s.Jobs[0].Requests())
		})
	}
}

// A request whose body came late in a planned stop was sent to an upstream although no time was left for it.
func TestRequestsWithoutTimeLeftAreNotSent(t *testing.T) {
	for _, path := range []string{fake.BookPath, fake.LookPath} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s, r := startStoppable(t, 1, 1, 2)
			caller := r.dialRaw(t)
			caller.write(rawHead(path, "Content-Length: 10\r\n\r\n12345"))
			time.Sleep(100 * time.Millisecond)
			r.stop()
			time.Sleep(1100 * time.Millisecond)
			caller.write("67890")
			checkRefused(t, caller.read())
			must.Zero(t, s.Jobs[0].Requests())
		})
	}
}

// A request was sent to another upstream late in a planned stop although no time was left for it.
func TestRequestsAreNotSentAgainWithoutTimeLeft(t *testing.T) {
	const work = time.Second
	for name, c := range map[string]struct {
		faults fake.Faults
		status int
	}{
		"declined": {fake.Faults{Work: work, Shed: true}, http.StatusServiceUnavailable},
		"broken":   {fake.Faults{Work: work, Crash: true}, http.StatusBadGateway},
		"failed":   {fake.Faults{Work: work, Fail: true}, http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, r := startStoppable(t, 1, 2, 2)
			for _, u := range s.Jobs {
				u.SetFaults(c.faults)
			}
			r.stop()
			call := newLookCall()
			call.Deadline = 12000
			reply := r.sendNow(call)
			must.NoError(t, reply.err)
			must.Eq(t, c.status, reply.Status, must.Sprint(reply))
			must.Eq(t, 1, s.Jobs[0].Requests()+s.Jobs[1].Requests())
		})
	}
}
