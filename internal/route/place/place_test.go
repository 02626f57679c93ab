package place

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/holder"
)

func engine(id string, version int64) fleet.View {
	return fleet.View{Entry: fleet.Entry{
		ID: id, Address: "address of " + id, Zone: "a", State: fleet.Ready, Slots: 16, Weights: map[string]int64{"m": version},
	}}
}

func newQuery(depths map[string]int) Query {
	return Query{
		Zone: "a", Model: "m", Version: 1, Group: 11, Affinity: 7, SharedTokens: []int64{2500, 3800}, OwnTokens: 2900,
		Depths: func(int64) map[string]int { return depths },
	}
}

func engines(n int, version int64) []fleet.View {
	var views []fleet.View
	for i := range n {
		views = append(views, engine(fmt.Sprintf("e%02d", i), version))
	}
	return views
}

func TestEngineThatHoldsThePrefixIsChosen(t *testing.T) {
	views := engines(6, 1)
	choice, ok := Choose(newQuery(map[string]int{"e03": 2}), views, DefaultCosts())
	must.True(t, ok)
	must.Eq(t, "e03", choice.ID)
	must.Eq(t, 2900, choice.PrefillTokens)
	must.Eq(t, "", choice.Source)
}

// A stream goes on at its build only, also if another engine holds the prompt.
func TestStreamIsPlacedAtItsBuild(t *testing.T) {
	views := engines(6, 1)
	for i := range views {
		views[i].Build = []string{"v1", "v2"}[i%2]
	}
	q := newQuery(map[string]int{"e03": 2})
	build := "v1"
	q.Build = &build
	choice, ok := Choose(q, views, DefaultCosts())
	must.True(t, ok)
	must.Eq(t, "v1", choice.Build)
	must.Eq(t, 3, choice.Considered)
	build = "v3"
	_, ok = Choose(q, views, DefaultCosts())
	must.False(t, ok)
}

// An engine may have evicted what it is assumed to hold, so another holder is given as the source.
func TestSourceIsSetForEngineWithFullDepth(t *testing.T) {
	choice, _ := Choose(newQuery(map[string]int{"e03": 2, "e04": 2}), engines(6, 1), DefaultCosts())
	must.Eq(t, 2, choice.Depth)
	must.NotEq(t, "", choice.Source)
	must.NotEq(t, choice.ID, choice.Source)
}

// One prefix gets most of the traffic: its holder fills up, and prompts spread to engines that fetch from it.
func TestHotPrefixSpreadsAndIsFetched(t *testing.T) {
	views := engines(6, 1)
	views[3].Running, views[3].PendingTokens = 16, 30000
	choice, ok := Choose(newQuery(map[string]int{"e03": 2}), views, DefaultCosts())
	must.True(t, ok)
	must.NotEq(t, "e03", choice.ID)
	must.Eq(t, "e03", choice.Source)
	must.Eq(t, "address of e03", choice.SourceAddress)
}

func TestStoreIsPreferredToEngineOfEqualDepth(t *testing.T) {
	views := engines(6, 1)
	views[3].Running, views[3].PendingTokens = 16, 30000
	choice, _ := Choose(newQuery(map[string]int{"e03": 2, holder.Store: 2}), views, DefaultCosts())
	must.Eq(t, holder.Store, choice.Source)
	must.True(t, choice.Saved)
}

func TestUncachedPrefixHasTheSamePreferredEngineForAllSeeds(t *testing.T) {
	first, _ := Choose(newQuery(nil), engines(12, 1), DefaultCosts())
	must.Eq(t, 0, first.Rank)
	for seed := range uint64(20) {
		q := newQuery(nil)
		q.Seed = seed
		choice, _ := Choose(q, engines(12, 1), DefaultCosts())
		must.Eq(t, first.ID, choice.ID)
	}
}

// During a rollout, prompts prefer the latest weights until those engines are full.
func TestLatestWeightsArePreferredUntilEnginesAreFull(t *testing.T) {
	views := append(engines(1, 2), engine("old", 1))
	q := newQuery(nil)
	q.Version = 2
	choice, _ := Choose(q, views, DefaultCosts())
	must.Eq(t, 2, choice.Version)
	views[0].Running, views[0].PendingTokens = 16, 40000
	choice, _ = Choose(q, views, DefaultCosts())
	must.Eq(t, 1, choice.Version)
	q.MinVersion = 2
	choice, _ = Choose(q, views, DefaultCosts())
	must.Eq(t, 2, choice.Version)
}

