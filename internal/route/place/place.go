// Package place chooses the upstream for one request.
package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/holder"
)

// Costs are the slopes by which the expected wait at an upstream is computed.
type Costs struct {
	// PerToken is the time in which an engine reads one prompt token.
	PerToken time.Duration
	// PerRunning is the delay that each request in progress adds.
	PerRunning time.Duration
	// Hop is the added round trip when the upstream is in another availability zone.
	Hop time.Duration
	// Fetch is the time to bring one token's KV cache from elsewhere, as a part of PerToken.
	Fetch float64
}

// DefaultCosts are the slopes of the engines on the users' sheets: 31 to 50 prompt tokens a millisecond, steps of some
// 5 ms that grow by the size of the batch, half a millisecond to two between zones.
func DefaultCosts() Costs {
	return Costs{PerToken: 25 * time.Microsecond, PerRunning: 4 * time.Millisecond, Hop: time.Millisecond, Fetch: 0.3}
}

const (
	// near is the divisor of the engines among which prompts with the same first part are kept. All of them need that
	// part, so that fewer engines read it.
	near = 3
	// farRank is the rank from which the expected cost of a prefix that is elsewhere grows no further.
	farRank = 4
	// displaceWeight weighs the prefix that an engine away from the home would hold besides, since every engine that holds
	// one gives up another.
	displaceWeight = 3
	// coldDelay is the expected extra wait at an upstream that has just started.
	coldDelay = 100 * time.Millisecond
	// failingDelay is weighed by the share of failures, so that a failing upstream is used when the others are full.
	failingDelay = 2 * time.Second
	// fullDelay is added per request beyond the upstream's slots; the answers before it take that long each.
	fullDelay = 40 * time.Millisecond
)

// Question is one request to place.
type Question struct {
	// Group is the hash of the first shared part of the prompt, Affinity that of the last one; zero where there is none.
	Group    uint64
	Affinity uint64
	// Shared are the tokens of the shared parts in order, Own those of the rest of the prompt.
	Shared []int64
	Own    int64
	// Depths gives how many shared parts each holder is believed to have under a version.
	Depths func(version int64) map[string]int
	// Zone is the availability zone of this instance.
	Zone string
	// Model and Version are the weights that the request should run on; Model is empty for plain services.
	Model   string
	Version int64
	// Unseen is the work, in an engine's time, that other instances have placed and that is not known here yet.
	Unseen time.Duration
	// Stale is the wait that is accepted for the newest weights.
	Stale time.Duration
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
	// Level is the wait up to which unseen work is believed to have filled the shortest queues.
	Level time.Duration
	// Considered is the number of upstreams that were weighed.
	Considered int
	// Rank is the place of the upstream among those that the prefix belongs to; zero is its home.
	Rank int
	// Reads is the number of prompt tokens that the engine is expected to read.
	Reads int64
	// Depth is the number of shared parts that the engine is believed to hold.
	Depth int
	// Source is the holder from which the other shared parts can be had: an engine's id, holder.Store, or "".
	Source string
	// SourceAddress is the address of that engine.
	SourceAddress string
	// Saved tells that the store of kept KV cache is believed to hold all shared parts.
	Saved bool
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
	ranks := rank(&q, views)
	lookup := newLookup(&q, views)
	best.Level = level(q.Unseen, waits(&q, views, costs))
	for i := range views {
		v := &views[i]
		if !q.open(v) {
			continue
		}
		best.Considered++
		version := v.Weights[q.Model]
		t := tier(v)
		reads, missing := lookup.at(version).reads(&q, v.ID, costs)
		c := max(wait(&q, v, costs), best.Level) + cost(&q, v, reads, missing, ranks[v.ID], costs)
		if bestTier >= 0 && (t > bestTier || t == bestTier && c >= best.Cost) {
			continue
		}
		bestTier = t
		best.View, best.Version, best.Cost, best.Rank, best.Reads = *v, version, c, ranks[v.ID], reads
	}
	if bestTier >= 0 {
		lookup.explain(&best)
	}
	return best, bestTier >= 0
}

// open tells whether an upstream may take the request.
func (q *Question) open(v *fleet.View) bool {
	version := v.Weights[q.Model]
	return v.State == fleet.Ready && !q.Avoid[v.ID] && version >= q.Floor && (q.Model == "" || version > 0)
}

// waits returns the waits at the upstreams that others are likely to choose.
func waits(q *Question, views []fleet.View, costs Costs) []time.Duration {
	if q.Unseen <= 0 {
		return nil
	}
	all := make([]time.Duration, 0, len(views))
	for i := range views {
		if v := &views[i]; q.open(v) && tier(v) == 0 && v.Healthy() {
			all = append(all, wait(q, v, costs))
		}
	}
	return all
}

// level returns the wait up to which work that is not heard of yet fills the shortest queues. Every instance sees the same
// short queues in the same old news, so that they are no longer shorter than that when its request arrives.
func level(unseen time.Duration, waits []time.Duration) time.Duration {
	slices.Sort(waits)
	sum := time.Duration(0)
	for i, w := range waits {
		sum += w
		n := time.Duration(i + 1)
		if filled := (unseen + sum) / n; i == len(waits)-1 || filled <= waits[i+1] {
			return filled
		}
	}
	return 0
}

