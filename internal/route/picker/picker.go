// Package picker chooses the engine with the lowest expected time to first token for a prompt.
package picker

import (
	"iter"
	"sort"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

// Costs are the coefficients of the expected time to first token.
type Costs struct {
	// PerToken is the time to compute one prompt token.
	PerToken time.Duration
	// CrossZone is the time added when the engine is in another availability zone.
	CrossZone time.Duration
	// PerRunning is the time added by each request in progress.
	PerRunning time.Duration
}

// DefaultCosts returns the costs of an ordinary runner.
func DefaultCosts() Costs {
	return Costs{PerToken: 100 * time.Microsecond, CrossZone: time.Millisecond, PerRunning: 2 * time.Millisecond}
}

const (
	// startingPenalty is the time added for an engine that restarted recently.
	startingPenalty = 50 * time.Millisecond
	// maxEjectedDivisor sets the largest share of engines that ejection may exclude: 1/maxEjectedDivisor.
	maxEjectedDivisor = 2
	// recomputeWeight multiplies the time to compute uncached tokens, which also delays the prompts behind them and evicts
	// cached pieces.
	recomputeWeight = 3
	// maxCandidates is the number of candidates that a decision lists.
	maxCandidates = 8
)

// Query is one placement request.
type Query struct {
	Model string
	// Seed selects among engines of equal cost.
	Seed uint64
	// Zone is the availability zone of the requesting instance.
	Zone string
	// Chain is the prefix hashes of the prompt.
	Chain []prefix.Hash
	// Tokens is the estimated number of tokens in the prompt.
	Tokens int64
	// Avoid is the set of engines that already failed this request.
	Avoid map[string]bool
}

// Candidate is one engine with its expected cost.
type Candidate struct {
	Name    string
	Zone    string
	Address string
	// Incarnation is the last incarnation seen of the engine, or "".
	Incarnation string
	// CachedTokens is the number of prompt tokens assumed to be cached.
	CachedTokens int64
	// Queue includes the delays due to requests in progress and a recent restart.
	Queue time.Duration
	// Compute is the time to compute the uncached tokens.
	Compute   time.Duration
	CrossZone time.Duration
	// Total is the cost that engines are compared by: the sum, with Compute times recomputeWeight.
	Total    time.Duration
	tieBreak uint64
}

// Decision is the result of one placement request.
type Decision struct {
	// Considered is the number of engines whose cost was computed.
	Considered int
	// Candidates is the best engines, sorted by expected cost; the first is chosen.
	Candidates []Candidate
}

// Chosen returns the chosen engine, or false when there is none.
func (d Decision) Chosen() (Candidate, bool) {
	if len(d.Candidates) == 0 {
		return Candidate{}, false
	}
	return d.Candidates[0], true
}

// Decide ranks the engines by expected cost. Ejected engines are excluded, unless that would exclude too many.
func Decide(q Query, engines iter.Seq[*status.View], costs Costs) Decision {
	var healthy, ejected Decision
	for e := range engines {
		if len(q.Avoid) > 0 && q.Avoid[e.Name] {
			continue
		}
		if e.Ejected {
			ejected.consider(&q, e, &costs)
		} else {
			healthy.consider(&q, e, &costs)
		}
	}
	if healthy.Considered > 0 && ejected.Considered <= (healthy.Considered+ejected.Considered)/maxEjectedDivisor {
		return healthy
	}
	for _, c := range ejected.Candidates {
		healthy.insert(c)
	}
	return healthy
}

// consider computes one engine's expected time to first token and keeps the engine if it is among the best.
func (d *Decision) consider(q *Query, e *status.View, costs *Costs) {
	d.Considered++
	cached := min(q.Tokens, int64(e.Depth)*prefix.PieceTokens)
	queue := time.Duration(e.QueueTokens)*costs.PerToken + time.Duration(e.Running)*costs.PerRunning
	compute := time.Duration(q.Tokens-cached) * costs.PerToken
	crossZone := time.Duration(0)
	if e.Zone != q.Zone {
		crossZone = costs.CrossZone
	}
	if e.Starting {
		queue += startingPenalty
	}
	total := queue + compute*recomputeWeight + crossZone
	if len(d.Candidates) == maxCandidates && total > d.Candidates[maxCandidates-1].Total {
		return
	}
	d.insert(Candidate{
		Name:         e.Name,
		Zone:         e.Zone,
		Address:      e.Address,
		Incarnation:  e.Incarnation,
		CachedTokens: cached,
		Queue:        queue,
		Compute:      compute,
		CrossZone:    crossZone,
		Total:        total,
		tieBreak:     mix(q.Seed ^ e.Hash),
	})
}

// insert adds a candidate in order of cost and drops those after the first maxCandidates.
func (d *Decision) insert(c Candidate) {
	if len(d.Candidates) == maxCandidates && !cheaper(&c, &d.Candidates[maxCandidates-1]) {
		return
	}
	pos := sort.Search(len(d.Candidates), func(i int) bool { return cheaper(&c, &d.Candidates[i]) })
	d.Candidates = append(d.Candidates, Candidate{})
	copy(d.Candidates[pos+1:], d.Candidates[pos:])
	d.Candidates[pos] = c
	d.Candidates = d.Candidates[:min(maxCandidates, len(d.Candidates))]
}

func cheaper(a, b *Candidate) bool {
	if a.Total != b.Total {
		return a.Total < b.Total
	}
	return a.tieBreak < b.tieBreak
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
