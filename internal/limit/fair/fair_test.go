package fair

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// init fixes the seed, so that every run gives the same result; a flag overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func TestLevel(t *testing.T) {
	tests := []struct {
		name     string
		demands  []Demand
		capacity float64
		want     float64
	}{
		{"room for all", []Demand{{"a", 10, 1}, {"b", 20, 1}}, 30, math.Inf(1)},
		{"one asks for too much", []Demand{{"a", 10, 1}, {"b", 60, 1}}, 50, 40},
		{"all ask for too much", []Demand{{"a", 60, 1}, {"b", 60, 1}}, 60, 30},
		{"weights", []Demand{{"a", 60, 1}, {"b", 60, 0.5}}, 60, 40},
		{"nobody", nil, 10, math.Inf(1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { must.Eq(t, tt.want, Level(tt.demands, tt.capacity)) })
	}
}

// The shares never exceed the capacity, use all of it, and no workspace gets less for its weight than one that is cut.
func TestLevelIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "workspaces")
		demands, total := make([]Demand, n), 0.0
		for i := range demands {
			demands[i] = Demand{fmt.Sprint(i), rapid.Float64Range(0, 100).Draw(t, "asked"), rapid.Float64Range(0.1, 1).Draw(t, "weight")}
			total += demands[i].Admitted
		}
		capacity := total * rapid.Float64Range(0.01, 0.99).Draw(t, "capacity")
		level, served := Level(demands, capacity), 0.0
		for _, d := range demands {
			served += min(d.Admitted, level*d.Weight)
		}
		must.InDelta(t, capacity, served, 1e-6*max(1, capacity))
	})
}

func TestKeep(t *testing.T) {
	const objective = time.Second
	must.Eq(t, 1, Keep(0, objective))
	must.Eq(t, 1, Keep(700*time.Millisecond, objective))
	must.InDelta(t, minKeep, Keep(5*time.Second, objective), 1e-9)
	must.Eq(t, 1, Keep(5*time.Second, 0))
	must.Greater(t, Keep(1500*time.Millisecond, objective), Keep(time.Second, objective))
}

// Sixteen workspaces use four fifths of the upstreams, then one of them sends eight times its usual. Without shares the wait grows to
// many times the objective, and all workspaces meet it. With them, the wait stays near the objective, the others are admitted
// whole, and no room is left unused.
func TestOneWorkspaceTakesNoRoomFromOthers(t *testing.T) {
	const (
		capacity  = 1000.0
		objective = time.Second
		step      = 100 * time.Millisecond
	)
	for _, delay := range []int{0, 3} {
		t.Run(fmt.Sprintf("reports %d steps old", delay), func(t *testing.T) {
			shares, queue, served := NewShares(), 0.0, 0.0
			admitted := make([]float64, 16)
			waits := make([]time.Duration, delay+1)
			now := time.Unix(0, 0)
			others, hot, worst := 1.0, 1.0, time.Duration(0)
			for i := range 200 {
				now = now.Add(step)
				waits = append(waits[1:], time.Duration(queue/capacity*float64(time.Second)))
				demands := make([]Demand, len(admitted))
				for w, rate := range admitted {
					demands[w] = Demand{fmt.Sprint(w), rate, 1}
				}
				shares.Update(now, Keep(waits[0], objective), demands)
				arrived := 0.0
				for w := range admitted {
					asked := 50.0
					if w == 0 && i >= 50 {
						asked *= 8
					}
					chance := shares.Chance(fmt.Sprint(w))
					fade := math.Exp(-step.Seconds() / averagingTime.Seconds())
					admitted[w] = asked*chance + (admitted[w]-asked*chance)*fade
					arrived += asked * chance * step.Seconds()
					if i >= 100 && w == 0 {
						hot = min(hot, chance)
					} else if i >= 100 {
						others = min(others, chance)
					}
				}
				done := min(queue+arrived, capacity*step.Seconds())
				queue += arrived - done
				if i >= 100 {
					served += done
					worst = max(worst, waits[len(waits)-1])
				}
			}
			t.Logf("others %.2f, hot %.2f, worst wait %s, served %.3f", others, hot, worst, served/(capacity*10))
			must.Greater(t, 0.95, others)
			must.Less(t, 0.9, hot)
			must.Less(t, 2*objective, worst)
			must.Greater(t, 0.95, served/(capacity*10))
		})
	}
}
