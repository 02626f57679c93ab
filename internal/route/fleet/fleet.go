// Package fleet holds the state of each upstream of the site as this instance sees it: its entry in the platform's list,
// its weights, the requests in flight, and the outcomes of recent requests.
package fleet

import (
	"slices"
	"sync"
	"time"
)

const (
	// baseEjection is the duration of the first ejection, doubled with each consecutive failure. Two round trips between
	// zones and a reconnect take a small part of it.
	baseEjection = 300 * time.Millisecond
	// maxEjection limits the doubling; crashed engines are back after some seconds.
	maxEjection = 3 * time.Second
	// relistGracePeriod is how long after the return of the store upstreams are kept that are no longer listed. Operators allow about
	// two seconds for upstreams whose entries lapsed in an outage to be listed again.
	relistGracePeriod = 2 * time.Second
	// failureRateWeight is the weight of one outcome in the moving average of the failure rate.
	failureRateWeight = 0.1
	// peerLoadTTL is how long the loads that another instance reported are counted.
	peerLoadTTL = 1500 * time.Millisecond
	// unhealthyFailureRate is the failure rate from which an upstream is used only when the others are busy.
	unhealthyFailureRate = 0.25
)

// State is the state that an upstream reports about itself.
type State string

// The states of upstreams.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Entry is an upstream's entry in the platform's list.
type Entry struct {
	// ID is unique across services.
	ID      string
	Service string
	Address string
	Zone    string
	State   State
	Slots   int
	// Weights is the loaded weights version by model.
	Weights map[string]int64
	// Build is the version of its software, "" if unknown. Streams of different builds do not fit together.
	Build string `json:",omitempty"`
	// Born distinguishes incarnations with the same ID.
	Born int64
	// Cold is the remaining time during which the upstream is slow after its start.
	Cold time.Duration
}

// View is a snapshot of an upstream for one placement.
type View struct {
	Entry
	// Running is the number of requests in flight from this instance and, as reported, from all others.
	Running int
	// Own is the number of them from this instance.
	Own int
	// PendingTokens is the number of their prompt tokens that are not prefilled yet.
	PendingTokens int64
	// Held is the number of tokens that their KV caches are expected to need, of those instances that report it.
	Held int64
	// Ejected reports whether the upstream failed, or rejected a request as full, recently.
	Ejected bool
	// FailureRate is the recent failure rate: the larger of this instance's moving average and the rate over all instances.
	FailureRate float64
	// Switching reports whether the upstream is about to load weights.
	Switching bool
	// NewBuild reports whether its build has not been listed for BuildSettleTime.
	NewBuild bool
	// RetryAt is when the upstream, which has refused this instance's requests for a time, accepts them again; zero if it
	// accepts them now.
	RetryAt time.Time
	// Limited reports whether the limit that the upstream named leaves this instance no request for now.
	Limited bool
}

type localLoad struct {
	running int
	// reserved counts the requests that have been placed at the upstream and not sent yet.
	reserved int
	// connecting counts the running requests that have no connection yet.
	connecting int
	tokens     int64
	held       int64
}

type upstream struct {
	entry               Entry
	local               localLoad
	recent              window
	consecutiveFailures int
	ejectedUntil        time.Time
	failureRate         float64
	// delisted reports whether the entry may have left the list because of an outage of the store.
	delisted       bool
	switchingUntil time.Time
	// confirmed is the weights version by model, as seen in responses and orders. It overrides an older one in the list.
	confirmed map[string]int64
	shared    sharedLimit
}

type peerLoads struct {
	at    time.Time
	loads map[string]Load
}

// Load is one instance's requests in flight to an upstream, and the outcomes of its recent ones.
type Load struct {
	Running int `json:"r,omitempty"`
	// PendingTokens is the number of prompt tokens that are not prefilled yet.
	PendingTokens int64 `json:"t,omitempty"`
	// Good counts the responses of the last seconds that are not failures, client errors such as 400 included. Bad counts
	// the failures, and Unanswered the requests that got no data for a long time. All are zero unless some instance saw a
	// failure.
	Good       int `json:"g,omitempty"`
	Bad        int `json:"b,omitempty"`
	Unanswered int `json:"s,omitempty"`
	// Sent counts the latest requests to an upstream that has named a limit, and Wanted those that might have gone there.
	Sent   float64 `json:"n,omitempty"`
	Wanted float64 `json:"w,omitempty"`
	// Held is the number of tokens that the KV caches of the requests in flight are expected to need; zero from builds that do not
	// report it.
	Held int64 `json:"h,omitempty"`
	// Samples counts the answers of the last seconds whose times were compared with the expected ones, and Pace is the sum of
	// the results, in units of package learn.
	Samples int `json:"c,omitempty"`
	Pace    int `json:"p,omitempty"`
}

