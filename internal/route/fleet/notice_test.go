package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func bornEntry(id string, born int64) Entry {
	return Entry{ID: id, Service: "s", Address: "10.0.0.1:1", State: Ready, Born: born}
}

func TestDepartureIsFinalForAnIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	f := New()
	f.Put(bornEntry("a", 1))
	must.False(t, f.MarkLeaving(now, Departure{"a", 2}, true))
	must.True(t, f.MarkLeaving(now, Departure{"a", 1}, true))
	must.False(t, f.MarkLeaving(now, Departure{"a", 1}, true))
	must.Eq(t, Draining, f.Views(now, "s")[0].State)
	// Neither an older entry nor its return to the list makes the incarnation available again.
	f.Put(bornEntry("a", 1))
	must.Eq(t, Draining, f.Views(now, "s")[0].State)
	f.Drop(now, "a")
	f.Put(bornEntry("a", 1))
	must.Eq(t, Draining, f.Views(now, "s")[0].State)
	f.Put(bornEntry("a", 2))
	must.Eq(t, Ready, f.Views(now, "s")[0].State)
}

func TestOnlyOwnDeparturesAreReportedForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	f := New()
	f.Put(bornEntry("a", 1))
	f.Put(bornEntry("b", 1))
	f.MarkLeaving(now, Departure{"a", 1}, true)
	f.MarkLeaving(now, Departure{"b", 1}, false)
	must.Eq(t, []Departure{{"a", 1}}, f.Departures(now))
	must.SliceEmpty(t, f.Departures(now.Add(departureReportTTL)))
}

func TestPause(t *testing.T) {
	now := time.Unix(1000, 0)
	f := New()
	f.Put(bornEntry("a", 1))
	f.Put(bornEntry("b", 1))
	f.PauseUntil(now, "a", 1, now.Add(3*time.Second))
	f.PauseUntil(now, "a", 1, now.Add(time.Second))
	f.PauseUntil(now, "b", 1, now.Add(5*time.Second))
	at, ok := f.NextRetry(now, "s")
	must.True(t, ok)
	must.Eq(t, now.Add(3*time.Second), at)
	// The pause outlives an absence from the list, but not the incarnation.
	f.Drop(now, "a")
	f.Put(bornEntry("a", 1))
	v, _ := f.View(now.Add(2*time.Second), "a")
	must.Eq(t, now.Add(3*time.Second), v.RetryAt)
	must.Eq(t, []string{"a"}, f.EndPauses(now.Add(3*time.Second)))
	v, _ = f.View(now.Add(3*time.Second), "a")
	must.True(t, v.RetryAt.IsZero())
	f.Put(bornEntry("b", 2))
	v, _ = f.View(now, "b")
	must.True(t, v.RetryAt.IsZero())
}
