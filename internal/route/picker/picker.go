// Package picker chooses the engine for a prompt: the one with the lowest expected time to first token among the
// engines where all instances agree to keep the prompt's prefixes, those known to hold them, and the least loaded.
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
	// spread is the number of engines over which the first level of a prefix is kept at the least.
	spread = 4
	// narrow is the number of engines kept for each deeper level.
	narrow = 2
	// leastLoaded is the number of idle engines that are always considered.
	leastLoaded = 2
	// startingPenalty is added to an engine that has just started.
	startingPenalty = 50 * time.Millisecond
	// ejectable is the largest part of the engines that may be passed over, as a divisor.
	ejectable = 2
)

// Question is one request to place.
type Question struct {
	// Zone is the asking instance's availability zone.
	Zone string
	// Chain is the prompt's prefix hashes.
	Chain []prefix.Hash
	// Tokens is the prompt's length.
	Tokens int64
	// Heat is the number of engines that the traffic of the prompt's first piece needs.
	Heat int
	// Avoid are engines that failed this request already.
	Avoid map[string]bool
	// Favour is the site's measure.
	Favour rules.Favour
}

// Candidate is one engine with its expected cost.
type Candidate struct {
	Name   string
	Zone   string
	Reason Reason
	// Cached is the number of prompt tokens believed to be cached.
	Cached  int64
	Queue   time.Duration
	Compute time.Duration
	Hop     time.Duration
	Total   time.Duration
	view    engine.View
}

// View returns the engine as the decision saw it.
func (c Candidate) View() engine.View {
	return c.view
}

// Reason says why an engine was considered.
type Reason string

// The reasons.
const (
	Home    Reason = "home"
	History Reason = "history"
	Idle    Reason = "idle"
)

// Decision is the outcome for one question.
type Decision struct {
	// Candidates are in order of expected cost; the first is chosen.
	Candidates []Candidate
}

// Chosen returns the chosen engine; false when there is none.
func (d Decision) Chosen() (Candidate, bool) {
	if len(d.Candidates) == 0 {
		return Candidate{}, false
	}
	return d.Candidates[0], true
}

// Memory tells how many leading pieces of a chain engines are believed to hold.
type Memory interface {
	Cached(now time.Time, names []string, chain []prefix.Hash) []int
}

// Decide weighs the engines for a question.
func Decide(now time.Time, q Question, engines []engine.View, memory Memory, costs Costs) Decision {
	usable := admit(q, engines)
	if len(usable) == 0 {
		return Decision{}
	}
	reasons := consider(now, q, usable, memory)
	names := make([]string, 0, len(reasons))
	views := make([]engine.View, 0, len(reasons))
	for i := range usable {
		if _, ok := reasons[i]; ok {
			names = append(names, usable[i].Name)
			views = append(views, usable[i])
		}
	}
	depths := memory.Cached(now, names, q.Chain)
	d := Decision{Candidates: make([]Candidate, 0, len(views))}
	index := 0
	for i := range usable {
		reason, ok := reasons[i]
		if !ok {
			continue
		}
		d.Candidates = append(d.Candidates, weigh(q, usable[i], reason, depths[index], costs))
		index++
	}
	sort.SliceStable(d.Candidates, func(i, j int) bool { return d.Candidates[i].Total < d.Candidates[j].Total })
	return d
}

// admit drops avoided and ejected engines, but never more than a part of all for being ejected.
func admit(q Question, engines []engine.View) []engine.View {
	var open, ejected []engine.View
	for _, e := range engines {
		switch {
		case q.Avoid[e.Name]:
		case e.Ejected:
			ejected = append(ejected, e)
		default:
			open = append(open, e)
		}
	}
	if len(ejected) > len(engines)/ejectable || len(open) == 0 {
		open = append(open, ejected...)
	}
	return open
}

