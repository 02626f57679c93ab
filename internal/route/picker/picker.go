// Package picker chooses the engine for a prompt: the one with the lowest expected time to first token.
package picker

import (
	"sort"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
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
	// recomputeTail and recomputeFair weigh the time to compute what is not cached, which also delays the prompts behind it
	// and displaces cached pieces: more where the worst-served workspace matters most.
	recomputeTail = 1.25
	recomputeFair = 2.0
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
	// Favour is the site's measure.
	Favour rules.Favour
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
	// Total is the sum by which engines are compared, with Compute weighed by the site's favour.
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

// Decide weighs the engines for a question, given which of them are believed to hold how much of its chain.
func Decide(q Question, engines []engine.View, holdings []engine.Holding, costs Costs) Decision {
	depths := make(map[string]int, len(holdings))
	for _, h := range holdings {
		depths[h.Name] = h.Depth
	}
	useEjected := mustUseEjected(q, engines)
	d := Decision{Candidates: make([]Candidate, 0, told+1)}
	for i := range engines {
		e := &engines[i]
		if q.Avoid[e.Name] || (e.Ejected && !useEjected) {
			continue
		}
		d.Considered++
		d.insert(weigh(q, e, depths[e.Name], costs))
	}
	return d
}

// mustUseEjected tells whether so many engines are ejected that they are used all the same.
func mustUseEjected(q Question, engines []engine.View) bool {
	open, ejected := 0, 0
	for i := range engines {
		switch {
		case q.Avoid[engines[i].Name]:
		case engines[i].Ejected:
			ejected++
		default:
			open++
		}
	}
	return open == 0 || ejected > len(engines)/ejectable
}

// insert keeps the best candidates in order.
func (d *Decision) insert(c Candidate) {
	if len(d.Candidates) == told && !before(c, d.Candidates[told-1]) {
		return
	}
	at := sort.Search(len(d.Candidates), func(i int) bool { return before(c, d.Candidates[i]) })
	d.Candidates = append(d.Candidates, Candidate{})
	copy(d.Candidates[at+1:], d.Candidates[at:])
	d.Candidates[at] = c
	d.Candidates = d.Candidates[:min(told, len(d.Candidates))]
}

func before(a, b Candidate) bool {
	if a.Total != b.Total {
		return a.Total < b.Total
	}
	return a.draw < b.draw
}

// weigh computes one engine's expected time to first token.
func weigh(q Question, e *engine.View, depth int, costs Costs) Candidate {
	cached := min(q.Tokens, int64(depth)*prefix.PieceTokens)
	c := Candidate{
		Name:        e.Name,
		Zone:        e.Zone,
		Address:     e.Address,
		Incarnation: e.Incarnation,
		Cached:      cached,
		Queue:       time.Duration(e.QueueTokens)*costs.PerToken + time.Duration(e.Running)*costs.PerRunning,
		Compute:     time.Duration(q.Tokens-cached) * costs.PerToken,
		draw:        Draw(q.Seed, e.Name),
	}
	if e.Zone != q.Zone {
		c.Hop = costs.Hop
	}
	if e.Starting {
		c.Queue += startingPenalty
	}
	weight := recomputeTail
	if q.Favour == rules.Fairness {
		weight = recomputeFair
	}
	c.Total = c.Queue + time.Duration(float64(c.Compute)*weight) + c.Hop
	return c
}

// Draw mixes a seed and a name by FNV-1a and the splitmix64 finaliser.
func Draw(seed uint64, name string) uint64 {
	x := seed ^ 0xcbf29ce484222325
	for i := range len(name) {
		x = (x ^ uint64(name[i])) * 0x100000001b3
	}
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
