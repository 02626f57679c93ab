// Package place chooses the upstream for one request.
package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

// Costs are the slopes by which the expected wait at an upstream is computed.
type Costs struct {
	// PerToken is the time in which an engine reads one prompt token.
	PerToken time.Duration
	// PerRunning is the delay that each request in progress adds.
	PerRunning time.Duration
	// Hop is the added round trip when the upstream is in another availability zone.
	Hop time.Duration
	// Fetch is the time to bring one token's KV cache from the kept store, as a part of PerToken.
	Fetch float64
}

// DefaultCosts are the slopes of the engines on the users' sheets: 31 to 50 prompt tokens a millisecond, steps of some
// 5 ms that grow by the size of the batch, half a millisecond to two between zones.
func DefaultCosts() Costs {
	return Costs{PerToken: 25 * time.Microsecond, PerRunning: 4 * time.Millisecond, Hop: time.Millisecond, Fetch: 0.3}
}

const (
	// homes is the number of engines among which a prefix is kept first.
	homes = 2
	// coldDelay is the expected extra wait at an upstream that has just started.
	coldDelay = 100 * time.Millisecond
	// failingDelay is weighed by the share of failures, so that a failing upstream is used when the others are full.
	failingDelay = 2 * time.Second
	// staleDelay is the wait that a request on the newest weights is worth: a fifth of a request's worth is lost on
	// superseded ones, and more than half when it is late.
	staleDelay = 250 * time.Millisecond
	// fullDelay is added per request beyond the upstream's slots; the answers before it take that long each.
	fullDelay = 40 * time.Millisecond
)

// Question is one request to place.
type Question struct {
	// Affinity is the hash of the last shared part of the prompt with its salt; zero where there is none.
	Affinity uint64
	// Shared are the tokens of the shared parts, Own those of the rest of the prompt.
	Shared int64
	Own    int64
	// Zone is the availability zone of this instance.
	Zone string
	// Model and Version are the weights that the request should run on; Model is empty for plain services.
	Model   string
	Version int64
	// Floor is the oldest version that may begin the request.
	Floor int64
	// Avoid are upstreams that had this request already.
	Avoid map[string]bool
	// Seed draws between equals.
	Seed uint64
}

// Choice is a chosen upstream with the inputs that decided.
type Choice struct {
	fleet.View
	// Version is the weights version that the upstream is believed to run; zero for plain services.
	Version int64
	// Cost is the expected wait.
	Cost time.Duration
	// Considered is the number of upstreams that were weighed.
	Considered int
}

// tier orders upstreams before their cost does; lower is better.
func tier(v *fleet.View) int {
	t := 0
	if v.Switching {
		t++
	}
	if v.Ejected {
		t += 2
	}
	return t
}

// Choose returns the upstream with the least expected wait; false when none may take the request. Requests prefer the
// newest weights unless those engines are full, which answers rollouts under load; upstreams that fail or load weights
// are used only when no other is left.
func Choose(q Question, views []fleet.View, costs Costs) (Choice, bool) {
	var best Choice
	bestTier := -1
	ranks := rank(q.Affinity, views)
	for i := range views {
		v := &views[i]
		if v.State != fleet.Ready || q.Avoid[v.ID] {
			continue
		}
		version := v.Weights[q.Model]
		if q.Model != "" && version == 0 {
			continue
		}
		stale := q.Model != "" && version < q.Version
		if version < q.Floor {
			continue
		}
		best.Considered++
		t := tier(v)
		c := cost(&q, v, ranks[v.ID], costs)
		if stale {
			c += staleDelay
		}
		if bestTier >= 0 && (t > bestTier || t == bestTier && c >= best.Cost) {
			continue
		}
		bestTier = t
		best.View, best.Version, best.Cost = *v, version, c
	}
	return best, bestTier >= 0
}

// cost returns the expected time to the first token, or to the answer of a plain service.
func cost(q *Question, v *fleet.View, rank int, costs Costs) time.Duration {
	c := time.Duration(v.Tokens)*costs.PerToken + time.Duration(v.Running)*costs.PerRunning
	if over := v.Running - v.Slots; v.Slots > 0 && over > 0 {
		c += time.Duration(over) * fullDelay
	}
	if v.Zone != q.Zone {
		c += costs.Hop
	}
	if v.Cold > 0 {
		c += coldDelay
	}
	if !v.Healthy() {
		c += time.Duration(v.Failing * float64(failingDelay))
	}
	read := float64(q.Own) * float64(costs.PerToken)
	if rank > 0 {
		read += float64(q.Shared) * float64(costs.PerToken) * costs.Fetch * (1 + float64(min(rank, 2*homes))/homes)
	}
	// A draw below the resolution of the estimate spreads equals.
	draw := time.Duration(mix(q.Seed^xxhash.Sum64String(v.ID)) % uint64(time.Millisecond/2))
	return c + time.Duration(read) + draw
}

// rank orders the upstreams for a prefix by rendezvous hashing, so that all instances choose the same homes unasked.
func rank(affinity uint64, views []fleet.View) map[string]int {
	if affinity == 0 {
		return nil
	}
	type scored struct {
		id    string
		score uint64
	}
	all := make([]scored, 0, len(views))
	for i := range views {
		if views[i].State == fleet.Ready {
			all = append(all, scored{views[i].ID, mix(affinity ^ xxhash.Sum64String(views[i].ID))})
		}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranks := make(map[string]int, len(all))
	for i, s := range all {
		ranks[s.id] = i
	}
	return ranks
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
