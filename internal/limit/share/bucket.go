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
func (b *bucket) addHold(now time.Time, r TakeRequest, given int64) {
	firm := min(given, max(0, r.Firm))
	h := &hold{id: r.ID, firm: firm, spare: given - firm, at: now}
	if old, ok := b.holds[r.ID]; ok {
		b.drop(old)
	}
	b.holds[r.ID] = h
	b.held += float64(given)
	b.firmQueue = append(b.firmQueue, h)
	b.spareQueue = append(b.spareQueue, h)
}

// release removes a hold and returns how many of the tokens it covers.
func (b *bucket) release(id string, tokens int64) int64 {
	h, ok := b.holds[id]
	if !ok {
		return 0
	}
	covered := min(tokens, h.firm+h.spare)
	b.drop(h)
	return covered
}

func (b *bucket) drop(h *hold) {
	b.held -= float64(h.firm + h.spare)
	h.firm = 0
	h.spare = 0
	if b.holds[h.id] == h {
		delete(b.holds, h.id)
	}
}

// advance refills the bucket up to now and expires holds at their times.
func (b *bucket) advance(now time.Time) {
	for {
		expiry, ok := b.nextExpiry()
		if !ok || expiry.After(now) {
			break
		}
		b.refill(expiry)
		b.expireHolds(expiry)
	}
	b.refill(now)
}

// nextExpiry returns when the next firm or spare tokens expire.
func (b *bucket) nextExpiry() (time.Time, bool) {
	var expiry time.Time
	if len(b.firmQueue) > 0 {
		expiry = b.firmQueue[0].at.Add(firmHoldTime)
	}
	if len(b.spareQueue) > 0 {
		if at := b.spareQueue[0].at.Add(spareHoldTime); expiry.IsZero() || at.Before(expiry) {
			expiry = at
		}
	}
	return expiry, !expiry.IsZero()
}

// expireHolds expires the tokens whose hold time ends at or before now.
func (b *bucket) expireHolds(now time.Time) {
	for len(b.firmQueue) > 0 && !b.firmQueue[0].at.Add(firmHoldTime).After(now) {
		h := b.firmQueue[0]
		b.firmQueue = b.firmQueue[1:]
		b.held -= float64(h.firm)
		h.firm = 0
	}
	for len(b.spareQueue) > 0 && !b.spareQueue[0].at.Add(spareHoldTime).After(now) {
		b.drop(b.spareQueue[0])
		b.spareQueue = b.spareQueue[1:]
	}
}

func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	maxLevel := math.Max(b.level, b.burst-b.held)
	b.level = math.Min(maxLevel, b.level+elapsed*b.rate*(1-clockSlack))
	b.refilledAt = now
}
