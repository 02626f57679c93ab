package serve

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/front/detour"
	"github.com/skylarkquay/skylarkquay/internal/front/link"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

// call is a send to one upstream.
type call struct {
	choice place.Choice
	// ctx covers the whole call.
	ctx context.Context
	// sentAt is when the send started.
	sentAt time.Time
	// pendingTokens is the number of prompt tokens that the upstream is assumed not to have prefilled yet.
	pendingTokens int64
	// held is the number of tokens that its KV cache is expected to need.
	held int64
	// again reports whether the request was sent to the upstream before.
	again bool
	// connected reports whether it has, or had, a connection.
	connected bool
	// saving reports whether the upstream was asked to save the prefix to the KV store.
	saving bool
	// resp is nil until the head of the response has arrived, at headAt.
	resp   *link.Response
	headAt time.Time
	// eventCount is the number of events that were forwarded from firstAt to lastAt.
	eventCount      int64
	firstAt, lastAt time.Time
	// leaving reports whether the head announced that the upstream stops.
	leaving bool
	// events reads the events of a stream; nil before the first one is read.
	events *eventReader
	// first is the first event if it has been read before the call replaced another one.
	first *event
	// cancel, if set, releases the context of a call that replaced another one.
	cancel context.CancelFunc
	// start watches whether the call begins in time. The context of the call ends when it is released.
	start *startWatch
}

// isStream reports whether the response is a stream of events.
func (c *call) isStream(r result, route *policy.Route) bool {
	return r == answered && route.Kind == policy.Streaming && c.resp.Status < http.StatusMultipleChoices
}

// relayed reports whether a call that failed passed through another instance.
func (c *call) relayed(err error) bool { return link.Relayed(err) || c.resp != nil && c.resp.Relayed() }

// logFields returns the fields of a log line about the end of a call.
func (c *call) logFields() []any {
	if c.resp == nil {
		return nil
	}
	return []any{"framing", string(c.resp.Framing()), "relayed", c.resp.Relayed()}
}

// open sends the request to one upstream and reads the head of the response. The call is nil unless the result is answered or
// failed; otherwise it must be ended after the body has been read or aborted.
func (x *exchange) open(ctx context.Context, choice place.Choice) (*call, result, error) {
	c := &call{choice: choice, sentAt: time.Now(), pendingTokens: choice.PrefillTokens}
	x.counts.Sends++
	x.avoid[choice.ID] = true
	c.again = x.sent[choice.ID]
	x.sent[choice.ID] = true
	x.Fleet.RequestSent(c.sentAt, choice.ID, c.pendingTokens)
	x.Fleet.Connecting(choice.ID)
	x.Shifts.Sent(x.service, choice.Build)
	x.holdCache(c)
	c.ctx, c.start = x.watchStart(ctx, choice)
	r, err := x.sendCall(c)
	if err != nil {
		x.end(c)
		return nil, r, err
	}
	return c, r, nil
}

// countEvent counts an event that was forwarded.
func (c *call) countEvent(now time.Time) {
	if c.eventCount == 0 {
		c.firstAt = now
	}
	c.eventCount++
	c.lastAt = now
}

// end records that the upstream no longer works on a call.
func (x *exchange) end(c *call) {
	x.connected(c)
	x.Fleet.RequestEnded(c.choice.ID, c.pendingTokens)
	x.Fleet.CacheFreed(c.choice.ID, c.held)
	c.start.release()
	if c.cancel != nil {
		c.cancel()
	}
}

// sendCall sends a call and classifies the head of the response. The error is nil if the response belongs to the caller.
func (x *exchange) sendCall(c *call) (result, error) {
	ctx, choice := c.ctx, c.choice
	resp, err := x.Pool.Send(ctx, c.sentAt, link.Request{
		Upstream:  choice.ID,
		Born:      choice.Born,
		Address:   choice.Address,
		Method:    x.r.Method,
		Target:    x.r.RequestURI,
		Host:      x.r.Host,
		Body:      x.body,
		Matches:   func(h http.Header) bool { return x.Dialect.ParseResponse(h).ID == x.info.ID },
		FreshConn: x.route.Kind == policy.NonIdempotent || x.route.Kind == policy.Streaming && !x.route.Resumable,
		NewConn:   c.again,
		Prepare:   func(now time.Time) (http.Header, error) { return x.prepare(now, c) },
	})
	if reason := barredReason(err); reason != fleet.NotBarred {
		x.logSend(unsent, choice, err)
		x.Metrics.Tagged(map[string]string{"reason": string(reason)}).Counter("barred").Inc(1)
		return unsent, err
	}
	if link.NotSent(err) && c.start.isTakenBack() {
		return x.takeBack(time.Now(), c, unsent)
	}
	if link.NotSent(err) {
		if ctx.Err() == nil && !errors.Is(err, link.ErrConnLimit) && !errors.Is(err, detour.ErrNoPath) {
			x.Fleet.Failed(time.Now(), choice.ID)
		}
		x.logSend(unsent, choice, err)
		return unsent, err
	}
	if err != nil {
		x.counts.Ran++
		if c.start.isTakenBack() {
			return x.takeBack(time.Now(), c, broken)
		}
		x.recordBroken(ctx, c, err)
		return broken, err
	}
	c.resp, c.headAt = resp, time.Now()
	verdict := x.Dialect.ParseResponse(resp.Header)
	c.leaving = verdict.Leaving
	x.recordNotices(x.info.ID, c, resp.Status, verdict)
	r := classify(resp.Status, verdict)
	switch r {
	case notRun:
		x.recordDeclined(choice, resp, verdict)
		if x.avoid[choice.ID] {
			drain(ctx, resp)
		} else {
			// The next send needs the place of this connection for a new one.
			resp.Abort()
		}
		err := fmt.Errorf("upstream %s declined with status %d", choice.ID, resp.Status)
		x.logSend(r, choice, err, c.logFields()...)
		return r, err
	case broken:
		x.counts.Ran++
		resp.Abort()
		x.Fleet.ReturnedError(time.Now(), choice.ID)
		x.countFailure(c)
		err := fmt.Errorf("upstream %s sent an answer without a signature, status %d", choice.ID, resp.Status)
		x.logSend(r, choice, err, c.logFields()...)
		return r, err
	}
	x.counts.Ran++
	if !c.isStream(r, x.route) && !c.start.begin() {
		resp.Abort()
		return x.takeBack(time.Now(), c, broken)
	}
	if choice.Version > 0 && verdict.Version > choice.Version {
		x.Fleet.ConfirmWeights(choice.ID, x.info.Model, verdict.Version)
	}
	return r, nil
}
