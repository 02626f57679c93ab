package status

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
)

// init fixes the seed and the number of checks, so that every run gives the same result; flags override them.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "500")
}

const perToken = 100 * time.Microsecond

var start = time.Unix(1_800_000_000, 0)

func newFleet(names ...string) *Fleet {
	f := NewFleet(perToken)
	upstreams := make(map[string]rules.Upstream)
	for _, n := range names {
		upstreams[n] = rules.Upstream{Address: n, Zone: "a", Kind: rules.Engine, Models: []string{"m"}}
	}
	f.SetUpstreams(upstreams)
	return f
}

func queueTokens(f *Fleet, now time.Time, name string) int64 {
	v, _ := f.Engine(now, name, "m")
	return v.QueueTokens
}

func TestQueueDrainsOverTime(t *testing.T) {
	f := newFleet("e")
	f.LoadReported(start, "e", Report{Incarnation: "1", QueueTokens: 10_000})
	f.RequestSent(start.Add(100*time.Millisecond), "e", 5000)
	must.Eq(t, 14_000, queueTokens(f, start.Add(100*time.Millisecond), "e"))
	must.Eq(t, 5000, queueTokens(f, start.Add(time.Second), "e"))
	must.Eq(t, 0, queueTokens(f, start.Add(2*time.Second), "e"))
}

func TestReportReplacesEarlierRequests(t *testing.T) {
	f := newFleet("e")
	f.RequestSent(start, "e", 5000)
	f.RequestSent(start.Add(time.Second), "e", 3000)
	f.LoadReported(start.Add(500*time.Millisecond), "e", Report{Incarnation: "1", QueueTokens: 0})
	must.Eq(t, 3000, queueTokens(f, start.Add(time.Second), "e"))
	// A report that was requested earlier is ignored.
	f.LoadReported(start.Add(100*time.Millisecond), "e", Report{Incarnation: "1", QueueTokens: 90_000})
	must.Eq(t, 3000, queueTokens(f, start.Add(time.Second), "e"))
}

func TestEjectionEndsAfterTimeoutOrSuccess(t *testing.T) {
	f := newFleet("e")
	ejected := func(now time.Time) bool {
		v, _ := f.Engine(now, "e", "m")
		return v.Ejected
	}
	now := start
	for range 10 {
		f.Failed(now, "e")
		must.True(t, ejected(now))
		now = now.Add(maxEjection)
	}
	must.False(t, ejected(now))
	f.Failed(now, "e")
	f.Succeeded(now, "e", "1")
	must.False(t, ejected(now))
}

func TestLeavingEngineIsNotYielded(t *testing.T) {
	f := newFleet("a", "b")
	f.SetLeaving(map[string]bool{"a": true})
	for v := range f.Engines(start, "m", nil) {
		must.Eq(t, "b", v.Name)
	}
	_, ok := f.Engine(start, "a", "m")
	must.False(t, ok)
}

// TestRestartDropsCachedPrefixes runs random restarts and responses, some late, and checks that only prefixes that the current
// incarnation was sent, for the same workspace and weights, are assumed to be cached.
func TestRestartDropsCachedPrefixes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet("e0", "e1")
		now := start
		runs := []int{1, 1}
		sent := make(map[string]map[prefix.Hash]bool)
		incarnation := func(e, run int) string { return fmt.Sprintf("e%d#%d", e, run) }
		chain := func(rt *rapid.T) []prefix.Hash {
			salt := prefix.Salt{
				Workspace: rapid.SampledFrom([]string{"w1", "w2"}).Draw(rt, "workspace"),
				Model:     "m",
				Weights:   rapid.SampledFrom([]string{"v1", "v2"}).Draw(rt, "weights"),
			}
			return prefix.Chain(salt, make([]byte, rapid.IntRange(0, 4).Draw(rt, "pieces")*prefix.PieceTokens*prefix.BytesPerToken))
		}
		rt.Repeat(map[string]func(*rapid.T){
			"answer": func(rt *rapid.T) {
				e := rapid.IntRange(0, 1).Draw(rt, "engine")
				// The response may be late: from an incarnation before the current one.
				run := rapid.IntRange(1, runs[e]).Draw(rt, "run")
				c := chain(rt)
				name := fmt.Sprintf("e%d", e)
				if run == runs[e] {
					f.Succeeded(now, name, incarnation(e, run))
				}
				f.AddPrefixes(now, name, incarnation(e, run), c)
				key := incarnation(e, run)
				if sent[key] == nil {
					sent[key] = make(map[prefix.Hash]bool)
				}
				for _, h := range c {
					sent[key][h] = true
				}
			},
			"restart": func(rt *rapid.T) {
				e := rapid.IntRange(0, 1).Draw(rt, "engine")
				runs[e]++
				f.LoadReported(now, fmt.Sprintf("e%d", e), Report{Incarnation: incarnation(e, runs[e])})
			},
			"wait": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(rt, "seconds")) * time.Second)
			},
			"query": func(rt *rapid.T) {
				c := chain(rt)
				for _, h := range f.Holdings(now, c) {
					var e int
					_, _ = fmt.Sscanf(h.Name, "e%d", &e)
					if !sent[incarnation(e, runs[e])][c[h.Depth-1]] {
						rt.Fatalf("%s is assumed to hold a prefix that its run %d was not sent", h.Name, runs[e])
					}
				}
			},
		})
	})
}

// BenchmarkCapacityHoldings measures a lookup of the holders of a chain, and the memory of the index.
func BenchmarkCapacityHoldings(b *testing.B) {
	for _, prefixes := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("blocks/n=%d", prefixes), func(b *testing.B) {
			before := heapBytes()
			f := newFleet("e0", "e1", "e2", "e3")
			f.Succeeded(start, "e1", "1")
			for i := range prefixes / 5 {
				chain := make([]prefix.Hash, 5)
				for k := range chain {
					chain[k] = prefix.Hash(i*5 + k)
				}
				f.AddPrefixes(start, "e1", "1", chain)
			}
			chain := []prefix.Hash{0, 1, 2, 3, 4}
			b.ReportAllocs()
			for b.Loop() {
				f.Holdings(start, chain)
			}
			b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
			runtime.KeepAlive(f)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
