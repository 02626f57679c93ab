package fleet

import (
	"math"
	"time"
)

const (
	// wantedSpan is the time over which the requests that might have gone to an upstream are counted.
	wantedSpan = 2 * time.Second
	// maxWantedGrowth is the factor up to which that count may grow before the others know of it.
	maxWantedGrowth = 2
)

// decayingCount is a count of events that fade over a span of time. The span may change between calls.
type decayingCount struct {
	value float64
	at    time.Time
}

func (c *decayingCount) get(now time.Time, span time.Duration) float64 {
	return c.value * decay(now.Sub(c.at), span)
}

func (c *decayingCount) add(now time.Time, span time.Duration) {
	c.value, c.at = c.get(now, span)+1, now
}

// decay returns the factor by which a count fades in a time.
func decay(elapsed, span time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / span.Seconds())
}

// sharedLimit is this instance's part of an upstream's limit. No instance grants it: each draws tokens at random, so that all
// instances together draw as many as the limit leaves, also when the part of each is less than one request.
type sharedLimit struct {
	// sent counts the requests that this instance sent to the upstream, and wanted those that it might have sent there.
	sent   decayingCount
	wanted decayingCount
	// known is a count of wanted that the others have been told of, and pending a newer one, taken at pendingAt.
	known, pending float64
	pendingAt      time.Time
	// drawnAt is when the tokens were drawn. They are valid until the next draw.
	drawnAt time.Time
	tokens  int
	// reported is the count of wanted in the latest report, which the others divide the seats by.
	reported float64
	// seats is how many requests this instance may have at a brittle upstream at the same time, less lostSeats, in a span of time that
	// was first seen at spanAt. Random is the number from 0 to 1 that rounds them where instances do not know each other.
	seats, lostSeats int
	span             int64
	spanAt           time.Time
	random           float64
	// previousSeats are those of the span before.
	previousSeats int
}

// limitSpan returns the time over which requests to an upstream with a limit are counted. It covers the delay of reports and, for
// low limits, the time in which one request is due.
func limitSpan(rate float64, reportDelay time.Duration) time.Duration {
	return max(reportDelay, time.Duration(float64(time.Second)/rate))
}

// available returns how many requests all instances together may send to an upstream until the next reports: those that the limit
// allows in that time, and the difference between those that it allowed in the latest span and those that were sent.
func available(rate, sent float64, reportDelay time.Duration) float64 {
	span := limitSpan(rate, reportDelay)
	return max(0, rate*reportDelay.Seconds()+(rate*span.Seconds()-sent)*decay(reportDelay, span))
}

// draw replaces the tokens by new ones. The expected number is the share of what is available; the fraction is a probability.
func (s *sharedLimit) draw(now time.Time, available, share, random float64) {
	s.drawnAt, s.tokens = now, roundAtRandom(available*share, random)
}

// usableSeats returns the seats that no other instance may still use and that no rejection has shown to be one too many. Others
// reports whether other instances have requests at the upstream.
func (s *sharedLimit) usableSeats(now time.Time, others bool) int {
	seats := s.seats
	if others && now.Sub(s.spanAt) < handoverTime {
		seats = min(seats, s.previousSeats)
	}
	return max(0, seats-s.lostSeats)
}

// roundAtRandom rounds a number so that the expected result is that number.
func roundAtRandom(expected, random float64) int {
	n := int(expected)
	if random < expected-math.Floor(expected) {
		n++
	}
	return n
}

// want counts a request that might go to the upstream.
func (s *sharedLimit) want(now time.Time, reportDelay time.Duration) {
	current := s.wanted.get(now, wantedSpan)
	if now.Sub(s.pendingAt) >= 2*reportDelay {
		s.known, s.pending, s.pendingAt = min(s.pending, current), current, now
	}
	s.wanted.add(now, wantedSpan)
}

// share returns the instance's part of the limit: that of its requests in those of all instances. While its requests grow faster
// than reports travel, those of the others may grow as well, and it is at most an equal part.
func (s *sharedLimit) share(now time.Time, peersWanted float64, instances int) float64 {
	own := s.wanted.get(now, wantedSpan)
	if own <= 0 {
		return 0
	}
	share := own / (own + peersWanted)
	if own > maxWantedGrowth*s.known {
		return min(share, 1/float64(instances))
	}
	return share
}
