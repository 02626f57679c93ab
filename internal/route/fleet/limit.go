package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// limitRatio is the fraction of a limit that is used; the rest covers reports that arrive late.
	limitRatio = 0.9
	// minLimitRate bounds limits from below, in requests a second. An upstream without requests cannot end its limit.
	minLimitRate = 0.1
	// limitReportTTL is how long what a response said about a limit is reported to other instances.
	limitReportTTL = 5 * time.Second
	// defaultReportDelay applies before the delay of reports is known.
	defaultReportDelay = 500 * time.Millisecond
)

// Limit is what a response said about the requests that an upstream takes from all instances together.
type Limit struct {
	ID   string `json:"i"`
	Born int64  `json:"b,omitempty"`
	// Rate is in requests a second; nil if the upstream takes any number again.
	Rate *float64 `json:"r,omitempty"`
	// Brittle is the number of requests that it can reject in a second for want of room without falling over; nil for any number.
	Brittle *float64 `json:"f,omitempty"`
	// Crowded is the time in nanoseconds since a brittle upstream last rejected a request for want of room, and Room the number of
	// requests of all instances that it had then. Crowded is nil if it rejected none recently.
	Crowded *int64 `json:"c,omitempty"`
	Room    int    `json:"m,omitempty"`
	// Age is the time in nanoseconds since the response arrived, or since its request was sent if it named no limit.
	Age int64 `json:"g"`
}

// SetInstances sets the number of instances that share the limits of upstreams, and how long reports take to reach all of them.
func (f *Fleet) SetInstances(instances int, reportDelay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances, f.reportDelay = max(1, instances), reportDelay
}

// SetSelf sets this instance's address. It is called before the first request.
func (f *Fleet) SetSelf(address string) { f.self = address }

// ObserveLimit records what a response said about the limit of an incarnation of an upstream, and reports whether the limit in force
// changed. Own reports whether the response came to this instance. Responses may overtake each other: a response without a limit
// ends one only if its request was sent after the limit was last named.
func (f *Fleet) ObserveLimit(now time.Time, l Limit, own bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u, ok := f.upstreams[l.ID]; ok && u.entry.Born != l.Born {
		return false
	}
	at := now.Add(-time.Duration(l.Age))
	if n, ok := f.notices[l.ID]; l.Rate == nil && l.Brittle == nil && (!ok || n.born != l.Born || n.limit == nil && n.brittle == nil) {
		return false
	}
	n := f.noticeOf(l.ID, l.Born, now)
	n.observeCrowded(now, l)
	if !at.After(n.limitAt) {
		return false
	}
	f.limitsSeen = true
	f.rememberBrittle(at, l.ID, l.Brittle)
	changed := !equalRates(n.limit, l.Rate) || !equalRates(n.brittle, l.Brittle)
	n.limit, n.brittle, n.limitAt, n.limitSeen = l.Rate, l.Brittle, at, time.Time{}
	if own {
		n.limitSeen = now
	}
	return changed
}

// equalRates reports whether two optional rates are the same.
func equalRates(a, b *float64) bool {
	return a == nil && b == nil || a != nil && b != nil && *a == *b
}

// Limits returns what responses to this instance have recently said about limits.
func (f *Fleet) Limits(now time.Time) []Limit {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Limit
	for id, n := range f.notices {
		if seen := later(n.limitSeen, n.crowdedSeen); !seen.IsZero() && now.Sub(seen) < limitReportTTL {
			l := Limit{ID: id, Born: n.born, Rate: n.limit, Brittle: n.brittle, Age: int64(now.Sub(n.limitAt))}
			n.reportCrowded(now, &l)
			out = append(out, l)
		}
	}
	return out
}

// limitOf returns the usable rate of an upstream's limit, or false if none is in force. The caller holds the lock.
func (f *Fleet) limitOf(e *Entry) (float64, bool) {
	if !f.limitsSeen {
		return 0, false
	}
	n, ok := f.notices[e.ID]
	if !ok || n.born != e.Born || n.limit == nil {
		return 0, false
	}
	return max(minLimitRate, *n.limit*limitRatio), true
}

