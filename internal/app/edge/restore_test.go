package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/peer/gossip"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

func (r *router) look(t *testing.T) int { return r.send(t, newCall(http.MethodGet, "/look/1")).Status }

// lookWith sends a request with a key.
func (r *router) lookWith(t *testing.T, key string) int {
	c := newCall(http.MethodGet, "/look/1")
	c.Key = key
	return r.send(t, c).Status
}

// startTwo starts a site with two routers that know each other.
func startTwo(t *testing.T, engines, jobs int) (*fake.Site, []*router) {
	t.Helper()
	s, first := startSite(t, engines, jobs)
	second := startRouter(t, testSettings(t, s))
	eventually(t, "both ready", func() bool {
		return second.isReady() && second.exchange.Count() == 2 && first.exchange.Count() == 2
	})
	return s, []*router{first, second}
}

// knowRestore waits until all routers know of a restore of the store.
func knowRestore(t *testing.T, routers []*router, epoch int64) {
	t.Helper()
	eventually(t, "restore known", func() bool {
		for _, r := range routers {
			if known, _ := r.epochs.get(); known < epoch {
				return false
			}
		}
		return true
	})
}

// A key that was withdrawn in a document that the copy lacks stays withdrawn. Later documents are applied, although the store
// gives them versions that it has given out before.
func TestRestoredStoreBringsBackNoKey(t *testing.T) {
	s, routers := startTwo(t, 1, 1)
	s.Keys = []string{fake.Key, "short-lived"}
	s.PublishDocument()
	for _, r := range routers {
		eventually(t, "key in force", func() bool { return r.lookWith(t, "short-lived") == http.StatusOK })
	}
	c := s.Store.Copy()
	for range 20 {
		s.Store.Put("other", "row", 1)
	}
	s.Keys = []string{fake.Key}
	s.PublishDocument()
	for _, r := range routers {
		eventually(t, "key withdrawn", func() bool { return r.lookWith(t, "short-lived") == http.StatusUnauthorized })
	}
	s.Store.Restore(c)
	knowRestore(t, routers, 1)
	for range 20 {
		for _, r := range routers {
			must.NotEq(t, http.StatusOK, r.lookWith(t, "short-lived"))
			must.Eq(t, http.StatusOK, r.look(t))
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.WithExtra = true
	s.PublishDocument()
	for _, r := range routers {
		eventually(t, "added route in force", func() bool { return r.send(t, newCall(http.MethodGet, fake.ExtraPath+"1")).Status == http.StatusOK })
	}
	// Once more, within seconds.
	s.Store.Restore(c)
	knowRestore(t, routers, 2)
	s.WithoutLook = true
	s.PublishDocument()
	for _, r := range routers {
		eventually(t, "dropped route unknown", func() bool { return r.look(t) == http.StatusNotFound })
	}
}

// An upstream that left after the copy was made gets nothing while only the copy lists it. One that was listed after the copy was
// made is used on, and one that writes its entry again is used again.
func TestRestoredStoreBringsBackNoUpstream(t *testing.T) {
	s, routers := startTwo(t, 1, 3)
	gone, late := s.Jobs[0], s.Jobs[2]
	s.Deregister(late)
	eventually(t, "not listed", func() bool { _, ok := routers[1].fleet.View(time.Now(), late.ID); return !ok })
	c := s.Store.Copy()
	s.Deregister(gone)
	s.Register(late, "ready")
	for _, r := range routers {
		eventually(t, "list applied", func() bool {
			_, listed := r.fleet.View(time.Now(), late.ID)
			_, stale := r.fleet.View(time.Now(), gone.ID)
			return listed && !stale
		})
	}
	before := len(gone.Runs())
	s.Store.Restore(c)
	knowRestore(t, routers, 1)
	for _, r := range routers {
		eventually(t, "list read again", func() bool { return !r.list.isRestored() })
	}
	for range 10 {
		for _, r := range routers {
			must.Eq(t, http.StatusOK, r.look(t))
		}
	}
	must.Eq(t, before, len(gone.Runs()))
	must.SliceNotEmpty(t, late.Runs())
	s.Register(late, "ready")
	s.Register(gone, "ready")
	for _, r := range routers {
		eventually(t, "used again", func() bool { r.look(t); return len(gone.Runs()) > before })
	}
}

// Each instance writes its row again, so that new instances find it.
func TestInstancesRegisterAgainAfterRestore(t *testing.T) {
	s := newSite(t, 1, 1)
	c := s.Store.Copy()
	r := startRouter(t, testSettings(t, s))
	eventually(t, "ready", r.isReady)
	must.NotNil(t, s.Store.Row(instancesTable, r.settings.Peer))
	s.Store.Restore(c)
	eventually(t, "registered again", func() bool { return s.Store.Row(instancesTable, r.settings.Peer) != nil })
}

// A rollout after a restore uses a token that is higher than those given out before, also if the copy has an older row.
func TestTokenGrowsAcrossRestore(t *testing.T) {
	s, routers := startTwo(t, 1, 1)
	c := s.Store.Copy()
	s.PublishWeights(2)
	eventually(t, "loaded", func() bool { return s.Engines[0].Version() == 2 })
	s.Store.Restore(c)
	knowRestore(t, routers, 1)
	s.PublishWeights(2)
	s.PublishWeights(3)
	eventually(t, "loaded after the restore", func() bool { return s.Engines[0].Version() == 3 })
	orders := s.Engines[0].Orders()
	must.Greater(t, orders[0].Token, orders[len(orders)-1].Token)
	must.Greater(t, int64(1)<<32, orders[len(orders)-1].Token)
}

// An instance that does not know of a restore yet neither confirms documents nor changes the list of one that has.
func TestMessagesFromBeforeTheRestore(t *testing.T) {
	_, r := startSite(t, 1, 1)
	boot := r.exchange.Clock()
	r.observeEpoch(3, "test")
	r.list.recordRead(boot, 3, 40, nil)
	age, _ := r.replica.ConfirmationAge(boot)
	r.Receive(boot, &gossip.Message{
		Address: "127.0.0.1:9", Epoch: 2, Revision: r.replica.Document().Revision,
		List: &gossip.ListUpdate{Epoch: 2, Since: 0, Version: 90, Changes: []gossip.ListChange{{Version: 90, ID: "job-0"}}},
	}, boot, boot+time.Hour, true)
	after, _ := r.replica.ConfirmationAge(boot)
	must.LessEq(t, after, age)
	_, listed := r.fleet.View(time.Now(), "job-0")
	must.True(t, listed)
}

// Guards against routers that start after a restore of the store and accept a key that was withdrawn after the copy was made
// (ReviewCase5).
func TestInstanceThatStartsDoesNotTrustARestoredStore(t *testing.T) {
	s := newSite(t, 1, 1)
	s.Keys = []string{fake.Key, "short-lived"}
	s.PublishDocument()
	c := s.Store.Copy()
	s.Keys = []string{fake.Key}
	s.PublishDocument()
	s.Store.Restore(c)
	r := startRouter(t, testSettings(t, s))
	eventually(t, "document read", func() bool { return r.replica.Document() != nil })
	must.Positive(t, r.rollout.acquireDelay(leaseRow{}))
	must.False(t, r.originOf(clock.SinceBoot(), time.Now(), "engines", "feedfeed").Complete)
	for range 15 {
		must.Eq(t, http.StatusServiceUnavailable, r.lookWith(t, "short-lived"))
		time.Sleep(100 * time.Millisecond)
	}
	must.False(t, r.isReady())
	s.PublishDocument()
	eventually(t, "ready", r.isReady)
	must.Eq(t, http.StatusOK, r.look(t))
	must.Eq(t, http.StatusUnauthorized, r.lookWith(t, "short-lived"))
}

// An instance that starts long after a restore takes the store at its word at once.
func TestInstanceThatStartsLongAfterARestore(t *testing.T) {
	s, first := startSite(t, 1, 1)
	s.Store.Restore(s.Store.Copy())
	knowRestore(t, []*router{first}, 1)
	restored := clock.SinceBoot()
	eventually(t, "restore recorded", func() bool { return s.Store.Row(restoresTable, restoresKey) != nil })
	time.Sleep(policy.RestoreSettleTime)
	r := startRouter(t, testSettings(t, s))
	eventually(t, "ready", r.isReady)
	_, restoredAt := r.epochs.get()
	must.LessEq(t, restored+time.Second, restoredAt)
	must.Positive(t, restoredAt)
}

// Guards against a confirmation by a store that was just restored, at an instance that learns of the restore in two goroutines.
func TestRestoreIsKnownWithItsEpoch(t *testing.T) {
	tracker := epochTracker{current: 0}
	begun, settled := make(chan struct{}), false
	go tracker.observe(time.Second, 1, func() {
		close(begun)
		time.Sleep(50 * time.Millisecond)
		settled = true
	})
	<-begun
	_, risen := tracker.observe(time.Second, 1, func() { t.Error("restored twice") })
	must.False(t, risen)
	must.True(t, settled)
}
