package edge

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/skylarkquay/skylarkquay/internal/front/link"
	"github.com/skylarkquay/skylarkquay/internal/trial/site"
	"github.com/skylarkquay/skylarkquay/platform"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// router is a running Edge.
type router struct {
	*Edge
	stop context.CancelFunc
	done chan error
}

// freeAddress returns an address outside the range of ephemeral ports.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := site.FreeAddress()
	must.NoError(t, err)
	return address
}

func testSettings(t *testing.T, s *fake.Site) Settings {
	return Settings{
		Name: "router", Zone: "a", Listen: freeAddress(t), Ready: freeAddress(t), Peer: freeAddress(t), Metrics: freeAddress(t),
		Store: s.StoreAddr, MemoryMB: 500, Cores: 1, Link: 100, Grace: 2, Revocation: 5000, Weights: 8000, Turn: 300,
		RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10, Level: "info",
	}
}

func startRouter(t *testing.T, cfg Settings) *router {
	t.Helper()
	return startRouterOn(t, cfg, link.DialTCP)
}

// startRouterOn starts a router that connects to upstreams by the given function.
func startRouterOn(t *testing.T, cfg Settings, dial platform.Dial) *router {
	t.Helper()
	e := newEdge(t, cfg)
	e.dialer.Direct = dial
	return runRouter(t, e)
}

// newEdge returns a router that does not run yet.
func newEdge(t *testing.T, cfg Settings) *Edge {
	t.Helper()
	e, err := New(cfg, "", logr.Discard(), func() int64 { return 0 })
	must.NoError(t, err)
	return e
}

// runRouter runs a router until the end of the test.
func runRouter(t *testing.T, e *Edge) *router {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	r := &router{Edge: e, stop: stop, done: make(chan error, 1)}
	go func() { r.done <- e.Run(ctx) }()
	t.Cleanup(func() { r.stopAndWait(t) })
	return r
}

func (r *router) stopAndWait(t *testing.T) {
	r.stop()
	if r.done != nil {
		must.NoError(t, <-r.done)
		r.done = nil
	}
}

func (r *router) isReady() bool { return isReady(r.settings) }

// isReady reports whether the router with the settings says that it is ready.
func isReady(s Settings) bool {
	resp, err := http.Get("http://" + s.Ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(20*time.Second), wait.Gap(20*time.Millisecond), wait.BoolFunc(f)), must.Sprint(what))
}

