package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Result is the outcome of one seed.
type Result struct {
	Seed uint64 `json:"seed"`
	// Interface is "platform" or "own".
	Interface string `json:"interface"`
	Routers   int    `json:"routers"`
	Calls     int    `json:"calls"`
	Served    int    `json:"served"`
	Refused   int    `json:"refused"`
	Lost      int    `json:"lost"`
	// Runs is the number of calls that upstreams started.
	Runs       int         `json:"runs"`
	Orders     int         `json:"orders"`
	Injections []Injection `json:"plays"`
	Violations []Violation `json:"broken"`
	// Folder holds the logs.
	Folder string `json:"folder"`

	latency map[string]*hdrhistogram.Histogram
}

// noFault is the row of calls during which no fault was active.
const noFault = "no fault"

func newResult(settings Settings, injections []Injection, history *History, violations []Violation) Result {
	r := Result{
		Seed: settings.Seed, Interface: "platform", Routers: settings.Size.Routers, Calls: len(history.Calls), Runs: len(history.Runs), Orders: len(history.Orders), Injections: injections,
		Violations: violations, Folder: settings.Folder, latency: make(map[string]*hdrhistogram.Histogram),
	}
	for _, c := range history.Calls {
		switch {
		case c.served():
			r.Served++
			r.recordLatency(history, c)
		case c.Answered && c.Reply.Complete:
			r.Refused++
		default:
			r.Lost++
		}
	}
	return r
}

// maxLatencyMicros is the upper limit of the histograms.
const maxLatencyMicros = int64(time.Minute / time.Microsecond)

// recordLatency adds a served call to the histogram of every fault that was active during it.
func (r *Result) recordLatency(history *History, c *CallRecord) {
	names := make(map[string]bool)
	for _, f := range history.FaultPeriods {
		if f.overlaps(c.At, c.Done, 0) {
			names[f.Fault] = true
		}
	}
	if len(names) == 0 {
		names[noFault] = true
	}
	for name := range names {
		h := r.latency[name]
		if h == nil {
			h = hdrhistogram.New(1, maxLatencyMicros, 3)
			r.latency[name] = h
		}
		// The value is capped at the histogram's limit, so this cannot fail.
		_ = h.RecordValue(min(maxLatencyMicros, c.Done.Sub(c.At).Microseconds()))
	}
}

// Latency is the distribution of times to a complete response during one fault, in milliseconds.
type Latency struct {
	Fault      string  `json:"fault"`
	Injections int     `json:"plays"`
	Calls      int64   `json:"calls"`
	P50        float64 `json:"p50"`
	P99        float64 `json:"p99"`
	Max        float64 `json:"max"`
}

// Report is the outcome of a soak.
type Report struct {
	Commit     string    `json:"commit,omitempty"`
	Seeds      []uint64  `json:"seeds"`
	Calls      int       `json:"calls"`
	Served     int       `json:"served"`
	Refused    int       `json:"refused"`
	Lost       int       `json:"lost"`
	Promises   []Promise `json:"judged"`
	Violations int       `json:"broken"`
	Latency    []Latency `json:"latency"`
	Results    []Result  `json:"results"`
}

// NewReport summarizes results.
func NewReport(results []Result) Report {
	r := Report{Results: results, Promises: slices.Sorted(maps.Keys(checkers))}
	all := make(map[string]*hdrhistogram.Histogram)
	injections := make(map[string]int)
	for _, result := range results {
		r.Seeds = append(r.Seeds, result.Seed)
		r.Calls += result.Calls
		r.Served += result.Served
		r.Refused += result.Refused
		r.Lost += result.Lost
		r.Violations += len(result.Violations)
		for _, p := range result.Injections {
			injections[p.Fault]++
		}
		for name, h := range result.latency {
			if all[name] == nil {
				all[name] = hdrhistogram.New(1, maxLatencyMicros, 3)
			}
			all[name].Merge(h)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		h := all[name]
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		r.Latency = append(r.Latency, Latency{
			Fault: name, Injections: injections[name], Calls: h.TotalCount(), P50: at(50), P99: at(99), Max: float64(h.Max()) / 1000,
		})
	}
	return r
}

// Print writes the report as text.
func (r Report) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%d seeds, %d calls: %d served, %d refused, %d without a complete response\n", len(r.Seeds), r.Calls, r.Served, r.Refused, r.Lost)
	_, _ = fmt.Fprintf(w, "%d promises checked, %d violations\n\n", len(r.Promises), r.Violations)
	_, _ = fmt.Fprintf(w, "%-28s %6s %8s %9s %9s %9s\n", "fault", "played", "served", "p50 ms", "p99 ms", "max ms")
	for _, l := range r.Latency {
		_, _ = fmt.Fprintf(w, "%-28s %6d %8d %9.1f %9.1f %9.1f\n", l.Fault, l.Injections, l.Calls, l.P50, l.P99, l.Max)
	}
	for _, result := range r.Results {
		for _, v := range result.Violations {
			_, _ = fmt.Fprintf(w, "\nseed %d broke %q: %s %s (logs in %s)\n", result.Seed, v.Promise, v.ID, v.Text, result.Folder)
		}
	}
}

// Plot draws the 99th percentile by fault into a PNG file.
func (r Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "Time to a complete response by fault, 99th percentile"
	p.X.Label.Text = "milliseconds"
	values := make(plotter.Values, 0, len(r.Latency))
	names := make([]string, 0, len(r.Latency))
	for _, l := range r.Latency {
		values = append(values, l.P99)
		names = append(names, l.Fault)
	}
	bars, err := plotter.NewBarChart(values, vg.Points(8))
	if err != nil {
		return err
	}
	bars.Horizontal = true
	p.Add(bars)
	p.NominalY(names...)
	return p.Save(18*vg.Centimeter, 16*vg.Centimeter, path)
}