func (l Load) outcomes() outcomes { return outcomes{l.Good, l.Bad, l.Unanswered} }

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{
		l.Running + o.Running, l.PendingTokens + o.PendingTokens, l.Good + o.Good, l.Bad + o.Bad, l.Unanswered + o.Unanswered,
		l.Sent + o.Sent, l.Wanted + o.Wanted, l.Held + o.Held, l.Samples + o.Samples, l.Pace + o.Pace,
	}
}

// Minus returns the difference of two loads.
func (l Load) Minus(o Load) Load {
	return Load{
		l.Running - o.Running, l.PendingTokens - o.PendingTokens, l.Good - o.Good, l.Bad - o.Bad, l.Unanswered - o.Unanswered,
		l.Sent - o.Sent, l.Wanted - o.Wanted, l.Held - o.Held, l.Samples - o.Samples, l.Pace - o.Pace,
	}
}

// Fleet tracks the upstreams of the site. It is safe for concurrent use.
type Fleet struct {
	mu        sync.Mutex
	upstreams map[string]*upstream
	// notices maps the ID of an upstream to what its latest incarnation said of itself.
	notices map[string]*notice
	peers   map[string]peerLoads
	listed  bool
	// storeReturnedAt is when the store was back from its latest outage, or restored from a copy; zero if it never was.
	storeReturnedAt time.Time
	// builds maps services to builds and when upstreams of each were listed.
	builds map[string]map[string]buildTimes
	// detached reports whether this instance has no path to any upstream, so that its failures are not those of the upstreams.
	detached bool
	// limitsSeen reports whether any upstream has named a limit.
	limitsSeen bool
	// brittleServices maps services to what an upstream of each last said of how many requests it can reject.
	brittleServices map[string]brittleService
	// self is this instance's address among those of the peers.
	self string
	// instances share the limits of upstreams; reports among them take reportDelay.
	instances   int
	reportDelay time.Duration
	// storeStart is when the store's clock was zero, on this instance's steady clock. Until a response of the store has told, it is when
	// the first seats were dealt.
	storeStart      time.Time
	storeClockKnown bool
	// random returns a number from 0 to 1.
	random func() float64
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		upstreams: make(map[string]*upstream), notices: make(map[string]*notice), peers: make(map[string]peerLoads),
		builds: make(map[string]map[string]buildTimes), brittleServices: make(map[string]brittleService), instances: 1, reportDelay: defaultReportDelay, random: uniform,
	}
}

// Put stores an entry of the list and reports whether it changed the state.
func (f *Fleet) Put(e Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n, ok := f.notices[e.ID]; ok && n.born == e.Born {
		n.gone = false
		if n.leaving {
			e.State = Draining
		}
	}
	u, ok := f.upstreams[e.ID]
	if !ok || u.entry.Born != e.Born || u.entry.Address != e.Address {
		f.upstreams[e.ID] = &upstream{entry: e, confirmed: make(map[string]int64)}
		return true
	}
	changed := u.entry.State != e.State || u.entry.Build != e.Build || u.delisted || (u.entry.Cold > 0) != (e.Cold > 0)
	for model, version := range e.Weights {
		changed = changed || u.entry.Weights[model] != version
	}
	// Draining is final for an incarnation, even if an older entry is read later.
	if u.entry.State == Draining {
		e.State = Draining
	}
	u.entry = e
	u.delisted = false
	return changed
}

// Drop removes an upstream that is no longer listed and reports whether it was known. After an outage of the store it is kept for a
// grace period, in which live upstreams are listed again.
func (f *Fleet) Drop(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.upstreams[id]
	if !ok {
		return false
	}
	if f.mayHaveLapsed(now) && u.entry.State == Ready {
		u.delisted = true
		return true
	}
	f.remove(now, u)
	return true
}

// remove removes an upstream whose entry is gone. The caller holds the lock.
func (f *Fleet) remove(now time.Time, u *upstream) {
	n := f.noticeOf(u.entry.ID, u.entry.Born, now)
	n.gone = true
	n.leaving = n.leaving || u.entry.State == Draining
	delete(f.upstreams, u.entry.ID)
}

// Replace stores a complete list and drops the upstreams that it does not contain.
func (f *Fleet) Replace(now time.Time, entries []Entry) { f.replace(now, entries) }

// ReplaceRestored is Replace for the list of a store that was restored from a copy. The copy may contain upstreams that have
// left the list since; those are ignored until they write their entries again.
func (f *Fleet) ReplaceRestored(now time.Time, entries []Entry) {
	f.replace(now, slices.DeleteFunc(entries, func(e Entry) bool { return f.isGone(e) }))
}

// isGone reports whether the incarnation of an entry has left the list.
func (f *Fleet) isGone(e Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.notices[e.ID]
	return ok && n.born == e.Born && n.gone
}

func (f *Fleet) replace(now time.Time, entries []Entry) {
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
	ids := make([]string, 0, len(f.upstreams))
	for id := range f.upstreams {
		ids = append(ids, id)
	}
	return ids
}

