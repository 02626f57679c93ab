// Package plan decides which engines load new weights next. It compares the version on each engine with the announced one,
// so that superseded versions are skipped and a new leader continues where the previous one stopped.
package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

// Mode is what happens to running requests when new weights are loaded.
type Mode string

// The modes of loading.
const (
	// Finish completes the requests before loading.
	Finish Mode = "finish"
	// Cut ends the streams of the requests early.
	Cut Mode = "cut"
	// Continue resumes the requests on the new weights.
	Continue Mode = "continue"
)

// Outcome is the result of an order to an engine.
type Outcome string

// The outcomes of orders.
const (
	// Accepted means that the engine will load the version.
	Accepted Outcome = "accepted"
	// AlreadyLoaded means that the engine runs the version already.
	AlreadyLoaded Outcome = "already"
	// Busy means that an order is in progress, or that the engine accepted another one since its report.
	Busy Outcome = "busy"
	// Refused means that the engine rejected the order for another reason.
	Refused Outcome = "refused"
	// Unknown means that no response arrived, so the engine may have accepted the order.
	Unknown Outcome = "unknown"
)

// Report is the status that an engine returns; it is some hundred milliseconds old.
type Report struct {
	// Weights is the loaded version by model.
	Weights map[string]int64
	// Busy reports whether an order is in progress.
	Busy bool
	// Leaving reports whether the engine has announced that it stops.
	Leaving bool
	// Orders is the number of orders accepted since the engine's start.
	Orders  int64
	Waiting int
	Running int
}

// Order is the command to one engine to load a version.
type Order struct {
	Upstream string
	Address  string
	Model    string
	Version  int64
	Mode     Mode
	// Holder is the address of this instance. Token is the fencing token of its lease.
	Holder string
	Token  int64
	// After is the number of orders that the engine must have accepted before this one.
	After int64
}

// Progress is the state of the rollout on one engine.
type Progress struct {
	// DrainingSince is when the engine stopped getting new requests so that it can load soon; zero while it gets them.
	DrainingSince time.Time
	// LoadingSince is when loading began; zero if it is not in progress.
	LoadingSince time.Time
	// AcceptedAt is when the engine was found to carry out an order; zero before.
	AcceptedAt time.Time
	// Unanswered is the number of orders that brought no answer.
	Unanswered int
	// Version is the version that the engine drains for or loads.
	Version int64
	// RetryAt is the earliest time of the next attempt after a failure.
	RetryAt time.Time
}

// stuckAfter is the time after which a load that has not ended is stuck. The weights store takes about half of it while half of the
// engines load.
const stuckAfter = 2 * time.Second

// Stuck reports whether the engine is known not to load now: an order brought no answer and no report shows that it is carried out, or
// the load takes long, as it does while requests finish.
func (p *Progress) Stuck(now time.Time) bool {
	switch {
	case p.LoadingSince.IsZero():
		return false
	case p.AcceptedAt.IsZero():
		return p.Unanswered > 0 || now.Sub(p.LoadingSince) >= stuckAfter
	default:
		return now.Sub(p.AcceptedAt) >= stuckAfter
	}
}

const (
	// maxUnavailable is the fraction of the healthy engines that may be loading or draining at a time. The weights store can
	// serve a fifth or a sixth of them at full speed, and the remaining engines must carry peak load.
	maxUnavailable = 0.35
	// drainTimeout is how long an engine drains before it loads even if requests are still running. Most responses take less.
	drainTimeout = 1200 * time.Millisecond
	// drainedLimit is the number of running requests up to which an engine counts as drained. Completing them on the new
	// weights costs less than the load itself.
	drainedLimit = 2
	// urgentAge is the time since the announcement after which engines load without draining. All engines must have loaded
	// within 11 s, and no request may start on superseded weights after that.
	urgentAge = 6 * time.Second
)

// Load is an engine that should start loading, with the mode for its running requests.
type Load struct {
	Engine fleet.View
	Mode   Mode
}