// isLimited reports whether what an upstream takes leaves this instance no request for now. The caller holds the lock.
func (f *Fleet) isLimited(now time.Time, u *upstream) bool {
	if f.lacksSeat(now, u) {
		return true
	}
	rate, ok := f.limitOf(&u.entry)
	if !ok {
		return false
	}
	if s := &u.shared; now.Sub(s.drawnAt) >= f.reportDelay {
		sent, wanted := f.peersLimitLoad(now, u.entry.ID, limitSpan(rate, f.reportDelay))
		sent += s.sent.get(now, limitSpan(rate, f.reportDelay))
		s.draw(now, available(rate, sent, f.reportDelay), s.share(now, wanted, f.instances), f.random())
	}
	return u.shared.tokens < 1
}

// peersLimitLoad returns how many requests the other instances sent to an upstream with a limit, and might have sent there. The caller
// holds the lock.
func (f *Fleet) peersLimitLoad(now time.Time, id string, span time.Duration) (sent, wanted float64) {
	for _, p := range f.peers {
		if age := now.Sub(p.at); age < peerLoadTTL {
			sent += max(0, p.loads[id].Sent) * decay(age, span)
			wanted += max(0, p.loads[id].Wanted)
		}
	}
	return sent, wanted
}

// Want records a request to a service, for the shares in the limits of its upstreams.
func (f *Fleet) Want(now time.Time, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.limitsSeen {
		return
	}
	for _, u := range f.upstreams {
		if u.entry.Service == service && f.isShared(now, &u.entry) {
			u.shared.want(now, f.reportDelay)
		}
	}
}

// Release gives back the place of a request that is not sent.
func (f *Fleet) Release(id string) {
	f.update(id, func(u *upstream) { u.local.reserved = max(0, u.local.reserved-1) })
}

// Reserve takes a place for a request to an upstream, and returns false if what the upstream takes leaves none. The request is sent, or
// the place released.
func (f *Fleet) Reserve(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.upstreams[id]
	if !ok {
		return true
	}
	if f.isLimited(now, u) {
		return false
	}
	if u.shared.tokens > 0 {
		u.shared.tokens--
	}
	u.local.reserved++
	return true
}

// CountSend counts a request or call to an upstream against its limit.
func (f *Fleet) CountSend(now time.Time, id string) {
	f.update(id, func(u *upstream) { f.countSend(now, u) })
}

// countSend is CountSend for callers that hold the lock.
func (f *Fleet) countSend(now time.Time, u *upstream) {
	// Until a limit is named, the latest requests are counted over the shortest span.
	span := f.reportDelay
	if rate, ok := f.limitOf(&u.entry); ok {
		span = limitSpan(rate, f.reportDelay)
	}
	u.shared.sent.add(now, span)
}

// CallInterval returns the shortest time between calls of one instance to an upstream with a limit; zero if it has none.
func (f *Fleet) CallInterval(id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u, ok := f.upstreams[id]; ok {
		if rate, ok := f.limitOf(&u.entry); ok {
			return time.Duration(float64(time.Second) / rate)
		}
	}
	return 0
}

// limitLoad adds what the other instances need to know for the limit of an upstream to a load. The caller holds the lock.
func (f *Fleet) limitLoad(now time.Time, u *upstream, l *Load) {
	if !f.isShared(now, &u.entry) {
		return
	}
	l.Wanted = roundCount(u.shared.wanted.get(now, wantedSpan))
	u.shared.reported = l.Wanted
	if rate, ok := f.limitOf(&u.entry); ok {
		l.Sent = roundCount(u.shared.sent.get(now, limitSpan(rate, f.reportDelay)))
	}
}

// roundCount rounds a count for a message.
func roundCount(count float64) float64 { return math.Round(count*100) / 100 }

// uniform returns a random number from 0 to 1.
func uniform() float64 { return rand.Float64() }
