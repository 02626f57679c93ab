package fleet

import "time"

const (
	// noticeTTL is how long the notices of an upstream are kept after it has left the list; it may be listed again.
	noticeTTL = 5 * time.Minute
	// departureReportTTL is how long a departure is reported to other instances.
	departureReportTTL = 5 * time.Second
)

// notice is what an upstream has said about itself in its responses to this instance.
type notice struct {
	// born is the incarnation of the upstream that the notice is about.
	born int64
	at   time.Time
	// leaving reports whether it stops soon. It is final for the incarnation.
	leaving bool
	// seenLeaving is when this instance last saw the departure itself; zero if only others did.
	seenLeaving time.Time
	// gone reports whether the incarnation was removed from the list and was not listed again since.
	gone bool
	// retryAt is when it accepts requests of this instance again; zero if it has not refused them for a time.
	retryAt time.Time
	// limit is the number of requests a second that it takes from all instances together, as of limitAt; nil if it named none.
	// limitSeen is when a response to this instance said so last; zero if only others did.
	limit     *float64
	limitAt   time.Time
	limitSeen time.Time
	// brittle is the number of requests that it can reject in a second for want of room, as of limitAt; nil if it named none.
	brittle *float64
	// crowdedAt is when it last rejected one, of any instance, and room how many requests of all instances it had then. CrowdedSeen
	// is when it last rejected one of this instance.
	crowdedAt   time.Time
	crowdedSeen time.Time
	room        int
}

// Departure is an incarnation of an upstream that stops soon.
type Departure struct {
	ID   string `json:"i"`
	Born int64  `json:"b,omitempty"`
}

// noticeOf returns the notices of an incarnation, for changes. The caller holds the lock.
func (f *Fleet) noticeOf(id string, born int64, now time.Time) *notice {
	n, ok := f.notices[id]
	if !ok || n.born != born {
		n = &notice{born: born}
		f.notices[id] = n
	}
	n.at = now
	return n
}

// MarkLeaving records that an incarnation of an upstream has announced that it stops. Own reports whether it did so in a
// response to this instance. It returns whether that is new.
func (f *Fleet) MarkLeaving(now time.Time, d Departure, own bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, listed := f.upstreams[d.ID]
	if listed && u.entry.Born != d.Born {
		return false
	}
	n := f.noticeOf(d.ID, d.Born, now)
	added := !n.leaving
	n.leaving = true
	if own {
		n.seenLeaving = now
	}
	if listed {
		u.entry.State = Draining
	}
	return added
}

// Departures returns the departures that this instance has recently seen itself.
func (f *Fleet) Departures(now time.Time) []Departure {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Departure
	for id, n := range f.notices {
		if !n.seenLeaving.IsZero() && now.Sub(n.seenLeaving) < departureReportTTL {
			out = append(out, Departure{id, n.born})
		}
	}
	return out
}

// PauseUntil records that an incarnation of an upstream accepts no requests of this instance until a time. A later pause
// replaces an earlier one only if it ends later.
func (f *Fleet) PauseUntil(now time.Time, id string, born int64, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u, ok := f.upstreams[id]; ok && u.entry.Born != born {
		return
	}
	if n := f.noticeOf(id, born, now); until.After(n.retryAt) {
		n.retryAt = until
	}
}

// retryAt returns when an upstream accepts requests of this instance again, or zero if it does now. The caller holds the lock.
func (f *Fleet) retryAt(now time.Time, e *Entry) time.Time {
	if n, ok := f.notices[e.ID]; ok && n.born == e.Born && now.Before(n.retryAt) {
		return n.retryAt
	}
	return time.Time{}
}

// NextRetry returns the earliest time at which a paused upstream of a service accepts requests again, or one with a limit may get its
// next request. It returns false if there is none, or only ones with a limit beside others that take requests.
func (f *Fleet) NextRetry(now time.Time, service string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var paused, limited time.Time
	open := false
	for _, u := range f.upstreams {
		if u.entry.Service != service || u.entry.State != Ready {
			continue
		}
		if at := f.retryAt(now, &u.entry); !at.IsZero() {
			paused = earlier(paused, at)
		} else if rate, ok := f.limitOf(&u.entry); ok {
			limited = earlier(limited, now.Add(time.Duration(float64(time.Second)/rate)))
		} else {
			open = true
		}
	}
	if open || limited.IsZero() {
		return paused, !paused.IsZero()
	}
	return earlier(paused, limited), true
}

// earlier returns the earlier of two times; zero stands for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// EndPauses forgets the pauses that are over and returns the ids of their upstreams. It also forgets old notices.
func (f *Fleet) EndPauses(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ended []string
	for id, n := range f.notices {
		if !n.retryAt.IsZero() && !now.Before(n.retryAt) {
			n.retryAt = time.Time{}
			ended = append(ended, id)
		}
		if _, listed := f.upstreams[id]; !listed && n.retryAt.IsZero() && now.Sub(n.at) > noticeTTL {
			delete(f.notices, id)
		}
	}
	return ended
}
