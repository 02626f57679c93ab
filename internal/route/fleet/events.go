package fleet

import (
	"time"
)

// update applies a change to an upstream, if it is known.
func (f *Fleet) update(id string, apply func(u *upstream)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u, ok := f.upstreams[id]; ok {
		apply(u)
	}
}

// RequestSent records that a request was sent to an upstream.
func (f *Fleet) RequestSent(now time.Time, id string, tokens int64) {
	f.update(id, func(u *upstream) {
		f.countSend(now, u)
		u.local.running++
		u.local.reserved = max(0, u.local.reserved-1)
		u.local.tokens += tokens
	})
}

// Connecting records that a request that counts as sent has no connection yet.
func (f *Fleet) Connecting(id string) {
	f.update(id, func(u *upstream) { u.local.connecting++ })
}

// Connected records that such a request has a connection, or ends without one.
func (f *Fleet) Connected(id string) {
	f.update(id, func(u *upstream) { u.local.connecting = max(0, u.local.connecting-1) })
}

// Prefilled records that a request's prompt was read, so its tokens are no longer pending.
func (f *Fleet) Prefilled(id string, tokens int64) {
	f.update(id, func(u *upstream) {
		u.local.tokens = max(0, u.local.tokens-tokens)
	})
}

// RequestEnded records the end of a request, with its tokens that are still pending.
func (f *Fleet) RequestEnded(id string, tokens int64) {
	f.update(id, func(u *upstream) {
		u.local.running = max(0, u.local.running-1)
		u.local.tokens = max(0, u.local.tokens-tokens)
	})
}

// CacheHeld records the tokens that the KV cache of a request is expected to need.
func (f *Fleet) CacheHeld(id string, tokens int64) {
	f.update(id, func(u *upstream) { u.local.held += tokens })
}

// CacheFreed records that the KV cache of a request is no longer needed.
func (f *Fleet) CacheFreed(id string, tokens int64) {
	f.update(id, func(u *upstream) { u.local.held = max(0, u.local.held-tokens) })
}

// AnswerStarted records the start of a response that is not a failure.
func (f *Fleet) AnswerStarted(now time.Time, id string) {
	f.update(id, func(u *upstream) {
		u.recent.addGood(now)
	})
}

// AnswerCompleted records the end of a response that is not a failure.
func (f *Fleet) AnswerCompleted(id string) {
	f.update(id, func(u *upstream) {
		u.consecutiveFailures = 0
		u.ejectedUntil = time.Time{}
		u.failureRate *= 1 - failureRateWeight
	})
}

// Failed records that an upstream was unreachable or broke the connection, and ejects it.
func (f *Fleet) Failed(now time.Time, id string) {
	f.update(id, func(u *upstream) {
		u.recent.addBad(now)
		u.eject(now)
	})
}

// IdleTimedOut records that an upstream sent no data within a stream's idle timeout, and ejects the upstream.
func (f *Fleet) IdleTimedOut(now time.Time, id string) {
	f.update(id, func(u *upstream) {
		u.recent.addUnanswered(now)
		u.eject(now)
	})
}

// Unanswered records that no response arrived before the caller disconnected or the deadline passed. It does not eject.
func (f *Fleet) Unanswered(now time.Time, id string) {
	f.update(id, func(u *upstream) {
		u.recent.addUnanswered(now)
	})
}

func (u *upstream) eject(now time.Time) {
	u.failureRate += (1 - u.failureRate) * failureRateWeight
	if now.Before(u.ejectedUntil) {
		return
	}
	u.ejectedUntil = now.Add(min(maxEjection, baseEjection<<min(u.consecutiveFailures, 5)))
	u.consecutiveFailures++
}

// ReturnedError records an error that the upstream returned. It does not eject.
func (f *Fleet) ReturnedError(now time.Time, id string) {
	f.update(id, func(u *upstream) {
		u.recent.addBad(now)
		u.failureRate += (1 - u.failureRate) * failureRateWeight
	})
}

// MarkFull records that an upstream had no free capacity, and ejects it for the given pause. It reports whether the other instances
// have to know, because the upstream is brittle.
func (f *Fleet) MarkFull(now time.Time, id string, pause time.Duration) bool {
	brittle := false
	f.update(id, func(u *upstream) {
		if until := now.Add(pause); until.After(u.ejectedUntil) {
			u.ejectedUntil = until
		}
		brittle = f.crowd(now, u)
	})
	return brittle
}

// ConfirmWeights records the weights version of a model that an upstream is confirmed to run.
func (f *Fleet) ConfirmWeights(id, model string, version int64) {
	f.update(id, func(u *upstream) {
		if u.confirmed[model] < version {
			u.confirmed[model] = version
			u.switchingUntil = time.Time{}
		}
	})
}

// SetSwitching records that an upstream is about to load weights and is avoided until a time.
func (f *Fleet) SetSwitching(id string, until time.Time) {
	f.update(id, func(u *upstream) {
		u.switchingUntil = until
	})
}

// Healthy reports whether an upstream's failure rate is below unhealthyFailureRate.
func (v *View) Healthy() bool { return v.FailureRate < unhealthyFailureRate }
