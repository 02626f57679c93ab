package serve

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/route/holder"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

const (
	// staleAfter is how long superseded weights carry no penalty after an announcement. Users allow 1.5 s, of which the
	// announcement takes a few tenths to arrive.
	staleAfter = time.Second
	// minLatestWait is the shortest extra wait that is accepted for the latest weights.
	minLatestWait = 100 * time.Millisecond
	// maxPriority is the least urgent priority that engines accept.
	maxPriority = 9
	// routePriorityLevels is the number of route priorities within one workspace priority.
	routePriorityLevels = 3
)

// place chooses the upstream for the next send.
func (x *exchange) place(now time.Time) (place.Choice, bool) {
	q := x.query(now)
	x.Fleet.Want(now, x.service)
	builds, others := x.Shifts.Builds(x.service, q.Seed, x.build, x.counts.Sends > 0)
	choice, ok := x.choose(now, q, builds)
	if !ok && x.shed == nil && others != nil {
		choice, ok = x.choose(now, q, *others)
	}
	x.lastChoice = choice
	if ok {
		x.PrefillRate.Add(now, choice.PrefillTokens)
		x.Log.Info("route: placed", "id", x.info.ID, "upstream", choice.ID, "build", choice.Build, "weights", choice.Version, "newest", q.Version,
			"floor", q.MinVersion, "considered", choice.Considered, "cost_ms", choice.Cost.Milliseconds(), "rank", choice.Rank,
			"depth", choice.Depth, "level_ms", choice.WaitFloor.Milliseconds(), "source", choice.Source, "reads", choice.PrefillTokens, "running", choice.Running, "tokens", choice.PendingTokens, "ejected", choice.Ejected,
			"switching", choice.Switching, "failure_rate", choice.FailureRate, "learned", q.Learned != nil, "wait_ms", choice.Wait.Milliseconds(),
			"read_ms", choice.Read.Milliseconds(), "memory_ms", choice.Memory.Milliseconds(), "held", choice.Held, "pace", choice.Pace,
			"samples", int(choice.PaceSamples), "token_us", float64(perToken(&q, x.Costs))/float64(time.Microsecond))
	}
	return choice, ok
}

// seed returns a number that is the same for all attempts of the request.
func (x *exchange) seed() uint64 { return xxhash.Sum64String(x.info.ID) }

// query returns what decides where the request may go.
func (x *exchange) query(now time.Time) place.Query {
	q := place.Query{Zone: x.Settings.Zone, Avoid: x.avoid, Seed: x.seed(), OwnTokens: x.info.PromptTokens, Build: x.build}
	q.AvoidNewBuilds = x.route.Kind == policy.Streaming
	if x.route.Language && x.info.Model != "" {
		latest := x.Feed.Weights(x.info.Model)
		q.Model, q.Version = x.info.Model, latest.Version
		if x.Boot()-latest.FirstSeen > staleAfter {
			q.StalePenalty = latestWait(x.route.Objective)
		}
		q.MinVersion = x.Feed.MinVersion(x.info.Model, x.Boot()-x.Settings.SupersededLimit)
		q.StartTime = x.startTimes(x.Boot())
		q.MaxStartReserve = x.Settings.SupersededLimit / 2
		q.Once = !x.route.Repeatable() || x.counts.Ran+1 >= x.route.Attempts
		for _, part := range x.info.SharedParts() {
			q.SharedTokens = append(q.SharedTokens, part.Tokens)
			q.OwnTokens = max(0, q.OwnTokens-part.Tokens)
		}
		q.Depths = func(version int64) map[string]int { return x.Holders.Depths(now, x.prefixChain(version)) }
		if shared := x.info.SharedParts(); len(shared) > 0 {
			q.Group = xxhash.Sum64String(x.isolationScope() + shared[0].ID)
			q.Affinity = xxhash.Sum64String(x.isolationScope() + shared[len(shared)-1].ID)
		}
	}
	q.Learned = x.learned(now)
	if q.Model != "" {
		peers, delay := x.Peers()
		costs := x.Costs
		costs.PerToken = perToken(&q, costs)
		if q.Learned != nil {
			delay = q.Learned.Unseen(delay)
		}
		q.Unreported = place.Unreported(x.PrefillRate.Rate(now), peers, delay, costs)
	}
	return q
}

// perToken returns the time per prompt token, learned or assumed.
func perToken(q *place.Query, costs place.Costs) time.Duration {
	if q.Learned != nil {
		return q.Learned.PerToken
	}
	return costs.PerToken
}

