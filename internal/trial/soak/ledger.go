package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// Kind is a kind of call.
type Kind string

// The kinds of calls.
const (
	// Booking must not run twice.
	Booking Kind = "booking"
	// Look may be repeated.
	Look Kind = "look"
	// Quote is a stream that may go on elsewhere, Brief one that may not.
	Quote Kind = "quote"
	Brief Kind = "brief"
	// Narrow is a stream of a workspace that asks for more than its rate.
	Narrow Kind = "narrow"
	// Withdrawn is a look with a key that was withdrawn or soon will be.
	Withdrawn Kind = "withdrawn"
	// Later is a look on a route that was added during the run.
	Later Kind = "later"
)

// Sent is one call with what its caller got.
type Sent struct {
	fake.Call
	Kind   Kind
	Router int
	At     time.Time
	// Done is when the answer was whole or the connection ended.
	Done  time.Time
	Reply fake.Response
	// Written tells that the whole call went out; Answered that an answer began.
	Written  bool
	Answered bool
}

// served tells whether the caller got a whole success.
func (s *Sent) served() bool { return s.Answered && s.Reply.Complete && s.Reply.Status == 200 }

// touches tells whether a spell, or what it leaves behind for a while, falls into a time.
func (s *Spell) touches(from, to time.Time, after time.Duration) bool {
	return s.From.Before(to) && (s.To.IsZero() || s.To.Add(after).After(from))
}

// Ran is one call that an upstream began to run.
type Ran struct {
	fake.Run
	Upstream string
}

// Turn is one order that an engine accepted.
type Turn struct {
	fake.Order
	Upstream string
}

const (
	// Everywhere stands for all routers, Nowhere for none of them.
	Everywhere = -1
	Nowhere    = -2
)

// Spell is a time in which a fault played on a router, Everywhere or Nowhere.
type Spell struct {
	Fault  string
	Router int
	// Planned tells that operators may do this without harm to callers.
	Planned  bool
	From, To time.Time
}

// Leave is a time in which an upstream was leaving or gone, from its notice to its return.
type Leave struct {
	Upstream string
	From, To time.Time
}

// Event is something that the operators did, with the time of its acknowledgement.
type Event struct {
	At time.Time
	// Key is a withdrawn key, Weights an announced version, Route tells that the later route was added.
	Key     string
	Weights int64
	Route   bool
}

// Ledger is all that callers and upstreams have seen. It is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	Sent   []*Sent
	Spells []Spell
	Events []Event
	Leaves []Leave
	Ran    []Ran
	Turns  []Turn
	// Crashed counts routers that ended by themselves.
	Crashed int
	// Began is the start of the calls, Quiet the end of the last fault, Over the end of the calls; zero while they go on.
	Began, Quiet, Over time.Time
	Bounds             Bounds
}

// record changes the ledger.
func (l *Ledger) record(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
}

func (l *Ledger) sent(s *Sent)  { l.record(func() { l.Sent = append(l.Sent, s) }) }
func (l *Ledger) event(e Event) { l.record(func() { l.Events = append(l.Events, e) }) }

// begin records the beginning of a spell and returns what ends it.
func (l *Ledger) begin(s Spell) func(now time.Time) {
	n := 0
	l.record(func() { n, l.Spells = len(l.Spells), append(l.Spells, s) })
	return func(now time.Time) { l.record(func() { l.Spells[n].To = now }) }
}

// leave records that an upstream gave notice and returns what records its return.
func (l *Ledger) leave(id string, now time.Time) func(now time.Time) {
	n := 0
	l.record(func() {
		n, l.Leaves = len(l.Leaves), append(l.Leaves, Leave{Upstream: id, From: now, To: now.Add(time.Hour)})
	})
	return func(now time.Time) { l.record(func() { l.Leaves[n].To = now }) }
}

// Copy returns what callers and the soak have recorded, in a ledger that does not change any more.
func (l *Ledger) Copy() *Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Ledger{
		Began: l.Began, Quiet: l.Quiet, Over: l.Over, Bounds: l.Bounds, Sent: slices.Clone(l.Sent), Spells: slices.Clone(l.Spells),
		Events: slices.Clone(l.Events), Leaves: slices.Clone(l.Leaves),
	}
}
