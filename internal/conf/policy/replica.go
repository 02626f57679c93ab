package policy

import (
	"sync"
	"time"
)

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
	weights         map[string]announcements
	// prunedBelow maps each model to the earliest version that is kept, if earlier ones were dropped because this one was certainly
	// announced long enough ago.
	prunedBelow map[string]int64
}

// NewReplica returns a replica without a document.
func NewReplica() *Replica {
	return &Replica{weights: make(map[string]announcements), prunedBelow: make(map[string]int64)}
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
