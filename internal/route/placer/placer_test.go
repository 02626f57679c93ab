package placer

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/route/engine"
	"github.com/skylarkquay/skylarkquay/internal/route/picker"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
)

var start = time.Unix(1_800_000_000, 0)

// group is a set of placers that ask each other.
type group struct {
	names   []string
	placers map[string]*Placer
	down    map[string]bool
	asked   int
}

// seat is one member's view of the group.
type seat struct {
	*group
	self string
}

func (s seat) Self() string { return s.self }

func (s seat) Candidates(time.Time) []string { return s.names }

func (s seat) Place(_ context.Context, address string, q picker.Question) (Choice, error) {
	s.asked++
	if s.down[address] {
		return Choice{}, errors.New("down")
	}
	return s.placers[address].Decide(start, q), nil
}

func (s seat) Learn(_ context.Context, address string, outcomes []Outcome) {
	for _, o := range outcomes {
		s.placers[address].Absorb(start, o)
	}
}

func newGroup() *group {
	g := &group{names: []string{"r1", "r2", "r3"}, placers: make(map[string]*Placer), down: make(map[string]bool)}
	upstreams := make(map[string]rules.Upstream)
	for _, n := range []string{"e1", "e2", "e3", "e4"} {
		upstreams[n] = rules.Upstream{Address: n, Zone: "a", Kind: rules.Engine, Models: []string{"m"}}
	}
	for _, n := range g.names {
		fleet := engine.NewFleet(100 * time.Microsecond)
		fleet.Permit(upstreams)
		g.placers[n] = NewPlacer(fleet, seat{g, n}, seat{g, n})
	}
	return g
}

func question() picker.Question {
	return picker.Question{Model: "m", Zone: "a", Chain: []prefix.Hash{1, 2, 3}, Tokens: 7000}
}

func TestAllAskTheSameOwner(t *testing.T) {
	g := newGroup()
	owner := g.placers["r1"].Owner(start, "m", "w")
	for _, p := range g.placers {
		must.Eq(t, owner, p.Owner(start, "m", "w"))
		must.Eq(t, owner, p.Place(t.Context(), start, "w", question()).By)
	}
}

// TestOutcomesReachTheOwner checks that what one router learns steers the choice for another's request.
func TestOutcomesReachTheOwner(t *testing.T) {
	g := newGroup()
	owner := g.placers["r1"].Owner(start, "m", "w")
	var asker *Placer
	for name, p := range g.placers {
		if name != owner {
			asker = p
		}
	}
	asker.Learn(start, Choice{By: owner}, Outcome{Engine: "e3", Incarnation: "i", Chain: question().Chain, Cached: 6000})
	asker.Flush(t.Context())
	for _, p := range g.placers {
		c := p.Place(t.Context(), start, "w", question())
		must.Eq(t, "e3", c.Engine)
		must.Eq(t, 6000, c.Cached)
	}
}

func TestDeadOwnerIsPassedOver(t *testing.T) {
	g := newGroup()
	owner := g.placers["r1"].Owner(start, "m", "w")
	g.down[owner] = true
	for name, p := range g.placers {
		if name == owner {
			continue
		}
		g.asked = 0
		for range 3 {
			c := p.Place(t.Context(), start, "w", question())
			must.Eq(t, name, c.By)
			must.NotEq(t, "", c.Engine)
		}
		must.Eq(t, 1, g.asked)
		p.Place(t.Context(), start.Add(quarantine), "w", question())
		must.Eq(t, 2, g.asked)
	}
}

func TestChoiceThatIsNotPermittedHereIsNotTaken(t *testing.T) {
	g := newGroup()
	owner := g.placers["r1"].Owner(start, "m", "w")
	for name, p := range g.placers {
		if name != owner {
			p.fleet.Permit(map[string]rules.Upstream{"e9": {Address: "e9", Kind: rules.Engine, Models: []string{"m"}}})
			must.Eq(t, "e9", p.Place(t.Context(), start, "w", question()).Engine)
		}
	}
}
