package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// Kind is the kind of a call.
type Kind string

const (
	// Booking must not run twice.
	Booking Kind = "booking"
	// Look may be repeated.
	Look Kind = "look"
	// Quote is a stream that may resume on another engine, Brief one that may not.
	Quote Kind = "quote"
	Brief Kind = "brief"
	// Narrow is a stream of a workspace that exceeds its rate.
	Narrow Kind = "narrow"
	// RevokedKey is a look with a key that is revoked at some point of the run.
	RevokedKey Kind = "withdrawn"
	// AddedRoute is a look on a route that was added during the run.
	AddedRoute Kind = "later"
)

// CallRecord is one call with its response.
type CallRecord struct {
	fake.Call
	Kind   Kind
	Router int
	At     time.Time
	// Done is when the response was complete or the connection ended.
	Done  time.Time
	Reply fake.Response
	// Written reports whether the whole request was sent, Answered whether a response started.
	Written  bool
	Answered bool
}

// served reports whether the caller received a complete 200 response.
func (c *CallRecord) served() bool { return c.Answered && c.Reply.Complete && c.Reply.Status == 200 }

// overlaps reports whether the period, extended by settle at its end, overlaps the time between from and to.
func (p *FaultPeriod) overlaps(from, to time.Time, settle time.Duration) bool {
	return p.From.Before(to) && (p.To.IsZero() || p.To.Add(settle).After(from))
}

// RunRecord is one call that an upstream started to run.
type RunRecord struct {
	fake.Run
	Upstream string
}

// OrderRecord is one order that an engine accepted.
type OrderRecord struct {
	fake.Order
	Upstream string
}

const (
	// AllRouters stands for all routers, NoRouter for no router.
	AllRouters = -1
	NoRouter   = -2
)

// FaultPeriod is the time during which a fault was active on Router.
type FaultPeriod struct {
	Fault string
	// Router is an index, AllRouters or NoRouter.
	Router int
	// Planned reports whether operators may do this without harm to callers.
	Planned  bool
	From, To time.Time
}

// DrainPeriod is the time from the drain notice of an upstream to its return.
type DrainPeriod struct {
	Upstream string
	From, To time.Time
}

// OperatorEvent is an action of the operators.
type OperatorEvent struct {
	// At is the time of the acknowledgement.
	At time.Time
	// Key is a revoked key, Weights an announced version, Route reports whether the extra route was added.
	Key     string
	Weights int64
	Route   bool
}

// History is what callers and upstreams observed during a run. It is safe for concurrent use.
type History struct {
	mu           sync.Mutex
	Calls        []*CallRecord
	FaultPeriods []FaultPeriod
	Events       []OperatorEvent
	DrainPeriods []DrainPeriod
	Runs         []RunRecord
	Orders       []OrderRecord
	// Crashes counts unexpected exits of routers.
	Crashes int
	// CallsStarted and CallsEnded bound the calls, FaultsEnded is the end of the last fault; zero until then.
	CallsStarted, FaultsEnded, CallsEnded time.Time
	Bounds                                Bounds
}

// update runs do with the lock held.
func (h *History) update(do func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	do()
}

func (h *History) addCall(s *CallRecord)    { h.update(func() { h.Calls = append(h.Calls, s) }) }
func (h *History) addEvent(e OperatorEvent) { h.update(func() { h.Events = append(h.Events, e) }) }

// recordFault records the start of a fault and returns the function that records its end.
func (h *History) recordFault(p FaultPeriod) func(now time.Time) {
	n := 0
	h.update(func() { n, h.FaultPeriods = len(h.FaultPeriods), append(h.FaultPeriods, p) })
	return func(now time.Time) { h.update(func() { h.FaultPeriods[n].To = now }) }
}

// recordDrain records the drain notice of an upstream and returns the function that records its return.
func (h *History) recordDrain(id string, now time.Time) func(now time.Time) {
	n := 0
	h.update(func() {
		n, h.DrainPeriods = len(h.DrainPeriods), append(h.DrainPeriods, DrainPeriod{Upstream: id, From: now, To: now.Add(time.Hour)})
	})
	return func(now time.Time) { h.update(func() { h.DrainPeriods[n].To = now }) }
}

// Copy returns a snapshot without Runs, Orders and Crashes, which are collected from upstreams and processes.
func (h *History) Copy() *History {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &History{
		CallsStarted: h.CallsStarted, FaultsEnded: h.FaultsEnded, CallsEnded: h.CallsEnded, Bounds: h.Bounds, Calls: slices.Clone(h.Calls), FaultPeriods: slices.Clone(h.FaultPeriods),
		Events: slices.Clone(h.Events), DrainPeriods: slices.Clone(h.DrainPeriods),
	}
}