// consider picks the engines to weigh and says why.
func consider(now time.Time, q Question, engines []engine.View, memory Memory) map[int]Reason {
	reasons := make(map[int]Reason)
	for _, i := range idlest(engines) {
		reasons[i] = Idle
	}
	if len(q.Chain) == 0 {
		return reasons
	}
	for _, i := range homes(q, engines) {
		reasons[i] = Home
	}
	if len(engines) > maxScanned {
		return reasons
	}
	names := make([]string, len(engines))
	for i := range engines {
		names[i] = engines[i].Name
	}
	for i, depth := range memory.Cached(now, names, q.Chain) {
		if _, ok := reasons[i]; !ok && depth > 0 {
			reasons[i] = History
		}
	}
	return reasons
}

// maxScanned is the number of engines above which their histories are not searched one by one.
const maxScanned = 64

// idlest returns the engines with the shortest queues.
func idlest(engines []engine.View) []int {
	best := make([]int, 0, leastLoaded+1)
	for i := range engines {
		at := len(best)
		for at > 0 && less(engines[i], engines[best[at-1]]) {
			at--
		}
		if at >= leastLoaded {
			continue
		}
		best = append(best, 0)
		copy(best[at+1:], best[at:])
		best[at] = i
		best = best[:min(len(best), leastLoaded)]
	}
	return best
}

func less(a, b engine.View) bool {
	if a.QueueTokens != b.QueueTokens {
		return a.QueueTokens < b.QueueTokens
	}
	return a.Running < b.Running
}

// homes narrows the engines level by level: the first piece's engines are the highest by rendezvous hashing, and each
// deeper piece chooses among those of the level before.
func homes(q Question, engines []engine.View) []int {
	width := min(len(engines), max(spread, q.Heat))
	chosen := rendezvous(q.Chain[0], engines, nil, width)
	for _, h := range q.Chain[1:] {
		if len(chosen) <= narrow {
			break
		}
		chosen = rendezvous(h, engines, chosen, max(narrow, (len(chosen)+1)/2))
	}
	return chosen
}

// rendezvous returns the count highest engines for a hash, out of those at the given places or all.
func rendezvous(h prefix.Hash, engines []engine.View, among []int, count int) []int {
	type scored struct {
		place int
		score uint64
	}
	consider := len(among)
	if among == nil {
		consider = len(engines)
	}
	top := make([]scored, 0, count+1)
	for k := range consider {
		place := k
		if among != nil {
			place = among[k]
		}
		s := scored{place, score(uint64(h), engines[place].Name)}
		at := len(top)
		for at > 0 && s.score > top[at-1].score {
			at--
		}
		if at >= count {
			continue
		}
		top = append(top, scored{})
		copy(top[at+1:], top[at:])
		top[at] = s
		top = top[:min(len(top), count)]
	}
	places := make([]int, 0, len(top))
	for _, s := range top {
		places = append(places, s.place)
	}
	return places
}

// score mixes a prefix and an engine's name by FNV-1a and the splitmix64 finaliser.
func score(h uint64, name string) uint64 {
	x := h ^ 0xcbf29ce484222325
	for i := range len(name) {
		x = (x ^ uint64(name[i])) * 0x100000001b3
	}
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// weigh computes one engine's expected time to first token.
func weigh(q Question, e engine.View, reason Reason, depth int, costs Costs) Candidate {
	cached := min(q.Tokens, int64(depth)*prefix.PieceTokens)
	c := Candidate{
		Name:    e.Name,
		Zone:    e.Zone,
		Reason:  reason,
		Cached:  cached,
		Queue:   time.Duration(e.QueueTokens)*costs.PerToken + time.Duration(e.Running)*costs.PerRunning,
		Compute: time.Duration(q.Tokens-cached) * costs.PerToken,
		view:    e,
	}
	if e.Zone != q.Zone {
		c.Hop = costs.Hop
	}
	if e.Starting {
		c.Queue += startingPenalty
	}
	c.Total = c.Queue + c.Compute + c.Hop
	return c
}
