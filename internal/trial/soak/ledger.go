package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/platform/stand"
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
	// Withdrawn is a look with a key that is revoked at some point of the run.
	Withdrawn Kind = "withdrawn"
	// Later is a look on a route that was added during the run.
	Later Kind = "later"
)

// Sent is one call with its response.
type Sent struct {
	stand.Call
	Kind   Kind
	Router int
	At     time.Time
	// Done is when the response was complete or the connection ended.
	Done  time.Time
	Reply stand.Reply
	// Written reports whether the whole request was sent, Answered whether a response started.
	Written  bool
	Answered bool
}

// served reports whether the caller received a complete 200 response.
func (s *Sent) served() bool { return s.Answered && s.Reply.Whole && s.Reply.Status == 200 }

// overlaps reports whether the period, extended by settle at its end, overlaps the time between from and to.
func (p *Spell) overlaps(from, to time.Time, settle time.Duration) bool {
	return p.From.Before(to) && (p.To.IsZero() || p.To.Add(settle).After(from))
}

// Ran is one call that an upstream started to run.
type Ran struct {
	stand.Run
	Upstream string
}

// Turn is one order that an engine accepted.
type Turn struct {
	stand.Order
	Upstream string
}

const (
	// Everywhere stands for all routers, Nowhere for no router.
	Everywhere = -1
	Nowhere    = -2
)

// Spell is the time during which a fault was active on Router.
type Spell struct {
	Fault string
	// Router is an index, Everywhere or Nowhere.
	Router int
	// Planned reports whether operators may do this without harm to callers.
	Planned  bool
	From, To time.Time
}

// Leave is the time from the drain notice of an upstream to its return.
type Leave struct {
	Upstream string
	From, To time.Time
}

// Event is an action of the operators.
type Event struct {
	// At is the time of the acknowledgement.
	At time.Time
	// Key is a revoked key, Weights an announced version, Route reports whether the extra route was added.
	Key     string
	Weights int64
	Route   bool
}

// Ledger is what callers and upstreams observed during a run. It is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	Sent   []*Sent
	Spells []Spell
	Events []Event
	Leaves []Leave
	Ran    []Ran
	Turns  []Turn
	// Crashed counts unexpected exits of routers.
	Crashed int
	// Began is the start of the calls, Quiet the end of the last fault, Over the end of the calls; zero until then.
	Began, Quiet, Over time.Time
	Bounds             Bounds
}

// update runs do with the lock held.
func (h *Ledger) update(do func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	do()
}

func (h *Ledger) addCall(s *Sent)  { h.update(func() { h.Sent = append(h.Sent, s) }) }
func (h *Ledger) addEvent(e Event) { h.update(func() { h.Events = append(h.Events, e) }) }

// recordFault records the start of a fault and returns the function that records its end.
func (h *Ledger) recordFault(s Spell) func(now time.Time) {
	n := 0
	h.update(func() { n, h.Spells = len(h.Spells), append(h.Spells, s) })
	return func(now time.Time) { h.update(func() { h.Spells[n].To = now }) }
}

// recordDrain records the drain notice of an upstream and returns the function that records its return.
func (h *Ledger) recordDrain(id string, now time.Time) func(now time.Time) {
	n := 0
	h.update(func() {
		n, h.Leaves = len(h.Leaves), append(h.Leaves, Leave{Upstream: id, From: now, To: now.Add(time.Hour)})
	})
	return func(now time.Time) { h.update(func() { h.Leaves[n].To = now }) }
}

// Copy returns a snapshot without Ran, Turns and Crashed, which are collected from upstreams and processes.
func (h *Ledger) Copy() *Ledger {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &Ledger{
		Began: h.Began, Quiet: h.Quiet, Over: h.Over, Bounds: h.Bounds, Sent: slices.Clone(h.Sent), Spells: slices.Clone(h.Spells),
		Events: slices.Clone(h.Events), Leaves: slices.Clone(h.Leaves),
	}
}