// holdings are the holders of a prompt's shared parts under one version.
type holdings struct {
	depths map[string]int
	// deepest is the most that an engine on the version, or the store, can give.
	deepest int
	shared  int
}

// lookup finds holdings by version, each once.
type lookup struct {
	q     *Question
	views []fleet.View
	found map[int64]*holdings
}

func newLookup(q *Question, views []fleet.View) *lookup {
	return &lookup{q: q, views: views, found: make(map[int64]*holdings, 2)}
}

func (l *lookup) at(version int64) *holdings {
	if h, ok := l.found[version]; ok {
		return h
	}
	h := &holdings{shared: len(l.q.Shared)}
	l.found[version] = h
	if h.shared == 0 {
		return h
	}
	h.depths = l.q.Depths(version)
	h.deepest = h.depths[holder.Store]
	for i := range l.views {
		if v := &l.views[i]; !v.Ejected && v.Weights[l.q.Model] == version {
			h.deepest = max(h.deepest, h.depths[v.ID])
		}
	}
	return h
}

// reads returns the tokens that an engine is expected to read, where those that are fetched count by their part, and the
// shared tokens that it does not hold.
func (h *holdings) reads(q *Question, id string, costs Costs) (reads, missing int64) {
	reads = q.Own
	for i, tokens := range q.Shared {
		switch {
		case i < h.depths[id]:
			continue
		case i < h.deepest:
			reads += int64(float64(tokens) * costs.Fetch)
		default:
			reads += tokens
		}
		missing += tokens
	}
	return reads, missing
}

// explain adds to a choice what is known of the prompt's parts. A source is named also when the engine is believed to hold
// them: it may have given them up, and fetches only what it lacks.
func (l *lookup) explain(c *Choice) {
	h := l.at(c.Version)
	c.Depth = h.depths[c.ID]
	c.Saved = h.shared > 0 && h.depths[holder.Store] == h.shared
	deepest := 0
	for i := range l.views {
		v := &l.views[i]
		if v.ID == c.ID || v.Ejected || v.Weights[l.q.Model] != c.Version {
			continue
		}
		// Equal holders are drawn, so that one does not send all.
		if d := h.depths[v.ID]; d > deepest || d == deepest && d > 0 && mix(l.q.Seed^xxhash.Sum64String(v.ID))%2 == 0 {
			deepest, c.Source, c.SourceAddress = d, v.ID, v.Address
		}
	}
	// The kept store gives nothing up for seconds, so that it goes before an equal engine.
	if d := h.depths[holder.Store]; d > 0 && d >= deepest {
		c.Source, c.SourceAddress = holder.Store, ""
	}
}

// wait returns how long an upstream keeps a request waiting by what it already has, and for older weights what the newest
// are worth.
func wait(q *Question, v *fleet.View, costs Costs) time.Duration {
	w := time.Duration(v.Tokens)*costs.PerToken + time.Duration(v.Running)*costs.PerRunning
	if over := v.Running - v.Slots; v.Slots > 0 && over > 0 {
		w += time.Duration(over) * fullDelay
	}
	if q.Model != "" && v.Weights[q.Model] < q.Version {
		w += q.Stale
	}
	return w
}

// cost returns what the request itself adds: the time to read its prompt there, and how well it is placed.
func cost(q *Question, v *fleet.View, reads, missing int64, rank int, costs Costs) time.Duration {
	c := time.Duration(reads) * costs.PerToken
	if v.Zone != q.Zone {
		c += costs.Hop
	}
	if v.Cold > 0 {
		c += coldDelay
	}
	if !v.Healthy() {
		c += time.Duration(v.Failing * float64(failingDelay))
	}
	// An engine away from the home displaces other prefixes for what it does not hold yet.
	away := float64(min(rank, farRank)) / farRank
	c += time.Duration(float64(missing) * float64(costs.PerToken) * costs.Fetch * away * displaceWeight)
	// A draw below the resolution of the estimate spreads equals.
	return c + time.Duration(mix(q.Seed^xxhash.Sum64String(v.ID))%uint64(time.Millisecond/2))
}

// scored is an engine with its hashes for a prompt.
type scored struct {
	view  *fleet.View
	group uint64
	score uint64
}

// rank orders the engines on each version for a prefix by rendezvous hashing, so that all instances choose the same homes
// unasked, also while a rollout moves engines from one version to the next. Prompts with the same first part have their
// homes on the same third of the engines.
func rank(q *Question, views []fleet.View) map[string]int {
	if q.Affinity == 0 {
		return nil
	}
	groups := make(map[int64][]scored)
	for i := range views {
		v := &views[i]
		if v.State == fleet.Ready {
			version, hash := v.Weights[q.Model], xxhash.Sum64String(v.ID)
			groups[version] = append(groups[version], scored{v, mix(q.Group ^ hash), mix(q.Affinity ^ hash)})
		}
	}
	ranks := make(map[string]int, len(views))
	byScore := func(a, b scored) int { return cmp.Compare(b.score, a.score) }
	for _, all := range groups {
		slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.group, a.group) })
		size := (len(all) + near - 1) / near
		slices.SortFunc(all[:size], byScore)
		slices.SortFunc(all[size:], byScore)
		for i, s := range all {
			ranks[s.view.ID] = i
		}
	}
	return ranks
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
