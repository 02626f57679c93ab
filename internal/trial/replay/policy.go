package replay

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkquay/skylarkquay/internal/route/picker"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

// Policy is an algorithm that chooses engines.
type Policy string

// The policies. Skylarkquay is the router's own; the others are baselines. Oracle reads the actual caches and queues.
const (
	Random        Policy = "random"
	LeastLoad     Policy = "least-load"
	WorkspaceHash Policy = "workspace-hash"
	OwnHistory    Policy = "own-history"
	Skylarkquay   Policy = "skylarkquay"
	Oracle        Policy = "oracle"
)

// Policies lists all policies in the order of the report.
var Policies = []Policy{Random, LeastLoad, WorkspaceHash, OwnHistory, Skylarkquay, Oracle}

// query is the input of a placement decision.
type query struct {
	workspace string
	chain     []prefix.Hash
	tokens    int64
	router    *router
	avoid     map[string]bool
}

// router is the state of one router.
type router struct {
	zone string
	// fleet is the router's view of the engines.
	fleet *status.Fleet
}

// choose returns the name of the engine that a policy picks, or "" when none is available.
func (r *run) choose(p Policy, now time.Time, q query) string {
	var views []status.View
	for v := range q.router.fleet.Engines(now, model, q.chain) {
		if !q.avoid[v.Name] && !v.Ejected {
			views = append(views, *v)
		}
	}
	if len(views) == 0 {
		return ""
	}
	switch p {
	case Random:
		return views[r.random.IntN(len(views))].Name
	case LeastLoad:
		return minCost(views, func(v status.View) time.Duration { return r.load(v) }, r.random)
	case WorkspaceHash:
		return views[int(xxhash.Sum64String(q.workspace)%uint64(len(views)))].Name
	case OwnHistory:
		return r.byHistory(q, views)
	case Oracle:
		return r.byActualState(now, q, views)
	default:
		return r.byPicker(now, q)
	}
}

// load returns the estimated delay of the engine's queued and running requests.
func (r *run) load(v status.View) time.Duration {
	return time.Duration(v.QueueTokens)*r.costs.PerToken + time.Duration(v.Running)*r.costs.PerRunning
}

// byHistory picks by the load and by the prefixes that this router itself has sent.
func (r *run) byHistory(q query, views []status.View) string {
	return minCost(views, func(v status.View) time.Duration {
		missing := q.tokens - int64(v.Depth)*prefix.PieceTokens
		return r.load(v) + time.Duration(missing)*r.costs.PerToken
	}, r.random)
}

// byActualState picks by the actual caches and queues.
func (r *run) byActualState(now time.Time, q query, views []status.View) string {
	return minCost(views, func(v status.View) time.Duration {
		e := r.engines[v.Name]
		missing := q.tokens - int64(e.cachedDepth(q.chain))*prefix.PieceTokens
		return max(0, e.busyUntil.Sub(now)) + time.Duration(missing)*e.perToken + r.hop(q.router.zone, e.zone)
	}, r.random)
}

// byPicker picks with the router's own algorithm.
func (r *run) byPicker(now time.Time, q query) string {
	d := picker.Decide(picker.Query{
		Model:  model,
		Seed:   r.random.Uint64(),
		Zone:   q.router.zone,
		Chain:  q.chain,
		Tokens: q.tokens,
		Avoid:  q.avoid,
	}, q.router.fleet.Engines(now, model, q.chain), r.costs)
	c, ok := d.Chosen()
	if !ok {
		return ""
	}
	return c.Name
}

// minCost returns the name of the engine with the lowest cost, chosen at random among ties.
func minCost(views []status.View, cost func(status.View) time.Duration, random *rand.Rand) string {
	best := ""
	var lowest time.Duration
	ties := 0
	for _, v := range views {
		c := cost(v)
		switch {
		case best == "" || c < lowest:
			best, lowest, ties = v.Name, c, 1
		case c == lowest:
			ties++
			if random.IntN(ties) == 0 {
				best = v.Name
			}
		}
	}
	return best
}
