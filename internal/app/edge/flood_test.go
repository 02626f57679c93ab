package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// startFlood replaces the only engine and the only plain service of a site by upstreams that respond without end.
func startFlood(t *testing.T, f fake.Flood) (*router, *fake.FloodUpstream, *fake.FloodUpstream) {
	t.Helper()
	s := newSite(t, 1, 1)
	engine, err := fake.NewFloodUpstream(f, "text/event-stream")
	must.NoError(t, err)
	job, err := fake.NewFloodUpstream(f, "text/plain")
	must.NoError(t, err)
	t.Cleanup(func() { engine.Close(); job.Close() })
	s.RegisterAt(s.Engines[0], engine.Address())
	s.RegisterAt(s.Jobs[0], job.Address())
	cfg := testSettings(t, s)
	cfg.MemoryMB = floodMemoryMB
	r := startRouter(t, cfg)
	eventually(t, "ready", r.isReady)
	return r, engine, job
}

// floodMemoryMB is the memory of the smallest machines that users describe.
const floodMemoryMB = 120

// An upstream that sends bytes without end is cut off long before the deadline. What it may have run is neither repeated nor
// reported as not run.
func TestResponsesWithoutEnd(t *testing.T) {
	for _, f := range fake.Floods {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			r, engine, job := startFlood(t, f)
			for _, c := range []struct {
				call     fake.Call
				upstream *fake.FloodUpstream
				requests int64
			}{
				{newCall(http.MethodPost, "/book/1"), job, 1}, {newPromptCall("/brief/1"), engine, 1},
			} {
				c.call.Deadline = 20_000
				started := time.Now()
				reply := r.send(t, c.call)
				must.Less(t, 10*time.Second, time.Since(started))
				declined := f == fake.FloodDeclined
				must.Eq(t, declined, reply.Status == http.StatusServiceUnavailable)
				must.GreaterEq(t, http.StatusInternalServerError, reply.Status)
				must.False(t, reply.Signed)
				must.Eq(t, c.requests, c.upstream.Requests.Load(), must.Sprint(c.call.Path))
				eventually(t, "connection closed", func() bool { return c.upstream.Closed.Load() == c.requests })
			}
		})
	}
}

// Hundreds of requests at a time meet upstreams that send bytes without end; the heap stays below the memory of a small
// machine.
func TestManyResponsesWithoutEndFitInMemory(t *testing.T) {
	for _, f := range []fake.Flood{fake.FloodHead, fake.FloodBody, fake.FloodChunks, fake.FloodShortLines, fake.FloodLongHead} {
		t.Run(string(f), func(t *testing.T) {
			r, _, _ := startFlood(t, f)
			done, peak := make(chan struct{}), make(chan uint64)
			go func() {
				highest := uint64(0)
				for {
					var m runtime.MemStats
					runtime.ReadMemStats(&m)
					highest = max(highest, m.HeapAlloc)
					select {
					case <-done:
						peak <- highest
						return
					case <-time.After(10 * time.Millisecond):
					}
				}
			}()
			var calls sync.WaitGroup
			for i := range 400 {
				calls.Go(func() {
					c := newPromptCall(fmt.Sprintf("/quote/%d", i))
					if i%2 == 0 {
						c = newCall(http.MethodPost, fmt.Sprintf("/book/%d", i))
					}
					reply := r.send(t, c)
					must.GreaterEq(t, http.StatusInternalServerError, reply.Status)
				})
			}
			calls.Wait()
			close(done)
			must.Less(t, uint64(floodMemoryMB<<20), <-peak)
			must.Eq(t, 0, r.handler.Memory.Used())
		})
	}
}

// A request whose upstreams send bytes without end does not count as one that ends upstreams: they run. It was refused everywhere.
func TestRequestsAreNotBlamedForResponsesWithoutEnd(t *testing.T) {
	for _, f := range fake.Floods {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 0, 1)
			sound := s.Address(s.Jobs[0])
			job, err := fake.NewFloodUpstream(f, "text/plain")
			must.NoError(t, err)
			t.Cleanup(job.Close)
			s.RegisterAt(s.Jobs[0], job.Address())
			r := startRouter(t, testSettings(t, s))
			eventually(t, "ready", r.isReady)
			send := func() int {
				c := newLookCall()
				c.Body = "the same"
				return r.send(t, c).Status
			}
			for range 8 {
				must.NotEq(t, http.StatusOK, send())
			}
			s.RegisterAt(s.Jobs[0], sound)
			eventually(t, "served", func() bool { return send() == http.StatusOK })
		})
	}
}

// Callers that do not read the error responses of an upstream hold no more memory than is there for responses.
func TestUnreadFailuresFitInMemory(t *testing.T) {
	const (
		callers = 24
		size    = 8 << 20
		// otherBytes is the heap of everything else in this process.
		otherBytes = 40 << 20
	)
	text := fake.SignedHead("HTTP/1.1 500 Failed") + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("x", size)
	job, err := fake.NewScriptedUpstream(func(*http.Request) fake.Answer { return fake.Answer{Bytes: text} })
	must.NoError(t, err)
	t.Cleanup(job.Close)
	s := newSite(t, 0, 1)
	s.RegisterAt(s.Jobs[0], job.Address())
	settings := testSettings(t, s)
	settings.MemoryMB = 2 * floodMemoryMB
	r := startRouter(t, settings)
	eventually(t, "ready", r.isReady)
	failures := 0
	for range callers {
		request, err := newCall(http.MethodPost, fake.BookPath+"1").NewRequest(context.Background(), fake.Host)
		must.NoError(t, err)
		conn, err := net.Dial("tcp4", r.settings.Listen)
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		must.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
		must.NoError(t, request.Write(conn))
		status := make([]byte, len("HTTP/1.1 500"))
		_, err = io.ReadFull(conn, status)
		must.NoError(t, err)
		if string(status) == "HTTP/1.1 500" {
			failures++
		}
	}
	must.Positive(t, failures)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	t.Logf("%d failures, %d MB of heap", failures, m.HeapAlloc>>20)
	must.Less(t, uint64(settings.MemoryMB<<20/bufferMemoryDivisor+otherBytes), m.HeapAlloc)
}
