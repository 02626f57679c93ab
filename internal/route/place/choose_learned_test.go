package place

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

// knownPaces implements Paces.
type knownPaces map[string]float64

func (p knownPaces) Pace(v *fleet.View) (pace, samples float64) {
	if pace, ok := p[v.ID]; ok {
		return pace, 20
	}
	return 1, 0
}

func newLearned() *Learned {
	return &Learned{Base: 30 * time.Millisecond, PerToken: 11 * time.Microsecond, PerRunning: time.Millisecond, First: 100 * time.Millisecond}
}

// A fast engine with a longer queue answers earlier than a slow one that is idle.
func TestFastEngineIsChosenDespiteItsQueue(t *testing.T) {
	views := engines(2, 1)
	views[0].PendingTokens, views[0].Running = 3000, 1
	q := Query{Zone: "a", Model: "m", Version: 1, OwnTokens: 9000}
	choice, ok := Choose(q, views, DefaultCosts())
	must.True(t, ok)
	must.Eq(t, "e01", choice.ID)
	q.Learned = newLearned()
	q.Learned.Paces = knownPaces{"e00": 0.6, "e01": 1.4}
	choice, ok = Choose(q, views, DefaultCosts())
	must.True(t, ok)
	must.Eq(t, "e00", choice.ID)
	must.Eq(t, 0.6, choice.Pace)
	must.Eq(t, 20, choice.PaceSamples)
}

// An engine with free slots whose KV cache is full counts as busy until a request ends.
func TestFullKVCacheIsAWait(t *testing.T) {
	views := engines(2, 1)
	views[0].Running, views[0].Held = 7, 63000
	views[1].Running, views[1].Held, views[1].PendingTokens = 10, 9000, 5000
	q := Query{Zone: "a", Model: "m", Version: 1, OwnTokens: 9000}
	choice, _ := Choose(q, views, DefaultCosts())
	must.Eq(t, "e00", choice.ID)
	q.Learned = newLearned()
	q.Learned.CacheTokens, q.Learned.HeldTokens, q.Learned.Lasting = 67304, 9200, 500*time.Millisecond
	choice, _ = Choose(q, views, DefaultCosts())
	must.Eq(t, "e01", choice.ID)
	must.Eq(t, 0, choice.Memory)
	views[1].Held = 67000
	choice, _ = Choose(q, views, DefaultCosts())
	must.Positive(t, choice.Memory)
}

// Where work that is not reported yet levels the engines, a prompt still goes to the one that holds its parts.
func TestLevelledEnginesKeepPrompts(t *testing.T) {
	views := engines(6, 1)
	q := newQuery(map[string]int{"e03": 2})
	q.Learned = newLearned()
	q.Unreported = time.Second
	for seed := range uint64(50) {
		q.Seed = seed
		choice, _ := Choose(q, views, DefaultCosts())
		must.Eq(t, "e03", choice.ID)
		must.Eq(t, 2900, choice.PrefillTokens)
	}
}

// Prompts that no engine prefers spread over the levelled ones, more of them to the fast one.
func TestLevelledEnginesShareByRoom(t *testing.T) {
	views := engines(3, 1)
	q := Query{Zone: "a", Model: "m", Version: 1, OwnTokens: 2000, Unreported: time.Second, Learned: newLearned()}
	q.Learned.Paces = knownPaces{"e00": 0.5, "e01": 1, "e02": 1}
	count := make(map[string]int)
	for seed := range uint64(3000) {
		q.Seed = mix(seed + 1)
		choice, _ := Choose(q, views, DefaultCosts())
		count[choice.ID]++
	}
	t.Logf("%v", count)
	must.Between(t, 1350, count["e00"], 1800)
	must.Greater(t, 500, count["e01"])
	must.Greater(t, 500, count["e02"])
}

// Engines that may not run the request, or only if no other is left, stay so.
func TestLearnedCostsKeepTiers(t *testing.T) {
	views := engines(4, 1)
	views[0].Ejected, views[1].Switching = true, true
	views[2].Running = 12
	views[3].Weights = map[string]int64{"m": 0}
	q := Query{Zone: "a", Model: "m", Version: 1, OwnTokens: 2000, Learned: newLearned()}
	choice, ok := Choose(q, views, DefaultCosts())
	must.True(t, ok)
	must.Eq(t, "e02", choice.ID)
	must.Eq(t, 3, choice.Considered)
	_, ok = Choose(q, views[3:], DefaultCosts())
	must.False(t, ok)
}

func TestUnseen(t *testing.T) {
	l := Learned{}
	must.Eq(t, time.Second, l.Unseen(time.Second))
	l.First = 200 * time.Millisecond
	must.Eq(t, 400*time.Millisecond, l.Unseen(time.Second))
	must.Eq(t, 300*time.Millisecond, l.Unseen(300*time.Millisecond))
}
