package chat

import (
	"context"
	"errors"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/front/relay"
)

// maxIdlePeriods is the number of idle timeouts in a row after which a silent engine is given up although no other engine has
// taken over and none is at work on the request.
const maxIdlePeriods = 3

var (
	// errSilent is the failure of an engine that sent nothing while another one was tried or took over.
	errSilent    = errors.New("the engine sent nothing in time")
	errNoAttempt = errors.New("no attempt is left")
)

// output receives an answer.
type output interface {
	// offset returns the number of events that engines may skip.
	offset() int64
	// receive takes the next event, which it releases, and reports whether the answer is complete.
	receive(e relay.Event) (bool, error)
}

// relayAnswer runs a request on one engine after another until the answer is complete.
func (h *Handler) relayAnswer(ctx context.Context, j *job, out output) error {
	r := &race{h: h, j: j, out: out, lastErr: context.Canceled}
	r.start = func(ctx context.Context) (*attempt, error) { return h.start(ctx, j, out.offset()) }
	return r.run(ctx)
}

// race relays the answer to one request. While an engine is silent, a second one works on the request too; the one that sends
// the next event first goes on, and the other one is ended.
type race struct {
	h   *Handler
	j   *job
	out output
	// start chooses an engine and starts an attempt on it.
	start func(context.Context) (*attempt, error)
	// current is the attempt whose events are relayed, or nil if none is running.
	current *attempt
	// standby is the attempt on another engine while that of current is silent, or nil.
	standby *attempt
	// idle expires when the engine tried last has sent nothing for its idle timeout.
	idle    *time.Timer
	lastErr error
}

// run starts attempts until the answer is complete or no attempt is left.
func (r *race) run(ctx context.Context) error {
	r.idle = time.NewTimer(r.h.FirstTokenTimeout)
	defer r.stop()
	for {
		if r.current == nil {
			if err := r.begin(ctx); err != nil {
				return err
			}
		}
		if done, err := r.next(ctx); done || err != nil {
			return err
		}
	}
}

// stop ends all attempts.
func (r *race) stop() {
	r.idle.Stop()
	for _, a := range []*attempt{r.current, r.standby} {
		if a != nil {
			r.j.end(a)
		}
	}
}

// begin starts an attempt while none is running.
func (r *race) begin(ctx context.Context) error {
	if ctx.Err() != nil || r.j.attempts >= maxAttempts {
		return r.lastErr
	}
	a, err := r.start(ctx)
	if err != nil {
		return err
	}
	r.j.attempts++
	r.current = a
	r.idle.Reset(a.idleTimeout)
	return nil
}

// next waits for an engine or the idle timer. It reports whether the answer is complete.
func (r *race) next(ctx context.Context) (bool, error) {
	var standbyEvents <-chan relay.Event
	if r.standby != nil {
		standbyEvents = r.standby.events
	}
	select {
	case e, ok := <-r.current.events:
		return r.handle(ctx, r.current, e, ok)
	case e, ok := <-standbyEvents:
		return r.handle(ctx, r.standby, e, ok)
	case <-r.idle.C:
		r.expired(ctx)
		return false, nil
	}
}

// handle takes an event of an attempt, or its end if ok is false. It reports whether the answer is complete.
func (r *race) handle(ctx context.Context, a *attempt, e relay.Event, ok bool) (bool, error) {
	if !ok {
		return false, r.failed(ctx, a, a.err)
	}
	a.idleTimer.Stop()
	before := r.out.offset()
	if before == 0 && r.j.req.Stream {
		r.h.Metrics.Timer("first_token").Record(time.Since(r.j.start))
	}
	done, err := r.out.receive(e)
	if errors.Is(err, errCallerWrite) {
		return false, err
	}
	if err != nil {
		return false, r.failed(ctx, a, err)
	}
	// An event that was skipped is none of the answer's next ones.
	if done || r.out.offset() != before {
		r.win(ctx, a)
	}
	r.extend(a)
	return done, nil
}

