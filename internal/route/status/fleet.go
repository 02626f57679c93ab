// Package status tracks the state of each upstream as this instance sees it: load, incarnation, failures, and the prefixes
// that it was sent.
package status

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
	// baseEjection is the duration of the first ejection, doubled with each consecutive failure up to maxEjection.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 15 * time.Second
	// slowStart is how long a restarted upstream gets less than its share of requests.
	slowStart = 10 * time.Second
	// unreportedTTL is how long a sent request counts towards the load if no load report arrives.
	unreportedTTL = 5 * time.Second
)

// MaxReportBytes bounds the body of a load report.
const MaxReportBytes = 64 << 10

// Report is the load that an upstream reports.
type Report struct {
	// Incarnation is unique to one run of the upstream.
	Incarnation string `json:"incarnation"`
	// Weights maps each model to its loaded weights version.
	Weights map[string]string `json:"weights,omitempty"`
	// QueueTokens is the number of prompt tokens that wait to be computed.
	QueueTokens int64 `json:"queue_tokens"`
	// Running is the number of requests in progress.
	Running int `json:"running"`
}

// View is a snapshot of one upstream's state for one placement decision.
type View struct {
	Name    string
	Zone    string
	Address string
	// Incarnation is the last incarnation seen, or "".
	Incarnation string
	// QueueTokens is the estimated number of prompt tokens queued ahead of a new request.
	QueueTokens int64
	// Running is the estimated number of requests in progress.
	Running int
	// Ejected reports whether the upstream is avoided after a failure.
	Ejected bool
	// Starting reports whether the upstream restarted recently.
	Starting bool
	// Depth is the number of leading pieces of the queried chain assumed to be cached.
	Depth int
	// Hash is the hash of Name.
	Hash uint64
}

// sentRequest is a request that the last load report does not include.
type sentRequest struct {
	tokens int64
	sentAt time.Time
}

// state is the tracked state of one upstream.
type state struct {
	name        string
	hash        uint64
	upstream    rules.Upstream
	incarnation string
	// restartedAt is when the last change of incarnation was seen.
	restartedAt time.Time
	report      Report
	// polledAt is when the last load report was requested.
	polledAt time.Time
	// unreported is sorted by sentAt.
	unreported []sentRequest
	// busyUntil is the estimated time at which all queued prompts are computed.
	busyUntil           time.Time
	consecutiveFailures int
	ejectedUntil        time.Time
	leaving             bool
	// depth is set only while Engines runs.
	depth int
}

// Fleet is the state of all upstreams as this instance sees it. It is safe for concurrent use.
type Fleet struct {
	mu     sync.Mutex
	states map[string]*state
	// byName is sorted by name, as are the engines of each model.
	byName   []*state
	engines  map[string][]*state
	prefixes *prefixIndex
	perToken time.Duration
}

// NewFleet returns an empty fleet whose upstreams compute one prompt token in perToken.
func NewFleet(perToken time.Duration) *Fleet {
	return &Fleet{states: make(map[string]*state), prefixes: newPrefixIndex(), perToken: perToken}
}

// SetUpstreams replaces the set of permitted upstreams. Upstreams that stay at the same address keep their state.
func (f *Fleet) SetUpstreams(upstreams map[string]rules.Upstream) {
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
	f.byName = f.byName[:0]
	for _, s := range f.states {
		f.byName = append(f.byName, s)
	}
	sort.Slice(f.byName, func(i, j int) bool { return f.byName[i].name < f.byName[j].name })
	f.engines = make(map[string][]*state)
	for _, s := range f.byName {
		if s.upstream.Kind != rules.Engine {
			continue
		}
		for _, model := range s.upstream.Models {
			f.engines[model] = append(f.engines[model], s)
		}
	}
}

// SetLeaving replaces the set of leaving addresses, which get no new requests.
func (f *Fleet) SetLeaving(leaving map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.states {
		s.leaving = leaving[s.upstream.Address]
	}
}

// SetPerToken sets the time to compute one prompt token.
func (f *Fleet) SetPerToken(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.perToken = d
}

// Engine returns the view of one engine, or false when it is not permitted for the model or is leaving.
func (f *Fleet) Engine(now time.Time, name, model string) (View, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[name]
	if !ok || s.leaving || s.upstream.Kind != rules.Engine || !slices.Contains(s.upstream.Models, model) {
		return View{}, false
	}
	return s.view(now, f.perToken), true
}

// Engines yields the engines that serve a model, sorted by name, with the depth to which they hold a chain.
// The view is valid only until the next one. The loop body must not call the fleet, whose lock is held.
func (f *Fleet) Engines(now time.Time, model string, chain []prefix.Hash) iter.Seq[*View] {
	return func(yield func(*View) bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		matched := f.setDepths(now, chain)
		defer func() {
			for _, s := range matched {
				s.depth = 0
			}
		}()
		var v View
		for _, s := range f.engines[model] {
			if s.leaving {
				continue
			}
			s.fillView(now, f.perToken, &v)
			if !yield(&v) {
				return
			}
		}
	}
}