func newSite(t *testing.T, engines, jobs int) *fake.Site {
	t.Helper()
	s, err := fake.NewSite(engines, jobs)
	must.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

// startSite starts a site with one router and waits until it is ready.
func startSite(t *testing.T, engines, jobs int) (*fake.Site, *router) {
	t.Helper()
	s := newSite(t, engines, jobs)
	r := startRouter(t, testSettings(t, s))
	eventually(t, "ready", r.isReady)
	return s, r
}

var ids atomic.Int64

func newCall(method, path string) fake.Call {
	return fake.Call{Method: method, Path: path, ID: fmt.Sprintf("%08x", ids.Add(1)), Key: fake.Key, Deadline: 5000}
}

func newPromptCall(path string) fake.Call {
	c := newCall(http.MethodPost, path)
	c.Prompt, c.Body = 1000, "a prompt"
	return c
}

func (r *router) send(t *testing.T, c fake.Call) fake.Response {
	t.Helper()
	reply, err := fake.Send(context.Background(), r.settings.Listen, c)
	must.NoError(t, err)
	return reply
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

func TestForwarding(t *testing.T) {
	s, r := startSite(t, 2, 2)
	c := newCall(http.MethodPost, "/book/visit?day=2")
	c.Body = "a booking"
	reply := r.send(t, c)
	must.Eq(t, http.StatusOK, reply.Status)
	must.True(t, reply.Signed)
	must.Eq(t, "POST a booking", reply.Body)
	runs := append(s.Jobs[0].Runs(), s.Jobs[1].Runs()...)
	must.SliceLen(t, 1, runs)
	must.Eq(t, "acme", runs[0].Workspace)
	must.Eq(t, "/book/visit?day=2", runs[0].Path)
	must.Eq(t, "", runs[0].Header.Get("Authorization"))

	reply = r.send(t, newPromptCall("/quote/1"))
	must.Eq(t, http.StatusOK, reply.Status)
	must.Eq(t, events(1, 5), reply.Body)
}

func TestInternalHeadersOfCallersAreDropped(t *testing.T) {
	s, r := startSite(t, 1, 1)
	c := newPromptCall("/brief/1")
	c.Header = http.Header{
		"X-Tenant": {"another"}, "X-Cache-Salt": {"mine"}, "X-Hold": {"1"}, "Kv-From": {"1"}, "X-Request-Priority": {"0"},
		"X-Echo": {"kept", "with " + fake.Key}, "Connection": {"X-Hop"}, "X-Hop": {"1"},
	}
	must.Eq(t, http.StatusOK, r.send(t, c).Status)
	run := s.Engines[0].Runs()[0]
	must.Eq(t, "acme", run.Workspace)
	must.NotEq(t, "mine", run.Salt)
	must.Eq(t, []string{"kept"}, run.Header.Values("X-Echo"))
	for _, name := range []string{"X-Hold", "Kv-From", "X-Hop"} {
		must.Eq(t, "", run.Header.Get(name))
	}
}

func TestRejectedRequests(t *testing.T) {
	s, r := startSite(t, 1, 1)
	for _, c := range []struct {
		name   string
		change func(*fake.Call)
		want   int
	}{
		{"unknown key", func(c *fake.Call) { c.Key = "other" }, http.StatusUnauthorized},
		{"no key", func(c *fake.Call) { c.Key = "" }, http.StatusUnauthorized},
		{"unknown route", func(c *fake.Call) { c.Path = "/nowhere/" }, http.StatusNotFound},
		{"no id", func(c *fake.Call) { c.ID = "" }, http.StatusBadRequest},
		{"two ids", func(c *fake.Call) { c.Header = http.Header{fake.HeaderID: {"1", "2"}}; c.ID = "" }, http.StatusBadRequest},
		{"invalid deadline", func(c *fake.Call) { c.Deadline = 0; c.Header = http.Header{fake.HeaderDeadline: {"soon"}} }, http.StatusBadRequest},
		{"long body", func(c *fake.Call) { c.Body = strings.Repeat("x", 70000) }, http.StatusRequestEntityTooLarge},
		{"long header", func(c *fake.Call) { c.Header = http.Header{"X-Long": {strings.Repeat("x", 20000)}} }, http.StatusRequestHeaderFieldsTooLarge},
	} {
		sent := newCall(http.MethodPost, "/book/1")
		c.change(&sent)
		must.Eq(t, c.want, r.send(t, sent).Status, must.Sprint(c.name))
	}
	must.SliceEmpty(t, s.Jobs[0].Runs())
	open := newCall(http.MethodGet, "/open/1")
	open.Key = ""
	must.Eq(t, http.StatusOK, r.send(t, open).Status)
	must.Eq(t, "", s.Jobs[0].Runs()[0].Workspace)
}

func TestNonIdempotentRequestsRunOnce(t *testing.T) {
	s, r := startSite(t, 1, 2)
	for _, u := range s.Jobs {
		u.SetFaults(fake.Faults{Crash: true})
	}
	must.Eq(t, http.StatusBadGateway, r.send(t, newCall(http.MethodPost, "/book/1")).Status)
	must.SliceLen(t, 1, append(s.Jobs[0].Runs(), s.Jobs[1].Runs()...))
}

func TestShedRequestsAreSentElsewhereOrRejected(t *testing.T) {
	s, r := startSite(t, 1, 2)
	s.Jobs[0].SetFaults(fake.Faults{Shed: true})
	for range 4 {
		must.Eq(t, http.StatusOK, r.send(t, newCall(http.MethodPost, "/book/1")).Status)
	}
	s.Jobs[1].SetFaults(fake.Faults{Shed: true})
	reply := r.send(t, newCall(http.MethodPost, "/book/1"))
	must.Eq(t, http.StatusServiceUnavailable, reply.Status)
	must.NotEq(t, "", reply.Header.Get("Retry-After"))
	must.SliceLen(t, 4, s.Jobs[1].Runs())
}

func TestIdempotentRequestsAreRetried(t *testing.T) {
	s, r := startSite(t, 1, 2)
	s.Jobs[0].SetFaults(fake.Faults{Fail: true})
	for range 4 {
		must.Eq(t, http.StatusOK, r.send(t, newCall(http.MethodGet, "/look/1")).Status)
	}
	s.Jobs[1].SetFaults(fake.Faults{Fail: true})
	reply := r.send(t, newCall(http.MethodGet, "/look/1"))
	must.Eq(t, http.StatusInternalServerError, reply.Status)
	must.True(t, reply.Signed)
}

// An upstream passes its health checks but does not respond to requests; its failures alone must make the router avoid it.
func TestHangingUpstreamsAreAvoided(t *testing.T) {
	s, r := startSite(t, 1, 2)
	s.Jobs[0].SetFaults(fake.Faults{Hang: true})
	failed := 0
	for range 12 {
		c := newCall(http.MethodGet, fake.LookPath+"1")
		c.Deadline = 1400
		if r.send(t, c).Status != http.StatusOK {
			failed++
		}
	}
	must.LessEq(t, 2, failed)
}

func TestUnsignedResponsesAreFailures(t *testing.T) {
	s, r := startSite(t, 1, 1)
	s.Jobs[0].SetFaults(fake.Faults{Unsigned: true})
	must.Eq(t, http.StatusBadGateway, r.send(t, newCall(http.MethodPost, "/book/1")).Status)
}

// A resumable stream continues at another upstream after the last complete event. One that cannot be resumed is cut off, so
// that the caller does not take it for complete.
func TestInterruptedStreamsAreResumedOrCut(t *testing.T) {
	s, r := startSite(t, 2, 1)
	s.Engines[0].SetFaults(fake.Faults{CutAfter: 2})
	s.Engines[1].SetFaults(fake.Faults{CutAfter: 2})
	reply := r.send(t, newPromptCall("/brief/1"))
	must.False(t, reply.Complete)
	must.Eq(t, events(1, 2), reply.Body)

	for _, broken := range []int{0, 1} {
		s.Engines[broken].SetFaults(fake.Faults{CutAfter: 2})
		s.Engines[1-broken].SetFaults(fake.Faults{})
		reply := r.send(t, newPromptCall("/quote/1"))
		must.True(t, reply.Complete)
		must.Eq(t, events(1, 5), reply.Body)
	}
}

func TestWorkspaceRateLimit(t *testing.T) {
	s := newSite(t, 1, 1)
	s.Rate, s.Burst = 10, 3000
	s.PublishDocument()
	r := startRouter(t, testSettings(t, s))
	eventually(t, "ready", r.isReady)
	counts := map[int]int{}
	for range 8 {
		counts[r.send(t, newPromptCall("/brief/1")).Status]++
	}
	must.MapContainsKey(t, counts, http.StatusTooManyRequests)
	must.LessEq(t, 3, counts[http.StatusOK])
	isolated := newPromptCall("/brief/1")
	isolated.Key = fake.IsolatedKey
	must.Eq(t, http.StatusOK, r.send(t, isolated).Status)
}

func TestIsolatedWorkspacesShareNoPrefix(t *testing.T) {
	s, r := startSite(t, 1, 1)
	isolated := newPromptCall("/brief/1")
	isolated.Key = fake.IsolatedKey
	r.send(t, newPromptCall("/brief/1"))
	r.send(t, newPromptCall("/brief/1"))
	r.send(t, isolated)
	runs := s.Engines[0].Runs()
	must.Eq(t, runs[0].Salt, runs[1].Salt)
	must.NotEq(t, runs[0].Salt, runs[2].Salt)
}

func TestNewDocumentsAreApplied(t *testing.T) {
	s, r := startSite(t, 1, 1)
	s.WithoutLook = true
	s.PublishDocument()
	eventually(t, "route is gone", func() bool {
		return r.send(t, newCall(http.MethodGet, "/look/1")).Status == http.StatusNotFound
	})
	s.CorruptDocument()
	s.WithoutLook = false
	s.Keys = []string{"new key"}
	must.Eq(t, http.StatusOK, r.send(t, newCall(http.MethodPost, "/book/1")).Status)
	s.PublishDocument()
	eventually(t, "key is withdrawn", func() bool {
		return r.send(t, newCall(http.MethodPost, "/book/1")).Status == http.StatusUnauthorized
	})
	c := newCall(http.MethodGet, "/look/1")
	c.Key = "new key"
	must.Eq(t, http.StatusOK, r.send(t, c).Status)
}

func TestAllRowsAreReadAfterHistoryIsLost(t *testing.T) {
	s, r := startSite(t, 1, 1)
	s.WithoutLook = true
	s.PublishDocument()
	s.Store.Compact()
	eventually(t, "route is gone", func() bool {
		return r.send(t, newCall(http.MethodGet, "/look/1")).Status == http.StatusNotFound
	})
}

// During a store outage keys are accepted until the document is too old. Then requests are rejected as not run until the
// store is back.
func TestKeysAreRejectedAfterLongStoreOutage(t *testing.T) {
	for _, fault := range []fake.Fault{fake.Busy, fake.Unresponsive, fake.LoseResponses} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 1)
			cfg := testSettings(t, s)
			cfg.Revocation = 2500
			r := startRouter(t, cfg)
			eventually(t, "ready", r.isReady)
			s.Store.SetFault(fault)
			must.Eq(t, http.StatusOK, r.send(t, newCall(http.MethodPost, "/book/1")).Status)
			var reply fake.Response
			eventually(t, "refused", func() bool {
				reply = r.send(t, newCall(http.MethodPost, "/book/1"))
				return reply.Status == http.StatusServiceUnavailable
			})
			must.NotEq(t, "", reply.Header.Get("Retry-After"))
			open := newCall(http.MethodGet, "/open/1")
			open.Key = ""
			must.Eq(t, http.StatusOK, r.send(t, open).Status)
			s.Store.SetFault(fake.NoFault)
			eventually(t, "served again", func() bool { return r.send(t, newCall(http.MethodPost, "/book/1")).Status == http.StatusOK })
		})
	}
}

