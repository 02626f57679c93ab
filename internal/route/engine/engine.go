// Package engine keeps what this instance knows of each upstream: its load, its incarnation, its failures, and which prefixes it was sent.
package engine

import (
	"iter"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
)

const (
	// ejectFirst is the first time for which a failing upstream is passed over; it doubles with each failure.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 15 * time.Second
	// slowStart is how long a new incarnation gets less than its part.
	slowStart = 10 * time.Second
	// flightMost is how long a sent request counts when no load report comes.
	flightMost = 5 * time.Second
)

// Report is an upstream's load as it told it.
type Report struct {
	// Incarnation is unique to one run of the upstream.
	Incarnation string `json:"incarnation"`
	// Weights is the loaded weights version by model.
	Weights map[string]string `json:"weights,omitempty"`
	// QueueTokens are prompt tokens that wait to be computed.
	QueueTokens int64 `json:"queue_tokens"`
	// Running is the number of requests in progress.
	Running int `json:"running"`
}

// View is what is known of one upstream, as one decision sees it.
type View struct {
	Name    string
	Zone    string
	Address string
	// Incarnation is the last one seen, or "".
	Incarnation string
	// QueueTokens estimates the prompt tokens ahead of a new request.
	QueueTokens int64
	// Running estimates the requests in progress.
	Running int
	// Ejected tells that the upstream failed lately.
	Ejected bool
	// Starting tells that the incarnation is new.
	Starting bool
	// Depth is the number of leading pieces of the asked chain that the upstream is believed to hold.
	Depth int
	// Hash is the hash of the name.
	Hash uint64
}

// flight is a request sent since the last load report.
type flight struct {
	tokens int64
	sent   time.Time
}

// state is what is kept of one upstream.
type state struct {
	name        string
	hash        uint64
	upstream    rules.Upstream
	incarnation string
	seen        time.Time
	report      Report
	reportedAt  time.Time
	// flights are in order of time.
	flights []flight
	// busyUntil estimates when the queued prompts will have been computed.
	busyUntil time.Time
	failures  int
	ejected   time.Time
	leaving   bool
	// depth is set while one question is answered.
	depth int
}

// Fleet is what this instance knows of all upstreams. It is safe for concurrent use.
type Fleet struct {
	mu     sync.Mutex
	states map[string]*state
	// ordered are the states in order of name; engines are those of each model.
	ordered  []*state
	engines  map[string][]*state
	holders  *holders
	perToken time.Duration
}

// NewFleet returns an empty fleet of upstreams that take so long to compute one prompt token.
func NewFleet(perToken time.Duration) *Fleet {
	return &Fleet{states: make(map[string]*state), holders: newHolders(), perToken: perToken}
}

// Permit makes the fleet equal to the permitted upstreams, keeping what is known of those that stay.
func (f *Fleet) Permit(upstreams map[string]rules.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.states {
		if _, ok := upstreams[name]; !ok {
			delete(f.states, name)
		}
	}
	for name, u := range upstreams {
		s, ok := f.states[name]
		if !ok || s.upstream.Address != u.Address {
			s = &state{name: name, hash: xxhash.Sum64String(name)}
			f.states[name] = s
		}
		s.upstream = u
	}
	f.ordered = f.ordered[:0]
	for _, s := range f.states {
		f.ordered = append(f.ordered, s)
	}
	sort.Slice(f.ordered, func(i, j int) bool { return f.ordered[i].name < f.ordered[j].name })
	f.engines = make(map[string][]*state)
	for _, s := range f.ordered {
		if s.upstream.Kind != rules.Engine {
			continue
		}
		for _, model := range s.upstream.Models {
			f.engines[model] = append(f.engines[model], s)
		}
	}
}

// Leave records which addresses are leaving; they get no new work.
func (f *Fleet) Leave(leaving map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.states {
		s.leaving = leaving[s.upstream.Address]
	}
}

// SetPerToken sets the time in which an engine computes one prompt token.
func (f *Fleet) SetPerToken(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.perToken = d
}

// Engine returns the view of one engine; false when it is not permitted for the model or is leaving.
func (f *Fleet) Engine(now time.Time, name, model string) (View, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[name]
	if !ok || s.leaving || s.upstream.Kind != rules.Engine || !slices.Contains(s.upstream.Models, model) {
		return View{}, false
	}
	return s.view(now, f.perToken), true
}

// Each yields the engines that serve a model, in order of name, with what they are believed to hold of a chain.
// The view is valid only until the next one; the fleet must not be used in between.
func (f *Fleet) Each(now time.Time, model string, chain []prefix.Hash) iter.Seq[*View] {
	return func(yield func(*View) bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		held := f.mark(now, chain)
		defer func() {
			for _, s := range held {
				s.depth = 0
			}
		}()
		var v View
		for _, s := range f.engines[model] {
			if s.leaving {
				continue
			}
			s.see(now, f.perToken, &v)
			if !yield(&v) {
				return
			}
		}
	}
}

