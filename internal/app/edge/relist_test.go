package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/peer/gossip"
	"github.com/skylarkquay/skylarkquay/internal/peer/outage"
	"github.com/skylarkquay/skylarkquay/internal/peer/rank"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// drainLimit is the time after the removal of its entry from which an upstream may get no request.
const drainLimit = 2 * time.Second

// startBehindDoors starts routers that reach the store through doors of their own, and returns the doors with them in the order in which
// they poll for all. A door that is closed answers 503.
func startBehindDoors(t *testing.T, s *fake.Site, count int) ([]*router, []*atomic.Bool) {
	t.Helper()
	var routers []*router
	doors := make(map[*router]*atomic.Bool)
	for range count {
		closed := &atomic.Bool{}
		handler := s.Store.Handler()
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if closed.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			handler.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		settings := testSettings(t, s)
		settings.Store = server.Listener.Addr().String()
		r := startRouter(t, settings)
		routers, doors[r] = append(routers, r), closed
	}
	for _, r := range routers {
		eventually(t, "ready", func() bool { return r.isReady() && r.exchange.Count() == count })
	}
	slices.SortFunc(routers, func(a, b *router) int {
		if rank.SortKey(a.settings.size(), a.settings.Peer) < rank.SortKey(b.settings.size(), b.settings.Peer) {
			return -1
		}
		return 1
	})
	ordered := make([]*atomic.Bool, count)
	for i, r := range routers {
		ordered[i] = doors[r]
	}
	return routers, ordered
}

// Guards against requests to an upstream whose entry was removed while the store refused the instances that read the list first
// (ReviewCaseRelist): their failed reads were taken for an outage in which the entries of live upstreams lapse.
func TestRemovedUpstreamGetsNothingWhileInstancesAreTurnedAway(t *testing.T) {
	for _, turnedAway := range []int{1, 2} {
		t.Run(fmt.Sprint(turnedAway), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 0, 2)
			routers, doors := startBehindDoors(t, s, 4)
			for _, closed := range doors[:turnedAway] {
				closed.Store(true)
			}
			time.Sleep(1500 * time.Millisecond)
			u := s.Jobs[0]
			s.Deregister(u)
			removedAt := time.Now()
			var calls sync.WaitGroup
			for _, r := range routers {
				calls.Go(func() {
					for time.Since(removedAt) < drainLimit+time.Second {
						r.send(t, newCall(http.MethodGet, "/look/1"))
					}
				})
			}
			calls.Wait()
			late := 0
			for _, at := range u.Arrivals() {
				if at.Sub(removedAt) > drainLimit {
					late++
				}
			}
			must.Zero(t, late)
		})
	}
}

// Entries of live upstreams that lapse while the store serves no instance are kept until they are listed again, and others are dropped
// two seconds after the store's return.
func TestUpstreamsThatLapseInAnOutageAreKept(t *testing.T) {
	s := newSite(t, 0, 2)
	routers, _ := startBehindDoors(t, s, 2)
	s.Store.SetFault(fake.Busy)
	time.Sleep(3 * time.Second)
	live, ended := s.Jobs[0], s.Jobs[1]
	s.Deregister(live)
	s.Deregister(ended)
	s.Store.SetFault(fake.NoFault)
	returnedAt := time.Now()
	relisted := false
	for time.Since(returnedAt) < 1800*time.Millisecond {
		if !relisted && time.Since(returnedAt) > 1600*time.Millisecond {
			s.Register(live, "ready")
			relisted = true
		}
		for _, r := range routers {
			_, ok := r.fleet.View(time.Now(), live.ID)
			must.True(t, ok)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, r := range routers {
		eventually(t, "the upstream that ended is dropped", func() bool {
			_, ok := r.fleet.View(time.Now(), ended.ID)
			return !ok
		})
		_, ok := r.fleet.View(time.Now(), live.ID)
		must.True(t, ok)
	}
}

// Guards against the same with an instance of an earlier build that reads the list for all: it reports each of its failed reads as an
// outage.
func TestFailedReadsOfEarlierBuildsAreNoOutage(t *testing.T) {
	s, r := startSite(t, 0, 2)
	_, version := r.list.age(clock.SinceBoot())
	epoch := r.list.currentEpoch()
	u := s.Jobs[0]
	boot := clock.SinceBoot()
	r.outages.Served(outage.Span{Since: boot - 5*time.Second, Until: boot}, 0)
	r.mergeList(boot, time.Now(), &gossip.ListUpdate{
		Epoch: epoch, Since: version, Version: version + 1, ReturnedAge: int64(300 * time.Millisecond),
		Changes: []gossip.ListChange{{Version: version + 1, ID: u.ID}},
	}, "127.0.0.1:1")
	_, ok := r.fleet.View(time.Now(), u.ID)
	must.False(t, ok)
}

// Guards against an outdated list at an instance that the store refuses: it cannot apply the changes that others report if it has missed
// earlier ones.
func TestInstanceThatMissedChangesCopiesTheList(t *testing.T) {
	s := newSite(t, 0, 2)
	routers, doors := startBehindDoors(t, s, 2)
	turnedAway, u := routers[0], s.Jobs[0]
	doors[0].Store(true)
	turnedAway.list.mu.Lock()
	turnedAway.list.version = 1
	turnedAway.list.mu.Unlock()
	s.Deregister(u)
	eventually(t, "the upstream is dropped", func() bool {
		_, ok := turnedAway.fleet.View(time.Now(), u.ID)
		return !ok
	})
}
