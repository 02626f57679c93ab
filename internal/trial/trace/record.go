package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// Kind is what happens in a generated trace.
type Kind string

// The kinds of generated traces.
const (
	Steady Kind = "steady"
	// Shift makes other prefixes hot in the middle of the trace.
	Shift Kind = "shift"
	// Crash makes engines crash.
	Crash Kind = "crash"
	// Flood makes one workspace send five times its rate.
	Flood Kind = "flood"
)

// Kinds lists the kinds.
var Kinds = []Kind{Steady, Shift, Crash, Flood}

// Sites lists the generated sites.
var Sites = []string{"bizerte", "basinc"}

const (
	duration   = 100.0
	floodTimes = 5
	// zipf is the skew of the choice among prefixes.
	zipf = 1.1
)

// plan is the shape of one site's traffic.
type plan struct {
	header   Header
	rate     float64
	weights  []float64
	catalogs int
	cases    int
}

func planOf(site string) plan {
	if site == "basinc" {
		return plan{
			header: Header{
				Favour: "fairness", Zones: []string{"a", "b", "c"}, Engines: 12, Routers: 13,
				CachePieces: 90, TokenMicros: 100, EventMillis: 12, HopMillis: 1,
			},
			rate: 22, weights: []float64{0.4, 0.3, 0.15, 0.1, 0.05}, catalogs: 5, cases: 40,
		}
	}
	return plan{
		header: Header{
			Favour: "tail_latency", Zones: []string{"a", "b", "c", "d"}, Engines: 18, Routers: 19,
			CachePieces: 90, TokenMicros: 100, EventMillis: 12, HopMillis: 0.5,
		},
		rate: 36, weights: []float64{0.45, 0.25, 0.15, 0.1, 0.05}, catalogs: 6, cases: 50,
	}
}

// Record generates the trace of a site. The same seed gives the same trace.
func Record(site string, kind Kind, seed uint64) Trace {
	p := planOf(site)
	random := rand.New(rand.NewPCG(seed, 1))
	t := Trace{Header: p.header}
	t.Header.Trace = fmt.Sprintf("%s-%s", site, kind)
	t.Header.Rates = make(map[string]Rate)
	const meanTokens = 13_000
	for w, weight := range p.weights {
		perSecond := int64(p.rate * weight * meanTokens * 1.4)
		t.Header.Rates[workspace(w)] = Rate{PerSecond: perSecond, Burst: perSecond * 10}
		rate := p.rate * weight
		for at := random.ExpFloat64() / rate; at < duration; at += random.ExpFloat64() / rate {
			t.Rows = append(t.Rows, p.row(random, kind, w, at))
		}
	}
	if kind == Flood {
		p.flood(random, &t)
	}
	if kind == Crash {
		for i, at := range []float64{30, 45, 60, 75} {
			t.Header.Faults = append(t.Header.Faults, Fault{At: at, Kind: "crash", Engine: i * 3, Seconds: 8})
		}
	}
	sort.SliceStable(t.Rows, func(i, j int) bool { return t.Rows[i].At < t.Rows[j].At })
	return t
}

// flood adds the requests of a small workspace that sends five times its rate in the middle of the trace.
func (p plan) flood(random *rand.Rand, t *Trace) {
	const from, until = 30, 80
	flooder := len(p.weights) - 1
	rate := float64(floodTimes) * float64(t.Header.Rates[workspace(flooder)].PerSecond) / 13_000
	for at := from + random.ExpFloat64()/rate; at < until; at += random.ExpFloat64() / rate {
		t.Rows = append(t.Rows, p.row(random, Flood, flooder, at))
	}
}

// row draws one request: a workspace's instructions, one of its catalogues, one case in it, and text of its own.
func (p plan) row(random *rand.Rand, kind Kind, w int, at float64) Row {
	shift := 0
	if kind == Shift && at > duration/2 {
		shift = 1000
	}
	catalog := skewed(random, p.catalogs)
	levels := []Level{
		{ID: "instructions", Pieces: 2},
		{ID: fmt.Sprintf("catalogue-%d", catalog+shift), Pieces: 2},
	}
	if random.Float64() < 0.7 {
		levels = append(levels, Level{ID: fmt.Sprintf("case-%d", skewed(random, p.cases)+shift), Pieces: 2})
	}
	if random.Float64() < 0.3 {
		levels = append(levels, Level{ID: fmt.Sprintf("turn-%d", random.IntN(4)), Pieces: 1})
	}
	return Row{
		At:        math.Round(at*1e4) / 1e4,
		Workspace: workspace(w),
		Router:    random.IntN(p.header.Routers),
		Levels:    levels,
		Own:       200 + random.Int64N(1400),
		Output:    40 + random.Int64N(200),
	}
}

// skewed draws from 0 to n-1 by Zipf's law.
func skewed(random *rand.Rand, n int) int {
	total := 0.0
	for i := range n {
		total += 1 / math.Pow(float64(i+1), zipf)
	}
	at := random.Float64() * total
	for i := range n {
		at -= 1 / math.Pow(float64(i+1), zipf)
		if at <= 0 {
			return i
		}
	}
	return n - 1
}

func workspace(w int) string {
	return fmt.Sprintf("workspace-%d", w+1)
}
