package fair

import (
	"flag"
	"fmt"
	"math"
	"slices"
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

const (
	capacity  = 1000.0
	objective = time.Second
	step      = 100 * time.Millisecond
)

// crowdedService is a service whose requests wait in one queue. Workspaces ask for so many units a second.
type crowdedService struct {
	shares   *Shares
	now      time.Time
	queue    float64
	admitted []float64
	// waits are those of the last steps; the oldest one is known.
	waits  []time.Duration
	served float64
	worst  time.Duration
}

func newCrowdedService(workspaces, delay int) *crowdedService {
	return &crowdedService{shares: NewShares(), now: time.Unix(0, 0), admitted: make([]float64, workspaces), waits: make([]time.Duration, delay+1)}
}

// run plays steps in which the workspaces ask for that much, and returns the lowest chance that each had.
func (c *crowdedService) run(steps int, asked []float64) (lowest []float64) {
	lowest = slices.Repeat([]float64{1}, len(asked))
	c.served, c.worst = 0, 0
	fade := math.Exp(-step.Seconds() / averagingTime.Seconds())
	for range steps {
		c.now = c.now.Add(step)
		c.waits = append(c.waits[1:], time.Duration(c.queue/capacity*float64(time.Second)))
		demands := make([]Demand, len(c.admitted))
		for w, rate := range c.admitted {
			demands[w] = Demand{fmt.Sprint(w), rate, 1}
		}
		c.shares.Update(c.now, Keep(c.waits[0], objective), demands)
		for w := range c.admitted {
			chance := c.shares.Chance(fmt.Sprint(w))
			lowest[w] = min(lowest[w], chance)
			c.admitted[w] = asked[w]*chance + (c.admitted[w]-asked[w]*chance)*fade
			c.queue += asked[w] * chance * step.Seconds()
		}
		done := min(c.queue, capacity*step.Seconds())
		c.queue -= done
		c.served += done
		c.worst = max(c.worst, c.waits[len(c.waits)-1])
	}
	return lowest
}

// Load: sixteen workspaces use four fifths of a service, then one of them asks for eight times its usual. Once the shares have followed,
// the others are admitted whole, the wait stays near the objective, and no room is left unused.
func TestOneWorkspaceTakesNoRoomFromOthers(t *testing.T) {
	for _, delay := range []int{0, 3} {
		t.Run(fmt.Sprintf("reports %d steps old", delay), func(t *testing.T) {
			c := newCrowdedService(16, delay)
			asked := slices.Repeat([]float64{50}, 16)
			c.run(50, asked)
			asked[0] = 400
			c.run(50, asked)
			lowest := c.run(100, asked)
			t.Logf("others %.2f, hot %.2f, worst wait %s, served %.3f", slices.Min(lowest[1:]), lowest[0], c.worst, c.served/(capacity*10))
			must.Greater(t, 0.95, slices.Min(lowest[1:]))
			must.Less(t, 0.9, lowest[0])
			must.Less(t, 2*objective, c.worst)
			must.Greater(t, 0.95, c.served/(capacity*10))
		})
	}
}

// Load: two workspaces ask for too much, one of them four times as much as the other, as callers do who repeat what is refused. Both are
// admitted the same.
func TestAskingMoreOftenEarnsNothing(t *testing.T) {
	c := newCrowdedService(3, 1)
	c.run(200, []float64{100, 600, 2400})
	t.Logf("admitted %.0f", c.admitted)
	must.Greater(t, 95, c.admitted[0])
	must.InDelta(t, c.admitted[1], c.admitted[2], c.admitted[1]/10)
}
