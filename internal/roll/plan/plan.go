// Package plan decides which engines load new weights next. It compares the version on each engine with the announced one,
// so that superseded versions are skipped and a new leader continues where the previous one stopped.
package plan

import (
	"cmp"
	"math"
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
	// Running is the number of requests that ran when the engine began to drain.
	Running int
	// LoadingSince is when loading began; zero if it is not in progress.
	LoadingSince time.Time
	// AcceptedAt is when the engine was found to carry out an order; zero before.
	AcceptedAt time.Time
	// Unanswered is the number of orders that brought no answer.
	Unanswered int
	// Finish is the last order that may let the running requests finish; the zero value if there was none. It counts until its version
	// is loaded, however the load has ended here.
	Finish FinishOrder
	// Version is the version that the engine drains for or loads.
	Version int64
	// RetryAt is the earliest time of the next attempt after a failure.
	RetryAt time.Time
}

// FinishOrder is an order to load once the running requests have finished. It cannot be taken back.
type FinishOrder struct {
	Model   string
	Version int64
}

// StartDrain returns the progress of an engine that begins to drain for a version.
func (p Progress) StartDrain(now time.Time, running int, version int64) Progress {
	return Progress{DrainingSince: now, Running: running, Version: version, Finish: p.Finish}
}

// StartLoad returns the progress of an engine that begins to load.
func (p Progress) StartLoad(now time.Time, t *Target, l *Load) Progress {
	next := Progress{LoadingSince: now, Version: t.Version, Finish: p.Finish}
	if l.Mode(now) == Finish {
		next.Finish = FinishOrder{t.Model, t.Version}
	}
	return next
}

// Fail returns the progress of an engine that has not loaded and may be ordered to again at a time.
func (p Progress) Fail(retryAt time.Time) Progress {
	return Progress{RetryAt: retryAt, Finish: p.Finish}
}

// stuckAfter is the time after which a load that has not ended is stuck. Loads take about half of it while half of the engines load.
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

// Draining reports whether the engine gets no new requests so that it can load soon.
func (p *Progress) Draining(now time.Time) bool {
	return !p.DrainingSince.IsZero() && now.Sub(p.DrainingSince) < DrainTTL
}

const (
	// maxUnavailable is the fraction of the engines that may be loading or draining at a time. The weights store can serve a fifth or a
	// sixth of them at full speed, and the remaining engines must carry peak load.
	maxUnavailable = 0.35
	// maxUnavailableStuck is the same with stuck loads, and the fraction that may load at a time once they are urgent.
	maxUnavailableStuck = 0.5
	// minPlaces is the number of engines that may always load or drain.
	minPlaces = 2
	// drainTimeout is how long an engine drains before it loads even if requests are still running. Most responses take less.
	drainTimeout = 1200 * time.Millisecond
	// DrainTTL is how long an engine is avoided that drains. A drain that has not led to a load by then has ended.
	DrainTTL = 2 * time.Second
	// drainedLimit is the number of running requests up to which an engine counts as drained. Completing them on the new
	// weights costs less than the load itself.
	drainedLimit = 2
	// urgentShare is the part of Target.StartLimit after which an engine loads without draining.
	urgentShare = 0.85
	// unansweredUrgentShare is the same while most orders bring no answer. They may be carried out seconds later, so that those given at
	// urgentShare would be carried out after the time by which engines should run the new weights.
	unansweredUrgentShare = 0.25
	// maxFinishing is the fraction of the engines whose loads may let requests finish at a time, and one engine always may. Such orders
	// cannot be taken back, and requests take far longer if engines become slow.
	maxFinishing = 0.1
	// finishReserve is how many mean durations beyond the logarithm of their number requests may take to finish: the last of them, with
	// exponential durations, ends earlier in seven of eight cases.
	finishReserve = 2
)

// Load is an engine that should start loading.
type Load struct {
	Engine fleet.View
	// FinishUntil is the time until which an order may let the running requests finish. Such an order cannot be taken back.
	FinishUntil time.Time
}

// Mode returns the mode of an order that is sent at a time.
func (l *Load) Mode(now time.Time) Mode {
	if now.Before(l.FinishUntil) {
		return Finish
	}
	return Continue
}

// Target is the version that the engines of a model should run.
type Target struct {
	Model   string
	Version int64
	// SupersededFor returns for how long a version has been superseded.
	SupersededFor func(version int64) time.Duration
	// StartLimit is how long superseded weights may start requests.
	StartLimit time.Duration
	// OrdersKnownFor is how long all orders have been those of this leader.
	OrdersKnownFor time.Duration
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
	// Finishing is the number of engines that may be on an order that lets requests finish, before the plan.
	Finishing int
}

// candidate is an engine that may drain or load now.
type candidate struct {
	fleet.View
	progress      Progress
	supersededFor time.Duration
	failing       bool
}

// finishes reports whether the engine may be on an order that lets requests finish. Orders of earlier leaders are not known, but they
// concerned no weights that were superseded later.
func (c *candidate) finishes(t *Target) bool {
	order := c.progress.Finish
	return c.Weights[order.Model] < order.Version || c.supersededFor > t.OrdersKnownFor
}

func (t *Target) urgent(supersededFor time.Duration) bool {
	return supersededFor >= t.urgentAge()
}

func (t *Target) urgentAge() time.Duration { return t.share(urgentShare) }

func (t *Target) share(share float64) time.Duration {
	return time.Duration(float64(t.StartLimit) * share)
}

// places counts the engines of one kind, sound or failing.
type places struct {
	ready, draining, loading, stuck int
	// unanswered are those of the stuck ones whose orders brought no answer.
	unanswered int
}

