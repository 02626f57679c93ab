package plan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

var start = time.Unix(1000, 0)

func enginesOn(versions ...int64) []fleet.View {
	var views []fleet.View
	for i, v := range versions {
		views = append(views, fleet.View{
			Entry:   fleet.Entry{ID: fmt.Sprint(i), State: fleet.Ready, Weights: map[string]int64{"m": v}},
			Running: 3 + i,
		})
	}
	return views
}

func ids(loads []Load) []string {
	var out []string
	for _, l := range loads {
		out = append(out, l.Engine.ID)
	}
	return out
}

// versions returns a version n times.
func versions(n int, version int64) []int64 { return slices.Repeat([]int64{version}, n) }

// target is a version that was announced some time ago. All earlier ones have been superseded since then, and all orders are known.
func target(version int64, age time.Duration) Target {
	return Target{
		Model: "m", Version: version, StartLimit: startLimit, SupersededFor: func(int64) time.Duration { return age }, OrdersKnownFor: time.Hour,
	}
}

// urgentAge is how long weights are superseded until an engine loads without draining.
const urgentAge = startLimit * 85 / 100

func TestLeastLoadedEngineLoadsFirstAndNextOneDrains(t *testing.T) {
	views := enginesOn(1, 1, 1, 1, 1, 1, 1, 1)
	views[5].Running = 0
	next := Next(start, target(2, 0), views, nil)
	must.Eq(t, []string{"5"}, ids(next.Load))
	must.Eq(t, Continue, next.Load[0].Mode(start))
	must.Len(t, 1, next.Drain)
	must.Eq(t, "0", next.Drain[0].ID)
}

func TestDrainingEngineLoadsWhenDrainedOrTimedOut(t *testing.T) {
	views := enginesOn(2, 2, 1, 1)
	progress := map[string]Progress{"3": {DrainingSince: start, Running: 20}}
	must.SliceEmpty(t, Next(start.Add(drainTimeout-1), target(2, time.Second), views, progress).Load)
	loads := Next(start.Add(drainTimeout), target(2, 2*time.Second), views, progress).Load
	must.Eq(t, []string{"3"}, ids(loads))
	must.Eq(t, Finish, loads[0].Mode(start.Add(drainTimeout)))
	loads = Next(start.Add(drainTimeout), target(2, urgentAge+1), views, progress).Load
	must.Eq(t, Continue, loads[0].Mode(start.Add(drainTimeout)))
	views[3].Running = drainedLimit
	loads = Next(start.Add(time.Millisecond), target(2, time.Second), views, progress).Load
	must.Eq(t, []string{"3"}, ids(loads))
	must.Eq(t, Continue, loads[0].Mode(start.Add(drainTimeout)))
}

// Unresponsive engines must not take the places of those that could load.
func TestFailingEnginesComeLast(t *testing.T) {
	views := enginesOn(1, 1, 1, 1, 1, 1, 1, 1)
	for i := range views {
		views[i].Running = 0
		views[i].Ejected = i < 6
	}
	must.Eq(t, []string{"6", "7"}, ids(Next(start, target(2, 0), views, nil).Load))
}

func TestSupersededVersionIsSkipped(t *testing.T) {
	views := enginesOn(2, 2, 1, 1, 1, 1, 1, 1)
	for i := range views {
		views[i].Running = 0
	}
	progress := map[string]Progress{"2": {LoadingSince: start, Version: 2}}
	must.Eq(t, []string{"0"}, ids(Next(start, target(3, 0), views, progress).Load))
}

func TestFailedEngineIsRetriedLater(t *testing.T) {
	views := enginesOn(1)
	views[0].Running = 0
	progress := map[string]Progress{"0": {RetryAt: start.Add(time.Second)}}
	must.SliceEmpty(t, Next(start, target(2, 0), views, progress).Load)
	must.SliceLen(t, 1, Next(start.Add(time.Second), target(2, 0), views, progress).Load)
}

func TestPendingCountsReadyEnginesOnly(t *testing.T) {
	views := enginesOn(1, 2, 1, 0)
	views[2].State = fleet.Draining
	must.Eq(t, 1, Pending("m", 2, views))
}

// With a quarter of the engines unresponsive, maxUnavailable applies to the other engines.
func TestUnresponsiveEnginesCountNeitherAsHealthyNorAsUnavailable(t *testing.T) {
	views := enginesOn(make([]int64, 20)...)
	progress := map[string]Progress{}
	for i := range views {
		views[i].Weights["m"] = 1
		views[i].Ejected = i < 5
		if i < 5 {
			progress[views[i].ID] = Progress{LoadingSince: start, Version: 2}
		}
	}
	next := Next(start, target(2, 0), views, progress)
	must.Len(t, 5, next.Drain)
}

func countStuck(now time.Time, progress map[string]Progress) int {
	n := 0
	for _, p := range progress {
		if p.Stuck(now) {
			n++
		}
	}
	return n
}

// Most engines keep serving until the rollout is urgent, and every rollout completes.
func TestEveryRolloutCompletes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 90).Draw(t, "engines")
		views := enginesOn(make([]int64, n)...)
		for i := range views {
			views[i].Weights["m"] = 1
			views[i].Running = rapid.IntRange(0, 20).Draw(t, "running")
		}
		progress := map[string]Progress{}
		for age := time.Duration(0); Pending("m", 2, views) > 0; age += 200 * time.Millisecond {
			must.Less(t, 60*time.Second, age)
			now := start.Add(age)
			next := Next(now, target(2, age), views, progress)
			for _, e := range next.Drain {
				must.MapNotContainsKey(t, progress, e.ID)
				progress[e.ID] = Progress{DrainingSince: now, Running: e.Running, Version: 2}
			}
			for _, l := range next.Load {
				must.True(t, progress[l.Engine.ID].LoadingSince.IsZero())
				progress[l.Engine.ID] = Progress{LoadingSince: now, Version: 2}
			}
			if age < urgentAge {
				must.LessEq(t, max(2, int(float64(n)*maxUnavailable)), len(progress)-countStuck(now, progress))
				must.LessEq(t, max(2, n/2), len(progress))
			}
			for i := range views {
				if p, ok := progress[views[i].ID]; ok && !p.LoadingSince.IsZero() && rapid.Bool().Draw(t, "loads") {
					delete(progress, views[i].ID)
					views[i].Weights["m"] = 2
				}
			}
		}
	})
}
