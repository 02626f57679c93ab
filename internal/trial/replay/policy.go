package replay

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkquay/skylarkquay/internal/route/picker"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

// Policy names a way of choosing engines.
type Policy string

// The policies. All but Ours are baselines; Oracle knows every cache and queue.
const (
	Random    Policy = "random"
	LeastLoad Policy = "least-load"
	Workspace Policy = "workspace-hash"
	History   Policy = "own-history"
	Ours      Policy = "skylarkquay"
	Oracle    Policy = "oracle"
)

// Policies lists all policies, ours last but one.
var Policies = []Policy{Random, LeastLoad, Workspace, History, Ours, Oracle}

// question is one request to place.
type question struct {
	workspace string
	chain     []prefix.Hash
	tokens    int64
	router    *router
	avoid     map[string]bool
}

// router is one router's own knowledge.
type router struct {
	zone  string
	fleet *status.Fleet
}

// choose returns the name of the engine that a policy picks, or "".
func (r *run) choose(p Policy, now time.Time, q question) string {
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
		return least(views, func(v status.View) time.Duration { return r.load(v) }, r.random)
	case Workspace:
		return views[int(xxhash.Sum64String(q.workspace)%uint64(len(views)))].Name
	case History:
		return r.byHistory(q, views)
	case Oracle:
		return r.byTruth(now, q, views)
	default:
		return r.ours(now, q)
	}
}

func (r *run) load(v status.View) time.Duration {
	return time.Duration(v.QueueTokens)*r.costs.PerToken + time.Duration(v.Running)*r.costs.PerRunning
}

// byHistory weighs what this router itself has sent, and the load.
func (r *run) byHistory(q question, views []status.View) string {
	return least(views, func(v status.View) time.Duration {
		missing := q.tokens - int64(v.Depth)*prefix.PieceTokens
		return r.load(v) + time.Duration(missing)*r.costs.PerToken
	}, r.random)
}

// byTruth weighs the true caches and queues.
func (r *run) byTruth(now time.Time, q question, views []status.View) string {
	return least(views, func(v status.View) time.Duration {
		f := r.engines[v.Name]
		missing := q.tokens - int64(f.depth(q.chain))*prefix.PieceTokens
		return max(0, f.busyUntil.Sub(now)) + time.Duration(missing)*f.perToken + r.hop(q.router.zone, f.zone)
	}, r.random)
}

func (r *run) ours(now time.Time, q question) string {
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

// least returns the view of least cost, drawing among equals.
func least(views []status.View, cost func(status.View) time.Duration, random *rand.Rand) string {
	best := ""
	var lowest time.Duration
	equals := 0
	for _, v := range views {
		c := cost(v)
		switch {
		case best == "" || c < lowest:
			best, lowest, equals = v.Name, c, 1
		case c == lowest:
			equals++
			if random.IntN(equals) == 0 {
				best = v.Name
			}
		}
	}
	return best
}
