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
	// Learnt is when an instance first saw the version, on this instance's boot-time clock, which counts suspensions.
	Learnt time.Duration
	// Seen reports whether an instance received the announcement. Otherwise the time is assumed, early rather than late.
	Seen bool
}

// Feed holds this instance's replica of the routing document and the announced weights. It is safe for concurrent use.
// Times are on the boot-time clock, which counts suspensions.
type Feed struct {
	mu sync.Mutex
	// doc is nil before the first document; its revision never decreases.
	doc *Document
	// confirmedAt is valid when everConfirmed is set.
	confirmedAt   time.Duration
	everConfirmed bool
	// weights maps each model to its announcements in order of version.
	weights map[string][]Weights
	// prunedBelow is each model's latest version that was due by an observed time; earlier ones are no longer needed.
	prunedBelow map[string]int64
}

// NewFeed returns a feed without a document.
func NewFeed() *Feed {
	return &Feed{weights: make(map[string][]Weights), prunedBelow: make(map[string]int64)}
}

// Offer installs a document if its revision is higher than the current one, and reports whether it did.
func (f *Feed) Offer(d *Document) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doc != nil && d.Revision <= f.doc.Revision {
		return false
	}
	f.doc = d
	return true
}

// Announce records a version of a model's weights and reports whether it is new. An observed time replaces an assumed one,
// and the earlier of two observed times is used. Superseded versions count too: a restarted instance reads only the latest
// from the store, without its time. A version that was unknown when the store had nothing newer was announced after that.
func (f *Feed) Announce(w Weights) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := f.weights[w.Model]
	for i := range all {
		if all[i].Version != w.Version {
			continue
		}
		if w.Seen && (!all[i].Seen || w.Learnt < all[i].Learnt) {
			all[i] = w
		}
		return false
	}
	if w.Version < f.prunedBelow[w.Model] {
		return false
	}
	if !w.Seen && f.everConfirmed && f.confirmedAt > w.Learnt {
		w.Learnt, w.Seen = f.confirmedAt, true
	}
	i, _ := slices.BinarySearchFunc(all, w.Version, func(other Weights, version int64) int { return cmp.Compare(other.Version, version) })
	f.weights[w.Model] = slices.Insert(all, i, w)
	return true
}

func latest(all []Weights) Weights {
	if len(all) == 0 {
		return Weights{}
	}
	return all[len(all)-1]
}

// Floor returns the latest version of a model first seen by a time, or zero. Each version has its own time, so that a later
// announcement does not extend the deadline of an earlier one.
func (f *Feed) Floor(model string, before time.Duration) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := f.weights[model]
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].Learnt > before {
			continue
		}
		if all[i].Seen {
			// Earlier versions are no longer needed. An assumed time may still be corrected.
			f.weights[model] = all[i:]
			f.prunedBelow[model] = all[i].Version
		}
		return all[i].Version
	}
	return 0
}

// Confirm records that the store had nothing newer at a time.
func (f *Feed) Confirm(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.everConfirmed || at > f.confirmedAt {
		f.confirmedAt = at
		f.everConfirmed = true
	}
}

// Document returns the current document, or nil.
func (f *Feed) Document() *Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doc
}

// Age returns how long ago the document was last confirmed, or false if it never was.
func (f *Feed) Age(now time.Duration) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now - f.confirmedAt, f.everConfirmed
}

// Weights returns the latest announced version of a model, or the zero value.
func (f *Feed) Weights(model string) Weights {
	f.mu.Lock()
	defer f.mu.Unlock()
	return latest(f.weights[model])
}

// Announced returns the latest announced version of each model.
func (f *Feed) Announced() []Weights {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]Weights, 0, len(f.weights))
	for _, w := range f.weights {
		all = append(all, latest(w))
	}
	return all
}

// Recent returns the announcements that were first seen after a time, and the latest one of each model.
func (f *Feed) Recent(after time.Duration) []Weights {
	f.mu.Lock()
	defer f.mu.Unlock()
	var recent []Weights
	for _, all := range f.weights {
		for i, w := range all {
			if w.Learnt > after || i == len(all)-1 {
				recent = append(recent, w)
			}
		}
	}
	return recent
}
