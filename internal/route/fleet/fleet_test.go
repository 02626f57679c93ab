package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func entry(id string) Entry {
	return Entry{ID: id, Service: "s", Address: "10.0.0.1:1", Zone: "a", State: Ready, Slots: 4, Weights: map[string]int64{"m": 1}, Born: 1}
}

func mustView(t *testing.T, f *Fleet, now time.Time, id string) View {
	t.Helper()
	v, ok := f.View(now, id)
	must.True(t, ok)
	return v
}

func TestDrainingIsFinalForAnIncarnation(t *testing.T) {
	f := New()
	must.True(t, f.Put(entry("u")))
	draining := entry("u")
	draining.State = Draining
	must.True(t, f.Put(draining))
	f.Put(entry("u"))
	must.Eq(t, Draining, mustView(t, f, start, "u").State)
	restarted := entry("u")
	restarted.Born = 2
	must.True(t, f.Put(restarted))
	must.Eq(t, Ready, mustView(t, f, start, "u").State)
}

func TestHeartbeatChangesNothing(t *testing.T) {
	f := New()
	f.Put(entry("u"))
	must.False(t, f.Put(entry("u")))
}

// Entries that expired during a store outage are listed again within two seconds of its end; others are dropped at once.
func TestDropAfterStoreOutage(t *testing.T) {
	f := New()
	f.Put(entry("u"))
	must.True(t, f.Drop(start, "u"))
	_, ok := f.View(start, "u")
	must.False(t, ok)

	f.Put(entry("u"))
	f.SetStoreReturned(start)
	must.True(t, f.Drop(start.Add(time.Second), "u"))
	must.Eq(t, Ready, mustView(t, f, start.Add(time.Second), "u").State)
	must.SliceEmpty(t, f.Expire(start.Add(2*time.Second)))
	must.Eq(t, []string{"u"}, f.Expire(start.Add(3*time.Second)))

	f.Put(entry("u"))
	f.Drop(start.Add(time.Second), "u")
	must.True(t, f.Put(entry("u")))
	must.SliceEmpty(t, f.Expire(start.Add(9*time.Second)))
}

func TestDrainingUpstreamGetsNoGracePeriod(t *testing.T) {
	f := New()
	e := entry("u")
	e.State = Draining
	f.Put(e)
	f.SetStoreReturned(start)
	f.Drop(start, "u")
	_, ok := f.View(start, "u")
	must.False(t, ok)
}

func TestReplaceDropsUnlistedUpstreams(t *testing.T) {
	f := New()
	f.Put(entry("u"))
	f.Replace(start, []Entry{entry("v")})
	must.True(t, f.Listed())
	_, ok := f.View(start, "u")
	must.False(t, ok)
	must.Eq(t, 1, len(f.Views(start, "s")))
}

func TestEjectionDoublesUntilSuccess(t *testing.T) {
	f := New()
	f.Put(entry("u"))
	now := start
	for _, want := range []time.Duration{baseEjection, 2 * baseEjection, 4 * baseEjection, 8 * baseEjection, maxEjection} {
		f.Failed(now, "u")
		must.True(t, mustView(t, f, now.Add(min(want, maxEjection)-1), "u").Ejected)
		now = now.Add(min(want, maxEjection))
		must.False(t, mustView(t, f, now, "u").Ejected)
	}
	f.Failed(now, "u")
	f.AnswerCompleted("u")
	must.False(t, mustView(t, f, now, "u").Ejected)
}

func TestPeerLoadsExpire(t *testing.T) {
	f := New()
	f.Put(entry("u"))
	f.RequestSent(start, "u", 100)
	f.SetPeerLoads(start, "p", map[string]Load{"u": {Running: 3, PendingTokens: 50}})
	v := mustView(t, f, start, "u")
	must.Eq(t, 4, v.Running)
	must.Eq(t, 150, v.PendingTokens)
	v = mustView(t, f, start.Add(peerLoadTTL), "u")
	must.Eq(t, 1, v.Running)
	f.Prefilled("u", 100)
	f.RequestEnded("u", 0)
	must.Eq(t, map[string]Load{}, f.Loads(start))
}

func TestConfirmedWeightsOverrideOlderList(t *testing.T) {
	f := New()
	f.Put(entry("u"))
	f.SetSwitching("u", start.Add(time.Second))
	must.True(t, mustView(t, f, start, "u").Switching)
	f.ConfirmWeights("u", "m", 3)
	v := mustView(t, f, start, "u")
	must.False(t, v.Switching)
	must.Eq(t, 3, v.Weights["m"])
	f.Put(entry("u"))
	must.Eq(t, 3, mustView(t, f, start, "u").Weights["m"])
}
