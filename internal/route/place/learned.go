package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

// Paces tells how fast upstreams are.
type Paces interface {
	// Pace returns how many times as long as others an upstream takes, and the weight of the samples behind that.
	Pace(v *fleet.View) (pace, samples float64)
}

// Learned is what an instance has learned of a service.
type Learned struct {
	// Base, PerToken and PerRunning are the parts of the time to the first event of a prompt. Base does not depend on the requests
	// ahead.
	Base, PerToken, PerRunning time.Duration
	// First is the mean time to the first event.
	First time.Duration
	// CacheTokens is the capacity of an engine's KV cache, and HeldTokens the part that the request is expected to need; zero unless
	// the cache holds fewer requests than an engine has slots.
	CacheTokens, HeldTokens int64
	// Lasting is the time from sending a prompt to the end of its answer.
	Lasting time.Duration
	// Paces is nil if all upstreams are taken for equally fast.
	Paces Paces
}

// maxMemoryWait bounds the wait for room in a KV cache.
const maxMemoryWait = 5 * time.Second

// load is the expected wait at one upstream.
type load struct {
	wait time.Duration
	// memory is the part of the wait for room in the KV cache.
	memory time.Duration
	// costs are those of a request at this upstream.
	costs Costs
	// pace is zero if nothing was learned.
	pace, samples float64
}

// Unseen returns the time for which a placement is work that the others do not know of. Prompts that were placed earlier have been read.
func (l *Learned) Unseen(reportDelay time.Duration) time.Duration {
	if l.First <= 0 {
		return reportDelay
	}
	return min(reportDelay, 2*l.First)
}

// candidateCost is an eligible upstream with the cost of the request there.
type candidateCost struct {
	view *fleet.View
	load load
	// own is the part of the cost for the request itself.
	own time.Duration
	// unheld is the cost of the request if the upstream held no part of its prompt.
	unheld  time.Duration
	prefill int64
}

// cost returns the cost of the request if other work fills the upstream to a level.
func (c *candidateCost) cost(tokens int64, level time.Duration) time.Duration {
	read := time.Duration(tokens) * c.load.costs.PerToken
	return max(c.unheld, level) - read + c.own
}

// chooseLearned returns an upstream where the request is expected to be done early. Other instances place by the same outdated reports,
// so that the best upstream is not best for all of them: the work that is not reported yet is assumed to go where it is done earliest,
// which levels the upstreams, and the request goes to one that has most of its prompt. Among equal ones, each is chosen with a
// probability in proportion to the work that it has room for.
func (q *Query) chooseLearned(views []fleet.View, costs Costs) (Choice, bool) {
	ranks := rendezvousRanks(q, views)
	cache := newHoldingsCache(q, views)
	var best Choice
	bestTier := -1
	candidates := make([]candidateCost, 0, len(views))
	tokens := q.OwnTokens
	for _, t := range q.SharedTokens {
		tokens += t
	}
	for i := range views {
		v := &views[i]
		if !q.eligible(v) {
			continue
		}
		l := q.Learned.load(v, costs)
		version := v.Weights[q.Model]
		prefill, missing := cache.get(version).prefillTokens(q, v.ID, l.costs)
		if !q.startsInTime(version, l.wait+time.Duration(prefill)*l.costs.PerToken) {
			continue
		}
		best.Considered++
		t := q.tier(v)
		if bestTier >= 0 && t > bestTier {
			continue
		}
		if t != bestTier {
			bestTier, candidates = t, candidates[:0]
		}
		l.wait += q.stalePenalty(v)
		own := requestCost(q, v, prefill, missing, ranks[v.ID], l.costs)
		alone := l.wait + time.Duration(tokens)*l.costs.PerToken
		candidates = append(candidates, candidateCost{v, l, own, alone, prefill})
	}
	if bestTier < 0 {
		return best, false
	}
	best.WaitFloor = workLevel(q.Unreported, candidates)
	c := drawCandidate(q.Seed, tokens, best.WaitFloor, candidates)
	best.View, best.Version, best.Rank, best.PrefillTokens = *c.view, c.view.Weights[q.Model], ranks[c.view.ID], c.prefill
	best.Cost = c.cost(tokens, best.WaitFloor)
	best.Wait, best.Read, best.Memory, best.Pace, best.PaceSamples = c.load.wait, c.own, c.load.memory, c.load.pace, c.load.samples
	cache.addHoldings(&best)
	return best, true
}

// vessel is an upstream that work fills from a cost upwards; speed is the inverse of its pace.
type vessel struct{ cost, speed float64 }

// workLevel returns the cost up to which work fills the upstreams. The same work fills a slow one further.
func workLevel(work time.Duration, candidates []candidateCost) time.Duration {
	vessels := make([]vessel, len(candidates))
	for i := range candidates {
		vessels[i] = vessel{float64(candidates[i].unheld), 1 / candidates[i].load.pace}
	}
	slices.SortFunc(vessels, func(a, b vessel) int { return cmp.Compare(a.cost, b.cost) })
	sum, speed := float64(work), 0.0
	for i, v := range vessels {
		sum += v.cost * v.speed
		speed += v.speed
		if level := sum / speed; i == len(vessels)-1 || level <= vessels[i+1].cost {
			return time.Duration(level)
		}
	}
	return 0
}

// resolution is the difference of costs below which upstreams are taken for equal. The random offset of the cost of a request and the
// way between zones are within it.
const resolution = 2 * time.Millisecond

// drawCandidate draws one of the upstreams of the lowest cost, in proportion to the work that fits below the level. It is the one of
// the lowest cost if nothing fits.
func drawCandidate(seed uint64, tokens int64, level time.Duration, candidates []candidateCost) *candidateCost {
	best := &candidates[0]
	for i := range candidates {
		if c := &candidates[i]; c.cost(tokens, level) < best.cost(tokens, level) {
			best = c
		}
	}
	limit, bestKey := best.cost(tokens, level)+resolution, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		room := float64(level-c.unheld) / c.load.pace
		if room <= 0 || c.cost(tokens, level) > limit {
			continue
		}
		uniform := (float64(mix(seed^xxhash.Sum64String(c.view.ID))>>11) + 1) / (1 << 53)
		if key := -math.Log(uniform) / room; key < bestKey {
			best, bestKey = c, key
		}
	}
	return best
}

func (l *Learned) load(v *fleet.View, costs Costs) load {
	r := load{pace: 1, costs: costs}
	if l.Paces != nil {
		r.pace, r.samples = l.Paces.Pace(v)
	}
	r.costs.PerToken = scale(l.PerToken, r.pace)
	r.memory = scale(l.memoryWait(v), r.pace)
	w := l.Base + time.Duration(v.PendingTokens)*l.PerToken + time.Duration(v.Running)*l.PerRunning
	if over := v.Running - v.Slots; v.Slots > 0 && over > 0 {
		w += time.Duration(over) * queuedDelay
	}
	r.wait = scale(w, r.pace) + r.memory
	return r
}

// memoryWait returns the wait until enough requests have ended that the request fits into the KV cache. An engine out of memory
// preempts a stream in progress, which costs its caller more than a wait before the first event.
func (l *Learned) memoryWait(v *fleet.View) time.Duration {
	over := v.Held + l.HeldTokens - l.CacheTokens
	if l.CacheTokens <= 0 || l.HeldTokens <= 0 || over <= 0 || v.Running == 0 {
		return 0
	}
	mean := max(1, v.Held/int64(v.Running))
	ends := (over + mean - 1) / mean
	return max(time.Duration(ends)*queuedDelay, min(scale(l.Lasting, float64(ends)), maxMemoryWait))
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