// setDepths sets the depths of the upstreams that hold a prefix of a chain and returns them.
func (f *Fleet) setDepths(now time.Time, chain []prefix.Hash) []*state {
	var matched []*state
	for _, h := range f.holdings(now, chain) {
		s := f.states[h.Name]
		s.depth = h.Depth
		matched = append(matched, s)
	}
	return matched
}

// Services returns the views of the upstreams that run a plain service, sorted by name.
func (f *Fleet) Services(now time.Time, service string) []View {
	f.mu.Lock()
	defer f.mu.Unlock()
	var views []View
	for _, s := range f.byName {
		if !s.leaving && s.upstream.Kind == rules.Service && s.upstream.Service == service {
			views = append(views, s.view(now, f.perToken))
		}
	}
	return views
}

func (s *state) view(now time.Time, perToken time.Duration) View {
	var v View
	s.fillView(now, perToken, &v)
	return v
}

func (s *state) fillView(now time.Time, perToken time.Duration, v *View) {
	if len(s.unreported) > 0 {
		s.dropUnreported(now.Add(-unreportedTTL))
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
	v.Running = s.report.Running + len(s.unreported)
	v.Ejected = now.Before(s.ejectedUntil)
	v.Starting = !s.restartedAt.IsZero() && now.Sub(s.restartedAt) < slowStart
	v.Depth = s.depth
}

// dropUnreported drops requests sent at or before cutoff.
func (s *state) dropUnreported(cutoff time.Time) {
	for len(s.unreported) > 0 && !s.unreported[0].sentAt.After(cutoff) {
		s.unreported = s.unreported[1:]
	}
}

// enqueue adds a request to the estimated queue, which drains at one token every perToken.
func (s *state) enqueue(r sentRequest, perToken time.Duration) {
	if r.sentAt.After(s.busyUntil) {
		s.busyUntil = r.sentAt
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(r.tokens) * perToken)
}

// RequestSent records a request sent to an upstream and its prompt tokens to compute. It counts until a later load report.
func (f *Fleet) RequestSent(now time.Time, name string, tokens int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.states[name]; ok {
		r := sentRequest{tokens: tokens, sentAt: now}
		s.unreported = append(s.unreported, r)
		s.enqueue(r, f.perToken)
	}
}

// Succeeded records a successful response and the incarnation that sent it.
func (f *Fleet) Succeeded(now time.Time, name, incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[name]
	if !ok {
		return
	}
	s.consecutiveFailures = 0
	s.ejectedUntil = time.Time{}
	s.setIncarnation(now, incarnation)
}

// Failed records a failure and ejects the upstream, unless it is ejected already.
func (f *Fleet) Failed(now time.Time, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[name]
	if !ok || now.Before(s.ejectedUntil) {
		return
	}
	s.ejectedUntil = now.Add(min(maxEjection, baseEjection<<min(s.consecutiveFailures, 5)))
	s.consecutiveFailures++
}

// LoadReported records a load report that was requested at polledAt; reports out of order are ignored.
func (f *Fleet) LoadReported(polledAt time.Time, name string, r Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[name]
	if !ok || polledAt.Before(s.polledAt) {
		return
	}
	s.setIncarnation(polledAt, r.Incarnation)
	s.report = r
	s.polledAt = polledAt
	s.dropUnreported(polledAt)
	s.busyUntil = polledAt.Add(time.Duration(r.QueueTokens) * f.perToken)
	for _, req := range s.unreported {
		s.enqueue(req, f.perToken)
	}
}

// setIncarnation records the current incarnation. Prefixes held by an earlier one no longer count as cached.
func (s *state) setIncarnation(now time.Time, incarnation string) {
	if incarnation == "" || incarnation == s.incarnation {
		return
	}
	if s.incarnation != "" {
		s.restartedAt = now
	}
	s.incarnation = incarnation
}

// AddPrefixes records that an incarnation of an upstream holds the prefixes of a chain, if it is the current one.
func (f *Fleet) AddPrefixes(now time.Time, name, incarnation string, chain []prefix.Hash) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.states[name]; ok && s.incarnation == incarnation {
		f.prefixes.add(now, name, incarnation, chain)
	}
}

// RemovePrefixes removes prefixes that a response showed not to be cached.
func (f *Fleet) RemovePrefixes(name string, missing []prefix.Hash) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prefixes.remove(name, missing)
}

// Holding is the number of leading pieces of a chain that an upstream is assumed to hold.
type Holding struct {
	Name  string
	Depth int
}

// holdings implements Holdings; the caller holds f.mu.
func (f *Fleet) holdings(now time.Time, chain []prefix.Hash) []Holding {
	return f.prefixes.find(now, chain, func(name string) string {
		if s, ok := f.states[name]; ok {
			return s.incarnation
		}
		return ""
	})
}

// Holdings returns the upstreams that are assumed to hold a prefix of a chain, deepest first.
func (f *Fleet) Holdings(now time.Time, chain []prefix.Hash) []Holding {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holdings(now, chain)
}
