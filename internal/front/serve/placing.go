package serve

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkquay/skylarkquay/internal/route/holder"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

const (
	// staleFree is how long after their announcement superseded weights cost nothing; the users' bound is 1.5 s, and the
	// word of an announcement takes some tenths.
	staleFree = time.Second
	// staleDelay is the wait that a request on the newest weights is worth: a fifth of a request's worth is lost on
	// superseded ones, and more than half when it is late; engines on older weights also hold its prefix.
	staleDelay = 100 * time.Millisecond
	// priorityMost is the least urgent priority of engines.
	priorityMost = 9
	// routePriorities is the number of route priorities within one workspace priority.
	routePriorities = 3
)

// place chooses the upstream of the next send.
func (x *exchange) place(now time.Time) (place.Choice, bool) {
	q := place.Query{Zone: x.Settings.Zone, Avoid: x.avoid, Seed: xxhash.Sum64String(x.ask.ID), OwnTokens: x.ask.Prompt}
	if x.route.Language && x.ask.Model != "" {
		newest := x.Feed.Weights(x.ask.Model)
		q.Model, q.Version = x.ask.Model, newest.Version
		if x.Boot()-newest.Learnt > staleFree {
			q.StalePenalty = staleDelay
		}
		q.MinVersion = x.Feed.Floor(x.ask.Model, x.Boot()-x.Settings.WeightsAge)
		for _, part := range x.ask.Shared() {
			q.SharedTokens = append(q.SharedTokens, part.Tokens)
			q.OwnTokens = max(0, q.OwnTokens-part.Tokens)
		}
		q.Depths = func(version int64) map[string]int { return x.Holders.Depths(now, x.chain(version)) }
		if shared := x.ask.Shared(); len(shared) > 0 {
			q.Group = xxhash.Sum64String(x.wall() + shared[0].ID)
			q.Affinity = xxhash.Sum64String(x.wall() + shared[len(shared)-1].ID)
		}
	}
	views := x.Fleet.Views(now, x.service)
	if q.Model != "" {
		others, delay := x.Others()
		q.Unreported = place.Unreported(x.Flow.Rate(now), others, delay, x.Costs)
	}
	choice, ok := place.Choose(q, views, x.Costs)
	x.last = choice
	if ok {
		x.Flow.Add(now, choice.PrefillTokens)
		x.Log.Info("route: placed", "id", x.ask.ID, "upstream", choice.ID, "weights", choice.Version, "newest", q.Version,
			"floor", q.MinVersion, "considered", choice.Considered, "cost_ms", choice.Cost.Milliseconds(), "rank", choice.Rank,
			"depth", choice.Depth, "level_ms", choice.WaitFloor.Milliseconds(), "source", choice.Source, "reads", choice.PrefillTokens, "running", choice.Running, "tokens", choice.PendingTokens, "ejected", choice.Ejected,
			"switching", choice.Switching)
	}
	return choice, ok
}

// chain identifies the shared parts of the prompt under the salt of a version, each with all before it. Each version's chain
// is worked out once a request.
func (x *exchange) chain(version int64) []uint64 {
	if chain, ok := x.chains[version]; ok {
		return chain
	}
	d := xxhash.New()
	// Writing to a digest does not fail.
	_, _ = d.WriteString(x.salt(version))
	var chain []uint64
	for _, part := range x.ask.Shared() {
		_, _ = d.WriteString("/" + part.ID)
		chain = append(chain, d.Sum64())
	}
	x.chains[version] = chain
	return chain
}

// wall names the workspaces that may share cached prefixes with the request.
func (x *exchange) wall() string {
	if x.workspace != nil && x.workspace.Isolated {
		return x.workspace.Name + "/"
	}
	return ""
}

// salt separates cached prefixes by model, weights and isolated workspace.
func (x *exchange) salt(version int64) string {
	sum := xxhash.Sum64String(x.wall() + "\x00" + x.ask.Model + "\x00" + strconv.FormatInt(version, 10))
	return strconv.FormatUint(sum, 16)
}

// pass fills in what the system adds to the request.
func (x *exchange) pass(now time.Time, choice place.Choice) Pass {
	p := Pass{Upstream: choice.ID, Deadline: x.ends.Sub(now), LastEvent: x.ask.LastEvent}
	if x.resumed != "" {
		p.LastEvent = x.resumed
	}
	if x.workspace != nil {
		p.Workspace = x.workspace.Name
	}
	if choice.Version == 0 {
		return p
	}
	p.Version = choice.Version
	p.Salt = x.salt(choice.Version)
	priority := x.route.Priority
	if x.workspace != nil {
		priority += x.workspace.Priority * routePriorities
	}
	priority = max(0, min(priorityMost, priority))
	p.Priority = &priority
	if len(x.ask.Shared()) == 0 {
		return p
	}
	chain := x.chain(choice.Version)
	kept := x.Kept.Choose(x.doc.KeptStores(), chain[len(chain)-1])
	p.FetchFrom = choice.SourceAddress
	if choice.Source == holder.Store {
		p.FetchFrom = kept
	}
	if !choice.Saved && x.sharedTokens() >= saveLeast {
		p.SaveTo = kept
	}
	return p
}

// saveLeast is the number of shared tokens from which a prefix is saved to the kept store; reading fewer takes an engine
// less time than the transfer.
const saveLeast = 1024

func (x *exchange) sharedTokens() int64 {
	sum := int64(0)
	for _, part := range x.ask.Shared() {
		sum += part.Tokens
	}
	return sum
}

// read records that an engine has read the prompt, and that it saves it when it was asked to.
func (x *exchange) read(now time.Time, choice place.Choice) {
	if choice.Version == 0 || len(x.ask.Shared()) == 0 {
		return
	}
	chain := x.chain(choice.Version)
	x.Holders.RecordUse(now, holder.Use{Holder: choice.ID, Chain: chain})
	if x.saving {
		x.Holders.RecordUse(now, holder.Use{Holder: holder.Store, Chain: chain})
	}
}
