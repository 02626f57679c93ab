// Package placer assigns the prompts of each workspace and model to one instance for placement, which thus has the complete
// state of caches and queues. When that instance does not respond, the requesting instance decides from its own state.
package placer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkquay/skylarkquay/internal/route/picker"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

const (
	// cooldown is how long an owner that did not respond gets no placement requests.
	cooldown = 2 * time.Second
	// FlushInterval is the time between two messages of outcomes to an owner.
	FlushInterval = 200 * time.Millisecond
	// activeWindow is how long after a decision an instance polls the engines' load at the short interval.
	activeWindow = 10 * time.Second
	// maxOutcomes bounds the pending outcomes for one owner; the oldest are dropped.
	maxOutcomes = 256
)

// Members lists the instances that may place prompts, this one included.
type Members interface {
	// Self returns the address of this instance.
	Self() string
	// Eligible returns the addresses of all live instances that are not leaving.
	Eligible(now time.Time) []string
}

// Peers sends requests to other instances.
type Peers interface {
	Place(ctx context.Context, address string, q picker.Query) (Choice, error)
	SendOutcomes(ctx context.Context, address string, outcomes []Outcome)
}

// Outcome is the result of one prompt on its engine.
type Outcome struct {
	Engine      string
	Incarnation string
	Chain       []prefix.Hash
	// CachedTokens is the number of prompt tokens that the engine reported as cached.
	CachedTokens int64
	Failed       bool
}

// Choice is the result of one placement.
type Choice struct {
	// Engine is the name of the chosen engine, or "" when there is none.
	Engine string
	// Incarnation is the engine's last incarnation seen by the placing instance, or "".
	Incarnation string
	// CachedTokens is the number of prompt tokens assumed to be cached.
	CachedTokens int64
	// Total is the expected cost, as in picker.Candidate.
	Total time.Duration
	// Considered is the number of engines whose cost was computed.
	Considered int
	// PlacedBy is the address of the instance that decided.
	PlacedBy string
}

// Placer places prompts. It is safe for concurrent use.
type Placer struct {
	fleet   *status.Fleet
	members Members
	peers   Peers

	mu    sync.Mutex
	costs picker.Costs
	// shards is the number of owners of a model, among which its workspaces are divided.
	shards int
	// downUntil and pending are keyed by instance address.
	downUntil    map[string]time.Time
	pending      map[string][]Outcome
	lastDecision time.Time
}

// NewPlacer returns a placer with the default costs.
func NewPlacer(fleet *status.Fleet, members Members, peers Peers) *Placer {
	return &Placer{
		fleet:     fleet,
		members:   members,
		peers:     peers,
		costs:     picker.DefaultCosts(),
		shards:    1,
		downUntil: make(map[string]time.Time),
		pending:   make(map[string][]Outcome),
	}
}

// Configure sets the time to compute one prompt token and the number of shards per model.
func (p *Placer) Configure(perToken time.Duration, shards int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.costs.PerToken = perToken
	p.shards = max(1, shards)
}

// Owner returns the address of the instance that places a workspace's prompts for a model: the highest rendezvous hash for
// the model and the workspace's shard.
func (p *Placer) Owner(now time.Time, model, workspace string) string {
	p.mu.Lock()
	shard := xxhash.Sum64String(workspace) % uint64(p.shards)
	p.mu.Unlock()
	seed := fmt.Sprintf("%s/%d/", model, shard)
	best := p.members.Self()
	var highest uint64
	for _, address := range p.members.Eligible(now) {
		if score := xxhash.Sum64String(seed + address); score >= highest {
			best, highest = address, score
		}
	}
	return best
}

// Place chooses an engine for a workspace's prompt.
func (p *Placer) Place(ctx context.Context, now time.Time, workspace string, q picker.Query) Choice {
	q.Seed = rand.Uint64()
	owner := p.Owner(now, q.Model, workspace)
	if owner == p.members.Self() || !p.available(now, owner) {
		return p.PlaceLocally(now, q)
	}
	c, err := p.peers.Place(ctx, owner, q)
	if err != nil {
		p.markDown(now, owner)
		return p.PlaceLocally(now, q)
	}
	if _, ok := p.fleet.Engine(now, c.Engine, q.Model); !ok {
		// The owner runs another revision of the configuration, or found no engine.
		return p.PlaceLocally(now, q)
	}
	c.PlacedBy = owner
	return c
}

// PlaceLocally chooses an engine from this instance's own state and records the prompt as sent.
func (p *Placer) PlaceLocally(now time.Time, q picker.Query) Choice {
	choice := Choice{PlacedBy: p.members.Self()}
	p.mu.Lock()
	p.lastDecision = now
	p.mu.Unlock()
	d := p.Evaluate(now, q)
	choice.Considered = d.Considered
	c, ok := d.Chosen()
	if !ok {
		return choice
	}
	choice.Engine = c.Name
	choice.Incarnation = c.Incarnation
	choice.CachedTokens = c.CachedTokens
	choice.Total = c.Total
	p.fleet.RequestSent(now, c.Name, q.Tokens-c.CachedTokens)
	// The engine will have cached the whole chain when prompts that are placed later arrive there.
	p.fleet.AddPrefixes(now, c.Name, c.Incarnation, q.Chain)
	return choice
}

// Evaluate returns the decision from this instance's own state, without recording the prompt as sent.
func (p *Placer) Evaluate(now time.Time, q picker.Query) picker.Decision {
	p.mu.Lock()
	costs := p.costs
	p.mu.Unlock()
	return picker.Decide(q, p.fleet.Engines(now, q.Model, q.Chain), costs)
}

// Active reports whether this instance has placed a prompt within activeWindow.
func (p *Placer) Active(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastDecision) < activeWindow
}

// RecordOutcome applies the outcome of this instance's own request, and queues it for the instance that placed the prompt
// unless it is as expected there.
func (p *Placer) RecordOutcome(now time.Time, c Choice, o Outcome) {
	p.ApplyOutcome(now, o)
	owner := c.PlacedBy
	if owner == p.members.Self() || (!o.Failed && o.CachedTokens == c.CachedTokens && o.Incarnation == c.Incarnation) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	outcomes := append(p.pending[owner], o)
	if len(outcomes) > maxOutcomes {
		outcomes = outcomes[len(outcomes)-maxOutcomes:]
	}
	p.pending[owner] = outcomes
}

// ApplyOutcome applies an outcome to this instance's own state.
func (p *Placer) ApplyOutcome(now time.Time, o Outcome) {
	if o.Failed {
		p.fleet.Failed(now, o.Engine)
		return
	}
	p.fleet.Succeeded(now, o.Engine, o.Incarnation)
	if depth := int(o.CachedTokens / prefix.PieceTokens); depth < len(o.Chain) {
		p.fleet.RemovePrefixes(o.Engine, o.Chain[depth:])
	}
	p.fleet.AddPrefixes(now, o.Engine, o.Incarnation, o.Chain)
}

// Flush sends the pending outcomes to their owners.
func (p *Placer) Flush(ctx context.Context) {
	p.mu.Lock()
	pending := p.pending
	p.pending = make(map[string][]Outcome)
	p.mu.Unlock()
	for owner, outcomes := range pending {
		p.peers.SendOutcomes(ctx, owner, outcomes)
	}
}

func (p *Placer) available(now time.Time, owner string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.downUntil[owner])
}

func (p *Placer) markDown(now time.Time, owner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.downUntil[owner] = now.Add(cooldown)
}
