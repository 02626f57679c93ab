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

// addPaces adds the paces of engines that this instance has seen to its loads.
func (e *Edge) addPaces(now time.Time, loads map[string]fleet.Load) {
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
			reported = append(reported, learn.Incarnation{ID: u.ID, Service: u.Service, Born: u.Born, Version: learn.WeightsKey(u.Weights), Pace: learn.Pace{Count: l.Samples, Sum: l.Pace}})
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
		scope.Gauge("learned_mixed").Update(gauge(estimate.Mixed))
	}
	e.metrics.Gauge("learned_costs").Update(gauge(e.handler.LearnedCosts(now, doc)))
}

func gauge(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
