package policy

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Weights is an announced version of a model's weights.
type Weights struct {
	Model   string
	Version int64
	// FirstSeen is when an instance first saw the version, on this instance's boot-time clock, which counts suspensions.
	FirstSeen time.Duration
	// Observed reports whether an instance received the announcement. Otherwise the time is assumed, early rather than late.
	Observed bool
}

// Replica is this instance's copy of the routing document and the announced weights. It is safe for concurrent use.
// Times are on the boot-time clock, which counts suspensions.
type Replica struct {
	// AssumedAge is the age of announcements whose date is unknown. It is set before the replica is used.
	AssumedAge time.Duration

	mu sync.Mutex
	// doc is nil before the first document; its revision never decreases.
	doc *Document
	// confirmedAt is the latest time at which the store is known to have had nothing newer; valid if everConfirmed is set.
	confirmedAt   time.Duration
	everConfirmed bool
	// unreliableUntil is the time up to which the store may lack documents that it had acknowledged; zero if it was not restored.
	unreliableUntil time.Duration
	// weights maps each model to its announcements, sorted by version.
	weights map[string][]Weights
	// prunedBelow maps each model to the latest version that MinVersion returned with an observed time; earlier ones are
	// no longer needed.
	prunedBelow map[string]int64
}

// NewReplica returns a replica without a document.
func NewReplica() *Replica {
	return &Replica{weights: make(map[string][]Weights), prunedBelow: make(map[string]int64)}
}

// InstallIfNewer installs a document if its revision is higher than the current one, and reports whether it did.
func (r *Replica) InstallIfNewer(d *Document) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.doc != nil && d.Revision <= r.doc.Revision {
		return false
	}
	r.doc = d
	return true
}

// AddAnnouncement records a version of a model's weights and reports whether it is new. An observed time replaces an assumed
// one, and the earlier of two times of a kind is used. Superseded versions are recorded too, because a restarted instance
// reads only the latest from the store, without its time.
func (r *Replica) AddAnnouncement(now time.Duration, w Weights) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !w.Observed {
		w.FirstSeen = min(w.FirstSeen, now-r.AssumedAge)
	}
	all := r.weights[w.Model]
	for i := range all {
		if all[i].Version != w.Version {
			continue
		}
		if w.Observed && !all[i].Observed || w.Observed == all[i].Observed && w.FirstSeen < all[i].FirstSeen {
			all[i] = w
		}
		return false
	}
	if w.Version < r.prunedBelow[w.Model] {
		return false
	}
	if !w.Observed && r.everConfirmed && r.confirmedAt > w.FirstSeen {
		// The store did not have the version at the last confirmation, so it was announced later.
		w.FirstSeen, w.Observed = r.confirmedAt, true
	}
	i, _ := slices.BinarySearchFunc(all, w.Version, func(other Weights, version int64) int { return cmp.Compare(other.Version, version) })
	r.weights[w.Model] = slices.Insert(all, i, w)
	return true
}

func latest(all []Weights) Weights {
	if len(all) == 0 {
		return Weights{}
	}
	return all[len(all)-1]
}

// MinVersion returns the latest version of a model that was first seen at or before a time, or zero. Each version has its
// own time, so that a later announcement does not extend the deadline of an earlier one.
func (r *Replica) MinVersion(model string, before time.Duration) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.weights[model]
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].FirstSeen > before {
			continue
		}
		if all[i].Observed {
			// Earlier versions are no longer needed. An assumed time may still be corrected.
			r.weights[model] = all[i:]
			r.prunedBelow[model] = all[i].Version
		}
		return all[i].Version
	}
	return 0
}

// SupersededSince returns when the first of the versions that are later than the given one was first seen, or false if there is none.
func (r *Replica) SupersededSince(model string, version int64) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, superseded := time.Duration(0), false
	for _, w := range r.weights[model] {
		if w.Version > version && (!superseded || w.FirstSeen < since) {
			since, superseded = w.FirstSeen, true
		}
	}
	return since, superseded
}

// RestoreSettleTime is how long after a restore of the store the operators may take to write again what it has lost.
const RestoreSettleTime = 2 * time.Second

// Restored records that the store was restored from a copy. Until the given time it may lack documents that it had
// acknowledged, so that it confirms none.
func (r *Replica) Restored(until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreliableUntil = until
}

// Confirm records that the store had nothing newer at a time.
func (r *Replica) Confirm(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at < r.unreliableUntil {
		return
	}
	if !r.everConfirmed || at > r.confirmedAt {
		r.confirmedAt = at
		r.everConfirmed = true
	}
}

// Document returns the current document, or nil.
func (r *Replica) Document() *Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doc
}

// ConfirmationAge returns how long ago the document was last confirmed, or false if it never was.
func (r *Replica) ConfirmationAge(now time.Duration) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now - r.confirmedAt, r.everConfirmed
}

// Current returns the current document, or nil, and how long ago that document was last confirmed, or false if none ever was.
func (r *Replica) Current(now time.Duration) (doc *Document, age time.Duration, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doc, now - r.confirmedAt, r.everConfirmed
}

// Weights returns the latest announced version of a model, or the zero value.
func (r *Replica) Weights(model string) Weights {
	r.mu.Lock()
	defer r.mu.Unlock()
	return latest(r.weights[model])
}

// LatestWeights returns the latest announced version of each model.
func (r *Replica) LatestWeights() []Weights {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Weights, 0, len(r.weights))
	for _, w := range r.weights {
		all = append(all, latest(w))
	}
	return all
}

// RecentAnnouncements returns the announcements that were first seen after a time, and the latest one of each model that was observed by
// then. An instance that knows none of them, and does not learn of that one, starts requests on weights that it supersedes.
func (r *Replica) RecentAnnouncements(after time.Duration) []Weights {
	r.mu.Lock()
	defer r.mu.Unlock()
	var recent []Weights
	for _, all := range r.weights {
		first := len(all) - 1
		for first > 0 && !(all[first].Observed && all[first].FirstSeen <= after) {
			first--
		}
		recent = append(recent, all[first:]...)
	}
	return recent
}
