package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

var start = time.Unix(1000, 0)

func fleetOf(versions ...int64) []fleet.View {
	var views []fleet.View
	for i, v := range versions {
		views = append(views, fleet.View{
			Entry:   fleet.Entry{ID: fmt.Sprint(i), State: fleet.Ready, Weights: map[string]int64{"m": v}},
			Running: 3 + i,
		})
	}
	return views
}

func ids(moves []Move) []string {
	var out []string
	for _, m := range moves {
		out = append(out, m.Engine.ID)
	}
	return out
}

func target(version int64, age time.Duration) Target {
	return Target{Model: "m", Version: version, Age: age}
}

func TestAThirdLoadsFirstTheIdlestBeforeOthers(t *testing.T) {
	views := fleetOf(1, 1, 1, 1, 1, 1)
	views[5].Running = 0
	moves := Next(start, target(2, 0), views, nil)
	must.Eq(t, []string{"5", "0"}, ids(moves))
	must.Eq(t, Continue, moves[0].Mode)
}

func TestOthersWaitUntilTheyHaveDrained(t *testing.T) {
	views := fleetOf(2, 2, 1, 1, 1, 1)
	must.SliceEmpty(t, Next(start, target(2, time.Second), views, nil))
	views[4].Running = drained
	moves := Next(start, target(2, time.Second), views, nil)
	must.Eq(t, []string{"4"}, ids(moves))
	must.Eq(t, Continue, moves[0].Mode)
	moves = Next(start, target(2, patience+1), views, nil)
	must.Eq(t, []string{"4", "2"}, ids(moves))
	must.Eq(t, Finish, moves[1].Mode)
	moves = Next(start, target(2, urgent+1), views, nil)
	must.Eq(t, Continue, moves[1].Mode)
}

func TestASupersededVersionIsSkipped(t *testing.T) {
	views := fleetOf(2, 2, 1)
	progress := map[string]Progress{"2": {Started: start, Version: 2}}
	must.Eq(t, []string{"0"}, ids(Next(start, target(3, 0), views, progress)))
}

func TestAFailedEngineIsTriedAgainLater(t *testing.T) {
	views := fleetOf(1)
	progress := map[string]Progress{"0": {Retry: start.Add(time.Second)}}
	must.SliceEmpty(t, Next(start, target(2, 0), views, progress))
	must.SliceLen(t, 1, Next(start.Add(time.Second), target(2, 0), views, progress))
}

func TestPendingCountsReadyEnginesOnly(t *testing.T) {
	views := fleetOf(1, 2, 1, 0)
	views[2].State = fleet.Draining
	must.Eq(t, 1, Pending("m", 2, views))
}

// Never more engines are out than serve, once a first third has loaded, and a rollout always comes to its end.
func TestEveryRolloutEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "engines")
		views := fleetOf(make([]int64, n)...)
		for i := range views {
			views[i].Weights["m"] = 1
			views[i].Running = rapid.IntRange(0, 20).Draw(t, "running")
		}
		progress := map[string]Progress{}
		for age := time.Duration(0); Pending("m", 2, views) > 0; age += 500 * time.Millisecond {
			must.Less(t, 60*time.Second, age)
			for _, m := range Next(start, target(2, age), views, progress) {
				must.MapNotContainsKey(t, progress, m.Engine.ID)
				progress[m.Engine.ID] = Progress{Started: start, Version: 2}
			}
			done := n - Pending("m", 2, views)
			must.LessEq(t, max(1, n/firstWave, done), len(progress))
			for i := range views {
				if _, ok := progress[views[i].ID]; ok && rapid.Bool().Draw(t, "loads") {
					delete(progress, views[i].ID)
					views[i].Weights["m"] = 2
				}
			}
		}
	})
}