func TestRouterWithoutDocumentRejectsRequests(t *testing.T) {
	s := newSite(t, 1, 1)
	s.Store.SetFault(fake.Busy)
	r := startRouter(t, testSettings(t, s))
	eventually(t, "listening", func() bool {
		_, err := fake.Send(context.Background(), r.settings.Listen, newCall(http.MethodPost, "/book/1"))
		return err == nil
	})
	must.False(t, r.isReady())
	must.Eq(t, http.StatusServiceUnavailable, r.send(t, newCall(http.MethodPost, "/nowhere/1")).Status)
}

func TestDrainingAndDelistedUpstreamsGetNoRequests(t *testing.T) {
	s, r := startSite(t, 1, 2)
	s.Register(s.Jobs[0], "draining")
	s.Deregister(s.Jobs[1])
	eventually(t, "no upstream left", func() bool {
		return r.send(t, newCall(http.MethodGet, "/look/1")).Status == http.StatusServiceUnavailable
	})
	s.Register(s.Jobs[1], "ready")
	eventually(t, "back", func() bool { return r.send(t, newCall(http.MethodGet, "/look/1")).Status == http.StatusOK })
}

func TestInvalidListEntriesAreIgnored(t *testing.T) {
	s, r := startSite(t, 1, 1)
	for id, text := range map[string]string{
		"a": "{", "b": "[]", "c": `{"Service":7}`, "d": `{"Service":"jobs","Address":"nowhere","Zone":"a","State":"ready","Slots":1}`,
		"e": `{"Service":"jobs","Address":"127.0.0.1:1","Zone":"a","State":"asleep","Slots":1}`, "f": "\xff\xfe",
	} {
		s.CorruptEntry(id, text)
	}
	s.Register(s.Jobs[0], "draining")
	eventually(t, "valid changes are applied", func() bool {
		return r.send(t, newCall(http.MethodGet, "/look/1")).Status == http.StatusServiceUnavailable
	})
	must.Eq(t, http.StatusOK, r.send(t, newPromptCall("/brief/1")).Status)
}

