package place

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

func TestFlow(t *testing.T) {
	start := time.Unix(1000, 0)
	var f Flow
	must.Eq(t, 0.0, f.Rate(start))
	for i := range 400 {
		f.Add(start.Add(time.Duration(i)*100*time.Millisecond), 300)
	}
	end := start.Add(40 * time.Second)
	must.Between(t, 2800, f.Rate(end), 3200)
	must.Less(t, 100, f.Rate(end.Add(20*time.Second)))
}

func TestUnseenIsWhatAFewEnginesGetBeyondTheirPart(t *testing.T) {
	costs := DefaultCosts()
	must.Eq(t, 0, Unseen(7000, 105, 600*time.Millisecond, 90, 90, costs))
	must.Eq(t, 0, Unseen(7000, 105, 600*time.Millisecond, 0, 90, costs))
	must.Eq(t, 0, Unseen(7000, 0, 600*time.Millisecond, 24, 90, costs))
	// 441,000 tokens under way to 24 instead of 90 engines, 25 us each.
	got := Unseen(7000, 105, 600*time.Millisecond, 24, 90, costs)
	must.Between(t, 336*time.Millisecond, got, 337*time.Millisecond)
}

func TestServing(t *testing.T) {
	view := func(state fleet.State, version int64) fleet.View {
		return fleet.View{Entry: fleet.Entry{State: state, Weights: map[string]int64{"m": version}}}
	}
	views := []fleet.View{view(fleet.Ready, 2), view(fleet.Ready, 2), view(fleet.Ready, 1), view(fleet.Draining, 2), view(fleet.Ready, 0)}
	views[1].Switching = true
	newest, all := Serving(views, "m", 2)
	must.Eq(t, 1, newest)
	must.Eq(t, 3, all)
}
