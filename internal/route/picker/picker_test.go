package picker

import (
	"fmt"
	"iter"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/route/engine"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
)

func newViews(n int) []engine.View {
	views := make([]engine.View, n)
	for i := range views {
		name := fmt.Sprintf("e%04d", i)
		views[i] = engine.View{Name: name, Hash: xxhash.Sum64String(name), Zone: "a"}
	}
	return views
}

// pointers yields a pointer to each view.
func pointers(engines []engine.View) iter.Seq[*engine.View] {
	return func(yield func(*engine.View) bool) {
		for i := range engines {
			if !yield(&engines[i]) {
				return
			}
		}
	}
}

func chosen(t *testing.T, q Question, engines []engine.View) string {
	t.Helper()
	c, ok := Decide(q, pointers(engines), DefaultCosts()).Chosen()
	must.True(t, ok)
	return c.Name
}

func TestDecide(t *testing.T) {
	chain := []prefix.Hash{1, 2, 3}
	q := Question{Zone: "a", Chain: chain, Tokens: 7000}
	setDepths := func(e []engine.View, first, second int) { e[1].Depth, e[2].Depth = first, second }
	cases := []struct {
		name   string
		change func(e []engine.View)
		want   string
	}{
		{"deepest prefix", func(e []engine.View) { setDepths(e, 3, 1) }, "e0001"},
		{"short queue beats deeper prefix", func(e []engine.View) { setDepths(e, 3, 2); e[1].QueueTokens = 50_000 }, "e0002"},
		{"own zone", func(e []engine.View) { e[0].Zone, e[1].Zone = "b", "b" }, "e0002"},
		{"ejected is excluded", func(e []engine.View) { setDepths(e, 3, 1); e[1].Ejected = true }, "e0002"},
		{"starting is last among equals", func(e []engine.View) { e[0].Starting, e[1].Starting = true, true }, "e0002"},
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
	must.NotEq(t, "e0003", chosen(t, Question{Zone: "a", Tokens: 10}, engines))
}

func TestNoEngineWhenAllAreAvoided(t *testing.T) {
	_, ok := Decide(Question{Avoid: map[string]bool{"e0000": true}}, pointers(newViews(1)), DefaultCosts()).Chosen()
	must.False(t, ok)
}

func TestSeedSelectsAmongEqualEngines(t *testing.T) {
	seen := make(map[string]bool)
	for seed := range uint64(64) {
		seen[chosen(t, Question{Seed: seed, Zone: "a", Tokens: 10}, newViews(4))] = true
	}
	must.MapLen(t, 4, seen)
}

// BenchmarkCapacityDecide measures one placement decision.
func BenchmarkCapacityDecide(b *testing.B) {
	for _, n := range []int{18, 100, 317, 1900} {
		b.Run(fmt.Sprintf("engines/n=%d", n), func(b *testing.B) {
			f := engine.NewFleet(DefaultCosts().PerToken)
			upstreams := make(map[string]rules.Upstream, n)
			for _, v := range newViews(n) {
				upstreams[v.Name] = rules.Upstream{Address: v.Name, Zone: "a", Kind: rules.Engine, Models: []string{"m"}}
			}
			f.Permit(upstreams)
			now := time.Unix(1_800_000_000, 0)
			f.Succeeded(now, "e0003", "1")
			f.Remember(now, "e0003", "1", []prefix.Hash{1, 2, 3, 4, 5})
			q := Question{Model: "m", Zone: "a", Chain: []prefix.Hash{1, 2, 3, 4, 5}, Tokens: 12_000, Seed: 1}
			costs := DefaultCosts()
			b.ReportAllocs()
			for b.Loop() {
				Decide(q, f.Each(now, "m", q.Chain), costs)
			}
		})
	}
}
