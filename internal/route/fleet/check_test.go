package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestCheckBarsWhatChangedSinceThePlacement(t *testing.T) {
	placed := Entry{ID: "a", Service: "s", Address: "127.0.0.1:1", State: Ready, Slots: 2, Build: "v1", Born: 1}
	changed := func(change func(*Entry)) Entry {
		e := placed
		change(&e)
		return e
	}
	start := time.Unix(0, 0)
	for _, c := range []struct {
		name  string
		apply func(f *Fleet)
		want  Bar
	}{
		{"nothing", func(*Fleet) {}, NotBarred},
		{"more slots", func(f *Fleet) { f.Put(changed(func(e *Entry) { e.Slots = 3 })) }, NotBarred},
		{"removed", func(f *Fleet) { f.Drop(start, "a") }, Gone},
		{"another incarnation", func(f *Fleet) { f.Put(changed(func(e *Entry) { e.Born = 2 })) }, Gone},
		{"another address", func(f *Fleet) { f.Put(changed(func(e *Entry) { e.Address = "127.0.0.1:2" })) }, Gone},
		{"another service", func(f *Fleet) { f.Put(changed(func(e *Entry) { e.Service = "t" })) }, Gone},
		{"another build", func(f *Fleet) { f.Put(changed(func(e *Entry) { e.Build = "v2" })) }, Gone},
		{"listed as draining", func(f *Fleet) { f.Put(changed(func(e *Entry) { e.State = Draining })) }, Leaving},
		{"announced", func(f *Fleet) { f.MarkLeaving(start, Departure{"a", 1}, true) }, Leaving},
		{"announced by an earlier incarnation", func(f *Fleet) { f.MarkLeaving(start, Departure{"a", 0}, true) }, NotBarred},
		{"paused", func(f *Fleet) { f.PauseUntil(start, "a", 1, start.Add(2*time.Second)) }, Paused},
		{"paused until now", func(f *Fleet) { f.PauseUntil(start, "a", 1, start.Add(time.Second)) }, NotBarred},
		{"rejected a request, with room for others", func(f *Fleet) { crowdAt(f, start.Add(time.Millisecond), 1); f.RequestEnded("a", 0) }, NotBarred},
		{"rejected a request", func(f *Fleet) { crowdAt(f, start.Add(time.Millisecond), 2) }, Full},
		{"rejected a request before", func(f *Fleet) { crowdAt(f, start, 2) }, NotBarred},
		{"lapsed while the store was away", func(f *Fleet) { f.SetStoreReturned(start); f.Drop(start, "a") }, NotBarred},
	} {
		f := New()
		f.Put(placed)
		c.apply(f)
		must.Eq(t, c.want, f.Check(start.Add(time.Second), start, placed), must.Sprint(c.name))
	}
}

// crowdAt makes the brittle upstream of the test reject a request for want of room at a time. Others are there, and one has no
// connection.
func crowdAt(f *Fleet, at time.Time, there int) {
	brittle := 2.0
	f.ObserveLimit(at, Limit{ID: "a", Born: 1, Brittle: &brittle}, true)
	f.RequestSent(at, "a", 0)
	f.Connecting("a")
	for range there + 1 {
		f.RequestSent(at, "a", 0)
	}
	f.MarkFull(at, "a", 0)
	f.RequestEnded("a", 0)
}