// Target is the version that the engines of a model should run.
type Target struct {
	Model   string
	Version int64
	// Age is the time since its announcement.
	Age time.Duration
}

// Plan lists the engines to act on now.
type Plan struct {
	// Drain are the engines that should get no new requests.
	Drain []fleet.View
	// Load are the engines that should start loading.
	Load []Load
	// Waiting are the other engines that run older weights and are not loading yet.
	Waiting []fleet.View
	// Draining, Loading and Stuck are the numbers of engines of each kind before the plan. Stuck ones are not among Loading.
	Draining, Loading, Stuck int
}

// Next returns the engines that should drain and those that should start loading, sorted by running requests. Most of the
// healthy engines keep serving. No engine has cached prefixes for new weights, so a fleet in which only the first few engines
// with these weights serve queues requests for seconds. Failing engines come last and take no other engine's place, because
// they would not load.
func Next(now time.Time, t Target, engines []fleet.View, progress map[string]Progress) Plan {
	var candidates []fleet.View
	var plan Plan
	loading, draining, healthy := 0, 0, 0
	for i := range engines {
		e := &engines[i]
		if e.State != fleet.Ready || e.Weights[t.Model] == 0 {
			continue
		}
		healthy += 1 - failing(e)
		p := progress[e.ID]
		plan.count(now, &p)
		switch {
		case !p.LoadingSince.IsZero():
			loading += 1 - failing(e)
		case !e.RetryAt.IsZero() && t.Age <= urgentAge:
			// The engine wants nothing from this instance yet.
		case e.Weights[t.Model] < t.Version && !now.Before(p.RetryAt):
			candidates = append(candidates, *e)
			if !p.DrainingSince.IsZero() {
				draining += 1 - failing(e)
			}
		}
	}
	slices.SortFunc(candidates, func(a, b fleet.View) int {
		return cmp.Or(failing(&a)-failing(&b), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	limit := max(2, int(float64(healthy)*maxUnavailable))
	if t.Age > urgentAge {
		limit = max(2, healthy/2)
	}
	for i := range candidates {
		e := &candidates[i]
		drainingSince := progress[e.ID].DrainingSince
		timedOut := !drainingSince.IsZero() && now.Sub(drainingSince) >= drainTimeout
		// A draining engine already counts as unavailable, so it needs no free place to start loading.
		unavailable := loading + draining + len(plan.Load) + len(plan.Drain)
		mayStart := unavailable < limit || !drainingSince.IsZero()
		switch {
		case mayStart && (e.Running <= drainedLimit || t.Age > urgentAge):
			plan.Load = append(plan.Load, Load{Engine: *e, Mode: Continue})
		case mayStart && timedOut:
			plan.Load = append(plan.Load, Load{Engine: *e, Mode: Finish})
		case mayStart && drainingSince.IsZero():
			plan.Drain = append(plan.Drain, *e)
		default:
			plan.Waiting = append(plan.Waiting, *e)
			continue
		}
		if !drainingSince.IsZero() {
			draining -= 1 - failing(e)
		}
	}
	return plan
}

// count counts the engine with the given progress.
func (p *Plan) count(now time.Time, progress *Progress) {
	switch {
	case progress.Stuck(now):
		p.Stuck++
	case !progress.LoadingSince.IsZero():
		p.Loading++
	case !progress.DrainingSince.IsZero():
		p.Draining++
	}
}

// failing returns 1 for a failing engine, else 0.
func failing(v *fleet.View) int {
	if v.Ejected || !v.Healthy() {
		return 1
	}
	return 0
}

// Pending returns the number of outdated engines: ready ones that run an older version of the model than the given one.
func Pending(model string, version int64, engines []fleet.View) int {
	n := 0
	for i := range engines {
		if e := &engines[i]; e.State == fleet.Ready && e.Weights[model] > 0 && e.Weights[model] < version {
			n++
		}
	}
	return n
}