// Entries returns the entries of all listed upstreams.
func (f *Fleet) Entries() []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := make([]Entry, 0, len(f.upstreams))
	for _, u := range f.upstreams {
		if !u.delisted {
			entries = append(entries, u.entry)
		}
	}
	return entries
}

// Listed reports whether the list was read at least once.
func (f *Fleet) Listed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// SetStoreReturned sets when the store was back from its latest outage, or restored from a copy. Zero means that there was no outage.
func (f *Fleet) SetStoreReturned(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeReturnedAt = at
}

// mayHaveLapsed reports whether a live upstream may be missing in the list because of an outage of the store. The caller holds the
// lock.
func (f *Fleet) mayHaveLapsed(now time.Time) bool {
	return !f.storeReturnedAt.IsZero() && now.Sub(f.storeReturnedAt) <= relistGracePeriod
}

// Expire drops upstreams whose grace period is over and returns their ids.
func (f *Fleet) Expire(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var expired []string
	for id, u := range f.upstreams {
		if u.delisted && !f.mayHaveLapsed(now) {
			f.remove(now, u)
			expired = append(expired, id)
		}
	}
	return expired
}

// Views returns the upstreams of a service in no particular order.
func (f *Fleet) Views(now time.Time, service string) []View {
	f.mu.Lock()
	defer f.mu.Unlock()
	var views []View
	for _, u := range f.upstreams {
		if u.entry.Service == service {
			views = append(views, f.view(now, u))
		}
	}
	return views
}

// View returns one upstream, or false if it is unknown.
func (f *Fleet) View(now time.Time, id string) (View, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.upstreams[id]
	if !ok {
		return View{}, false
	}
	return f.view(now, u), true
}

func (f *Fleet) view(now time.Time, u *upstream) View {
	v := View{
		Entry:         u.entry,
		Running:       u.local.running,
		Own:           u.local.running,
		PendingTokens: u.local.tokens,
		Held:          u.local.held,
		Ejected:       now.Before(u.ejectedUntil),
		FailureRate:   u.failureRate,
		Switching:     now.Before(u.switchingUntil),
		NewBuild:      f.isNewBuild(now, &u.entry),
		RetryAt:       f.retryAt(now, &u.entry),
		Limited:       f.isLimited(now, u),
	}
	if len(u.confirmed) > 0 {
		v.Weights = make(map[string]int64, len(u.entry.Weights))
		for model, version := range u.entry.Weights {
			v.Weights[model] = version
		}
		for model, version := range u.confirmed {
			v.Weights[model] = max(v.Weights[model], version)
		}
	}
	peers := f.peerLoad(now, u.entry.ID)
	v.Running += peers.Running
	v.PendingTokens += peers.PendingTokens
	v.Held += max(0, peers.Held)
	v.FailureRate = max(v.FailureRate, u.recent.total(now).plus(peers.outcomes()).failureRate())
	return v
}

// peerLoad returns the sum of the loads that other instances recently reported for an upstream.
func (f *Fleet) peerLoad(now time.Time, id string) Load {
	var sum Load
	for _, p := range f.peers {
		if now.Sub(p.at) < peerLoadTTL {
			sum = sum.Plus(p.loads[id])
		}
	}
	return sum
}

// PeerLoads returns the loads that other instances recently reported, by the entries of the upstreams.
func (f *Fleet) PeerLoads(now time.Time, apply func(e Entry, l Load)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		apply(f.view(now, u).Entry, f.peerLoad(now, u.entry.ID))
	}
}

// Loads returns this instance's loads by upstream, with outcomes for those that recently failed for any instance.
func (f *Fleet) Loads(now time.Time) map[string]Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markBuilds(now)
	loads := make(map[string]Load)
	for id, u := range f.upstreams {
		l := Load{Running: u.local.running, PendingTokens: u.local.tokens, Held: u.local.held}
		own, peers := u.recent.total(now), f.peerLoad(now, id)
		if !f.detached && own.bad+own.unanswered+peers.Bad+peers.Unanswered > 0 {
			l.Good, l.Bad, l.Unanswered = own.good, own.bad, own.unanswered
		}
		f.limitLoad(now, u, &l)
		if l != (Load{}) {
			loads[id] = l
		}
	}
	return loads
}

// SetDetached sets whether this instance has no path to any upstream, and reports whether that changed. What it saw fail until then,
// or while it had none, is forgotten.
func (f *Fleet) SetDetached(detached bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.detached == detached {
		return false
	}
	f.detached = detached
	for _, u := range f.upstreams {
		u.recent, u.failureRate, u.consecutiveFailures, u.ejectedUntil = window{}, 0, 0, time.Time{}
	}
	return true
}

// SetPeerLoads stores the loads that another instance reported.
func (f *Fleet) SetPeerLoads(now time.Time, peer string, loads map[string]Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[peer] = peerLoads{at: now, loads: loads}
}

// ServiceAt returns the service of the upstream at an address, or "" if there is none.
func (f *Fleet) ServiceAt(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		if u.entry.Address == address {
			return u.entry.Service
		}
	}
	return ""
}
