package fleet

import (
	"time"
)

// update changes what is known of an upstream, unless it is unknown.
func (f *Fleet) update(id string, do func(s *state)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.states[id]; ok {
		do(s)
	}
}

// Sent records a request on its way to an upstream.
func (f *Fleet) Sent(id string, tokens int64) {
	f.update(id, func(s *state) {
		s.own.running++
		s.own.tokens += tokens
	})
}

// Prefilled records that a request's prompt was read, so that its tokens wait no longer.
func (f *Fleet) Prefilled(id string, tokens int64) {
	f.update(id, func(s *state) {
		s.own.tokens = max(0, s.own.tokens-tokens)
	})
}

// Ended records that a request sent to an upstream is over, with the tokens that were not yet read.
func (f *Fleet) Ended(id string, tokens int64) {
	f.update(id, func(s *state) {
		s.own.running = max(0, s.own.running-1)
		s.own.tokens = max(0, s.own.tokens-tokens)
	})
}

// Answered records the first of an answer.
func (f *Fleet) Answered(now time.Time, id string) {
	f.update(id, func(s *state) {
		s.answers.good(now)
	})
}

// Succeeded records the end of a good answer.
func (f *Fleet) Succeeded(id string) {
	f.update(id, func(s *state) {
		s.failed = 0
		s.ejected = time.Time{}
		s.failing *= 1 - healthWeight
	})
}

// Failed records that an upstream could not be reached or broke off, and passes it over for a while.
func (f *Fleet) Failed(now time.Time, id string) {
	f.update(id, func(s *state) {
		s.answers.bad(now)
		s.eject(now)
	})
}

// FellSilent records that a stream was given up because nothing came, and passes the upstream over for a while.
func (f *Fleet) FellSilent(now time.Time, id string) {
	f.update(id, func(s *state) {
		s.answers.silent(now)
		s.eject(now)
	})
}

// TimedOut records that nothing came until the caller left or the time was up.
func (f *Fleet) TimedOut(now time.Time, id string) {
	f.update(id, func(s *state) {
		s.answers.silent(now)
	})
}

func (s *state) eject(now time.Time) {
	s.failing += (1 - s.failing) * healthWeight
	if now.Before(s.ejected) {
		return
	}
	s.ejected = now.Add(min(ejectMost, ejectFirst<<min(s.failed, 5)))
	s.failed++
}

// Erred records a failure that the upstream answered itself; it does not eject.
func (f *Fleet) Erred(now time.Time, id string) {
	f.update(id, func(s *state) {
		s.answers.bad(now)
		s.failing += (1 - s.failing) * healthWeight
	})
}

// Full records that an upstream had no room, so that it is passed over for a moment.
func (f *Fleet) Full(now time.Time, id string, pause time.Duration) {
	f.update(id, func(s *state) {
		if until := now.Add(pause); until.After(s.ejected) {
			s.ejected = until
		}
	})
}

// Loaded records the version of a model's weights that an upstream was seen to run.
func (f *Fleet) Loaded(id, model string, version int64) {
	f.update(id, func(s *state) {
		if s.confirmed[model] < version {
			s.confirmed[model] = version
			s.switching = time.Time{}
		}
	})
}

// Switch records that an upstream is about to load weights and is to be avoided until a time.
func (f *Fleet) Switch(id string, until time.Time) {
	f.update(id, func(s *state) {
		s.switching = until
	})
}

// Healthy tells whether an upstream's share of failures is ordinary.
func (v *View) Healthy() bool { return v.Failing < healthyShare }
