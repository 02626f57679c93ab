// Package engine keeps what this instance knows of each upstream: its load, its incarnation, its failures and what its cache may hold.
package engine

import (
	"sort"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
)

const (
	// ejectFirst is the first time for which a failing upstream is passed over; it doubles with each failure.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 15 * time.Second
	// slowStart is how long a new incarnation gets less than its part.
	slowStart = 10 * time.Second
	// HistoryTTL is how long a sent prefix is believed to be cached.
	HistoryTTL = 120 * time.Second
	// maxHistory bounds the remembered prefixes of one upstream.
	maxHistory = 8192
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
}

// flight is a request that this instance has sent and that is not finished.
type flight struct {
	tokens int64
	sent   time.Time
}

// state is what is kept of one upstream.
type state struct {
	upstream    rules.Upstream
	incarnation string
	seen        time.Time
	report      Report
	reportedAt  time.Time
	flights     map[uint64]flight
	failures    int
	ejected     time.Time
	// history maps prefixes to the time they were last sent; it is of this incarnation alone.
	history map[prefix.Hash]time.Time
	leaving bool
}

// Fleet is what this instance knows of all upstreams. It is safe for concurrent use.
type Fleet struct {
	mu     sync.Mutex
	states map[string]*state
	next   uint64
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{states: make(map[string]*state)}
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
			s = &state{flights: make(map[uint64]flight), history: make(map[prefix.Hash]time.Time)}
			f.states[name] = s
		}
		s.upstream = u
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

// Engines returns the views of the engines that serve a model, in order of name.
func (f *Fleet) Engines(now time.Time, model string) []View {
	return f.views(now, func(u rules.Upstream) bool {
		return u.Kind == rules.Engine && contains(u.Models, model)
	})
}

// Services returns the views of the upstreams that run a plain service, in order of name.
func (f *Fleet) Services(now time.Time, service string) []View {
	return f.views(now, func(u rules.Upstream) bool {
		return u.Kind == rules.Service && u.Service == service
	})
}

func (f *Fleet) views(now time.Time, match func(rules.Upstream) bool) []View {
	f.mu.Lock()
	defer f.mu.Unlock()
	var views []View
	for name, s := range f.states {
		if s.leaving || !match(s.upstream) {
			continue
		}
		views = append(views, s.view(now, name))
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Name < views[j].Name })
	return views
}

func (s *state) view(now time.Time, name string) View {
	v := View{
		Name:        name,
		Zone:        s.upstream.Zone,
		Address:     s.upstream.Address,
		Incarnation: s.incarnation,
		QueueTokens: s.report.QueueTokens,
		Running:     s.report.Running,
		Ejected:     now.Before(s.ejected),
		Starting:    s.incarnation != "" && now.Sub(s.seen) < slowStart,
	}
	for _, fl := range s.flights {
		if fl.sent.After(s.reportedAt) {
			v.QueueTokens += fl.tokens
			v.Running++
		}
	}
	return v
}

// Sent records a request on its way to an upstream and returns its number for Finished.
func (f *Fleet) Sent(now time.Time, name string, tokens int64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	if s, ok := f.states[name]; ok {
		s.flights[f.next] = flight{tokens: tokens, sent: now}
	}
	return f.next
}

// Computed records that a sent request's prompt has been computed, so that it no longer waits in the queue.
func (f *Fleet) Computed(name string, number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.states[name]; ok {
		if fl, ok := s.flights[number]; ok {
			fl.tokens = 0
			s.flights[number] = fl
		}
	}
}

// Finished records the end of a sent request.
func (f *Fleet) Finished(name string, number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.states[name]; ok {
		delete(s.flights, number)
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
	if !ok {
		return
	}
	delay := min(ejectMost, ejectFirst<<min(s.failures, 5))
	s.failures++
	s.ejected = now.Add(delay)
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
}

// meet forgets what a dead incarnation had cached.
func (s *state) meet(now time.Time, incarnation string) {
	if incarnation == "" || incarnation == s.incarnation {
		return
	}
	if s.incarnation != "" {
		s.seen = now
	}
	s.incarnation = incarnation
	s.history = make(map[prefix.Hash]time.Time)
}

// Remember records that an incarnation of an upstream now holds the prefixes of a chain.
func (f *Fleet) Remember(now time.Time, name, incarnation string, chain []prefix.Hash) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[name]
	if !ok || s.incarnation != incarnation {
		return
	}
	if len(s.history)+len(chain) > maxHistory {
		s.prune(now)
	}
	for _, h := range chain {
		s.history[h] = now
	}
}

// Correct takes back prefixes that an answer showed not to be cached.
func (f *Fleet) Correct(name string, missing []prefix.Hash) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.states[name]; ok {
		for _, h := range missing {
			delete(s.history, h)
		}
	}
}

func (s *state) prune(now time.Time) {
	for h, at := range s.history {
		if now.Sub(at) > HistoryTTL/4 {
			delete(s.history, h)
		}
	}
	if len(s.history) > maxHistory/2 {
		s.history = make(map[prefix.Hash]time.Time)
	}
}

// Cached returns how many leading pieces of a chain each named upstream is believed to hold.
func (f *Fleet) Cached(now time.Time, names []string, chain []prefix.Hash) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	depths := make([]int, len(names))
	for i, name := range names {
		s, ok := f.states[name]
		if !ok {
			continue
		}
		for depth := len(chain); depth > 0; depth-- {
			at, ok := s.history[chain[depth-1]]
			if ok && now.Sub(at) <= HistoryTTL {
				depths[i] = depth
				break
			}
		}
	}
	return depths
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