// mark sets the depths of the upstreams that hold some of a chain and returns them.
func (f *Fleet) mark(now time.Time, chain []prefix.Hash) []*state {
	var held []*state
	for _, h := range f.holdings(now, chain) {
		s := f.states[h.Name]
		s.depth = h.Depth
		held = append(held, s)
	}
	return held
}

// Services returns the views of the upstreams that run a plain service, in order of name.
func (f *Fleet) Services(now time.Time, service string) []View {
	f.mu.Lock()
	defer f.mu.Unlock()
	var views []View
	for _, s := range f.ordered {
		if !s.leaving && s.upstream.Kind == rules.Service && s.upstream.Service == service {
			views = append(views, s.view(now, f.perToken))
		}
	}
	return views
}

func (s *state) view(now time.Time, perToken time.Duration) View {
	var v View
	s.see(now, perToken, &v)
	return v
}

// see fills a view in.
func (s *state) see(now time.Time, perToken time.Duration, v *View) {
	if len(s.flights) > 0 {
		s.land(now.Add(-flightMost))
	}
	v.Name = s.name
	v.Hash = s.hash
	v.Zone = s.upstream.Zone
	v.Address = s.upstream.Address
	v.Incarnation = s.incarnation
	v.QueueTokens = 0
	if busy := s.busyUntil.Sub(now); busy > 0 {
		v.QueueTokens = int64(busy / perToken)
	}
	v.Running = s.report.Running + len(s.flights)
	v.Ejected = now.Before(s.ejected)
	v.Starting = !s.seen.IsZero() && now.Sub(s.seen) < slowStart
	v.Depth = s.depth
}

// land drops the flights that were sent up to a time.
func (s *state) land(until time.Time) {
	for len(s.flights) > 0 && !s.flights[0].sent.After(until) {
		s.flights = s.flights[1:]
	}
}

// enqueue adds a prompt to the estimated queue, which is worked off as time goes by.
func (s *state) enqueue(fl flight, perToken time.Duration) {
	if fl.sent.After(s.busyUntil) {
		s.busyUntil = fl.sent
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(fl.tokens) * perToken)
}

// Sent records a request on its way to an upstream and the prompt tokens that it leaves to compute. It counts until a
// load report that is newer.
func (f *Fleet) Sent(now time.Time, name string, tokens int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.states[name]; ok {
		fl := flight{tokens: tokens, sent: now}
		s.flights = append(s.flights, fl)
		s.enqueue(fl, f.perToken)
	}
}

// Succeeded records a good answer and the incarnation that gave it.
func (f *Fleet) Succeeded(now time.Time, name, incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[name]
	if !ok {
		return
	}
	s.failures = 0
	s.ejected = time.Time{}
	s.meet(now, incarnation)
}

// Failed records a failure and passes the upstream over for a while.
func (f *Fleet) Failed(now time.Time, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[name]
	if !ok || now.Before(s.ejected) {
		return
	}
	s.ejected = now.Add(min(ejectMost, ejectFirst<<min(s.failures, 5)))
	s.failures++
}

// Reported records a load report that describes the time it was asked for.
func (f *Fleet) Reported(asked time.Time, name string, r Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[name]
	if !ok || asked.Before(s.reportedAt) {
		return
	}
	s.meet(asked, r.Incarnation)
	s.report = r
	s.reportedAt = asked
	s.land(asked)
	s.busyUntil = asked.Add(time.Duration(r.QueueTokens) * f.perToken)
	for _, fl := range s.flights {
		s.enqueue(fl, f.perToken)
	}
}

// meet notes a new incarnation; what its predecessor held is no longer believed.
func (s *state) meet(now time.Time, incarnation string) {
	if incarnation == "" || incarnation == s.incarnation {
		return
	}
	if s.incarnation != "" {
		s.seen = now
	}
	s.incarnation = incarnation
}

// Remember records that an incarnation of an upstream holds the prefixes of a chain.
func (f *Fleet) Remember(now time.Time, name, incarnation string, chain []prefix.Hash) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.states[name]; ok && s.incarnation == incarnation {
		f.holders.add(now, name, incarnation, chain)
	}
}

// Correct takes back prefixes that an answer showed not to be cached.
func (f *Fleet) Correct(name string, missing []prefix.Hash) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holders.remove(name, missing)
}

// Holding says how many leading pieces of a chain an upstream is believed to hold.
type Holding struct {
	Name  string
	Depth int
}

// holdings returns the upstreams that are believed to hold some of a chain, deepest first.
func (f *Fleet) holdings(now time.Time, chain []prefix.Hash) []Holding {
	return f.holders.find(now, chain, func(name string) string {
		if s, ok := f.states[name]; ok {
			return s.incarnation
		}
		return ""
	})
}

// Holdings returns the upstreams that are believed to hold some of a chain, deepest first.
func (f *Fleet) Holdings(now time.Time, chain []prefix.Hash) []Holding {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holdings(now, chain)
}
