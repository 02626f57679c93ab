package placer

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/route/picker"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

var start = time.Unix(1_800_000_000, 0)

// group is a set of placers that send each other requests.
type group struct {
	names   []string
	placers map[string]*Placer
	down    map[string]bool
	// placeCalls counts the placement requests between members.
	placeCalls int
}

// member implements Members and Peers for one member of a group.
type member struct {
	*group
	self string
}

func (m member) Self() string { return m.self }

func (m member) Eligible(time.Time) []string { return m.names }

func (m member) Place(_ context.Context, address string, q picker.Query) (Choice, error) {
	m.placeCalls++
	if m.down[address] {
		return Choice{}, errors.New("down")
	}
	return m.placers[address].PlaceLocally(start, q), nil
}

func (m member) SendOutcomes(_ context.Context, address string, outcomes []Outcome) {
	for _, o := range outcomes {
		m.placers[address].ApplyOutcome(start, o)
	}
}

func newGroup() *group {
	g := &group{names: []string{"r1", "r2", "r3"}, placers: make(map[string]*Placer), down: make(map[string]bool)}
	upstreams := make(map[string]rules.Upstream)
	for _, n := range []string{"e1", "e2", "e3", "e4"} {
		upstreams[n] = rules.Upstream{Address: n, Zone: "a", Kind: rules.Engine, Models: []string{"m"}}
	}
	for _, n := range g.names {
		fleet := status.NewFleet(100 * time.Microsecond)
		fleet.SetUpstreams(upstreams)
		g.placers[n] = NewPlacer(fleet, member{g, n}, member{g, n})
	}
	return g
}

func newQuery() picker.Query {
	return picker.Query{Model: "m", Zone: "a", Chain: []prefix.Hash{1, 2, 3}, Tokens: 7000}
}

func TestAllInstancesUseTheSameOwner(t *testing.T) {
	g := newGroup()
	owner := g.placers["r1"].Owner(start, "m", "w")
	for _, p := range g.placers {
		must.Eq(t, owner, p.Owner(start, "m", "w"))
		must.Eq(t, owner, p.Place(t.Context(), start, "w", newQuery()).PlacedBy)
	}
}

// TestOutcomesReachTheOwner checks that an outcome at one instance changes the placement of requests of all instances.
func TestOutcomesReachTheOwner(t *testing.T) {
	g := newGroup()
	owner := g.placers["r1"].Owner(start, "m", "w")
	var requester *Placer
	for name, p := range g.placers {
		if name != owner {
			requester = p
		}
	}
	requester.RecordOutcome(start, Choice{PlacedBy: owner}, Outcome{Engine: "e3", Incarnation: "i", Chain: newQuery().Chain, CachedTokens: 6000})
	requester.Flush(t.Context())
	for _, p := range g.placers {
		c := p.Place(t.Context(), start, "w", newQuery())
		must.Eq(t, "e3", c.Engine)
		must.Eq(t, 6000, c.CachedTokens)
	}
}

func TestUnavailableOwnerIsBypassed(t *testing.T) {
	g := newGroup()
	owner := g.placers["r1"].Owner(start, "m", "w")
	g.down[owner] = true
	for name, p := range g.placers {
		if name == owner {
			continue
		}
		g.placeCalls = 0
		for range 3 {
			c := p.Place(t.Context(), start, "w", newQuery())
			must.Eq(t, name, c.PlacedBy)
			must.NotEq(t, "", c.Engine)
		}
		must.Eq(t, 1, g.placeCalls)
		p.Place(t.Context(), start.Add(cooldown), "w", newQuery())
		must.Eq(t, 2, g.placeCalls)
	}
}

func TestChoiceNotPermittedLocallyIsReplaced(t *testing.T) {
	g := newGroup()
	owner := g.placers["r1"].Owner(start, "m", "w")
	for name, p := range g.placers {
		if name != owner {
			p.fleet.SetUpstreams(map[string]rules.Upstream{"e9": {Address: "e9", Kind: rules.Engine, Models: []string{"m"}}})
			must.Eq(t, "e9", p.Place(t.Context(), start, "w", newQuery()).Engine)
		}
	}
}
