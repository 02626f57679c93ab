// Package place chooses an upstream for a request.
package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/holder"
)

// Costs are the coefficients of the expected wait at an upstream.
type Costs struct {
	// PerToken is an engine's prefill time per prompt token.
	PerToken time.Duration
	// PerRunning is the delay per request in progress.
	PerRunning time.Duration
	// CrossZone is the added round trip to an upstream in another availability zone.
	CrossZone time.Duration
	// FetchFraction is the time to fetch one token's KV cache from a holder, as a fraction of PerToken.
	FetchFraction float64
}

// DefaultCosts returns the costs of the engines that users specify: 31 to 50 prompt tokens per ms, steps of about 5 ms that
// grow with the batch size, and 0.5 to 2 ms between zones.
func DefaultCosts() Costs {
	return Costs{PerToken: 25 * time.Microsecond, PerRunning: 4 * time.Millisecond, CrossZone: time.Millisecond, FetchFraction: 0.3}
}

const (
	// groupDivisor sets the share of the engines that prompts with the same first part prefer: 1/groupDivisor. All these
	// prompts need that part, so fewer engines have to read it.
	groupDivisor = 3
	// maxRank is the rank from which the displacement cost of a prefix no longer grows.
	maxRank = 4
	// displacementWeight multiplies the cost of missing parts on an engine other than the preferred one, which has to evict
	// another prefix for them.
	displacementWeight = 3
	// coldDelay is the expected extra wait at a recently started upstream.
	coldDelay = 100 * time.Millisecond
	// failingDelay is multiplied by the failure rate, so that a failing upstream is used only when the others are full.
	failingDelay = 2 * time.Second
	// queuedDelay is added per request beyond the upstream's slots. Each response ahead in the queue takes that long.
	queuedDelay = 40 * time.Millisecond
)

// Query describes a request to place.
type Query struct {
	// Group is the hash of the prompt's first shared part, Affinity that of the last one; zero if there is none.
	Group    uint64
	Affinity uint64
	// SharedTokens is the token count of each shared part in order, OwnTokens that of the rest.
	SharedTokens []int64
	OwnTokens    int64
	// Depths returns how many leading shared parts each holder is assumed to hold for a version.
	Depths func(version int64) map[string]int
	// Zone is the availability zone of this instance.
	Zone string
	// Model and Version are the preferred weights; Model is empty for plain services.
	Model   string
	Version int64
	// Unreported is the work, in engine time, that other instances have placed but not reported yet.
	Unreported time.Duration
	// StalePenalty is the extra wait that is accepted to run on the latest weights.
	StalePenalty time.Duration
	// MinVersion is the oldest version on which the request may start.
	MinVersion int64
	// StartTime returns how much longer a superseded version may start requests, or false if the version is not superseded. Nil if none
	// is.
	StartTime func(version int64) (left time.Duration, superseded bool)
	// MaxStartReserve limits the reserve of that time, because the expected wait may be far too long.
	MaxStartReserve time.Duration
	// Once reports whether the request cannot be sent again if an attempt that has not begun is taken back.
	Once bool
	// Build is the only build of the upstreams' software that may run the request; nil for any.
	Build *string
	// AvoidNewBuilds ranks upstreams of new builds with those that load weights, behind the others.
	AvoidNewBuilds bool
	// Learned is what is known of the service, nil to assume the defaults.
	Learned *Learned
	// Avoid holds the upstreams that already received this request.
	Avoid map[string]bool
	// Seed seeds the random tie-breaking.
	Seed uint64
}

// Choice is a chosen upstream with the figures behind the choice.
type Choice struct {
	fleet.View
	// Version is the weights version that the upstream is assumed to run; zero for plain services.
	Version int64
	// Cost is the expected wait.
	Cost time.Duration
	// Wait and Read are the parts of the cost for the requests ahead and for the prompt itself, Memory that for the room in the KV
	// cache, which is part of Wait.
	Wait, Read, Memory time.Duration
	// Pace is how many times as long as others the upstream is expected to take, from PaceSamples samples; zero if that is not known.
	Pace, PaceSamples float64
	// WaitFloor is the lowest wait assumed at any upstream, since unreported work is assumed to fill the shortest queues.
	WaitFloor time.Duration
	// Considered is the number of eligible upstreams.
	Considered int
	// Rank is the upstream's position in the rendezvous order of the prefix; the preferred engine has rank zero.
	Rank int
	// PrefillTokens is the number of prompt tokens to prefill, with fetched ones weighted by Costs.FetchFraction.
	PrefillTokens int64
	// Depth is the number of shared parts that the engine is assumed to hold.
	Depth int
	// Source is the holder from which missing shared parts can be fetched: an engine's id, holder.Store, or "".
	Source string
	// SourceAddress is the address of that engine.
	SourceAddress string
	// Saved reports whether the KV store is assumed to hold all shared parts.
	Saved bool
}

