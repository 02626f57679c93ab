package policy

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Weights is the newest version of a model's weights that was announced.
type Weights struct {
	Model   string
	Version int64
	// Learnt is when an instance learnt of the version, by this instance's clock that counts suspensions.
	Learnt time.Duration
	// Seen tells that an instance saw the announcement; otherwise the time is assumed, early rather than late.
	Seen bool
}

// Feed is what this instance knows of the routing document and of announced weights. It is safe for concurrent use.
// Times are of the clock that counts suspensions.
type Feed struct {
	mu sync.Mutex
	// doc is nil until the first document came; its revision never decreases.
	doc       *Document
	confirmed time.Duration
	known     bool
	// weights are the announcements of each model in order of version.
	weights map[string][]Weights
	// passed is the version of each model that was due by a time which an instance saw; earlier ones matter no more.
	passed map[string]int64
}

// NewFeed returns a feed without a document.
func NewFeed() *Feed {
	return &Feed{weights: make(map[string][]Weights), passed: make(map[string]int64)}
}

// Offer puts a document in force unless it is older than the one in force, and tells whether it did.
func (f *Feed) Offer(d *Document) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doc != nil && d.Revision <= f.doc.Revision {
		return false
	}
	f.doc = d
	return true
}

// Announce records a version of a model's weights and tells whether it is new. A time that an instance saw goes before an
// assumed one, and of two that were seen the earlier one holds. Older versions count too: an instance that has started
// reads only the newest from the store, whose time it has yet to hear. A version that was not known when the store had
// nothing newer was announced after that.
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
	if w.Version < f.passed[w.Model] {
		return false
	}
	if !w.Seen && f.known && f.confirmed > w.Learnt {
		w.Learnt, w.Seen = f.confirmed, true
	}
	at, _ := slices.BinarySearchFunc(all, w.Version, func(o Weights, version int64) int { return cmp.Compare(o.Version, version) })
	f.weights[w.Model] = slices.Insert(all, at, w)
	return true
}

func newest(all []Weights) Weights {
	if len(all) == 0 {
		return Weights{}
	}
	return all[len(all)-1]
}

// Floor returns the newest version of a model that was learnt of before a time, or zero. It is kept for each version by
// itself, so that a later announcement gives no more time to an earlier one.
func (f *Feed) Floor(model string, before time.Duration) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := f.weights[model]
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].Learnt > before {
			continue
		}
		if all[i].Seen {
			// Earlier ones are never asked for again. An assumed time may still be put right.
			f.weights[model] = all[i:]
			f.passed[model] = all[i].Version
		}
		return all[i].Version
	}
	return 0
}

// Confirm records that the store had nothing newer at a time.
func (f *Feed) Confirm(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || at > f.confirmed {
		f.confirmed = at
		f.known = true
	}
}

// Document returns the document in force, or nil.
func (f *Feed) Document() *Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doc
}

// Age returns how long ago the document was last confirmed; false before the first time.
func (f *Feed) Age(now time.Duration) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now - f.confirmed, f.known
}

// Weights returns the newest announced version of a model; the zero value when there is none.
func (f *Feed) Weights(model string) Weights {
	f.mu.Lock()
	defer f.mu.Unlock()
	return newest(f.weights[model])
}

// Announced returns the newest announced versions of all models.
func (f *Feed) Announced() []Weights {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]Weights, 0, len(f.weights))
	for _, w := range f.weights {
		all = append(all, newest(w))
	}
	return all
}

// Recent returns the announcements that were learnt of after a time, and the newest of each model.
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
