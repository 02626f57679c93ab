// Package meter is a tally reporter that keeps metric values in memory and serves them as text.
package meter

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Reporter is a tally reporter. It sums counters, timers and histogram samples, keeps the last value of a gauge, and
// serves them as text, one "name{tags} value" a line.
type Reporter struct {
	mu     sync.Mutex
	values map[string]float64
}

// NewReporter returns a reporter without values.
func NewReporter() *Reporter {
	return &Reporter{values: make(map[string]float64)}
}

// ReportCounter implements tally.StatsReporter.
func (r *Reporter) ReportCounter(name string, tags map[string]string, value int64) {
	r.add(series(name, tags), float64(value))
}

// ReportGauge implements tally.StatsReporter.
func (r *Reporter) ReportGauge(name string, tags map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[series(name, tags)] = value
}

// ReportTimer implements tally.StatsReporter.
func (r *Reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.add(series(name+"_seconds_sum", tags), interval.Seconds())
	r.add(series(name+"_count", tags), 1)
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (r *Reporter) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	r.add(series(fmt.Sprintf("%s_le_%g", name, upper), tags), float64(samples))
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (r *Reporter) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	r.add(series(fmt.Sprintf("%s_le_%s", name, upper), tags), float64(samples))
}

// Capabilities implements tally.StatsReporter.
func (r *Reporter) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *Reporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *Reporter) Tagging() bool { return true }

// Flush implements tally.StatsReporter.
func (r *Reporter) Flush() {}

// ServeHTTP writes all values sorted by name.
func (r *Reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.values))
	for name := range r.values {
		names = append(names, name)
	}
	sort.Strings(names)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, name := range names {
		_, _ = fmt.Fprintf(w, "%s %g\n", name, r.values[name])
	}
}

func (r *Reporter) add(name string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[name] += value
}

// series returns a metric name with its tags sorted by key.
func series(name string, tags map[string]string) string {
	name = strings.ReplaceAll(name, ".", "_")
	if len(tags) == 0 {
		return name
	}
	pairs := make([]string, 0, len(tags))
	for k, v := range tags {
		pairs = append(pairs, fmt.Sprintf("%s=%q", k, v))
	}
	sort.Strings(pairs)
	return name + "{" + strings.Join(pairs, ",") + "}"
}
