package edge

import (
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/learn"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

// learnInterval is the time between looks at what others report of the paces of upstreams. It is well below the time for which samples
// are reported.
const learnInterval = 800 * time.Millisecond

func newLearner() *learn.Tracker {
	costs := place.DefaultCosts()
	return learn.NewTracker(learn.Defaults{PerToken: costs.PerToken, PerRunning: costs.PerRunning, Response: costs.PerRunning})
}

// addPaces adds the paces that this instance has seen to its loads, if requests are placed by learned costs.
func (e *Edge) addPaces(now time.Time, loads map[string]fleet.Load) {
	if !e.handler.LearnedCosts(now, e.replica.Document()) {
		return
	}
	for id, pace := range e.learner.Report(now) {
		l := loads[id]
		l.Samples, l.Pace = pace.Count, pace.Sum
		loads[id] = l
	}
}

// learnFromPeers adds the paces that others report to what this instance has learned, and updates the gauges.
func (e *Edge) learnFromPeers(now time.Time) {
	doc := e.replica.Document()
	if doc == nil || now.Sub(e.learnedAt) < learnInterval {
		return
	}
	e.learnedAt = now
	known := make(map[string]bool)
	var reported []learn.Incarnation
	e.fleet.PeerLoads(now, func(u fleet.Entry, l fleet.Load) {
		known[u.ID] = true
		if l.Samples > 0 {
			reported = append(reported, learn.Incarnation{ID: u.ID, Born: u.Born, Version: learn.WeightsKey(u.Weights), Pace: learn.Pace{Count: l.Samples, Sum: l.Pace}})
		}
	})
	e.learner.Merge(now, reported)
	e.learner.Keep(func(id string) bool { return known[id] })
	for name := range doc.Services {
		estimate := e.learner.Estimate(now, name)
		scope := e.metrics.Tagged(map[string]string{"service": name})
		scope.Gauge("learned_token_microseconds").Update(float64(estimate.PerToken) / float64(time.Microsecond))
		scope.Gauge("learned_base_ms").Update(float64(estimate.Base) / float64(time.Millisecond))
		scope.Gauge("learned_response_ms").Update(float64(estimate.Response) / float64(time.Millisecond))
		scope.Gauge("learned_samples").Update(estimate.Samples)
	}
	acting := 0.0
	if e.handler.LearnedCosts(now, doc) {
		acting = 1
	}
	e.metrics.Gauge("learned_costs").Update(acting)
}
