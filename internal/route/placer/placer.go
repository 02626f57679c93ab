// Package placer lets one instance place the prompts of a model's workspaces, so that what it knows of caches and queues
// is whole; when it does not answer, the asking instance decides by what it knows itself.
package placer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkquay/skylarkquay/internal/route/engine"
	"github.com/skylarkquay/skylarkquay/internal/route/picker"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
)

const (
	// quarantine is how long a placer that did not answer is not asked.
	quarantine = 2 * time.Second
	// FlushEvery is the time between two messages of outcomes to a placer.
	FlushEvery = 200 * time.Millisecond
	// activeFor is how long after a decision an instance keeps itself informed of the engines' load.
	activeFor = 10 * time.Second
	// maxOutcomes bounds the outcomes that wait for one placer; the oldest are dropped.
	maxOutcomes = 256
)

// Members tells which instances may place, this one included.
type Members interface {
	// Self returns this instance's address, Candidates those of all live instances that are not leaving.
	Self() string
	Candidates(now time.Time) []string
}

// Peers asks other instances.
type Peers interface {
	Place(ctx context.Context, address string, q picker.Question) (Choice, error)
	Learn(ctx context.Context, address string, outcomes []Outcome)
}

// Outcome is what became of one placed prompt.
type Outcome struct {
	Engine      string
	Incarnation string
	Chain       []prefix.Hash
	// Cached is the number of prompt tokens that the engine found in its cache.
	Cached int64
	Failed bool
}

// Choice is the outcome of one placement.
type Choice struct {
	// Engine is the chosen engine's name, or "" when there is none.
	Engine string
	// Incarnation is the engine's as the placer knows it.
	Incarnation string
	// Cached is the number of prompt tokens believed to be cached there.
	Cached int64
	// Total is the expected cost.
	Total time.Duration
	// Considered is the number of engines that were weighed.
	Considered int
	// By is the instance that decided.
	By string
}

// Placer places prompts. It is safe for concurrent use.
type Placer struct {
	fleet   *engine.Fleet
	members Members
	peers   Peers

	mu       sync.Mutex
	costs    picker.Costs
	spread   int
	down     map[string]time.Time
	outcomes map[string][]Outcome
	decided  time.Time
}

// NewPlacer returns a placer with the default costs.
func NewPlacer(fleet *engine.Fleet, members Members, peers Peers) *Placer {
	return &Placer{
		fleet:    fleet,
		members:  members,
		peers:    peers,
		costs:    picker.DefaultCosts(),
		spread:   1,
		down:     make(map[string]time.Time),
		outcomes: make(map[string][]Outcome),
	}
}

// Configure sets the compute time of a token and the number of instances that place one model's prompts.
func (p *Placer) Configure(perToken time.Duration, spread int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.costs.PerToken = perToken
	p.spread = max(1, spread)
}

// Owner returns the instance that places a prompt: the highest by rendezvous hashing for the model and the part that the
// workspace falls into.
func (p *Placer) Owner(now time.Time, model, workspace string) string {
	p.mu.Lock()
	part := xxhash.Sum64String(workspace) % uint64(p.spread)
	p.mu.Unlock()
	seed := fmt.Sprintf("%s/%d/", model, part)
	best := p.members.Self()
	var highest uint64
	for _, address := range p.members.Candidates(now) {
		if score := xxhash.Sum64String(seed + address); score >= highest {
			best, highest = address, score
		}
	}
	return best
}

// Place chooses an engine for a workspace's prompt.
func (p *Placer) Place(ctx context.Context, now time.Time, workspace string, q picker.Question) Choice {
	q.Seed = rand.Uint64()
	owner := p.Owner(now, q.Model, workspace)
	if owner == p.members.Self() || !p.up(now, owner) {
		return p.Decide(now, q)
	}
	c, err := p.peers.Place(ctx, owner, q)
	if err != nil {
		p.mark(now, owner)
		return p.Decide(now, q)
	}
	if _, ok := p.fleet.Engine(now, c.Engine, q.Model); !ok {
		// The placer follows another revision, or knows of no engine.
		return p.Decide(now, q)
	}
	c.By = owner
	return c
}

// Decide chooses by this instance's own knowledge and counts the prompt as sent.
func (p *Placer) Decide(now time.Time, q picker.Question) Choice {
	choice := Choice{By: p.members.Self()}
	p.mu.Lock()
	p.decided = now
	p.mu.Unlock()
	d := p.Weigh(now, q)
	choice.Considered = d.Considered
	c, ok := d.Chosen()
	if !ok {
		return choice
	}
	choice.Engine = c.Name
	choice.Incarnation = c.Incarnation
	choice.Cached = c.Cached
	choice.Total = c.Total
	p.fleet.Sent(now, c.Name, q.Tokens-c.Cached)
	// The engine will hold the whole chain when the prompts placed after this one come to it.
	p.fleet.Remember(now, c.Name, c.Incarnation, q.Chain)
	return choice
}

// Weigh returns the decision by this instance's own knowledge, without carrying it out.
func (p *Placer) Weigh(now time.Time, q picker.Question) picker.Decision {
	p.mu.Lock()
	costs := p.costs
	p.mu.Unlock()
	return picker.Decide(q, p.fleet.Each(now, q.Model, q.Chain), costs)
}

// Active tells whether this instance has placed prompts lately.
func (p *Placer) Active(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.decided) < activeFor
}

// Learn takes in an outcome of this instance's own request, and keeps it for the placer unless it is as the placer believed.
func (p *Placer) Learn(now time.Time, c Choice, o Outcome) {
	p.Absorb(now, o)
	owner := c.By
	if owner == p.members.Self() || (!o.Failed && o.Cached == c.Cached && o.Incarnation == c.Incarnation) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting := append(p.outcomes[owner], o)
	if len(waiting) > maxOutcomes {
		waiting = waiting[len(waiting)-maxOutcomes:]
	}
	p.outcomes[owner] = waiting
}

// Absorb takes in an outcome.
func (p *Placer) Absorb(now time.Time, o Outcome) {
	if o.Failed {
		p.fleet.Failed(now, o.Engine)
		return
	}
	p.fleet.Succeeded(now, o.Engine, o.Incarnation)
	if depth := int(o.Cached / prefix.PieceTokens); depth < len(o.Chain) {
		p.fleet.Correct(o.Engine, o.Chain[depth:])
	}
	p.fleet.Remember(now, o.Engine, o.Incarnation, o.Chain)
}

// Flush sends the kept outcomes to their placers.
func (p *Placer) Flush(ctx context.Context) {
	p.mu.Lock()
	outcomes := p.outcomes
	p.outcomes = make(map[string][]Outcome)
	p.mu.Unlock()
	for owner, list := range outcomes {
		p.peers.Learn(ctx, owner, list)
	}
}

func (p *Placer) up(now time.Time, owner string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.down[owner])
}

func (p *Placer) mark(now time.Time, owner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down[owner] = now.Add(quarantine)
}
