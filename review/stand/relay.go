package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

const (
	relayRouters = 5
	relayRounds  = 3
	// relayEvents and eventTime are those of the engine's streams.
	relayEvents = 60
	eventTime   = 20 * time.Millisecond
	// answerBytes is the size of a booking's answer, as on the sheets. The plain service sends half of it, and the rest after
	// answerPause.
	answerBytes = 800
	answerPause = 300 * time.Millisecond
	// queueFull is how long the upstream's queue of new connections is full. It is over before the second router is asked to
	// connect instead.
	queueFull = 70 * time.Millisecond
	// restTime lets failed connections be forgotten between requests.
	restTime = 1500 * time.Millisecond
)

// unframed is a plain service whose answers have no length and end with their connection.
type unframed struct {
	id string
	// half receives the id of each request when half of its answer has been sent.
	half chan string
}

// ServeHTTP implements http.Handler.
func (u *unframed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(fake.HeaderID)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	part := strings.Repeat("b", answerBytes/2)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signature of %s\r\n\r\n%s", fake.HeaderID, id, fake.HeaderSignature, u.id, part); err != nil {
		return
	}
	u.half <- id
	time.Sleep(answerPause)
	_, _ = io.WriteString(conn, part)
}

// relaySite is the site of playRelay.
type relaySite struct {
	*bench
	site *fake.Site
	job  *unframed
	// engineGate and jobGate are the addresses of the engine and of the plain service.
	engineGate, jobGate *gate
	front               *router
	// relayed counts the requests that passed through another router, broken those that the client took for whole though they were not.
	relayed, broken int
}

// playRelay kills the router through which another one reaches an upstream, while the upstream's answer passes.
func playRelay(b *bench) (bool, error) {
	s, err := fake.NewSite(1, 1)
	if err != nil {
		return false, err
	}
	defer s.Close()
	engine := s.Engines[0]
	engine.Events, engine.PerEvent = relayEvents, eventTime
	engine.SetFaults(fake.Faults{NoLength: true})
	p := &relaySite{bench: b, site: s, job: &unframed{id: s.Jobs[0].ID, half: make(chan string, 1)}}
	address, server, err := listen(p.job)
	if err != nil {
		return false, err
	}
	defer func() { _ = server.Close() }()
	if p.jobGate, err = newGate(address); err != nil {
		return false, err
	}
	defer p.jobGate.close()
	if p.engineGate, err = newGate(s.Address(engine)); err != nil {
		return false, err
	}
	defer p.engineGate.close()
	s.RegisterAt(engine, p.engineGate.address)
	s.RegisterAt(s.Jobs[0], p.jobGate.address)
	for i := range relayRouters {
		if _, err := b.addRouter(fmt.Sprintf("router-%d", i+1), "a", s.StoreAddr); err != nil {
			return false, err
		}
	}
	if err := b.waitReady(); err != nil {
		return false, err
	}
	p.front = b.routers[0]
	for round := range relayRounds {
		if err := p.stream(fmt.Sprintf("stream-%d", round)); err != nil {
			return false, err
		}
		if err := p.booking(fmt.Sprintf("booking-%d", round)); err != nil {
			return false, err
		}
	}
	if p.relayed == 0 {
		return false, fmt.Errorf("no request passed through another router")
	}
	b.notef("%d of %d answers passed through another router, %d were cut off and given to the caller as whole", p.relayed, 2*relayRounds, p.broken)
	return p.broken > 0, nil
}

// send sends a call while the queue of the upstream's new connections is full for a moment.
func (p *relaySite) send(ctx context.Context, g *gate, c fake.Call) (*http.Response, error) {
	time.Sleep(restTime)
	if err := g.fill(); err != nil {
		return nil, err
	}
	opened := time.AfterFunc(queueFull, g.empty)
	defer opened.Stop()
	req, err := c.NewRequest(ctx, p.front.listen)
	if err != nil {
		return nil, err
	}
	p.notef("%s is sent to %s, the upstream's queue of new connections is full for %s", c.ID, p.front.name, queueFull)
	return http.DefaultClient.Do(req)
}

// kill kills the router that a request passes through, if there is one.
func (p *relaySite) kill(via *router) error {
	if via == nil || !p.trouble {
		return nil
	}
	p.signal(via, syscall.SIGKILL)
	<-via.done
	return nil
}

// restart starts a killed router again.
func (p *relaySite) restart(via *router) error {
	if via == nil || !p.trouble {
		return nil
	}
	if err := p.start(via); err != nil {
		return err
	}
	return p.waitReady()
}

// stream sends a request whose answer is a stream of an engine.
func (p *relaySite) stream(id string) error {
	ctx, stop := context.WithTimeout(context.Background(), 6*time.Second)
	defer stop()
	logged := fileSize(p.front.logPath)
	resp, err := p.send(ctx, p.engineGate, fake.Call{Method: http.MethodPost, Path: fake.QuotePath + "x", ID: id, Key: fake.Key, Body: "{}", Prompt: 400, Deadline: 5000})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	via := p.relayedVia(p.front, logged)
	events := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "id:") {
			continue
		}
		if events++; events == relayEvents/3 {
			if err := p.kill(via); err != nil {
				return err
			}
		}
	}
	p.judge(id, resp, via, events < relayEvents, lines.Err(), fmt.Sprintf("%d of %d events", events, relayEvents))
	return p.restart(via)
}

// booking sends a request that isn't idempotent to the plain service.
func (p *relaySite) booking(id string) error {
	ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
	defer stop()
	logged := fileSize(p.front.logPath)
	killed := make(chan *router, 1)
	go func() {
		<-p.job.half
		via := p.relayedVia(p.front, logged)
		_ = p.kill(via)
		killed <- via
	}()
	resp, err := p.send(ctx, p.jobGate, fake.Call{Method: http.MethodPost, Path: fake.BookPath + "x", ID: id, Key: fake.Key, Body: "{}", Deadline: 2000})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	via := <-killed
	p.judge(id, resp, via, len(body) < answerBytes, err, fmt.Sprintf("%d of %d bytes", len(body), answerBytes))
	return p.restart(via)
}

// judge records what the client got. A success that ended as complete and lacks something breaks the rule.
func (p *relaySite) judge(id string, resp *http.Response, via *router, short bool, err error, got string) {
	name := "no other router"
	if via != nil {
		name = via.name
		p.relayed++
	}
	complete := err == nil
	p.notef("%s: the client gets status %d, signature %q, %s, through %s, ended as complete: %t", id, resp.StatusCode, resp.Header.Get(fake.HeaderSignature), got, name, complete)
	if short && complete && resp.StatusCode == http.StatusOK {
		p.broken++
		p.notef("%s: BROKEN: an answer that was cut off looks whole", id)
	}
}

func fileSize(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.Size()
}

// logDelay is the time in which a router's log lines have been written.
const logDelay = 50 * time.Millisecond

// relayedVia returns the router that the log of another one, from an offset on, names as the one that it reaches the upstream through,
// or nil.
func (b *bench) relayedVia(front *router, offset int64) *router {
	time.Sleep(logDelay)
	text, err := os.ReadFile(front.logPath)
	if err != nil || int64(len(text)) < offset {
		return nil
	}
	for line := range strings.SplitSeq(string(text[offset:]), "\n") {
		var entry struct {
			Via string `json:"via"`
		}
		if json.Unmarshal([]byte(line), &entry) != nil || entry.Via == "" {
			continue
		}
		for _, r := range b.routers {
			if r.peer == entry.Via {
				return r
			}
		}
	}
	return nil
}
