// Package fleet keeps what this instance knows of each upstream of the site: its entry in the platform's list, its
// weights, the requests on their way to it, and how it has answered.
package fleet

import (
	"sync"
	"time"
)

const (
	// ejectFirst is the first time for which a failing upstream is passed over; it doubles with each failure in a row.
	// Two network round trips over zones and a reconnect fit into it many times.
	ejectFirst = 300 * time.Millisecond
	// ejectMost bounds the doubling; engines that crash are back after some seconds.
	ejectMost = 3 * time.Second
	// returnGrace keeps upstreams that vanished from the list while the store was away. The operators' letter gives
	// them about two seconds after its return; the drain bound starts then.
	returnGrace = 1700 * time.Millisecond
	// healthWeight is the weight of one answer in the moving share of failures.
	healthWeight = 0.1
	// peerCountsMost is how long the loads that another instance told are counted.
	peerCountsMost = 1500 * time.Millisecond
	// healthyShare is the share of failures above which an upstream is used only when the others are busy.
	healthyShare = 0.25
)

// State is the state that an upstream reports of itself.
type State string

// The states of upstreams.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Entry is what the platform's list says of one upstream.
type Entry struct {
	// ID is unique to one upstream and is not used in two services.
	ID      string
	Service string
	Address string
	Zone    string
	State   State
	Slots   int
	// Weights is the loaded version by model.
	Weights map[string]int64
	// Born tells incarnations under one ID apart.
	Born int64
	// Cold is how much longer the upstream is slow after its start.
	Cold time.Duration
}

// View is what one decision sees of an upstream.
type View struct {
	Entry
	// Running is the number of requests on their way or in progress, of all instances as far as known.
	Running int
	// Tokens are the prompt tokens of those that were sent and have not answered yet.
	Tokens int64
	// Ejected tells that the upstream failed lately.
	Ejected bool
	// Failing is the share of requests that failed lately: the larger of this instance's moving share and that of all
	// instances.
	Failing float64
	// Switching tells that the upstream is about to load weights.
	Switching bool
}

type load struct {
	running int
	tokens  int64
}

type state struct {
	entry   Entry
	own     load
	answers window
	failed  int
	ejected time.Time
	failing float64
	// gone is when the entry vanished while the store was away; zero while it is listed.
	gone      time.Time
	switching time.Time
	// confirmed is the version seen in answers and orders, which goes before an older list.
	confirmed map[string]int64
}

type peerLoad struct {
	at    time.Time
	loads map[string]Load
}

// Load is what one instance has on its way to an upstream, and how the upstream answered it lately.
type Load struct {
	Running int   `json:"r,omitempty"`
	Tokens  int64 `json:"t,omitempty"`
	// Good, Bad and Silent count the answers, the failures and the requests that got nothing in the last seconds; all are
	// zero where no instance saw a failure.
	Good   int `json:"g,omitempty"`
	Bad    int `json:"b,omitempty"`
	Silent int `json:"s,omitempty"`
}

func (l Load) answers() answers { return answers{l.Good, l.Bad, l.Silent} }

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{l.Running + o.Running, l.Tokens + o.Tokens, l.Good + o.Good, l.Bad + o.Bad, l.Silent + o.Silent}
}

// Minus returns what is left of a sum without one of its parts.
func (l Load) Minus(o Load) Load {
	return Load{l.Running - o.Running, l.Tokens - o.Tokens, l.Good - o.Good, l.Bad - o.Bad, l.Silent - o.Silent}
}

// Fleet is safe for concurrent use.
type Fleet struct {
	mu     sync.Mutex
	states map[string]*state
	peers  map[string]peerLoad
	listed bool
	// away is when the store was last found unreachable.
	away time.Time
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{states: make(map[string]*state), peers: make(map[string]peerLoad)}
}

// Put records an entry of the list and tells whether it changed what is believed.
func (f *Fleet) Put(e Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[e.ID]
	if !ok || s.entry.Born != e.Born || s.entry.Address != e.Address {
		f.states[e.ID] = &state{entry: e, confirmed: make(map[string]int64)}
		return true
	}
	changed := s.entry.State != e.State || !s.gone.IsZero() || (s.entry.Cold > 0) != (e.Cold > 0)
	for model, version := range e.Weights {
		changed = changed || s.entry.Weights[model] != version
	}
	// Draining is final for an incarnation, also when an older entry is read later.
	if s.entry.State == Draining {
		e.State = Draining
	}
	s.entry = e
	s.gone = time.Time{}
	return changed
}

