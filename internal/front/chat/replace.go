package chat

import (
	"context"
	"errors"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/front/relay"
)

const (
	// replaceTimeout is how long other engines may take to accept the request of a silent one. Both work on it meanwhile.
	replaceTimeout = 250 * time.Millisecond
	// maxIdlePeriods is the number of idle timeouts in a row after which a silent engine is given up in any case, since a
	// healthy one may need longer than replaceTimeout.
	maxIdlePeriods = 3
)

var (
	// errSilent is the failure of an engine that was replaced while it sent nothing.
	errSilent    = errors.New("the engine sent nothing and another one accepted the request")
	errNotInTime = errors.New("no other engine accepted the request in time")
	errNoAttempt = errors.New("no attempt is left")
)

// output receives an answer.
type output interface {
	// offset returns the number of events that engines may skip.
	offset() int64
	// receive takes the next event and reports whether the answer is complete.
	receive(e relay.Event) (bool, error)
}

// relayAnswer runs a request on one engine after another until the answer is complete.
func (h *Handler) relayAnswer(ctx context.Context, j *job, out output) error {
	lastErr := context.Canceled
	var a *attempt
	for {
		if a == nil {
			if ctx.Err() != nil || j.attempts >= maxAttempts {
				return lastErr
			}
			var err error
			if a, err = h.start(ctx, j, out.offset()); err != nil {
				return err
			}
		}
		next, err := h.copyEvents(ctx, j, a, out)
		j.end(a)
		if err == nil || errors.Is(err, errCallerWrite) {
			return err
		}
		lastErr = err
		h.recordFailure(ctx, j, a, err)
		if err := h.Crashes.Check(time.Now(), j.fingerprint); err != nil {
			if next != nil {
				j.end(next)
			}
			return err
		}
		a = next
	}
}

// copyEvents copies an attempt's events to the output. If it fails, it returns the attempt that was started in its place, if any.
func (h *Handler) copyEvents(ctx context.Context, j *job, a *attempt, out output) (*attempt, error) {
	r := &replacement{h: h, j: j, silent: a}
	timeout := h.FirstTokenTimeout
	idle := time.NewTimer(timeout)
	defer idle.Stop()
	first := true
	for {
		select {
		case e, ok := <-a.events:
			if !ok {
				return r.attempt, a.err
			}
			a.idleTimer.Stop()
			r.drop("the engine went on")
			if first {
				first = false
				h.recordFirstEvent(j, out.offset())
			}
			if done, err := out.receive(e); done || err != nil {
				return nil, err
			}
			timeout = h.TokenIdleTimeout
			a.idleTimer.Reset(maxIdlePeriods * timeout)
		case err := <-r.header():
			if err == nil {
				a.markTimedOut()
				return r.attempt, errSilent
			}
			r.failed(ctx, err, out.offset())
		case <-idle.C:
			r.expired(ctx, out.offset())
		}
		idle.Reset(r.wait(time.Now(), timeout))
	}
}

// recordFirstEvent records the time until a stream's first event.
func (h *Handler) recordFirstEvent(j *job, offset int64) {
	if j.req.Stream && offset == 0 {
		h.Metrics.Timer("first_token").Record(time.Since(j.start))
	}
}

// replacement is the search for an engine that accepts the request of a silent one. The silent engine keeps the request until
// then.
type replacement struct {
	h      *Handler
	j      *job
	silent *attempt
	// attempt is the one that may replace the silent one, or nil.
	attempt *attempt
	// deadline is when the search ends.
	deadline time.Time
}

// header returns the channel on which the other engine's acceptance or failure arrives.
func (r *replacement) header() <-chan error {
	if r.attempt == nil {
		return nil
	}
	return r.attempt.header
}

// wait returns the time until the idle timer must expire.
func (r *replacement) wait(now time.Time, timeout time.Duration) time.Duration {
	if r.attempt == nil {
		return timeout
	}
	return r.deadline.Sub(now)
}

// expired starts the search, or ends it when no engine has accepted the request in time.
func (r *replacement) expired(ctx context.Context, offset int64) {
	if r.attempt != nil {
		slow := r.attempt
		r.drop(errNotInTime.Error())
		r.h.Pool.CloseIdle(slow.view.Address)
		r.j.avoidSlow(slow)
		return
	}
	r.h.Pool.CloseIdle(r.silent.view.Address)
	r.j.avoidSilent(r.silent)
	now := time.Now()
	r.deadline = now.Add(replaceTimeout)
	r.start(ctx, now, offset)
}

// failed records the other engine's failure and goes on with the next one.
func (r *replacement) failed(ctx context.Context, err error, offset int64) {
	a := r.attempt
	r.attempt = nil
	r.j.end(a)
	r.h.recordFailure(ctx, r.j, a, err)
	r.start(ctx, time.Now(), offset)
}

// start sends the request to another engine if that is allowed.
func (r *replacement) start(ctx context.Context, now time.Time, offset int64) {
	err := r.mayStart(now)
	if err == nil {
		r.attempt, err = r.h.start(ctx, r.j, offset)
	}
	if err != nil {
		r.h.Log.Info("route: kept silent engine", "request", r.j.id, "engine", r.silent.choice.Engine, "reason", err.Error())
	}
}

// mayStart returns an error if the request may not be sent to another engine now.
func (r *replacement) mayStart(now time.Time) error {
	if !now.Before(r.deadline) {
		return errNotInTime
	}
	if r.j.attempts >= maxAttempts {
		return errNoAttempt
	}
	return r.h.Crashes.Check(now, r.j.fingerprint)
}

// drop ends the attempt on the other engine, if any. That is no failure of the engine.
func (r *replacement) drop(reason string) {
	if r.attempt == nil {
		return
	}
	r.j.end(r.attempt)
	r.h.Log.Info("route: kept silent engine", "request", r.j.id, "engine", r.silent.choice.Engine, "reason", reason,
		"dropped", r.attempt.choice.Engine)
	r.attempt = nil
}