// win ends the other attempt, if any.
func (r *race) win(ctx context.Context, a *attempt) {
	if a == r.current {
		r.drop()
		return
	}
	r.giveUp(ctx, r.current)
	r.current, r.standby = a, nil
}

// extend restarts the idle timeouts after an event.
func (r *race) extend(a *attempt) {
	a.idleTimeout = r.h.TokenIdleTimeout
	a.unbounded = a == r.current && r.standby != nil
	if !a.unbounded {
		a.idleTimer.Reset(maxIdlePeriods * a.idleTimeout)
	}
	r.idle.Reset(r.newest().idleTimeout)
}

// newest returns the attempt that was started last.
func (r *race) newest() *attempt {
	if r.standby != nil {
		return r.standby
	}
	return r.current
}

// failed ends an attempt whose engine failed. If another one is running, it goes on.
func (r *race) failed(ctx context.Context, a *attempt, err error) error {
	r.j.end(a)
	r.h.recordFailure(ctx, r.j, a, err)
	r.lastErr = err
	if a == r.standby {
		r.standby = nil
		r.startStandby(ctx)
		return nil
	}
	r.current, r.standby = r.standby, nil
	return r.h.Crashes.Check(time.Now(), r.j.fingerprint)
}

// expired tries a further engine after an idle timeout.
func (r *race) expired(ctx context.Context) {
	a := r.newest()
	r.h.Pool.CloseIdle(a.view.Address)
	r.j.avoidSilent(a)
	r.startStandby(ctx)
}

// startStandby starts an attempt on a further engine, in place of a silent standby if there is one. If that is impossible, the
// silent engines keep the request.
func (r *race) startStandby(ctx context.Context) {
	a, err := r.tryStart(ctx)
	if err != nil {
		r.keep(err)
		return
	}
	if r.standby != nil {
		r.giveUp(ctx, r.standby)
	}
	r.standby = a
	r.current.idleTimer.Stop()
	r.current.unbounded = true
	r.idle.Reset(a.idleTimeout)
}

// tryStart starts an attempt if that is allowed.
func (r *race) tryStart(ctx context.Context) (*attempt, error) {
	if err := r.mayStart(ctx, time.Now()); err != nil {
		return nil, err
	}
	a, err := r.start(ctx)
	if err == nil {
		r.j.attempts++
	}
	return a, err
}

// mayStart returns an error if the request may not be sent to another engine now.
func (r *race) mayStart(ctx context.Context, now time.Time) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if r.j.attempts >= maxAttempts {
		return errNoAttempt
	}
	return r.h.Crashes.Check(now, r.j.fingerprint)
}

// keep bounds the silence of the current engine again, as no other one is at work.
func (r *race) keep(reason error) {
	if r.current.unbounded {
		r.current.unbounded = false
		r.current.idleTimer.Reset((maxIdlePeriods - 1) * r.current.idleTimeout)
	}
	r.idle.Reset(r.newest().idleTimeout)
	r.h.Log.Info("route: kept silent engine", "request", r.j.id, "engine", r.current.choice.Engine, "reason", reason.Error())
}

// giveUp ends an attempt whose engine is silent. That is a failure of the engine, but no crash.
func (r *race) giveUp(ctx context.Context, a *attempt) {
	a.markTimedOut()
	r.j.end(a)
	r.h.recordFailure(ctx, r.j, a, errSilent)
}

// drop ends the standby, if any, because the current engine went on. That is no failure of the standby's engine, and the
// attempt does not count.
func (r *race) drop() {
	if r.standby == nil {
		return
	}
	r.j.end(r.standby)
	r.j.attempts--
	r.h.Log.Info("route: kept silent engine", "request", r.j.id, "engine", r.current.choice.Engine, "reason", "the engine went on",
		"dropped", r.standby.choice.Engine)
	r.standby = nil
}