// ordersUnanswered reports whether most orders bring no answer.
func (p *places) ordersUnanswered() bool {
	return p.unanswered >= minPlaces && 2*p.unanswered >= p.loading+p.stuck
}

// free reports whether another engine may drain or load. Stuck loads do not make urgent engines wait.
func (p *places) free(urgent bool) bool {
	most := max(minPlaces, int(float64(p.ready)*maxUnavailableStuck))
	if urgent {
		return p.loading < most
	}
	unavailable := p.draining + p.loading
	return unavailable < max(minPlaces, int(float64(p.ready)*maxUnavailable)) && unavailable+p.stuck < most
}

func (p *places) add(now time.Time, progress *Progress) {
	p.ready++
	switch {
	case progress.Stuck(now):
		p.stuck++
		if progress.AcceptedAt.IsZero() && progress.Unanswered > 0 {
			p.unanswered++
		}
	case !progress.LoadingSince.IsZero():
		p.loading++
	case progress.Draining(now):
		p.draining++
	}
}

// site is the state of the engines of a model.
type site struct {
	sound, failing places
	// finishing is the number of engines that may be on an order that lets requests finish.
	finishing  int
	candidates []candidate
}

// mayFinish reports whether another load may let requests finish.
func (s *site) mayFinish() bool {
	return s.finishing < max(1, int(float64(s.sound.ready+s.failing.ready)*maxFinishing))
}

// Next returns the engines that should drain and those that should start loading. Those whose weights were superseded first go first,
// then those with few running requests. Most of the sound engines keep serving until their weights are about to be superseded for too
// long. No engine has cached prefixes for new weights, so a fleet in which only the first few engines with these weights serve queues
// requests for seconds. Failing engines come last and take no other engine's place, because they would not load.
func Next(now time.Time, t Target, engines []fleet.View, progress map[string]Progress) Plan {
	s := survey(now, &t, engines, progress)
	plan := Plan{
		Draining: s.sound.draining + s.failing.draining, Loading: s.sound.loading + s.failing.loading, Stuck: s.sound.stuck + s.failing.stuck,
		Finishing: s.finishing,
	}
	for i := range s.candidates {
		s.advance(now, &t, &s.candidates[i], &plan)
	}
	return plan
}

func survey(now time.Time, t *Target, engines []fleet.View, progress map[string]Progress) *site {
	s := &site{}
	for i := range engines {
		e := &engines[i]
		version := e.Weights[t.Model]
		if e.State != fleet.Ready || version == 0 {
			continue
		}
		c := candidate{View: *e, progress: progress[e.ID], failing: e.Ejected || !e.Healthy()}
		s.places(&c).add(now, &c.progress)
		if version < t.Version {
			c.supersededFor = t.SupersededFor(version)
		}
		if c.finishes(t) {
			s.finishing++
		}
		if version >= t.Version || !c.progress.LoadingSince.IsZero() || now.Before(c.progress.RetryAt) {
			continue
		}
		// An engine that wants nothing from this instance yet is left alone as long as its weights allow.
		if e.RetryAt.IsZero() || t.urgent(c.supersededFor) {
			s.candidates = append(s.candidates, c)
		}
	}
	slices.SortFunc(s.candidates, func(a, b candidate) int {
		return cmp.Or(compareBool(a.failing, b.failing), cmp.Compare(b.supersededFor, a.supersededFor), cmp.Compare(a.Running, b.Running),
			cmp.Compare(a.ID, b.ID))
	})
	return s
}

// places returns the places of the candidate's kind.
func (s *site) places(c *candidate) *places {
	if c.failing {
		return &s.failing
	}
	return &s.sound
}

// urgent reports whether a candidate loads without draining.
func (s *site) urgent(t *Target, c *candidate) bool {
	return t.urgent(c.supersededFor) || s.places(c).ordersUnanswered() && c.supersededFor >= t.share(unansweredUrgentShare)
}

// mayStart reports whether a candidate may drain or load. One that drains has its place.
func (s *site) mayStart(c *candidate, urgent, drains bool) bool {
	switch {
	case !urgent && drains:
		return true
	case c.failing && !urgent && !s.sound.free(false):
		return false
	default:
		return s.places(c).free(urgent)
	}
}

// advance adds a candidate to the plan.
func (s *site) advance(now time.Time, t *Target, c *candidate, plan *Plan) {
	urgent, drains := s.urgent(t, c), c.progress.Draining(now)
	timedOut := drains && now.Sub(c.progress.DrainingSince) >= drainTimeout
	p := s.places(c)
	switch {
	case !s.mayStart(c, urgent, drains) || drains && !urgent && !timedOut && c.Running > drainedLimit:
		plan.Waiting = append(plan.Waiting, c.View)
		return
	case urgent || c.Running <= drainedLimit || timedOut:
		load := Load{Engine: c.View}
		if !urgent && c.Running > drainedLimit && s.mayFinish() {
			load.FinishUntil = t.finishUntil(now, c)
		}
		if now.Before(load.FinishUntil) {
			s.finishing++
		}
		plan.Load = append(plan.Load, load)
		p.loading++
	default:
		plan.Drain = append(plan.Drain, c.View)
		p.draining++
	}
	if drains {
		p.draining--
	}
}

// finishUntil returns the time until which an order that lets the running requests finish is expected to end before the engine is urgent.
// The mean duration of the requests is that by which so many ended while the engine drained.
func (t *Target) finishUntil(now time.Time, c *candidate) time.Time {
	if c.Running >= c.progress.Running {
		return time.Time{}
	}
	before, after := math.Log(float64(c.progress.Running)), math.Log(float64(c.Running))
	mean := float64(now.Sub(c.progress.DrainingSince)) / (before - after)
	return now.Add(t.urgentAge() - c.supersededFor - time.Duration(mean*(after+finishReserve)))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
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
