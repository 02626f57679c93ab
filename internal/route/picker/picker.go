// Package picker chooses the engine for a prompt: the one with the lowest expected time to first token.
package picker

import (
	"iter"
	"sort"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/engine"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
)

// Costs are the slopes by which an expected time to first token is computed.
type Costs struct {
	// PerToken is the time to compute one prompt token.
	PerToken time.Duration
	// Hop is the added time when the engine is in another availability zone.
	Hop time.Duration
	// PerRunning is the slowdown by each request in progress.
	PerRunning time.Duration
}

// DefaultCosts returns the slopes of an ordinary runner.
func DefaultCosts() Costs {
	return Costs{PerToken: 100 * time.Microsecond, Hop: time.Millisecond, PerRunning: 2 * time.Millisecond}
}

const (
	// startingPenalty is added to an engine that has just started.
	startingPenalty = 50 * time.Millisecond
	// ejectable is the largest part of the engines that may be passed over, as a divisor.
	ejectable = 2
	// recomputeWeight weighs the time to compute what is not cached, which also delays the prompts behind it and displaces
	// cached pieces.
	recomputeWeight = 3
	// told is the number of candidates that a decision names.
	told = 8
)

// Question is one request to place.
type Question struct {
	// Model is the model that must be served.
	Model string
	// Seed draws between engines of equal cost.
	Seed uint64
	// Zone is the asking instance's availability zone.
	Zone string
	// Chain is the prompt's prefix hashes.
	Chain []prefix.Hash
	// Tokens is the prompt's length.
	Tokens int64
	// Avoid are engines that failed this request already.
	Avoid map[string]bool
}

// Candidate is one engine with its expected cost.
type Candidate struct {
	Name    string
	Zone    string
	Address string
	// Incarnation is the engine's last known one, or "".
	Incarnation string
	// Cached is the number of prompt tokens believed to be cached.
	Cached  int64
	Queue   time.Duration
	Compute time.Duration
	Hop     time.Duration
	// Total is the sum by which engines are compared, with Compute weighed.
	Total time.Duration
	draw  uint64
}

// Decision is the outcome for one question.
type Decision struct {
	// Considered is the number of engines that were weighed.
	Considered int
	// Candidates are the best engines in order of expected cost; the first is chosen.
	Candidates []Candidate
}

// Chosen returns the chosen engine; false when there is none.
func (d Decision) Chosen() (Candidate, bool) {
	if len(d.Candidates) == 0 {
		return Candidate{}, false
	}
	return d.Candidates[0], true
}

// Decide weighs the engines for a question. Engines that failed lately are passed over, unless that would leave too few.
func Decide(q Question, engines iter.Seq[*engine.View], costs Costs) Decision {
	var open, ejected Decision
	for e := range engines {
		if len(q.Avoid) > 0 && q.Avoid[e.Name] {
			continue
		}
		if e.Ejected {
			ejected.weigh(&q, e, &costs)
		} else {
			open.weigh(&q, e, &costs)
		}
	}
	if open.Considered > 0 && ejected.Considered <= (open.Considered+ejected.Considered)/ejectable {
		return open
	}
	for _, c := range ejected.Candidates {
		open.insert(c)
	}
	return open
}

// weigh computes one engine's expected time to first token and keeps the engine when it is among the best.
func (d *Decision) weigh(q *Question, e *engine.View, costs *Costs) {
	d.Considered++
	cached := min(q.Tokens, int64(e.Depth)*prefix.PieceTokens)
	queue := time.Duration(e.QueueTokens)*costs.PerToken + time.Duration(e.Running)*costs.PerRunning
	compute := time.Duration(q.Tokens-cached) * costs.PerToken
	hop := time.Duration(0)
	if e.Zone != q.Zone {
		hop = costs.Hop
	}
	if e.Starting {
		queue += startingPenalty
	}
	total := queue + compute*recomputeWeight + hop
	if len(d.Candidates) == told && total > d.Candidates[told-1].Total {
		return
	}
	d.insert(Candidate{
		Name:        e.Name,
		Zone:        e.Zone,
		Address:     e.Address,
		Incarnation: e.Incarnation,
		Cached:      cached,
		Queue:       queue,
		Compute:     compute,
		Hop:         hop,
		Total:       total,
		draw:        mix(q.Seed ^ e.Hash),
	})
}

// insert keeps the best candidates in order.
func (d *Decision) insert(c Candidate) {
	if len(d.Candidates) == told && !before(&c, &d.Candidates[told-1]) {
		return
	}
	at := sort.Search(len(d.Candidates), func(i int) bool { return before(&c, &d.Candidates[i]) })
	d.Candidates = append(d.Candidates, Candidate{})
	copy(d.Candidates[at+1:], d.Candidates[at:])
	d.Candidates[at] = c
	d.Candidates = d.Candidates[:min(told, len(d.Candidates))]
}

func before(a, b *Candidate) bool {
	if a.Total != b.Total {
		return a.Total < b.Total
	}
	return a.draw < b.draw
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
