// Package plan decides which engines load new weights next. It compares what each engine runs with what was announced,
// so that versions that were superseded are skipped and a successor goes on where its predecessor stopped.
package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

// Mode says what happens to requests that run when new weights are loaded.
type Mode string

// The modes of loading.
const (
	// Finish lets them run to their end first.
	Finish Mode = "finish"
	// Cut ends their streams.
	Cut Mode = "cut"
	// Continue goes on with them on the new weights.
	Continue Mode = "continue"
)

// Outcome is an engine's answer to an order.
type Outcome string

// The outcomes of orders.
const (
	Accepted Outcome = "accepted"
	Already  Outcome = "already"
	Busy     Outcome = "busy"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
)

// Report is what an engine says of itself, as of some hundred milliseconds ago.
type Report struct {
	// Weights is the loaded version by model.
	Weights map[string]int64
	// Busy tells that an order is in progress.
	Busy bool
	// Orders is the number of orders accepted since the engine's start.
	Orders  int64
	Waiting int
	Running int
}

// Order tells one engine to load a version.
type Order struct {
	Upstream string
	Address  string
	Model    string
	Version  int64
	Mode     Mode
	// Holder names this instance, Token is the fencing token of its lease.
	Holder string
	Token  int64
	// After is the number of orders that the engine must have accepted before.
	After int64
}

// Progress is what this instance has done about one engine.
type Progress struct {
	// Draining is since when the engine gets no new requests, so that it can load soon; zero when it does.
	Draining time.Time
	// Started is when loading was begun; zero when it is not in progress.
	Started time.Time
	// Version is what it was begun for.
	Version int64
	// Retry is the earliest next try after a failure.
	Retry time.Time
}

const (
	// outMost is the part of the sound engines that may be out of service at a time, loading or draining. The store of weights
	// serves a fifth or a sixth at full speed, and what serves must carry the load of the busiest days.
	outMost = 0.35
	// drainMost is how long an engine gets no new requests before its load begins all the same. Most answers are shorter.
	drainMost = 1200 * time.Millisecond
	// drained is the number of requests with which an engine counts as drained: ending them on the new weights costs less
	// than the load itself.
	drained = 2
	// urgent is how long after the announcement engines no longer wait for their requests; the users' bound for all
	// engines is 11 s, and no request begins on superseded weights by then.
	urgent = 6 * time.Second
)

// Move is an engine that should begin to load, and what happens to its requests.
type Move struct {
	Engine fleet.View
	Mode   Mode
}

// Target is the version to which a model's engines are brought.
type Target struct {
	Model   string
	Version int64
	// Age is the time since its announcement.
	Age time.Duration
}

// Plan is what to do now.
type Plan struct {
	// Drain are engines that should get no new requests.
	Drain []fleet.View
	// Load are engines that should begin to load.
	Load []Move
}

// Next returns the engines that should drain and those that should begin to load, those with the least work first. Most of
// the sound engines serve at every moment: new weights find no prefix in any engine, and a fleet that serves on its first few
// engines with them queues for seconds. Engines that fail come last and in no other's place, because they would not load.
func Next(now time.Time, t Target, engines []fleet.View, progress map[string]Progress) Plan {
	var open []fleet.View
	loading, draining, sound := 0, 0, 0
	for i := range engines {
		e := &engines[i]
		if e.State != fleet.Ready || e.Weights[t.Model] == 0 {
			continue
		}
		sound += 1 - failing(e)
		p := progress[e.ID]
		switch {
		case !p.Started.IsZero():
			loading += 1 - failing(e)
		case e.Weights[t.Model] < t.Version && !now.Before(p.Retry):
			open = append(open, *e)
			if !p.Draining.IsZero() {
				draining += 1 - failing(e)
			}
		}
	}
	slices.SortFunc(open, func(a, b fleet.View) int {
		return cmp.Or(failing(&a)-failing(&b), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	most := max(2, int(float64(sound)*outMost))
	if t.Age > urgent {
		most = max(2, sound/2)
	}
	var plan Plan
	for i := range open {
		e := &open[i]
		since := progress[e.ID].Draining
		waited := !since.IsZero() && now.Sub(since) >= drainMost
		// A draining engine that loads is out of service before and after.
		out := loading + draining + len(plan.Load) + len(plan.Drain)
		room := out < most || !since.IsZero()
		switch {
		case room && (e.Running <= drained || t.Age > urgent):
			plan.Load = append(plan.Load, Move{Engine: *e, Mode: Continue})
		case room && waited:
			plan.Load = append(plan.Load, Move{Engine: *e, Mode: Finish})
		case room && since.IsZero():
			plan.Drain = append(plan.Drain, *e)
		default:
			continue
		}
		if !since.IsZero() {
			draining -= 1 - failing(e)
		}
	}
	return plan
}

// failing returns 1 for an engine that fails.
func failing(v *fleet.View) int {
	if v.Ejected || !v.Healthy() {
		return 1
	}
	return 0
}

// Pending returns the number of engines that run an older version than announced.
func Pending(model string, version int64, engines []fleet.View) int {
	n := 0
	for i := range engines {
		if e := &engines[i]; e.State == fleet.Ready && e.Weights[model] > 0 && e.Weights[model] < version {
			n++
		}
	}
	return n
}