// Drop records that an entry is no longer listed and tells whether the upstream was known. After an absence of the
// store it is kept for the time in which living upstreams come back.
func (f *Fleet) Drop(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[id]
	if !ok {
		return false
	}
	if !f.away.IsZero() && now.Sub(f.away) < 2*returnGrace && s.entry.State == Ready {
		if s.gone.IsZero() {
			s.gone = now
		}
		return true
	}
	delete(f.states, id)
	return true
}

// Replace records a whole list: what it lacks is dropped.
func (f *Fleet) Replace(now time.Time, entries []Entry) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		f.Put(e)
		listed[e.ID] = true
	}
	for _, id := range f.ids() {
		if !listed[id] {
			f.Drop(now, id)
		}
	}
	f.mu.Lock()
	f.listed = true
	f.mu.Unlock()
}

func (f *Fleet) ids() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]string, 0, len(f.states))
	for id := range f.states {
		ids = append(ids, id)
	}
	return ids
}

// Entries returns the entries of all upstreams that are listed.
func (f *Fleet) Entries() []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := make([]Entry, 0, len(f.states))
	for _, s := range f.states {
		if s.gone.IsZero() {
			entries = append(entries, s.entry)
		}
	}
	return entries
}

// Listed tells whether the list was read at least once.
func (f *Fleet) Listed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// Away records that the store could not be reached.
func (f *Fleet) Away(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.After(f.away) {
		f.away = now
	}
}

// Expire drops upstreams whose grace is over and returns their ids.
func (f *Fleet) Expire(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ended []string
	for id, s := range f.states {
		if !s.gone.IsZero() && now.Sub(s.gone) > returnGrace {
			delete(f.states, id)
			ended = append(ended, id)
		}
	}
	return ended
}

// Views returns the upstreams of a service in no particular order.
func (f *Fleet) Views(now time.Time, service string) []View {
	f.mu.Lock()
	defer f.mu.Unlock()
	var views []View
	for _, s := range f.states {
		if s.entry.Service == service {
			views = append(views, f.view(now, s))
		}
	}
	return views
}

// View returns one upstream; false when it is unknown.
func (f *Fleet) View(now time.Time, id string) (View, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[id]
	if !ok {
		return View{}, false
	}
	return f.view(now, s), true
}

func (f *Fleet) view(now time.Time, s *state) View {
	v := View{
		Entry:     s.entry,
		Running:   s.own.running,
		Tokens:    s.own.tokens,
		Ejected:   now.Before(s.ejected),
		Failing:   s.failing,
		Switching: now.Before(s.switching),
	}
	if len(s.confirmed) > 0 {
		v.Weights = make(map[string]int64, len(s.entry.Weights))
		for model, version := range s.entry.Weights {
			v.Weights[model] = version
		}
		for model, version := range s.confirmed {
			v.Weights[model] = max(v.Weights[model], version)
		}
	}
	others := f.others(now, s.entry.ID)
	v.Running += others.Running
	v.Tokens += others.Tokens
	v.Failing = max(v.Failing, s.answers.count(now).plus(others.answers()).failing())
	return v
}

// others returns what all other instances told of an upstream lately.
func (f *Fleet) others(now time.Time, id string) Load {
	var sum Load
	for _, p := range f.peers {
		if now.Sub(p.at) < peerCountsMost {
			sum = sum.Plus(p.loads[id])
		}
	}
	return sum
}

// Loads returns what this instance has on its way, by upstream, and how those answered that failed for any instance.
func (f *Fleet) Loads(now time.Time) map[string]Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := make(map[string]Load)
	for id, s := range f.states {
		l := Load{Running: s.own.running, Tokens: s.own.tokens}
		a, others := s.answers.count(now), f.others(now, id)
		if a.bad+a.silent+others.Bad+others.Silent > 0 {
			l.Good, l.Bad, l.Silent = a.good, a.bad, a.silent
		}
		if l != (Load{}) {
			loads[id] = l
		}
	}
	return loads
}

// PeerLoads records what another instance has on its way.
func (f *Fleet) PeerLoads(now time.Time, peer string, loads map[string]Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[peer] = peerLoad{at: now, loads: loads}
}

// ServiceAt returns the service of the upstream at an address, or "".
func (f *Fleet) ServiceAt(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.states {
		if s.entry.Address == address {
			return s.entry.Service
		}
	}
	return ""
}
