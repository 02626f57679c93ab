// Package feed holds this instance's replica of the routing document and checks whether it is current.
package feed

import (
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
)

const (
	// ConfirmationTTL is how long a confirmation of the latest revision stays valid.
	ConfirmationTTL = 8 * time.Second
	// maxEntries bounds the log entries retained for peers.
	maxEntries = 512
)

type peerRevision struct {
	queriedAt time.Time
	revision  int64
}

// Feed holds the current document. Its revision never decreases. It is safe for concurrent use.
type Feed struct {
	mu  sync.Mutex
	doc *rules.Document
	// entries are the latest applied ones, contiguous, ending at doc.Revision.
	entries []rules.Entry
	// confirmedAt is when doc was last confirmed as the latest committed revision.
	confirmedAt time.Time
	// latest is the highest revision reported by the store or a peer.
	latest int64
	peers  map[string]peerRevision
	// changed is closed and replaced when doc changes.
	changed chan struct{}
}

// New returns a feed without a document.
func New() *Feed {
	return &Feed{peers: make(map[string]peerRevision), changed: make(chan struct{})}
}

// Document returns the current document, or nil before the first, and a channel closed at the next change.
func (f *Feed) Document() (*rules.Document, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doc, f.changed
}

// Revision returns the current revision, 0 before the first document.
func (f *Feed) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doc == nil {
		return 0
	}
	return f.doc.Revision
}

// InstallIfNewer installs a document with a higher revision than the current one and reports whether it did.
func (f *Feed) InstallIfNewer(d *rules.Document) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doc != nil && d.Revision <= f.doc.Revision {
		return false
	}
	f.entries = nil
	f.install(d)
	return true
}

// ApplyEntries applies entries in order and skips those already applied. It stops at a gap or a digest mismatch.
func (f *Feed) ApplyEntries(entries []rules.Entry) error {
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
		if len(f.entries) > maxEntries {
			f.entries = f.entries[len(f.entries)-maxEntries:]
		}
		f.install(next)
	}
	return nil
}

func (f *Feed) install(d *rules.Document) {
	f.doc = d
	f.latest = max(f.latest, d.Revision)
	close(f.changed)
	f.changed = make(chan struct{})
}

// EntriesAfter returns the entries after a revision; false means that some are gone and a snapshot is needed.
func (f *Feed) EntriesAfter(revision int64) ([]rules.Entry, bool) {
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

// Confirm records that a revision was the latest committed one at a time.
func (f *Feed) Confirm(at time.Time, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest = max(f.latest, revision)
	if f.doc != nil && f.doc.Revision == revision && at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// RecordPeer records a peer's revision and how long ago that peer confirmed it as the latest. sent is when the query
// was sent, so that the age is never underestimated.
func (f *Feed) RecordPeer(sent time.Time, address string, revision int64, age time.Duration) {
	f.mu.Lock()
	f.peers[address] = peerRevision{queriedAt: sent, revision: revision}
	f.mu.Unlock()
	f.Confirm(sent.Add(-age), revision)
}

// ConfirmationAge returns how long ago the document was confirmed as the latest, 24 hours if it never was.
func (f *Feed) ConfirmationAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() {
		return 24 * time.Hour
	}
	return max(0, now.Sub(f.confirmedAt))
}

// Check returns nil when the document is known to be current: confirmed within ConfirmationTTL, or no newer revision
// is known and a majority of the members, this one included, reported none within ConfirmationTTL.
func (f *Feed) Check(now time.Time, members int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doc == nil {
		return fault.New(fault.NotCurrent, "no routing document yet")
	}
	if now.Sub(f.confirmedAt) <= ConfirmationTTL {
		return nil
	}
	if f.latest > f.doc.Revision {
		return fault.New(fault.NotCurrent, "revision %d is known but not yet in force", f.latest)
	}
	confirming := 1
	for _, s := range f.peers {
		if now.Sub(s.queriedAt) <= ConfirmationTTL && s.revision <= f.doc.Revision {
			confirming++
		}
	}
	if 2*confirming > members {
		return nil
	}
	return fault.New(fault.NotCurrent, "neither the store nor enough instances confirm revision %d", f.doc.Revision)
}
