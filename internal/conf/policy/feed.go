package policy

import (
	"sync"
	"time"
)

// Weights is the newest version of a model's weights that was announced.
type Weights struct {
	Model   string
	Version int64
	// Learnt is when this instance learnt of the version, by the clock that counts suspensions.
	Learnt time.Duration
}

// Feed is what this instance knows of the routing document and of announced weights. It is safe for concurrent use.
// Times are of the clock that counts suspensions.
type Feed struct {
	mu sync.Mutex
	// doc is nil until the first document came; its revision never decreases.
	doc       *Document
	confirmed time.Duration
	known     bool
	weights   map[string]Weights
}

// NewFeed returns a feed without a document.
func NewFeed() *Feed {
	return &Feed{weights: make(map[string]Weights)}
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

// Announce records a version of a model's weights unless it is not newer, and tells whether it did.
func (f *Feed) Announce(now time.Duration, model string, version int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.weights[model].Version >= version {
		return false
	}
	f.weights[model] = Weights{Model: model, Version: version, Learnt: now}
	return true
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
	return f.weights[model]
}

// Announced returns the newest announced versions of all models.
func (f *Feed) Announced() []Weights {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]Weights, 0, len(f.weights))
	for _, w := range f.weights {
		all = append(all, w)
	}
	return all
}
