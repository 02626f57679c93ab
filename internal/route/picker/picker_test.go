package picker

import (
	"fmt"
	"iter"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

func newViews(n int) []status.View {
	views := make([]status.View, n)
	for i := range views {
		name := fmt.Sprintf("e%04d", i)
		views[i] = status.View{Name: name, Hash: xxhash.Sum64String(name), Zone: "a"}
	}
	return views
}

// pointers yields a pointer to each view.
func pointers(engines []status.View) iter.Seq[*status.View] {
	return func(yield func(*status.View) bool) {
		for i := range engines {
			if !yield(&engines[i]) {
				return
			}
		}
	}
}

func chosen(t *testing.T, q Query, engines []status.View) string {
	t.Helper()
	c, ok := Decide(q, pointers(engines), DefaultCosts()).Chosen()
	must.True(t, ok)
	return c.Name
}

func TestDecide(t *testing.T) {
	chain := []prefix.Hash{1, 2, 3}
	q := Query{Zone: "a", Chain: chain, Tokens: 7000}
	setDepths := func(e []status.View, first, second int) { e[1].Depth, e[2].Depth = first, second }
	cases := []struct {
		name   string
		change func(e []status.View)
		want   string
	}{
		{"deepest prefix", func(e []status.View) { setDepths(e, 3, 1) }, "e0001"},
		{"short queue beats deeper prefix", func(e []status.View) { setDepths(e, 3, 2); e[1].QueueTokens = 50_000 }, "e0002"},
		{"own zone", func(e []status.View) { e[0].Zone, e[1].Zone = "b", "b" }, "e0002"},
		{"ejected is excluded", func(e []status.View) { setDepths(e, 3, 1); e[1].Ejected = true }, "e0002"},
		{"starting is last among equals", func(e []status.View) { e[0].Starting, e[1].Starting = true, true }, "e0002"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			engines := newViews(3)
			c.change(engines)
			must.Eq(t, c.want, chosen(t, q, engines))
		})
	}
}

func TestEjectionExcludesAtMostHalf(t *testing.T) {
	engines := newViews(4)
	for i := range 3 {
		engines[i].Ejected = true
		engines[3].QueueTokens = 1_000_000
	}
	must.NotEq(t, "e0003", chosen(t, Query{Zone: "a", Tokens: 10}, engines))
}

func TestNoEngineWhenAllAreAvoided(t *testing.T) {
	_, ok := Decide(Query{Avoid: map[string]bool{"e0000": true}}, pointers(newViews(1)), DefaultCosts()).Chosen()
	must.False(t, ok)
}

func TestSeedSelectsAmongEqualEngines(t *testing.T) {
	seen := make(map[string]bool)
	for seed := range uint64(64) {
		seen[chosen(t, Query{Seed: seed, Zone: "a", Tokens: 10}, newViews(4))] = true
	}
	must.MapLen(t, 4, seen)
}

// BenchmarkCapacityDecide measures one placement decision.
func BenchmarkCapacityDecide(b *testing.B) {
	for _, n := range []int{18, 100, 317, 1900} {
		b.Run(fmt.Sprintf("engines/n=%d", n), func(b *testing.B) {
			f := status.NewFleet(DefaultCosts().PerToken)
			upstreams := make(map[string]rules.Upstream, n)
			for _, v := range newViews(n) {
				upstreams[v.Name] = rules.Upstream{Address: v.Name, Zone: "a", Kind: rules.Engine, Models: []string{"m"}}
			}
			f.SetUpstreams(upstreams)
			now := time.Unix(1_800_000_000, 0)
			f.Succeeded(now, "e0003", "1")
			f.AddPrefixes(now, "e0003", "1", []prefix.Hash{1, 2, 3, 4, 5})
			q := Query{Model: "m", Zone: "a", Chain: []prefix.Hash{1, 2, 3, 4, 5}, Tokens: 12_000, Seed: 1}
			costs := DefaultCosts()
			b.ReportAllocs()
			for b.Loop() {
				Decide(q, f.Engines(now, "m", q.Chain), costs)
			}
		})
	}
}
