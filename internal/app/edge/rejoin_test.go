package edge

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// beginStreams begins streams at a router and kills all routers while they run. It returns the calls with the events that arrived.
func beginStreams(t *testing.T, s *fake.Site, routers []*router, streams int) ([]fake.Call, []string) {
	t.Helper()
	for _, u := range s.Engines {
		u.Events, u.PerEvent = 60, 50*time.Millisecond
	}
	calls, last := make([]fake.Call, streams), make([]string, streams)
	var wg sync.WaitGroup
	for i := range streams {
		calls[i] = newUnsharedCall()
		wg.Go(func() {
			reply, err := fake.Send(context.Background(), routers[i%len(routers)].settings.Listen, calls[i])
			if err == nil && !reply.Complete {
				last[i] = lastEvent(reply.Body)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	for _, r := range routers {
		r.kill()
	}
	wg.Wait()
	return calls, last
}

// restart starts routers at the addresses of killed ones.
func restart(t *testing.T, routers []*router) []*router {
	t.Helper()
	var again []*router
	for _, r := range routers {
		again = append(again, startRouter(t, r.settings))
	}
	for _, r := range again {
		eventually(t, "ready", r.isReady)
	}
	return again
}

// takeUp takes up streams and returns how many went on, were refused, and went on at another build.
func takeUp(t *testing.T, s *fake.Site, routers []*router, calls []fake.Call, last []string) (goneOn, refused, joined int64) {
	t.Helper()
	var on, no, mixed atomic.Int64
	var wg sync.WaitGroup
	for i, first := range calls {
		if last[i] == "" {
			continue
		}
		wg.Go(func() {
			call := resume(first)
			call.Header.Set("Last-Event-Id", last[i])
			reply, err := fake.Send(context.Background(), routers[i%len(routers)].settings.Listen, call)
			switch {
			case err != nil:
			case reply.Status == http.StatusServiceUnavailable:
				no.Add(1)
			case reply.Status == http.StatusOK && reply.Complete:
				on.Add(1)
			}
			if ran := buildOf(s, call.ID); ran != "" && ran != buildOf(s, first.ID) {
				mixed.Add(1)
			}
		})
	}
	wg.Wait()
	return on.Load(), no.Load(), mixed.Load()
}

// Streams of a build that has left while all instances were down do not go on at another build.
func TestStreamsAreNotJoinedAfterAllInstancesWereKilled(t *testing.T) {
	s := newSite(t, 2, 1)
	s.Engines[1].Build = "v2"
	s.Deregister(s.Engines[1])
	routers := []*router{startRouter(t, testSettings(t, s)), startRouter(t, testSettings(t, s))}
	for _, r := range routers {
		eventually(t, "ready", r.isReady)
	}
	time.Sleep(time.Second)
	calls, last := beginStreams(t, s, routers, 12)
	s.Deregister(s.Engines[0])
	s.Register(s.Engines[1], "ready")
	_, refused, joined := takeUp(t, s, restart(t, routers), calls, last)
	must.Zero(t, joined)
	must.Positive(t, refused)
}

// Most streams go on at their build after all instances were killed, also while upstreams of another one serve.
func TestStreamsGoOnAfterAllInstancesWereKilled(t *testing.T) {
	for name, builds := range map[string][]string{"one build": {"v1", "v1"}, "two builds": {"v1", "v1", "v2", "v2"}} {
		t.Run(name, func(t *testing.T) {
			s, routers := startMixedSite(t, builds...)
			time.Sleep(time.Second)
			calls, last := beginStreams(t, s, routers, 24)
			taken := int64(0)
			for _, id := range last {
				if id != "" {
					taken++
				}
			}
			goneOn, _, joined := takeUp(t, s, restart(t, routers), calls, last)
			must.GreaterEq(t, int64(12), taken)
			must.Zero(t, joined)
			must.GreaterEq(t, taken/2, goneOn, must.Sprintf("%d of %d went on", goneOn, taken))
		})
	}
}
