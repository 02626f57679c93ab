package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// Kind is the scenario of a generated trace.
type Kind string

// The scenarios of generated traces.
const (
	Steady Kind = "steady"
	// Shift replaces the popular prefixes halfway through the trace.
	Shift Kind = "shift"
	// Crash makes four engines crash, one after the other.
	Crash Kind = "crash"
	// Flood makes one workspace send five times its rate limit.
	Flood Kind = "flood"
)

// Kinds lists all scenarios.
var Kinds = []Kind{Steady, Shift, Crash, Flood}

// Sites lists the sites for which traces are generated.
var Sites = []string{"bizerte", "basinc"}

const (
	durationSeconds = 100.0
	floodFactor     = 5
	// zipfExponent is the skew of the choice among prefixes.
	zipfExponent = 1.1
)

// profile describes the traffic of one site.
type profile struct {
	header Header
	// requestRate is in requests per second; shares are the workspaces' fractions of it.
	requestRate float64
	shares      []float64
	catalogs    int
	cases       int
}

func profileOf(site string) profile {
	if site == "basinc" {
		return profile{
			header: Header{
				Objective: "fairness", Zones: []string{"a", "b", "c"}, Engines: 12, Routers: 13,
				CachePieces: 90, TokenMicros: 100, EventMillis: 12, HopMillis: 1,
			},
			requestRate: 22, shares: []float64{0.4, 0.3, 0.15, 0.1, 0.05}, catalogs: 5, cases: 40,
		}
	}
	return profile{
		header: Header{
			Objective: "tail_latency", Zones: []string{"a", "b", "c", "d"}, Engines: 18, Routers: 19,
			CachePieces: 90, TokenMicros: 100, EventMillis: 12, HopMillis: 0.5,
		},
		requestRate: 36, shares: []float64{0.45, 0.25, 0.15, 0.1, 0.05}, catalogs: 6, cases: 50,
	}
}

// Generate returns a random trace for a site. The same seed gives the same trace.
func Generate(site string, kind Kind, seed uint64) Trace {
	p := profileOf(site)
	random := rand.New(rand.NewPCG(seed, 1))
	t := Trace{Header: p.header}
	t.Header.Name = fmt.Sprintf("%s-%s", site, kind)
	t.Header.Rates = make(map[string]Rate)
	const meanTokens = 13_000
	for w, share := range p.shares {
		perSecond := int64(p.requestRate * share * meanTokens * 1.4)
		t.Header.Rates[workspaceName(w)] = Rate{PerSecond: perSecond, Burst: perSecond * 10}
		rate := p.requestRate * share
		for at := random.ExpFloat64() / rate; at < durationSeconds; at += random.ExpFloat64() / rate {
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

// flood adds requests of the smallest workspace at five times its rate limit in the middle of the trace.
func (p profile) flood(random *rand.Rand, t *Trace) {
	const from, until = 30, 80
	flooder := len(p.shares) - 1
	rate := float64(floodFactor) * float64(t.Header.Rates[workspaceName(flooder)].PerSecond) / 13_000
	for at := from + random.ExpFloat64()/rate; at < until; at += random.ExpFloat64() / rate {
		t.Rows = append(t.Rows, p.row(random, Flood, flooder, at))
	}
}

// row generates one request: the workspace's instructions, a catalogue, perhaps a case and a turn, and unique text.
func (p profile) row(random *rand.Rand, kind Kind, w int, at float64) Row {
	idOffset := 0
	if kind == Shift && at > durationSeconds/2 {
		idOffset = 1000
	}
	catalog := zipf(random, p.catalogs)
	levels := []Level{
		{ID: "instructions", Pieces: 2},
		{ID: fmt.Sprintf("catalogue-%d", catalog+idOffset), Pieces: 2},
	}
	if random.Float64() < 0.7 {
		levels = append(levels, Level{ID: fmt.Sprintf("case-%d", zipf(random, p.cases)+idOffset), Pieces: 2})
	}
	if random.Float64() < 0.3 {
		levels = append(levels, Level{ID: fmt.Sprintf("turn-%d", random.IntN(4)), Pieces: 1})
	}
	return Row{
		At:           math.Round(at*1e4) / 1e4,
		Workspace:    workspaceName(w),
		Router:       random.IntN(p.header.Routers),
		Levels:       levels,
		UniqueTokens: 200 + random.Int64N(1400),
		OutputTokens: 40 + random.Int64N(200),
	}
}

// zipf returns a random number from 0 to n-1, distributed by Zipf's law.
func zipf(random *rand.Rand, n int) int {
	total := 0.0
	for i := range n {
		total += 1 / math.Pow(float64(i+1), zipfExponent)
	}
	remaining := random.Float64() * total
	for i := range n {
		remaining -= 1 / math.Pow(float64(i+1), zipfExponent)
		if remaining <= 0 {
			return i
		}
	}
	return n - 1
}

func workspaceName(index int) string {
	return fmt.Sprintf("workspace-%d", index+1)
}
