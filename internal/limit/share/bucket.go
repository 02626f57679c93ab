package share

import (
	"math"
	"time"
)

const (
	// firmHoldTime is how long firm tokens may be returned, because taking the rest from other shares may fail.
	firmHoldTime = 250 * time.Millisecond
	// spareHoldTime is how long the other tokens may be returned.
	spareHoldTime = 10 * time.Minute
)

// hold counts one request's tokens that may still be returned.
type hold struct {
	id    string
	firm  int64
	spare int64
	// at is when the tokens were taken.
	at time.Time
}

// bucket is one share's token bucket. Level plus held never exceeds burst, so that returned tokens have room. Otherwise a
// late return would add tokens that a bucket without the request would have lost to overflow.
type bucket struct {
	epoch      int64
	rate       float64
	burst      float64
	level      float64
	refilledAt time.Time
	// held is the sum of firm and spare over all holds.
	held  float64
	holds map[string]*hold
	// firmQueue and spareQueue are the holds in order of expiry of their firm and spare tokens.
	firmQueue  []*hold
	spareQueue []*hold
}

// addHold records the tokens given to a request as returnable. It replaces an earlier hold of the same request.
func (s *bucket) addHold(now time.Time, r TakeRequest, given int64) {
	firm := min(given, max(0, r.Firm))
	h := &hold{id: r.ID, firm: firm, spare: given - firm, at: now}
	if old, ok := s.holds[r.ID]; ok {
		s.drop(old)
	}
	s.holds[r.ID] = h
	s.held += float64(given)
	s.firmQueue = append(s.firmQueue, h)
	s.spareQueue = append(s.spareQueue, h)
}

// release removes a hold and returns how many of the tokens it covers.
func (s *bucket) release(id string, tokens int64) int64 {
	h, ok := s.holds[id]
	if !ok {
		return 0
	}
	covered := min(tokens, h.firm+h.spare)
	s.drop(h)
	return covered
}

func (s *bucket) drop(h *hold) {
	s.held -= float64(h.firm + h.spare)
	h.firm = 0
	h.spare = 0
	if s.holds[h.id] == h {
		delete(s.holds, h.id)
	}
}

// advance refills the bucket up to now and expires holds at their times.
func (s *bucket) advance(now time.Time) {
	for {
		expiry, ok := s.nextExpiry()
		if !ok || expiry.After(now) {
			break
		}
		s.refill(expiry)
		s.expireHolds(expiry)
	}
	s.refill(now)
}

// nextExpiry returns when the next firm or spare tokens expire.
func (s *bucket) nextExpiry() (time.Time, bool) {
	var expiry time.Time
	if len(s.firmQueue) > 0 {
		expiry = s.firmQueue[0].at.Add(firmHoldTime)
	}
	if len(s.spareQueue) > 0 {
		if at := s.spareQueue[0].at.Add(spareHoldTime); expiry.IsZero() || at.Before(expiry) {
			expiry = at
		}
	}
	return expiry, !expiry.IsZero()
}

// expireHolds expires the tokens whose hold time ends at or before now.
func (s *bucket) expireHolds(now time.Time) {
	for len(s.firmQueue) > 0 && !s.firmQueue[0].at.Add(firmHoldTime).After(now) {
		h := s.firmQueue[0]
		s.firmQueue = s.firmQueue[1:]
		s.held -= float64(h.firm)
		h.firm = 0
	}
	for len(s.spareQueue) > 0 && !s.spareQueue[0].at.Add(spareHoldTime).After(now) {
		s.drop(s.spareQueue[0])
		s.spareQueue = s.spareQueue[1:]
	}
}

func (s *bucket) refill(now time.Time) {
	elapsed := now.Sub(s.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	maxLevel := math.Max(s.level, s.burst-s.held)
	s.level = math.Min(maxLevel, s.level+elapsed*s.rate*(1-clockSlack))
	s.refilledAt = now
}