// Several routers make the engines load the latest version. Orders come from one router at a time, and no request runs on
// weights with another version's cache salt.
func TestRollout(t *testing.T) {
	s := newSite(t, 5, 1)
	var routers []*router
	for range 3 {
		routers = append(routers, startRouter(t, testSettings(t, s)))
	}
	for _, r := range routers {
		eventually(t, "ready", r.isReady)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var failed atomic.Int64
	for _, r := range routers {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				reply, err := fake.Send(context.Background(), r.settings.Listen, newPromptCall("/quote/1"))
				if err != nil || reply.Status != http.StatusOK || reply.Body != events(1, 5) {
					failed.Add(1)
				}
			}
		})
	}
	for version := range int64(3) {
		s.PublishWeights(version + 2)
		time.Sleep(150 * time.Millisecond)
	}
	eventually(t, "all engines loaded", func() bool {
		for _, u := range s.Engines {
			if u.Version() != 4 {
				return false
			}
		}
		return true
	})
	close(stop)
	clients.Wait()
	must.Eq(t, 0, failed.Load())
	salts := map[string]int64{}
	for _, u := range s.Engines {
		last := fake.Order{}
		for _, o := range u.Orders() {
			must.GreaterEq(t, last.Version, o.Version)
			must.GreaterEq(t, last.Token, o.Token)
			if last.Holder != "" && o.Holder != last.Holder {
				must.GreaterEq(t, 300*time.Millisecond, o.At.Sub(last.At))
			}
			last = o
		}
		for _, run := range u.Runs() {
			if version, ok := salts[run.Salt]; ok {
				must.Eq(t, version, run.Version)
			}
			salts[run.Salt] = run.Version
		}
	}
}

