package share

import (
	"math"
	"time"
)

const (
	// firmFor is how long firm tokens may still be returned, because gathering may fail.
	firmFor = 250 * time.Millisecond
	// spareFor is how long other tokens may be returned.
	spareFor = 10 * time.Minute
)

// hold is the part of one request's tokens that may still be returned.
type hold struct {
	id    string
	firm  int64
	spare int64
	at    time.Time
}

// bucket is one share's token bucket. Level plus held never exceeds burst: what may be returned keeps its room, or else a
// late return would add tokens that a bucket without the request would have lost by overflowing.
type bucket struct {
	epoch int64
	rate  float64
	burst float64
	level float64
	last  time.Time
	// held is the sum of firm and spare over all holds.
	held  float64
	holds map[string]*hold
	// firms and spares are the holds in order of time, for their ends.
	firms  []*hold
	spares []*hold
}

// hold records what may be returned of the given tokens.
func (s *bucket) hold(now time.Time, w Want, given int64) {
	firm := min(given, max(0, w.Firm))
	h := &hold{id: w.ID, firm: firm, spare: given - firm, at: now}
	if old, ok := s.holds[w.ID]; ok {
		s.drop(old)
	}
	s.holds[w.ID] = h
	s.held += float64(given)
	s.firms = append(s.firms, h)
	s.spares = append(s.spares, h)
}

// release ends a hold and returns how many of the tokens it covers.
func (s *bucket) release(id string, tokens int64) int64 {
	h, ok := s.holds[id]
	if !ok {
		return 0
	}
	back := min(tokens, h.firm+h.spare)
	s.drop(h)
	return back
}

func (s *bucket) drop(h *hold) {
	s.held -= float64(h.firm + h.spare)
	h.firm = 0
	h.spare = 0
	if s.holds[h.id] == h {
		delete(s.holds, h.id)
	}
}

// advance refills up to the present time, ending holds at their times.
func (s *bucket) advance(now time.Time) {
	for {
		end, ok := s.nextEnd()
		if !ok || end.After(now) {
			break
		}
		s.refill(end)
		s.endHolds(end)
	}
	s.refill(now)
}

// nextEnd returns when the next hold or its firm part ends.
func (s *bucket) nextEnd() (time.Time, bool) {
	var end time.Time
	if len(s.firms) > 0 {
		end = s.firms[0].at.Add(firmFor)
	}
	if len(s.spares) > 0 {
		if at := s.spares[0].at.Add(spareFor); end.IsZero() || at.Before(end) {
			end = at
		}
	}
	return end, !end.IsZero()
}

// endHolds ends what ends at or before a time.
func (s *bucket) endHolds(end time.Time) {
	for len(s.firms) > 0 && !s.firms[0].at.Add(firmFor).After(end) {
		h := s.firms[0]
		s.firms = s.firms[1:]
		s.held -= float64(h.firm)
		h.firm = 0
	}
	for len(s.spares) > 0 && !s.spares[0].at.Add(spareFor).After(end) {
		s.drop(s.spares[0])
		s.spares = s.spares[1:]
	}
}

func (s *bucket) refill(now time.Time) {
	elapsed := now.Sub(s.last).Seconds()
	if elapsed <= 0 {
		return
	}
	room := math.Max(s.level, s.burst-s.held)
	s.level = math.Min(room, s.level+elapsed*s.rate*(1-clockSlack))
	s.last = now
}
