package fleet

import "time"

// Bar is why a request that was placed at an upstream may not be sent to it any more.
type Bar string

// The bars.
const (
	// NotBarred: the request may be sent.
	NotBarred Bar = ""
	// Gone: the list names no such upstream, or another one of that ID.
	Gone Bar = "gone"
	// Leaving: the upstream stops soon.
	Leaving Bar = "leaving"
	// Paused: the upstream accepts no requests of this instance for a time.
	Paused Bar = "paused"
	// Full: the upstream is brittle and has rejected a request for want of room since.
	Full Bar = "full"
)

// Check returns whether a request that was placed at an upstream at a time, by its entry then, may still be sent to it. The request has no
// connection yet.
func (f *Fleet) Check(now, placedAt time.Time, placed Entry) Bar {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.upstreams[placed.ID]
	switch {
	case !ok || !u.entry.isSame(&placed):
		return Gone
	case u.entry.State != Ready:
		return Leaving
	case !f.retryAt(now, &u.entry).IsZero():
		return Paused
	case f.isFull(now, placedAt, u):
		return Full
	default:
		return NotBarred
	}
}

// isSame reports whether two entries are of the same process.
func (e *Entry) isSame(o *Entry) bool {
	return e.Born == o.Born && e.Address == o.Address && e.Service == o.Service && e.Build == o.Build
}
