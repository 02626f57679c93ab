package load

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
)

// Percentiles are percentiles of a duration in seconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Report is the outcome of one run.
type Report struct {
	// Seconds is the duration of the run.
	Seconds float64 `json:"seconds"`
	// HitRate is the fraction of prompt tokens that engines found in their caches.
	HitRate float64 `json:"hit"`
	// FirstToken is the time to first token, TokenGap the time between tokens.
	FirstToken Percentiles `json:"first"`
	TokenGap   Percentiles `json:"gap"`
	// Total is the sum over all workspaces. WorstWorkspace has the lowest fraction of requests
	// within the target.
	Total          Tally             `json:"total"`
	WorstWorkspace string            `json:"worst"`
	Workspaces     map[string]*Tally `json:"workspaces"`

	// firstTokenCDF is the cumulative distribution of the time to first token.
	firstTokenCDF plotter.XYs
}

func (c *collector) report(elapsed time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{
		Seconds:    elapsed.Seconds(),
		FirstToken: percentiles(c.firstToken),
		TokenGap:   percentiles(c.tokenGap),
		Workspaces: c.tallies,
		Total:      Tally{Rejected: make(map[fault.Kind]int)},
	}
	if c.promptTokens > 0 {
		r.HitRate = float64(c.cachedTokens) / float64(c.promptTokens)
	}
	lowest := 2.0
	for _, name := range sortedNames(c.tallies) {
		t := c.tallies[name]
		r.Total.add(t)
		if fraction := float64(t.WithinTarget) / float64(max(1, t.Sent)); fraction < lowest {
			lowest = fraction
			r.WorstWorkspace = name
		}
	}
	for _, b := range c.firstToken.CumulativeDistribution() {
		r.firstTokenCDF = append(r.firstTokenCDF, plotter.XY{X: float64(b.ValueAt) / 1e6, Y: b.Quantile / 100})
	}
	return r
}

func (t *Tally) add(o *Tally) {
	t.Sent += o.Sent
	t.Completed += o.Completed
	t.WithinTarget += o.WithinTarget
	t.Broken += o.Broken
	t.Crossed += o.Crossed
	t.AdmittedTokens += o.AdmittedTokens
	for kind, n := range o.Rejected {
		t.Rejected[kind] += n
	}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1e6}
}

func sortedNames(tallies map[string]*Tally) []string {
	all := make([]string, 0, len(tallies))
	for name := range tallies {
		all = append(all, name)
	}
	sort.Strings(all)
	return all
}

// Print writes the report as a table.
func (r Report) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%.1f s, hit %.3f\n", r.Seconds, r.HitRate)
	_, _ = fmt.Fprintf(w, "%-14s %8s %8s %8s %8s\n", "seconds", "p50", "p95", "p99", "max")
	for _, row := range []struct {
		name string
		p    Percentiles
	}{{"first token", r.FirstToken}, {"between tokens", r.TokenGap}} {
		_, _ = fmt.Fprintf(w, "%-14s %8.4f %8.4f %8.4f %8.4f\n", row.name, row.p.P50, row.p.P95, row.p.P99, row.p.Max)
	}
	_, _ = fmt.Fprintf(w, "%-14s %8s %9s %8s %8s %8s  %s\n", "workspace", "sent", "completed", "in time", "broken", "crossed", "refused")
	for _, name := range sortedNames(r.Workspaces) {
		printTally(w, name, r.Workspaces[name])
	}
	printTally(w, "all", &r.Total)
	_, _ = fmt.Fprintf(w, "worst served: %s\n", r.WorstWorkspace)
}

func printTally(w io.Writer, name string, t *Tally) {
	_, _ = fmt.Fprintf(w, "%-14s %8d %9d %8d %8d %8d  %v\n", name, t.Sent, t.Completed, t.WithinTarget, t.Broken, t.Crossed, t.Rejected)
}

// Plot writes the cumulative distribution of the time to first token as a PNG file.
func (r Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "Time to first token"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "fraction of requests"
	line, err := plotter.NewLine(r.firstTokenCDF)
	if err != nil {
		return err
	}
	p.Add(line, plotter.NewGrid())
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}
