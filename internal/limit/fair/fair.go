// Package fair shares a service whose upstreams cannot keep up among the workspaces that use it. What is left to each is a max-min
// share: a workspace that asks for less than its share is served as in calm, and what it leaves goes to the others.
package fair

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// averagingTime is the time constant of the average of chances. It is that of the average of admissions, so that their quotient is
	// what a workspace asks for.
	averagingTime = time.Second
	// updateInterval is the time after which chances are computed again. Reports of the others come as often.
	updateInterval = 100 * time.Millisecond
	// minChance bounds a chance from below, so that each workspace keeps being seen.
	minChance = 0.05
	// refuseFrom and refuseMostAt are the expected waits, as multiples of the objective, from which requests are refused and at which only
	// minKeep of them are admitted.
	refuseFrom   = 0.75
	refuseMostAt = 1.75
	minKeep      = 0.2
)

// Demand is what one workspace uses of all services together.
type Demand struct {
	Workspace string
	// Admitted is in units a second over all instances.
	Admitted float64
	// Weight is positive; shares are in proportion to it.
	Weight float64
}

// Keep returns the part of all requests that is admitted at an expected wait: all while the objective is met, fewer the longer the wait
// is. Load pattern: a burst of twice the usual requests for several seconds, in which all requests wait for longer than the objective
// and the last ones are refused by full queues, whoever sends them.
func Keep(wait, objective time.Duration) float64 {
	if objective <= 0 {
		return 1
	}
	over := (float64(wait)/float64(objective) - refuseFrom) / (refuseMostAt - refuseFrom)
	return 1 - (1-minKeep)*max(0, min(1, over))
}

// Level returns the units a second for each unit of weight up to which workspaces are served, so that all together get the capacity.
// It is infinite if the capacity suffices.
func Level(demands []Demand, capacity float64) float64 {
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b Demand) int { return cmp.Compare(a.Admitted/a.Weight, b.Admitted/b.Weight) })
	weights := 0.0
	for _, d := range sorted {
		weights += d.Weight
	}
	for _, d := range sorted {
		if level := capacity / weights; d.Admitted/d.Weight > level {
			return level
		}
		capacity -= d.Admitted
		weights -= d.Weight
	}
	return math.Inf(1)
}

// share is one workspace's part of a service.
type share struct {
	// chance is the part of the workspace's requests that is admitted, average its moving average.
	chance, average float64
}

// Shares holds the shares of one service. It is safe for concurrent use.
type Shares struct {
	mu        sync.Mutex
	shares    map[string]*share
	updatedAt time.Time
}

// NewShares returns shares that admit all requests.
func NewShares() *Shares { return &Shares{shares: make(map[string]*share)} }

// Due reports whether the shares are to be updated.
func (s *Shares) Due(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.updatedAt) >= updateInterval
}

// Update computes the shares, keep being the part of all requests that is admitted. All instances use the same reports, so that their
// shares agree without a message of their own.
func (s *Shares) Update(now time.Time, keep float64, demands []Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fade := math.Exp(-max(0, now.Sub(s.updatedAt).Seconds()) / averagingTime.Seconds())
	s.updatedAt = now
	asked, total := make([]Demand, 0, len(demands)), 0.0
	shares := make(map[string]*share, len(demands))
	for _, d := range demands {
		w := s.shares[d.Workspace]
		if w == nil {
			w = &share{chance: 1, average: 1}
		}
		w.average = w.chance + (w.average-w.chance)*fade
		shares[d.Workspace] = w
		// What was refused counts as well, or a workspace that is refused much would seem to ask for little.
		d.Admitted /= max(minChance, w.average)
		asked, total = append(asked, d), total+d.Admitted
	}
	s.shares = shares
	level := Level(asked, total*keep)
	for _, d := range asked {
		chance := 1.0
		if d.Admitted > 0 {
			chance = min(1, level*d.Weight/d.Admitted)
		}
		shares[d.Workspace].chance = max(minChance, chance)
	}
}

// Chance returns the part of a workspace's requests that is admitted.
func (s *Shares) Chance(workspace string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.shares[workspace]; w != nil {
		return w.chance
	}
	return 1
}
