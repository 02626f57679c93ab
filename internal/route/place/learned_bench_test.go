package place

import (
	"testing"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/learn"
)

// trackedPaces implements Paces as the router does.
type trackedPaces struct{ learner *learn.Tracker }

func (p trackedPaces) Pace(v *fleet.View) (pace, samples float64) {
	return p.learner.Pace(time.Unix(1000, 0), v.ID, v.Born, learn.WeightsKey(v.Weights))
}

func BenchmarkChooseLearned(b *testing.B) {
	views := engines(90, 1)
	l := learn.NewTracker(learn.Defaults{PerToken: 25 * time.Microsecond, PerRunning: 4 * time.Millisecond})
	for i := range 2000 {
		l.Steps(time.Unix(1000, 0), learn.Sample{Service: "s", Upstream: views[i%90].ID, Version: 1, Took: 5 * time.Millisecond})
	}
	q := newQuery(map[string]int{"e03": 2})
	q.Unreported = time.Second
	learned := newLearned()
	learned.Paces = trackedPaces{l}
	for name, with := range map[string]*Learned{"default": nil, "learned": learned} {
		b.Run(name, func(b *testing.B) {
			q := q
			q.Learned = with
			for b.Loop() {
				Choose(q, views, DefaultCosts())
			}
		})
	}
}