// A graceful shutdown interrupts no request: running ones complete, and responses to new ones on open connections close
// these.
func TestGracefulShutdown(t *testing.T) {
	s, r := startSite(t, 1, 1)
	s.Engines[0].PerEvent = 100 * time.Millisecond
	replies := make(chan fake.Response, 1)
	go func() {
		reply, err := fake.Send(context.Background(), r.settings.Listen, newPromptCall("/brief/1"))
		if err != nil {
			reply.Body = err.Error()
		}
		replies <- reply
	}()
	eventually(t, "the stream runs", func() bool { return len(s.Engines[0].Runs()) == 1 })
	r.stop()
	eventually(t, "not ready", func() bool { return !r.isReady() })
	must.Eq(t, events(1, 5), (<-replies).Body)
	must.NoError(t, <-r.done)
	r.done = nil
}

// A request that was the first on its connection was read and closed without an answer late in a shutdown.
func TestFirstRequestLateInShutdownIsRefused(t *testing.T) {
	s := newSite(t, 1, 1)
	cfg := testSettings(t, s)
	cfg.Grace = 4
	r := startRouter(t, cfg)
	eventually(t, "ready", r.isReady)
	r.stop()
	time.Sleep(1800 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := fake.Dial(ctx, r.settings.Listen)
	must.NoError(t, err)
	defer conn.Close()
	time.Sleep(600 * time.Millisecond)
	reply, _, open, err := conn.Send(ctx, newCall(http.MethodPost, fake.BookPath+"1"))
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, reply.Status)
	must.Positive(t, reply.RetryAfter)
	must.False(t, open)
	must.SliceEmpty(t, s.Jobs[0].Runs())
}

func TestOneInstanceReadsTheStoreForAll(t *testing.T) {
	s := newSite(t, 1, 1)
	var routers []*router
	for range 3 {
		routers = append(routers, startRouter(t, testSettings(t, s)))
	}
	for _, r := range routers {
		eventually(t, "ready", r.isReady)
	}
	eventually(t, "one instance follows", func() bool {
		n := 0
		for _, r := range routers {
			if r.following.Load() {
				n++
			}
		}
		return n == 1
	})
	s.WithoutLook = true
	s.PublishDocument()
	s.Register(s.Engines[0], "draining")
	for _, r := range routers {
		eventually(t, "changes are applied", func() bool {
			return r.send(t, newCall(http.MethodGet, "/look/1")).Status == http.StatusNotFound &&
				r.send(t, newPromptCall("/brief/1")).Status == http.StatusServiceUnavailable
		})
	}
}

func TestMetrics(t *testing.T) {
	_, r := startSite(t, 1, 1)
	r.send(t, newCall(http.MethodPost, "/book/1"))
	eventually(t, "counted", func() bool {
		resp, err := http.Get("http://" + r.settings.Metrics + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		body := make([]byte, 1<<16)
		n, _ := resp.Body.Read(body)
		return strings.Contains(string(body[:n]), `skylarkquay_requests{kind="non_idempotent",outcome="answered"} 1`)
	})
}

// An instance that never reaches the store receives the document, the list and confirmations from the others.
func TestInstanceWithoutStoreCopiesFromPeers(t *testing.T) {
	s, first := startSite(t, 1, 1)
	cfg := testSettings(t, s)
	cfg.Store = freeAddress(t)
	second := startRouter(t, cfg)
	first.exchange.AddPeer(second.self())
	eventually(t, "ready", second.isReady)
	must.Eq(t, http.StatusOK, second.send(t, newCall(http.MethodPost, "/book/1")).Status)
	s.WithoutLook = true
	s.PublishDocument()
	eventually(t, "the newer document is in force", func() bool {
		return second.send(t, newCall(http.MethodGet, "/look/1")).Status == http.StatusNotFound
	})
	s.Register(s.Jobs[0], "draining")
	eventually(t, "the upstream drains", func() bool {
		return second.send(t, newCall(http.MethodPost, "/book/1")).Status == http.StatusServiceUnavailable
	})
}