// tier is compared before the cost of an upstream; lower is better.
func (q *Query) tier(v *fleet.View) int {
	t := 0
	if v.Switching || q.AvoidNewBuilds && v.NewBuild {
		t++
	}
	if v.Ejected {
		t += 2
	}
	return t
}

// Choose returns the upstream with the lowest expected wait, or false if none is eligible. Requests prefer the latest
// weights unless those engines are full, since a rollout under load starts with few of them. Upstreams that are ejected or
// load weights are used only when no other is left.
func Choose(q Query, views []fleet.View, costs Costs) (Choice, bool) {
	q.AvoidNewBuilds = q.AvoidNewBuilds && slices.ContainsFunc(views, func(v fleet.View) bool { return !v.NewBuild })
	if q.Learned != nil {
		return q.chooseLearned(views, costs)
	}
	var best Choice
	bestTier := -1
	ranks := rendezvousRanks(&q, views)
	cache := newHoldingsCache(&q, views)
	best.WaitFloor = waitFloor(q.Unreported, queueWaits(&q, views, costs))
	for i := range views {
		v := &views[i]
		if !q.eligible(v) {
			continue
		}
		version := v.Weights[q.Model]
		t := q.tier(v)
		prefill, missing := cache.get(version).prefillTokens(&q, v.ID, costs)
		queued := queueWait(&q, v, costs)
		if !q.startsInTime(version, queued+time.Duration(prefill)*costs.PerToken) {
			continue
		}
		best.Considered++
		wait := max(queued+q.stalePenalty(v), best.WaitFloor)
		c := wait + requestCost(&q, v, prefill, missing, ranks[v.ID], costs)
		if bestTier >= 0 && (t > bestTier || t == bestTier && c >= best.Cost) {
			continue
		}
		bestTier = t
		best.View, best.Version, best.Cost, best.Rank, best.PrefillTokens = *v, version, c, ranks[v.ID], prefill
		best.Wait, best.Read = wait, c-wait
	}
	if bestTier >= 0 {
		cache.addHoldings(&best)
	}
	return best, bestTier >= 0
}

// eligible reports whether an upstream may run the request.
func (q *Query) eligible(v *fleet.View) bool {
	version := v.Weights[q.Model]
	return v.State == fleet.Ready && v.RetryAt.IsZero() && !v.Limited && !q.Avoid[v.ID] && (q.Build == nil || v.Build == *q.Build) && version >= q.MinVersion && (q.Model == "" || version > 0)
}

// queueWaits returns the waits at the upstreams that other instances are likely to choose.
func queueWaits(q *Query, views []fleet.View, costs Costs) []time.Duration {
	if q.Unreported <= 0 {
		return nil
	}
	waits := make([]time.Duration, 0, len(views))
	for i := range views {
		if v := &views[i]; q.eligible(v) && q.tier(v) == 0 && v.Healthy() {
			waits = append(waits, queueWait(q, v, costs)+q.stalePenalty(v))
		}
	}
	return waits
}

// waitFloor returns the wait up to which unreported work fills the shortest queues. All instances choose these queues by
// the same outdated reports, so no queue is shorter than that when a request arrives.
func waitFloor(unreported time.Duration, waits []time.Duration) time.Duration {
	slices.Sort(waits)
	sum := time.Duration(0)
	for i, w := range waits {
		sum += w
		n := time.Duration(i + 1)
		if floor := (unreported + sum) / n; i == len(waits)-1 || floor <= waits[i+1] {
			return floor
		}
	}
	return 0
}

// holdings is the distribution of a prompt's shared parts over the holders for one version.
type holdings struct {
	depths map[string]int
	// maxDepth is the largest depth of the store and the engines on the version.
	maxDepth int
	// partCount is the number of shared parts of the prompt.
	partCount int
}

// holdingsCache looks up holdings once per version.
type holdingsCache struct {
	q         *Query
	views     []fleet.View
	byVersion map[int64]*holdings
}

func newHoldingsCache(q *Query, views []fleet.View) *holdingsCache {
	return &holdingsCache{q: q, views: views, byVersion: make(map[int64]*holdings, 2)}
}

func (hc *holdingsCache) get(version int64) *holdings {
	if h, ok := hc.byVersion[version]; ok {
		return h
	}
	h := &holdings{partCount: len(hc.q.SharedTokens)}
	hc.byVersion[version] = h
	if h.partCount == 0 {
		return h
	}
	h.depths = hc.q.Depths(version)
	h.maxDepth = h.depths[holder.Store]
	for i := range hc.views {
		if v := &hc.views[i]; !v.Ejected && v.Weights[hc.q.Model] == version {
			h.maxDepth = max(h.maxDepth, h.depths[v.ID])
		}
	}
	return h
}

