package serve

import (
	"context"
	"errors"
	"time"
)

// standbyPollInterval is the interval at which a stream checks whether its standby call has begun.
const standbyPollInterval = 20 * time.Millisecond

var (
	errNoAttempt  = errors.New("the request may not be sent again")
	errNoRetry    = errors.New("no retry is left")
	errNotStarted = errors.New("the other upstream did not start a stream")
)

// standby sends the request of a silent upstream to another one. The silent upstream keeps the request until the other one has
// sent an event, because it may only have paused.
type standby struct {
	x   *exchange
	ctx context.Context
	// silent is the call that may be replaced.
	silent *call
	// timeout is the time without data after which the upstream of silent counts as silent.
	timeout time.Duration
	// ejected reports whether the upstream of silent has been ejected.
	ejected bool
	// pending is the send to another upstream; nil if there is none. Until it is done, only its goroutine uses the exchange.
	pending *opening
	// replacement is the call that has begun its stream; nil before.
	replacement *call
}

// opening is a send in progress.
type opening struct {
	cancel context.CancelFunc
	// done is closed when the fields below are set.
	done   chan struct{}
	call   *call
	result result
	err    error
}

// onIdle is called while the upstream sends nothing. It returns how long to wait for data before the next call, or zero if the
// call is replaced.
func (s *standby) onIdle() time.Duration {
	if s.pending == nil {
		s.eject(time.Now())
		return s.start(true)
	}
	select {
	case <-s.pending.done:
	default:
		return standbyPollInterval
	}
	o := s.finish()
	if o.call != nil {
		s.replacement = o.call
		s.log(o.call.choice.ID, nil)
		return 0
	}
	if (o.result == unsent || o.result == notRun) && refusalOf(o.err) == nil {
		return s.start(o.result == notRun)
	}
	s.log("", o.err)
	return s.timeout
}

// eject keeps other requests away from the silent upstream for a time.
func (s *standby) eject(now time.Time) {
	if s.ejected {
		return
	}
	s.ejected = true
	if s.silent.relayed(nil) || s.x.Pool.Broken(now, s.silent.choice.Address) {
		return
	}
	s.x.Fleet.IdleTimedOut(now, s.silent.choice.ID)
	s.x.Pool.CloseIdle(s.silent.choice.Address)
}

// start sends the request to the upstream that is chosen next. Spend reports whether that takes a retry from the budget.
func (s *standby) start(spend bool) time.Duration {
	if err := s.open(time.Now(), spend); err != nil {
		s.log("", err)
		return s.timeout
	}
	return standbyPollInterval
}

func (s *standby) open(now time.Time, spend bool) error {
	x := s.x
	if !x.counts.canSend(x.timeToSend(now)) || x.counts.Ran >= x.route.Attempts || x.unnumbered {
		return errNoAttempt
	}
	if x.crashesUpstreams(now) != nil {
		return errNoAttempt
	}
	choice, ok := x.place(now)
	if !ok {
		return errNoUpstream
	}
	if spend && !x.spendRetry(now) {
		x.Fleet.Release(choice.ID)
		return errNoRetry
	}
	ctx, cancel := context.WithCancel(s.ctx)
	o := &opening{cancel: cancel, done: make(chan struct{})}
	s.pending = o
	go func() {
		defer close(o.done)
		o.call, o.result, o.err = x.open(ctx, choice)
		if o.call != nil && !x.begin(ctx, o.call, o.result) {
			x.discard(o.call, o.result)
			o.call, o.err = nil, errNotStarted
		}
	}()
	return nil
}

// finish waits for the end of the send and returns it. A call that has begun owns the send's context.
func (s *standby) finish() *opening {
	o := s.pending
	<-o.done
	s.pending = nil
	if o.call != nil {
		o.call.cancel = o.cancel
	} else {
		o.cancel()
		s.x.lastChoice = s.silent.choice
	}
	return o
}

// stop ends a send in progress, since the upstream has sent data or the stream has ended.
func (s *standby) stop() {
	if s.pending == nil {
		return
	}
	s.pending.cancel()
	o := s.finish()
	if o.call != nil {
		s.x.discard(o.call, o.result)
		s.x.lastChoice = s.silent.choice
	}
	s.log("", context.Canceled)
}

func (s *standby) log(replacement string, err error) {
	x := s.x
	x.Log.Info("route: upstream is silent", "id", x.info.ID, "upstream", s.silent.choice.ID, "replacement", replacement,
		"error", errorText(err), "sends", x.counts.Sends, "ran", x.counts.Ran, "left_ms", x.remaining().Milliseconds())
}

// begin reads the first event of a call. It reports whether the response is a stream that has begun, or may be complete without an
// event.
func (x *exchange) begin(ctx context.Context, c *call, r result) bool {
	if !c.isStream(r, x.route) {
		return false
	}
	c.events = x.readEvents(c)
	ev, rest, err := c.events.next()
	if !c.start.begin() {
		// The caller of begin discards the call.
		_, _ = x.takeBack(time.Now(), c, broken)
		return false
	}
	if err == nil {
		c.first = &ev
		return true
	}
	if err = x.streamError(c, err, rest, false); err != nil {
		x.recordBroken(ctx, c, err)
	}
	return err == nil
}

// discard ends a call whose response is not forwarded.
func (x *exchange) discard(c *call, r result) {
	c.resp.Abort()
	if c.events != nil {
		c.events.release()
	}
	x.end(c)
	if r == failed {
		x.Fleet.ReturnedError(time.Now(), c.choice.ID)
		x.countFailure(c)
	}
}
