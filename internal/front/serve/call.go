package serve

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/front/link"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

// call is a send to one upstream.
type call struct {
	choice place.Choice
	// sentAt is when the send started.
	sentAt time.Time
	// pendingTokens is the number of prompt tokens that the upstream is assumed not to have prefilled yet.
	pendingTokens int64
	// saving reports whether the upstream was asked to save the prefix to the KV store.
	saving bool
	// resp is nil until the head of the response has arrived.
	resp *link.Response
	// cancel, if set, releases the context of a call that replaced another one.
	cancel context.CancelFunc
}

// isStream reports whether the response is a stream of events. Engines send the head before they prefill.
func (c *call) isStream(r result, route *policy.Route) bool {
	return r == answered && route.Kind == policy.Streaming && c.resp.Status < http.StatusMultipleChoices
}

// open sends the request to one upstream and reads the head of the response. The call is nil unless the result is answered or
// failed; otherwise it must be ended after the body has been read or aborted.
func (x *exchange) open(ctx context.Context, choice place.Choice) (*call, result, error) {
	c := &call{choice: choice, sentAt: time.Now(), pendingTokens: choice.PrefillTokens}
	x.counts.Sends++
	x.avoid[choice.ID] = true
	x.Fleet.RequestSent(choice.ID, c.pendingTokens)
	r, err := x.sendCall(ctx, c)
	if err != nil {
		x.end(c)
		return nil, r, err
	}
	return c, r, nil
}

// end records that the upstream no longer works on a call.
func (x *exchange) end(c *call) {
	x.Fleet.RequestEnded(c.choice.ID, c.pendingTokens)
	if c.cancel != nil {
		c.cancel()
	}
}

// sendCall sends a call and classifies the head of the response. The error is nil if the response belongs to the caller.
func (x *exchange) sendCall(ctx context.Context, c *call) (result, error) {
	choice := c.choice
	forward := x.forwardInfo(c.sentAt, choice)
	c.saving = forward.SaveTo != ""
	resp, err := x.Pool.Send(ctx, c.sentAt, link.Request{
		Address:   choice.Address,
		Method:    x.r.Method,
		Target:    x.r.RequestURI,
		Host:      x.r.Host,
		Header:    x.Dialect.ForwardHeader(x.r.Header, x.info, forward),
		Body:      x.body,
		Matches:   func(h http.Header) bool { return x.Dialect.ParseResponse(h).ID == x.info.ID },
		FreshConn: x.route.Kind == policy.NonIdempotent || x.route.Kind == policy.Streaming && !x.route.Resumable,
	})
	if link.NotSent(err) {
		if ctx.Err() == nil && !errors.Is(err, link.ErrConnLimit) {
			x.Fleet.Failed(time.Now(), choice.ID)
		}
		x.logSend(unsent, choice, err)
		return unsent, err
	}
	if err != nil {
		x.counts.Ran++
		x.recordBroken(ctx, c, err)
		return broken, err
	}
	c.resp = resp
	verdict := x.Dialect.ParseResponse(resp.Header)
	x.recordNotices(choice, resp.Status, verdict)
	r := classify(resp.Status, verdict)
	switch r {
	case notRun:
		x.recordDeclined(choice, resp, verdict)
		drain(ctx, resp)
		err := fmt.Errorf("upstream %s declined with status %d", choice.ID, resp.Status)
		x.logSend(r, choice, err)
		return r, err
	case broken:
		x.counts.Ran++
		resp.Abort()
		x.Fleet.ReturnedError(time.Now(), choice.ID)
		err := fmt.Errorf("upstream %s sent an answer without a signature, status %d", choice.ID, resp.Status)
		x.logSend(r, choice, err)
		return r, err
	}
	x.counts.Ran++
	if choice.Version > 0 && verdict.Version > choice.Version {
		x.Fleet.ConfirmWeights(choice.ID, x.info.Model, verdict.Version)
	}
	return r, nil
}

// replaceTimeout is how long another upstream may take to accept the stream of a silent one. Both may work on it meanwhile; the
// site allows that for 400 ms.
const replaceTimeout = 250 * time.Millisecond

// replaceSilent sends the request of a silent upstream to another one. Unless that one accepts it, the silent upstream keeps the
// request, since it may only have paused, and the result is nil.
func (x *exchange) replaceSilent(ctx context.Context, silent *call) *call {
	x.Fleet.IdleTimedOut(time.Now(), silent.choice.ID)
	x.Pool.CloseIdle(silent.choice.Address)
	next, err := x.openReplacement(ctx)
	replacement := ""
	if next != nil {
		replacement = next.choice.ID
	} else {
		x.lastChoice = silent.choice
	}
	x.Log.Info("route: upstream is silent", "id", x.info.ID, "upstream", silent.choice.ID, "replacement", replacement,
		"error", errorText(err), "sends", x.counts.Sends, "ran", x.counts.Ran, "left_ms", x.remaining().Milliseconds())
	return next
}

var (
	errNoAttempt  = errors.New("the request may not be sent again")
	errNoRetry    = errors.New("no retry is left")
	errNotStarted = errors.New("the other upstream did not start a stream")
)

// openReplacement sends the request to other upstreams until one begins a stream or may have run the request, for at most
// replaceTimeout.
func (x *exchange) openReplacement(ctx context.Context) (*call, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(replaceTimeout, cancel)
	next, r, err := x.openNext(ctx)
	for (r == unsent || r == notRun) && ctx.Err() == nil {
		next, r, err = x.openNext(ctx)
	}
	if next == nil {
		cancel()
		return nil, err
	}
	next.cancel = cancel
	if timer.Stop() && next.isStream(r, x.route) {
		return next, nil
	}
	next.resp.Abort()
	x.end(next)
	if r == failed {
		x.Fleet.ReturnedError(time.Now(), next.choice.ID)
	}
	return nil, errNotStarted
}

// openNext sends the request to the upstream that is chosen next. The result is "" if nothing was sent.
func (x *exchange) openNext(ctx context.Context) (*call, result, error) {
	now := time.Now()
	if !x.counts.canSend(x.deadline.Sub(now)) || x.counts.Ran >= x.route.Attempts {
		return nil, "", errNoAttempt
	}
	choice, ok := x.place(now)
	if !ok {
		return nil, "", errNoUpstream
	}
	if !x.spendRetry(now) {
		return nil, "", errNoRetry
	}
	return x.open(ctx, choice)
}
