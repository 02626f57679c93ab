package serve

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/front/link"
)

var (
	// errUnfinished is returned when a stream ends within an event.
	errUnfinished = errors.New("the stream ended within an event")
	// errNoEvent is returned when a stream that has to bring an event ends without one.
	errNoEvent = errors.New("the stream ended without an event")
	// errEventsSkipped is returned when an upstream that resumes a stream does not go on with the next event.
	errEventsSkipped = errors.New("the upstream skipped events when it resumed the stream")
	// errEventMissing is returned when a stream that broke off within an event goes on without this event.
	errEventMissing = errors.New("the stream ended without an event that another upstream had begun")
)

// relayStream forwards the events of a call, and of those that replace it while its upstream is silent. If the last stream ends
// early, the result is broken and another upstream may resume it after the last forwarded event.
func (x *exchange) relayStream(ctx context.Context, c *call) (result, error) {
	// Deferred, because relayEvents panics when the caller disconnects.
	defer func() { x.end(c) }()
	for {
		next, r, err := x.relayEvents(ctx, c)
		if next == nil {
			return r, err
		}
		x.end(c)
		c = next
	}
}

// relayEvents forwards complete events of one call as they arrive. It returns the call that replaces it, if any.
func (x *exchange) relayEvents(ctx context.Context, c *call) (*call, result, error) {
	if c.events == nil {
		c.events = x.readEvents(c)
	}
	defer c.events.release()
	other := &standby{x: x, ctx: ctx, silent: c, timeout: x.idleTimeout()}
	defer other.stop()
	if other.timeout > 0 {
		c.resp.WatchIdle(c.ctx, other.timeout, other.onIdle)
	}
	// goingOn reports whether the next new event is the first one after those of another call.
	goingOn := x.lastEventID != ""
	first := true
	// news reports whether the call has brought an event that the caller did not have.
	news := false
	for {
		ev, rest, err := c.next()
		x.eventBegun = x.eventBegun || err != nil && x.beginsEvent(rest)
		if other.replacement != nil {
			c.resp.Abort()
			x.countFailure(c)
			return other.replacement, broken, nil
		}
		other.stop()
		if first && !c.start.begin() {
			c.resp.Abort()
			r, err := x.takeBack(time.Now(), c, broken)
			return nil, r, err
		}
		if err != nil {
			if err = x.streamError(c, err, rest, news); err == nil {
				err = x.checkEnd(ctx, c)
			}
			if err == nil {
				if !first {
					x.recordSurvival(time.Now())
				}
				r, err := x.finishStream(c)
				return nil, r, err
			}
			c.resp.Abort()
			x.recordBroken(ctx, c, err)
			return nil, broken, err
		}
		if first {
			first = false
			x.Fleet.Prefilled(c.choice.ID, c.pendingTokens)
			c.pendingTokens = 0
			x.Fleet.AnswerStarted(time.Now(), c.choice.ID)
			x.recordStart(time.Now(), c)
			x.countAnswer(c, time.Now())
			x.learnFrom(time.Now(), c, false)
			x.sendHead(time.Now(), c)
			x.recordHolders(time.Now(), c)
		}
		if now := time.Now(); now.Sub(c.headAt) > crashSuspectTime {
			x.recordSurvival(now)
		}
		if !x.isNewEvent(ev.id) {
			continue
		}
		if goingOn && x.numbering.skips(ev.id) {
			c.resp.Abort()
			x.recordBroken(ctx, c, errEventsSkipped)
			return nil, broken, errEventsSkipped
		}
		if !x.writeEvent(ev.raw) {
			c.resp.Abort()
			x.abortDisconnected()
		}
		if ev.isEvent {
			x.eventCount++
			now := time.Now()
			c.countEvent(now)
			x.recordBegan(now, c)
			news, goingOn, x.begun, x.eventBegun = true, false, true, false
			x.unnumbered = ev.id == ""
		}
		if ev.id != "" {
			x.lastEventID = ev.id
			x.numbering.add(ev.id)
		}
	}
}

// next returns the next event of a stream.
func (c *call) next() (ev event, rest []byte, err error) {
	if c.first != nil {
		ev, c.first = *c.first, nil
		return ev, nil, nil
	}
	return c.events.next()
}

// streamError returns why the stream of a call that ended with err is not complete, or nil if it is. Rest is what followed the last
// event, news reports whether the call has brought an event that the caller did not have.
func (x *exchange) streamError(c *call, err error, rest []byte, news bool) error {
	switch {
	case !errors.Is(err, io.EOF):
		return err
	case len(rest) > 0:
		return errUnfinished
	case x.eventBegun:
		return errEventMissing
	case !news && (c.resp.Framing() == link.ByConnection || !x.mayBeEmpty()):
		return errNoEvent
	default:
		return nil
	}
}

// mayBeEmpty reports whether a stream without an event may be complete: if the caller may have had all events before its request. One
// that has broken off hardly did so after its last event, and its caller can take it up.
func (x *exchange) mayBeEmpty() bool { return x.info.LastEventID != "" && !x.begun }

// writeEvent writes and flushes an event; it reports whether that succeeded.
func (x *exchange) writeEvent(raw []byte) bool {
	if _, err := x.w.Write(raw); err != nil {
		return false
	}
	return http.NewResponseController(x.w).Flush() == nil
}

// sendHead sends the head of the response. A resumed stream keeps the head of its first upstream.
func (x *exchange) sendHead(now time.Time, c *call) {
	if x.streaming {
		return
	}
	x.streaming = true
	x.build = &c.choice.Build
	x.Origins.Began(now, x.service, x.info.ID, c.choice.Build)
	x.copyHeader(c.resp.Header)
	x.w.Header().Del("Content-Length")
	x.w.WriteHeader(c.resp.Status)
	x.headDelay = now.Sub(x.started)
}

// beginsEvent reports whether the bytes after which a stream broke off may be those of an event that the caller has not got.
func (x *exchange) beginsEvent(rest []byte) bool {
	lines := rest[:bytes.LastIndexByte(rest, '\n')+1]
	if ids, _ := eventIDs(lines); len(ids) > 0 && !x.isNewEvent(ids[0]) {
		return false
	}
	_, isEvent := eventIDs(rest)
	return isEvent
}

// isNewEvent reports whether an event follows the last forwarded one. An upstream that resumes a stream may repeat
// events.
func (x *exchange) isNewEvent(id string) bool {
	if id == "" || x.lastEventID == "" {
		return true
	}
	seq, errSeq := strconv.ParseInt(id, 10, 64)
	last, errLast := strconv.ParseInt(x.lastEventID, 10, 64)
	return errSeq != nil || errLast != nil || seq > last
}

// finishStream completes a stream that ended properly.
func (x *exchange) finishStream(c *call) (result, error) {
	x.sendHead(time.Now(), c)
	c.resp.Done(time.Now())
	x.Fleet.AnswerCompleted(c.choice.ID)
	x.learnAnswer(time.Now(), c)
	more := []any{"first_ms", x.headDelay.Milliseconds(), "last_event", x.lastEventID}
	x.logResult("route: answered", c.resp.Status, "answered", append(more, c.logFields()...)...)
	return answered, nil
}

// idleTimeout returns how long an upstream may send nothing before another one may resume the stream; zero if none may.
func (x *exchange) idleTimeout() time.Duration {
	if !x.route.Repeatable() || x.counts.Ran >= x.route.Attempts {
		return 0
	}
	return max(minIdleTimeout, 3*x.route.GapObjective, x.route.Objective)
}
