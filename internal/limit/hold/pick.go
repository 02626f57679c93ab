package hold

import "time"

// Phase is what the connection of a caller does.
type Phase string

// The phases of a connection.
const (
	// Idle is between requests.
	Idle Phase = "idle"
	// Head and Body are while a part of a request arrives.
	Head Phase = "head"
	Body Phase = "body"
	// Running is while a request runs.
	Running Phase = "running"
	// Sending is while a response waits for its caller to read.
	Sending Phase = "sending"
)

// Reason is why a connection is cut.
type Reason string

// The reasons.
const (
	// Stalled is for callers that send or read nothing for a while, Unused for connections between requests.
	Stalled Reason = "stalled"
	Unused  Reason = "unused"
	// NoKey is for requests without a known key, Largest for those of the owner that holds the most, Slowest for others.
	NoKey   Reason = "no key"
	Largest Reason = "largest owner"
	Slowest Reason = "slowest"
	// Overdue is for callers that send or read nothing until the deadline, whether or not memory is short.
	Overdue Reason = "overdue"
	// Full is for new connections for which there is no room.
	Full Reason = "full"
)

const (
	// stallAge is how long a caller that sends or reads nothing counts as moving. Lost packets are sent again within that time.
	stallAge = 500 * time.Millisecond
	// youngAge is the age up to which a connection is not cut for another one that is as young.
	youngAge = 100 * time.Millisecond
)

// Held is what the process holds for one connection.
type Held struct {
	Phase Phase
	// Known reports whether the request came with a known key.
	Known bool
	// Owner is the workspace, or the address of a caller without one.
	Owner string
	// Bytes is the memory that is held.
	Bytes int64
	// Since is when the phase began, Progress when bytes were last received or sent.
	Since, Progress time.Time
	// Moved is the number of bytes that were received or sent since then.
	Moved int64
	// Cut reports whether the connection has been cut already.
	Cut bool
}

func (h *Held) moving() bool { return h.Phase == Head || h.Phase == Body || h.Phase == Sending }

// rate returns the bytes a second since the phase began.
func (h *Held) rate(now time.Time) float64 {
	return float64(h.Moved) / max(now.Sub(h.Since), time.Millisecond).Seconds()
}

// Pick returns which connection is cut when memory or descriptors are short, and why, or -1 if none may be. The longest stalled goes
// first, then the longest idle, then the slowest without a known key, then the slowest of the owner that holds the most. Requests that
// run are never cut.
func Pick(now time.Time, held []Held) (int, Reason) {
	stalled := longest(now, held, stallAge, (*Held).moving)
	if stalled >= 0 {
		return stalled, Stalled
	}
	if unused := longest(now, held, youngAge, func(h *Held) bool { return h.Phase == Idle }); unused >= 0 {
		return unused, Unused
	}
	if i := slowest(now, held, func(h *Held) bool { return !h.Known }); i >= 0 {
		return i, NoKey
	}
	owner, several := largestOwner(held)
	i := slowest(now, held, func(h *Held) bool { return h.Owner == owner })
	switch {
	case i < 0:
		return slowest(now, held, func(*Held) bool { return true }), Slowest
	case several:
		return i, Largest
	default:
		return i, Slowest
	}
}

// longest returns the connection of a kind without progress for the longest time, if that is at least the age, or -1.
func longest(now time.Time, held []Held, age time.Duration, kind func(*Held) bool) int {
	found := -1
	for i := range held {
		h := &held[i]
		if h.Cut || !kind(h) || now.Sub(h.Progress) < age {
			continue
		}
		if found < 0 || h.Progress.Before(held[found].Progress) {
			found = i
		}
	}
	return found
}

// slowest returns the slowest connection of a kind that is moving and not young, or -1.
func slowest(now time.Time, held []Held, kind func(*Held) bool) int {
	found := -1
	for i := range held {
		h := &held[i]
		if h.Cut || !h.moving() || !kind(h) || now.Sub(h.Since) < youngAge {
			continue
		}
		if found < 0 || h.rate(now) < held[found].rate(now) {
			found = i
		}
	}
	return found
}

// largestOwner returns the owner that holds the most, and whether there are others.
func largestOwner(held []Held) (owner string, several bool) {
	sums := make(map[string]int64)
	for i := range held {
		sums[held[i].Owner] += held[i].Bytes
	}
	most := int64(-1)
	for name, sum := range sums {
		if sum > most || sum == most && name < owner {
			owner, most = name, sum
		}
	}
	return owner, len(sums) > 1
}