// choose chooses an upstream of the builds and takes a token of it.
func (x *exchange) choose(now time.Time, q place.Query, builds place.Builds) (place.Choice, bool) {
	for {
		choice, ok := place.Choose(q, builds.Of(x.Fleet.Views(now, x.service)), x.Costs)
		if ok && builds.Only == "" && x.sheds(now, choice) {
			return choice, false
		}
		if !ok || x.Fleet.Reserve(now, choice.ID) {
			return choice, ok
		}
		// Another request has taken the last token.
	}
}

// latestWait returns the extra wait that is accepted for the latest weights. A request loses a fifth of its value on superseded
// weights, and more than that when it is late. Within half of the objective the wait does not make it late. Load pattern: several
// versions named within seconds, while a third of the engines load.
func latestWait(objective time.Duration) time.Duration { return max(minLatestWait, objective/2) }

// prefixChain returns one hash per shared part of the prompt. Each covers the version's salt and all parts up to that one.
// The chain of a version is computed once per request.
func (x *exchange) prefixChain(version int64) []uint64 {
	if chain, ok := x.chains[version]; ok {
		return chain
	}
	d := xxhash.New()
	// Writing to a digest does not fail.
	_, _ = d.WriteString(x.cacheSalt(version))
	var chain []uint64
	for _, part := range x.info.SharedParts() {
		_, _ = d.WriteString("/" + part.ID)
		chain = append(chain, d.Sum64())
	}
	x.chains[version] = chain
	return chain
}

// isolationScope returns the scope within which cached prefixes may be shared. All workspaces without isolation share "".
func (x *exchange) isolationScope() string {
	if x.workspace != nil && x.workspace.Isolated {
		return x.workspace.Name + "/"
	}
	return ""
}

// cacheSalt separates cached prefixes by model, weights version and isolated workspace.
func (x *exchange) cacheSalt(version int64) string {
	sum := xxhash.Sum64String(x.isolationScope() + "\x00" + x.info.Model + "\x00" + strconv.FormatInt(version, 10))
	return strconv.FormatUint(sum, 16)
}

// forwardInfo returns the metadata for a send to the chosen upstream.
func (x *exchange) forwardInfo(now time.Time, choice place.Choice) ForwardInfo {
	f := ForwardInfo{Upstream: choice.ID, Timeout: max(time.Millisecond, x.Stop.due(x.deadline).Sub(now)), LastEventID: x.info.LastEventID}
	if x.lastEventID != "" {
		f.LastEventID = x.lastEventID
	}
	if x.workspace != nil {
		f.Workspace = x.workspace.Name
	}
	if choice.Version == 0 {
		return f
	}
	f.Version = choice.Version
	f.Salt = x.cacheSalt(choice.Version)
	priority := x.route.Priority
	if x.workspace != nil {
		priority += x.workspace.Priority * routePriorityLevels
	}
	priority = max(0, min(maxPriority, priority))
	f.Priority = &priority
	if len(x.info.SharedParts()) == 0 {
		return f
	}
	chain := x.prefixChain(choice.Version)
	store := x.KVStores.Choose(x.doc.KVStores(), chain[len(chain)-1])
	f.FetchFrom = choice.SourceAddress
	if choice.Source == holder.Store {
		f.FetchFrom = store
	}
	if !choice.Saved && x.sharedTokens() >= minSaveTokens {
		f.SaveTo = store
	}
	return f
}

// minSaveTokens is the number of shared tokens from which a prefix is saved to the KV store. Engines recompute shorter
// prefixes faster than they transfer them.
const minSaveTokens = 1024

func (x *exchange) sharedTokens() int64 {
	sum := int64(0)
	for _, part := range x.info.SharedParts() {
		sum += part.Tokens
	}
	return sum
}

// recordHolders records that the engine holds the prompt's prefix, and the KV store too if saving was requested.
func (x *exchange) recordHolders(now time.Time, c *call) {
	choice := c.choice
	if choice.Version == 0 || len(x.info.SharedParts()) == 0 {
		return
	}
	chain := x.prefixChain(choice.Version)
	x.Holders.RecordUse(now, holder.Use{Holder: choice.ID, Chain: chain})
	if c.saving {
		x.Holders.RecordUse(now, holder.Use{Holder: holder.Store, Chain: chain})
	}
}