// prefillTokens returns the tokens that an engine has to read, with fetched ones weighted by Costs.FetchFraction, and the
// shared tokens that it does not hold.
func (h *holdings) prefillTokens(q *Query, id string, costs Costs) (prefill, missing int64) {
	prefill = q.OwnTokens
	for i, tokens := range q.SharedTokens {
		switch {
		case i < h.depths[id]:
			continue
		case i < h.maxDepth:
			prefill += int64(float64(tokens) * costs.FetchFraction)
		default:
			prefill += tokens
		}
		missing += tokens
	}
	return prefill, missing
}

// addHoldings sets Depth, Source, SourceAddress and Saved of a choice. The source is set even if the engine is assumed to
// hold all parts: it may have evicted some, and fetches only missing ones.
func (hc *holdingsCache) addHoldings(c *Choice) {
	h := hc.get(c.Version)
	c.Depth = h.depths[c.ID]
	c.Saved = h.partCount > 0 && h.depths[holder.Store] == h.partCount
	maxDepth := 0
	for i := range hc.views {
		v := &hc.views[i]
		if v.ID == c.ID || v.Ejected || v.Weights[hc.q.Model] != c.Version {
			continue
		}
		// Ties are broken at random, so that one engine does not serve all fetches.
		if d := h.depths[v.ID]; d > maxDepth || d == maxDepth && d > 0 && mix(hc.q.Seed^xxhash.Sum64String(v.ID))%2 == 0 {
			maxDepth, c.Source, c.SourceAddress = d, v.ID, v.Address
		}
	}
	// The KV store keeps prefixes for seconds, so it is preferred to an engine of equal depth.
	if d := h.depths[holder.Store]; d > 0 && d >= maxDepth {
		c.Source, c.SourceAddress = holder.Store, ""
	}
}

// queueWait returns the expected wait due to the requests at an upstream.
func queueWait(q *Query, v *fleet.View, costs Costs) time.Duration {
	w := time.Duration(v.PendingTokens)*costs.PerToken + time.Duration(v.Running)*costs.PerRunning
	if over := v.Running - v.Slots; v.Slots > 0 && over > 0 {
		w += time.Duration(over) * queuedDelay
	}
	return w
}

// stalePenalty returns the extra wait for superseded weights.
func (q *Query) stalePenalty(v *fleet.View) time.Duration {
	if q.Model != "" && v.Weights[q.Model] < q.Version {
		return q.StalePenalty
	}
	return 0
}

// requestCost returns the cost of the request itself: the prefill time, and penalties for the upstream's zone and state.
func requestCost(q *Query, v *fleet.View, prefill, missing int64, rank int, costs Costs) time.Duration {
	c := time.Duration(prefill) * costs.PerToken
	if v.Zone != q.Zone {
		c += costs.CrossZone
	}
	if v.Cold > 0 {
		c += coldDelay
	}
	if !v.Healthy() {
		c += time.Duration(v.FailureRate * float64(failingDelay))
	}
	// Engines other than the preferred one evict other prefixes for the missing parts.
	displacement := float64(min(rank, maxRank)) / maxRank
	c += time.Duration(float64(missing) * float64(costs.PerToken) * costs.FetchFraction * displacement * displacementWeight)
	// A random offset below the resolution of the estimate spreads ties.
	return c + time.Duration(mix(q.Seed^xxhash.Sum64String(v.ID))%uint64(time.Millisecond/2))
}

// candidate is an engine with its rendezvous scores for a prompt.
type candidate struct {
	view          *fleet.View
	groupScore    uint64
	affinityScore uint64
}

// rendezvousRanks orders the engines on each version for a prefix by rendezvous hashing. All instances thus prefer the same
// engines without coordination, also while a rollout moves engines to the next version. Prompts with the same first part
// prefer the same third of the engines.
func rendezvousRanks(q *Query, views []fleet.View) map[string]int {
	if q.Affinity == 0 {
		return nil
	}
	byVersion := make(map[int64][]candidate)
	for i := range views {
		v := &views[i]
		if v.State == fleet.Ready {
			version, hash := v.Weights[q.Model], xxhash.Sum64String(v.ID)
			byVersion[version] = append(byVersion[version], candidate{v, mix(q.Group ^ hash), mix(q.Affinity ^ hash)})
		}
	}
	ranks := make(map[string]int, len(views))
	byAffinity := func(a, b candidate) int { return cmp.Compare(b.affinityScore, a.affinityScore) }
	for _, candidates := range byVersion {
		slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.groupScore, a.groupScore) })
		groupSize := (len(candidates) + groupDivisor - 1) / groupDivisor
		slices.SortFunc(candidates[:groupSize], byAffinity)
		slices.SortFunc(candidates[groupSize:], byAffinity)
		for i, c := range candidates {
			ranks[c.view.ID] = i
		}
	}
	return ranks
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
