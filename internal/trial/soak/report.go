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
	// Runs is the number of calls that upstreams began.
	Runs   int    `json:"runs"`
	Orders int    `json:"orders"`
	Plays  []Play `json:"plays"`
	// Broken are the broken promises.
	Broken []Breach `json:"broken"`
	// Folder has the logs.
	Folder string `json:"folder"`

	latency map[string]*hdrhistogram.Histogram
}

// calmName stands for calls without any fault.
const calmName = "no fault"

func result(set Settings, plays []Play, l *Ledger, broken []Breach) Result {
	r := Result{
		Seed: set.Seed, Interface: "platform", Routers: set.Size.Routers, Calls: len(l.Sent), Runs: len(l.Ran), Orders: len(l.Turns), Plays: plays,
		Broken: broken, Folder: set.Folder, latency: make(map[string]*hdrhistogram.Histogram),
	}
	for _, s := range l.Sent {
		switch {
		case s.served():
			r.Served++
			r.record(l, s)
		case s.Answered && s.Reply.Complete:
			r.Refused++
		default:
			r.Lost++
		}
	}
	return r
}

// latencyMost bounds the histograms.
const latencyMost = int64(time.Minute / time.Microsecond)

// record counts a served call for every fault during which it began.
func (r *Result) record(l *Ledger, s *Sent) {
	names := make(map[string]bool)
	for _, f := range l.Spells {
		if f.touches(s.At, s.Done, 0) {
			names[f.Fault] = true
		}
	}
	if len(names) == 0 {
		names[calmName] = true
	}
	for name := range names {
		h := r.latency[name]
		if h == nil {
			h = hdrhistogram.New(1, latencyMost, 3)
			r.latency[name] = h
		}
		// A value is cut at the bound and fits.
		_ = h.RecordValue(min(latencyMost, s.Done.Sub(s.At).Microseconds()))
	}
}

// Latency is the distribution of the times to a whole answer during one fault, in milliseconds.
type Latency struct {
	Fault string  `json:"fault"`
	Plays int     `json:"plays"`
	Calls int64   `json:"calls"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Report is the outcome of a soak.
type Report struct {
	Commit  string    `json:"commit,omitempty"`
	Seeds   []uint64  `json:"seeds"`
	Calls   int       `json:"calls"`
	Served  int       `json:"served"`
	Refused int       `json:"refused"`
	Lost    int       `json:"lost"`
	Judged  []Promise `json:"judged"`
	Broken  int       `json:"broken"`
	Latency []Latency `json:"latency"`
	Results []Result  `json:"results"`
}

// NewReport sums results up.
func NewReport(results []Result) Report {
	r := Report{Results: results, Judged: slices.Sorted(maps.Keys(judges))}
	all := make(map[string]*hdrhistogram.Histogram)
	plays := make(map[string]int)
	for _, one := range results {
		r.Seeds = append(r.Seeds, one.Seed)
		r.Calls += one.Calls
		r.Served += one.Served
		r.Refused += one.Refused
		r.Lost += one.Lost
		r.Broken += len(one.Broken)
		for _, p := range one.Plays {
			plays[p.Fault]++
		}
		for name, h := range one.latency {
			if all[name] == nil {
				all[name] = hdrhistogram.New(1, latencyMost, 3)
			}
			all[name].Merge(h)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		h := all[name]
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		r.Latency = append(r.Latency, Latency{
			Fault: name, Plays: plays[name], Calls: h.TotalCount(), P50: at(50), P99: at(99), Max: float64(h.Max()) / 1000,
		})
	}
	return r
}

// Print writes the report as text.
func (r Report) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%d seeds, %d calls: %d served, %d refused, %d without a whole answer\n", len(r.Seeds), r.Calls, r.Served, r.Refused, r.Lost)
	_, _ = fmt.Fprintf(w, "%d promises judged, %d breaches\n\n", len(r.Judged), r.Broken)
	_, _ = fmt.Fprintf(w, "%-28s %6s %8s %9s %9s %9s\n", "fault", "played", "served", "p50 ms", "p99 ms", "max ms")
	for _, l := range r.Latency {
		_, _ = fmt.Fprintf(w, "%-28s %6d %8d %9.1f %9.1f %9.1f\n", l.Fault, l.Plays, l.Calls, l.P50, l.P99, l.Max)
	}
	for _, one := range r.Results {
		for _, b := range one.Broken {
			_, _ = fmt.Fprintf(w, "\nseed %d broke %q: %s %s (logs in %s)\n", one.Seed, b.Promise, b.ID, b.Text, one.Folder)
		}
	}
}

// Plot draws the 99th percentile by fault into a PNG file.
func (r Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "Time to a whole answer by fault, 99th percentile"
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
