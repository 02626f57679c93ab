// Package outage decides, from the reads of all instances, whether the platform's store was away for all of them. Failed reads of one
// instance are no outage while others read the store.
package outage

import (
	"sync"
	"time"
)

// Span is a time in which some instance read the store again and again, with less than the tracker's limit between two reads. Its bounds
// are those of the first and of the last read.
type Span struct {
	Since, Until time.Duration
}

// Tracker holds when the store was last read by any instance, and when it was back from the latest outage. Times are on the boot-time
// clock, which counts suspensions. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// limit is the time without a read, and with one that failed, from which the store counts as away.
	limit time.Duration
	// span is the latest span that is known.
	span  Span
	known bool
	// failedAt is when a read failed last, at this instance or at one that reported it; zero if none did.
	failedAt time.Duration
	// returnedAt is the first read after the latest outage; zero if there was none.
	returnedAt time.Duration
	// restoredAt is when the store was last restored from a copy; zero if it never was. Earlier reads show nothing about later ones.
	restoredAt time.Duration
}

// NewTracker returns a tracker. The store counts as away when no instance has read it for the limit.
func NewTracker(limit time.Duration) *Tracker { return &Tracker{limit: limit} }

// Failed records that the store could not be read.
func (tr *Tracker) Failed(at time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.failedAt = max(tr.failedAt, at)
}

// Restored records that the store was restored from a copy, which may lack what was written before.
func (tr *Tracker) Restored(at time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.restoredAt, tr.returnedAt = at, at
	tr.span.Since, tr.span.Until = max(tr.span.Since, at), max(tr.span.Until, at)
	tr.known = true
}

// Served records a span that this instance or another one has seen, and the return from an outage, or the failed read, that the other one
// reported with it; zero for none.
func (tr *Tracker) Served(s Span, returnedAt time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if returnedAt > s.Until {
		// It says that a read has failed after the last one that succeeded.
		tr.failedAt, returnedAt = max(tr.failedAt, returnedAt), 0
	}
	previous := tr.span
	switch {
	case !tr.known:
		tr.span, tr.known = s, true
	case s.Since > previous.Until+tr.limit:
		tr.span = s
		if tr.failedAt > previous.Until || returnedAt > previous.Until {
			tr.returnedAt = s.Since
		}
	case s.Until+tr.limit >= previous.Since:
		tr.span = Span{Since: min(s.Since, previous.Since), Until: max(s.Until, previous.Until)}
	}
	tr.span.Since = max(tr.span.Since, tr.restoredAt)
	if returnedAt > tr.returnedAt+tr.limit {
		// Reports date the same outage later each time that they are passed on.
		tr.returnedAt = returnedAt
	}
	if tr.returnedAt != tr.restoredAt && tr.returnedAt-tr.span.Since >= tr.limit {
		// Others read the store all the while.
		tr.returnedAt = tr.restoredAt
	}
}

// Latest returns the latest span in which the store was read, or false if it never was.
func (tr *Tracker) Latest() (Span, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.span, tr.known
}

// ReturnedAt returns when the store was back from the latest outage or restore, or false if there was none.
func (tr *Tracker) ReturnedAt() (time.Duration, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.returnedAt, tr.returnedAt != 0
}