func TestEjectedEnginesAreUsedOnlyWhenNoOtherIsLeft(t *testing.T) {
	views := engines(2, 1)
	views[0].Ejected = true
	views[1].PendingTokens = 1 << 20
	choice, _ := Choose(newQuery(nil), views, DefaultCosts())
	must.Eq(t, "e01", choice.ID)
	views[1].Ejected = true
	_, ok := Choose(newQuery(nil), views, DefaultCosts())
	must.True(t, ok)
}

func TestFailingUpstreamIsUsedWhenTheOthersAreFull(t *testing.T) {
	views := []fleet.View{engine("good", 0), engine("grey", 0)}
	views[1].FailureRate = 0.4
	q := Query{Zone: "a"}
	choice, _ := Choose(q, views, DefaultCosts())
	must.Eq(t, "good", choice.ID)
	views[0].Running = 60
	choice, _ = Choose(q, views, DefaultCosts())
	must.Eq(t, "grey", choice.ID)
}

// For any state of the engines, the choice is eligible, and ejected only if all eligible engines are.
func TestChoiceIsEligibleAndEjectedOnlyIfAllAre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var views []fleet.View
		for i := range rapid.IntRange(0, 8).Draw(t, "engines") {
			v := engine(fmt.Sprint(i), rapid.Int64Range(0, 4).Draw(t, "version"))
			v.Running = rapid.IntRange(0, 40).Draw(t, "running")
			v.PendingTokens = rapid.Int64Range(0, 1<<18).Draw(t, "tokens")
			v.Ejected = rapid.Bool().Draw(t, "ejected")
			v.Switching = rapid.Bool().Draw(t, "switching")
			if rapid.Bool().Draw(t, "draining") {
				v.State = fleet.Draining
			}
			views = append(views, v)
		}
		q := newQuery(map[string]int{"0": rapid.IntRange(0, 2).Draw(t, "depth")})
		q.Version = 4
		q.MinVersion = rapid.Int64Range(0, 4).Draw(t, "floor")
		q.Avoid = map[string]bool{fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "avoid")): true}
		choice, ok := Choose(q, views, DefaultCosts())
		eligible, notEjected := 0, 0
		for _, v := range views {
			if v.State == fleet.Ready && !q.Avoid[v.ID] && v.Weights["m"] > 0 && v.Weights["m"] >= q.MinVersion {
				eligible++
				if !v.Ejected {
					notEjected++
				}
			}
		}
		must.Eq(t, eligible > 0, ok)
		if !ok {
			return
		}
		must.Eq(t, fleet.Ready, choice.State)
		must.False(t, q.Avoid[choice.ID])
		must.GreaterEq(t, q.MinVersion, choice.Version)
		must.Eq(t, choice.Weights["m"], choice.Version)
		must.Eq(t, notEjected > 0, !choice.Ejected)
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 90} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			views := engines(n, 1)
			q := newQuery(map[string]int{"e03": 2})
			for b.Loop() {
				Choose(q, views, DefaultCosts())
			}
		})
	}
}

// Streams keep away from a new build while upstreams of another one serve; other instances may not know of it yet.
func TestStreamsAvoidNewBuilds(t *testing.T) {
	views := engines(4, 1)
	for i := range views {
		views[i].NewBuild = i == 3
	}
	q := newQuery(map[string]int{"e03": 2})
	choice, ok := Choose(q, views, DefaultCosts())
	must.True(t, ok)
	must.Eq(t, "e03", choice.ID)
	q.AvoidNewBuilds = true
	choice, ok = Choose(q, views, DefaultCosts())
	must.True(t, ok)
	must.NotEq(t, "e03", choice.ID)
	q.Avoid = map[string]bool{"e00": true, "e01": true, "e02": true}
	choice, ok = Choose(q, views, DefaultCosts())
	must.True(t, ok)
	must.Eq(t, "e03", choice.ID)
}
