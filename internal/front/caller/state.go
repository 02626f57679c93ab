package caller

import "time"

// Phase is what a connection is in the middle of.
type Phase string

// The phases of a connection.
const (
	// Idle is between two requests.
	Idle Phase = "idle"
	// Head is from the start of a connection, or the first byte of a further request, until its handler starts.
	Head Phase = "head"
	// Body is from the start of a handler until it has read the body.
	Body Phase = "body"
	// Run is from then until the response has been sent.
	Run Phase = "run"
)

// stallGrace is the silence after which a caller counts as stalled when others need the room; retransmissions take less.
const stallGrace = 500 * time.Millisecond

// State is what decides whether a connection is closed to make room.
type State struct {
	Phase Phase
	// Last is when the latest byte of the caller arrived, or its connection did.
	Last time.Time
	// Known reports whether the request has a valid key.
	Known bool
	// Taken is the part of the account that its request takes.
	Taken int64
}

// closable reports whether the connection may be closed to make room: it is idle, or its caller has stopped in mid-request. One that
// goes on sending, or whose request is complete, is never closed.
func (s State) closable(now time.Time) bool {
	switch s.Phase {
	case Idle:
		return true
	case Head, Body:
		return now.Sub(s.Last) >= stallGrace
	default:
		return false
	}
}

// before reports whether s is closed before other: idle connections first, then callers without a key, then the longest silent.
func (s State) before(other State) bool {
	if (s.Phase == Idle) != (other.Phase == Idle) {
		return s.Phase == Idle
	}
	if s.Known != other.Known {
		return other.Known
	}
	return s.Last.Before(other.Last)
}
