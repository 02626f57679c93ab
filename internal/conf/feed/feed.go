// Package feed keeps the routing document in force on this instance and decides whether it is known to be current.
package feed

import (
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
)

const (
	// Window is how long a confirmation that the revision is the newest stays good.
	Window = 8 * time.Second
	// keptEntries bounds the entries kept for peers.
	keptEntries = 512
)

// sighting is what a peer last said of its revision.
type sighting struct {
	at       time.Time
	revision int64
}

// Feed holds the document in force. Its revision never decreases.
type Feed struct {
	mu  sync.Mutex
	doc *rules.Document
	// entries are the newest applied entries, contiguous, ending at doc.Revision.
	entries []rules.Entry
	// confirmed is the latest time at which doc was known to be the newest committed revision.
	confirmed time.Time
	// newest is the highest revision heard of.
	newest int64
	peers  map[string]sighting
	// changed is closed and replaced when doc changes.
	changed chan struct{}
}

// New returns a feed that serves nothing until a document is offered.
func New() *Feed {
	return &Feed{peers: make(map[string]sighting), changed: make(chan struct{})}
}

// Document returns the document in force, or nil before the first, and a channel closed at the next change.
func (f *Feed) Document() (*rules.Document, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doc, f.changed
}

// Revision returns the revision in force, 0 before the first document.
func (f *Feed) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doc == nil {
		return 0
	}
	return f.doc.Revision
}

// Offer puts a whole document in force unless the one in force is as new. It tells whether it did.
func (f *Feed) Offer(d *rules.Document) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doc != nil && d.Revision <= f.doc.Revision {
		return false
	}
	f.entries = nil
	f.install(d)
	return true
}

// Extend applies entries in order, passing over those already applied. It stops at a gap or a mismatch.
func (f *Feed) Extend(entries []rules.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		if f.doc == nil || e.Revision <= f.doc.Revision {
			continue
		}
		next, err := f.doc.Apply(e)
		if err != nil {
			return err
		}
		f.entries = append(f.entries, e)
		if len(f.entries) > keptEntries {
			f.entries = f.entries[len(f.entries)-keptEntries:]
		}
		f.install(next)
	}
	return nil
}

func (f *Feed) install(d *rules.Document) {
	f.doc = d
	f.newest = max(f.newest, d.Revision)
	close(f.changed)
	f.changed = make(chan struct{})
}

// After returns the kept entries after a revision; false says that a snapshot is needed instead.
func (f *Feed) After(revision int64) ([]rules.Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doc == nil || revision >= f.doc.Revision {
		return nil, true
	}
	first := f.doc.Revision - int64(len(f.entries)) + 1
	if revision+1 < first {
		return nil, false
	}
	return append([]rules.Entry(nil), f.entries[revision+1-first:]...), true
}

// Confirm records that the given revision was the newest committed one at the given time.
func (f *Feed) Confirm(at time.Time, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest = max(f.newest, revision)
	if f.doc != nil && f.doc.Revision == revision && at.After(f.confirmed) {
		f.confirmed = at
	}
}

// Hear records a peer's revision and how long ago the peer knew it to be the newest.
// The sent time is when the question left this instance, so that the age errs on the old side.
func (f *Feed) Hear(sent time.Time, address string, revision int64, age time.Duration) {
	f.mu.Lock()
	f.peers[address] = sighting{at: sent, revision: revision}
	f.mu.Unlock()
	f.Confirm(sent.Add(-age), revision)
}

// Age returns how long ago the document in force was known to be the newest.
func (f *Feed) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.IsZero() {
		return 24 * time.Hour
	}
	return max(0, now.Sub(f.confirmed))
}

// Check returns nil when the document in force is known to be current: confirmed within the window, or no newer
// revision is known and a majority of the members, this one included, was heard within the window to know none.
func (f *Feed) Check(now time.Time, members int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doc == nil {
		return fault.New(fault.NotCurrent, "no routing document yet")
	}
	if now.Sub(f.confirmed) <= Window {
		return nil
	}
	if f.newest > f.doc.Revision {
		return fault.New(fault.NotCurrent, "revision %d is known but not yet in force", f.newest)
	}
	heard := 1
	for _, s := range f.peers {
		if now.Sub(s.at) <= Window && s.revision <= f.doc.Revision {
			heard++
		}
	}
	if 2*heard > members {
		return nil
	}
	return fault.New(fault.NotCurrent, "neither the store nor enough instances confirm revision %d", f.doc.Revision)
}
