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

// Counters is a tally reporter. It sums counters, timers and histogram samples, keeps the last value of a gauge, and
// serves them as text, one "name{tags} value" a line.
type Counters struct {
	mu     sync.Mutex
	values map[string]float64
}

// NewCounters returns a reporter without values.
func NewCounters() *Counters {
	return &Counters{values: make(map[string]float64)}
}

// ReportCounter implements tally.StatsReporter.
func (c *Counters) ReportCounter(name string, tags map[string]string, value int64) {
	c.add(series(name, tags), float64(value))
}

// ReportGauge implements tally.StatsReporter.
func (c *Counters) ReportGauge(name string, tags map[string]string, value float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values[series(name, tags)] = value
}

// ReportTimer implements tally.StatsReporter.
func (c *Counters) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	c.add(series(name+"_seconds_sum", tags), interval.Seconds())
	c.add(series(name+"_count", tags), 1)
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (c *Counters) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	c.add(series(fmt.Sprintf("%s_le_%g", name, upper), tags), float64(samples))
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (c *Counters) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	c.add(series(fmt.Sprintf("%s_le_%s", name, upper), tags), float64(samples))
}

// Capabilities implements tally.StatsReporter.
func (c *Counters) Capabilities() tally.Capabilities { return c }

// Reporting implements tally.Capabilities.
func (c *Counters) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (c *Counters) Tagging() bool { return true }

// Flush implements tally.StatsReporter.
func (c *Counters) Flush() {}

// ServeHTTP writes all values sorted by name.
func (c *Counters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.values))
	for name := range c.values {
		names = append(names, name)
	}
	sort.Strings(names)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, name := range names {
		_, _ = fmt.Fprintf(w, "%s %g\n", name, c.values[name])
	}
}

func (c *Counters) add(name string, value float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values[name] += value
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
