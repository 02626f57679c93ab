package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/front/link"
	"github.com/skylarkquay/skylarkquay/internal/limit/hold"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

// errNoUpstream is the reason of a request that could not be placed.
var errNoUpstream = errors.New("no upstream may take the request")

const (
	// fullBackoff is how long an upstream without capacity is skipped.
	fullBackoff = 60 * time.Millisecond
	// maxBufferedBytes limits a response that is buffered until complete.
	maxBufferedBytes = 16 << 20
	// minIdleTimeout is the shortest idle time after which a stream may move to another upstream. Callers disconnect
	// after two seconds without data.
	minIdleTimeout = 1200 * time.Millisecond
)

// run sends the request to upstreams until one has sent a response for the caller or no further send is allowed.
func (x *exchange) run() {
	ctx, cancel := x.context()
	defer cancel()
	defer x.keepFailure(failure{})
	if err := x.bindBuild(ctx); err != nil {
		x.respondError(err)
		return
	}
	if x.route.Kind == policy.Streaming && x.route.Resumable {
		x.lastEventID = x.info.LastEventID
	}
	x.Budget.Earn(x.started, x.service)
	for {
		if x.stopsTooSoon(time.Now()) {
			x.failNotRun(ctx, errStopping)
			return
		}
		choice, ok := x.place(time.Now())
		if x.shed != nil {
			x.respondError(x.shed)
			return
		}
		if !ok {
			x.failNotRun(ctx, errNoUpstream)
			return
		}
		r, err := x.attempt(ctx, choice)
		if refusal := refusalOf(err); refusal != nil {
			x.refuseSend(ctx, refusal)
			return
		}
		switch x.decide(ctx, r) {
		case sendAgain:
			if r == failed {
				x.logSend(failed, choice, err)
			}
		case deliver:
			if r == failed {
				x.deliverFailure(ctx, err)
			}
			return
		case refuse:
			x.failNotRun(ctx, err)
			return
		default:
			x.failUnknown(ctx, err)
			return
		}
	}
}

// bindBuild binds a request that takes up a stream to the build that began it. What two builds write does not fit together, and
// upstreams do not check it.
func (x *exchange) bindBuild(ctx context.Context) error {
	if x.route.Kind != policy.Streaming || x.info.LastEventID == "" {
		return nil
	}
	build, ok := x.Origins.Build(ctx, x.started, x.service, x.info.Resumes)
	if !ok {
		return fault.NewRetryAfter(fault.NoUpstream, minRetryAfter, "the software version of the upstream that began the stream is unknown")
	}
	x.build = &build
	return nil
}

// decide returns the step after a send.
func (x *exchange) decide(ctx context.Context, r result) step {
	switch {
	case ctx.Err() == nil, r == answered:
	case r == failed:
		return deliver
	default:
		return fail
	}
	now := time.Now()
	if r != answered && r != failed && x.crashesUpstreams(now) != nil {
		if x.counts.Ran == 0 {
			return refuse
		}
		return fail
	}
	return nextStep(r, x.counts, x.route.Repeatable() && !x.unnumbered, x.route.Attempts, x.timeToSend(now), func() bool { return x.spendRetry(now) })
}

// spendRetry takes one retry from the service's budget, or returns false when none is left.
func (x *exchange) spendRetry(now time.Time) bool {
	if x.Budget.Spend(now, x.service) {
		return true
	}
	x.Log.Info("route: no retry left", "id", x.info.ID, "service", x.service, "sends", x.counts.Sends, "ran", x.counts.Ran,
		"left_ms", x.deadline.Sub(now).Milliseconds())
	return false
}

// failNotRun sends the error response of a request that did not run.
func (x *exchange) failNotRun(ctx context.Context, err error) {
	if x.streaming || x.counts.Ran > 0 {
		x.failUnknown(ctx, err)
		return
	}
	if x.r.Context().Err() != nil {
		x.abortDisconnected()
		return
	}
	now := time.Now()
	if x.stopsTooSoon(now) {
		x.refuseStopping(now)
		return
	}
	x.respondError(fault.NewRetryAfter(fault.NoUpstream, x.retryAfterUnplaced(now), "%s", err))
}

// retryAfterUnplaced returns when to retry a request that could not be placed: when the first upstream accepts requests again, if
// upstreams have said that they do not accept any for a time.
func (x *exchange) retryAfterUnplaced(now time.Time) time.Duration {
	if at, ok := x.Fleet.NextRetry(now, x.service); ok {
		return max(minRetryAfter, at.Sub(now))
	}
	return minRetryAfter
}

// failUnknown sends the error response of a request whose outcome is unknown, or aborts its stream.
func (x *exchange) failUnknown(ctx context.Context, err error) {
	if x.r.Context().Err() != nil {
		x.abortDisconnected()
		return
	}
	if x.streaming {
		reason := errorText(err)
		if ctx.Err() != nil {
			reason = x.endReason(time.Now())
		}
		x.logResult("route: cut", http.StatusOK, "cut", "reason", reason)
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	if x.counts.Ran == 0 && x.stopsTooSoon(now) {
		x.refuseStopping(now)
		return
	}
	if ctx.Err() != nil && x.counts.Ran == 0 {
		x.respondError(fault.NewRetryAfter(fault.NoUpstream, minRetryAfter, "the time was up before an upstream took the request"))
		return
	}
	if ctx.Err() != nil {
		x.respondError(fault.New(fault.OutcomeUnknown, "no answer: %s", x.endReason(now)))
		return
	}
	x.respondError(fault.New(fault.UpstreamFailed, "%s", errorText(err)))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// abortDisconnected logs that the caller disconnected and aborts the handler.
func (x *exchange) abortDisconnected() {
	x.logResult("route: caller left", 0, "left")
	panic(http.ErrAbortHandler)
}

// attempt sends the request to one upstream and forwards its response, if any, to the caller.
func (x *exchange) attempt(ctx context.Context, choice place.Choice) (result, error) {
	c, r, err := x.open(ctx, choice)
	if c == nil {
		return r, err
	}
	if c.isStream(r, x.route) {
		return x.relayStream(ctx, c)
	}
	defer x.end(c)
	if x.streaming && r == answered {
		c.resp.Abort()
		err := fmt.Errorf("upstream %s resumed the stream with status %d", choice.ID, c.resp.Status)
		x.logSend(failed, choice, err, c.logFields()...)
		x.countFailure(c)
		return failed, err
	}
	return x.relayBuffered(ctx, c, r)
}

// drain discards a response so that its connection can be reused. Responses that are longer than maxDrainBytes or do not end
// within drainTimeout are aborted.
func drain(ctx context.Context, resp *link.Response) {
	resp.SetReadTimeout(ctx, drainTimeout)
	if _, err := io.CopyN(io.Discard, resp.Body, maxDrainBytes); errors.Is(err, io.EOF) {
		resp.Done(time.Now())
		return
	}
	resp.Abort()
}

const (
	// maxDrainBytes limits how much of a discarded response is read.
	maxDrainBytes = 64 << 10
	// drainTimeout limits the time for it. The request waits meanwhile.
	drainTimeout = 50 * time.Millisecond
)

// recordDeclined updates the fleet state after an upstream declined the request without running it.
func (x *exchange) recordDeclined(choice place.Choice, resp *link.Response, v ResponseInfo) {
	now := time.Now()
	switch {
	case resp.Status != http.StatusMisdirectedRequest:
		if x.Fleet.MarkFull(now, choice.ID, fullBackoff) {
			x.SendReport()
		}
	case v.Version > 0 && v.Version != choice.Version:
		x.Fleet.ConfirmWeights(choice.ID, x.info.Model, v.Version)
		// The router assumed a wrong version, so the upstream may be tried again.
		delete(x.avoid, choice.ID)
	default:
		x.Fleet.Failed(now, choice.ID)
		x.Pool.CloseIdle(choice.Address)
	}
}

// recordBroken updates the fleet state after an upstream sent no complete response. If the caller disconnected or the
// deadline passed, only a long idle time counts against the upstream, and nothing if this instance stops.
func (x *exchange) recordBroken(ctx context.Context, c *call, err error) {
	x.logSend(broken, c.choice, err, c.logFields()...)
	now := time.Now()
	if ctx.Err() != nil {
		x.countEnded(ctx, now, c)
		if !x.streaming && !x.endedByStop(now) {
			x.learnFrom(now, c, true)
		}
		if !x.streaming && !x.endedByStop(now) && now.Sub(c.sentAt) >= minIdleTimeout {
			x.Fleet.Unanswered(now, c.choice.ID)
		}
		return
	}
	x.recordCrash(ctx, now, c, err)
	if !x.pathFailed(now, c, err) {
		x.Fleet.Failed(now, c.choice.ID)
		x.countFailure(c)
	}
	x.Pool.CloseIdle(c.choice.Address)
}

// pathFailed reports whether the path to an upstream may be why a call broke off, rather than the upstream.
func (x *exchange) pathFailed(now time.Time, c *call, err error) bool {
	return c.relayed(err) || x.Pool.Broken(now, c.choice.Address)
}

// logSend logs a send without a usable response.
func (x *exchange) logSend(r result, choice place.Choice, err error, more ...any) {
	fields := []any{
		"id", x.info.ID, "upstream", choice.ID, "result", string(r), "error", errorText(err), "sends", x.counts.Sends, "ran", x.counts.Ran,
		"left_ms", x.remaining().Milliseconds(),
	}
	fields = append(fields, x.weightsFields(choice)...)
	x.Log.Info("route: send brought no answer", append(fields, more...)...)
}

// relayBuffered reads the whole response before forwarding it, so that a broken one can be retried on another upstream.
func (x *exchange) relayBuffered(ctx context.Context, c *call, r result) (result, error) {
	choice, resp := c.choice, c.resp
	if r == answered {
		x.recordStart(c.headAt, c)
	}
	buffer := x.Memory.Buffer(maxBufferedBytes)
	defer func() {
		if x.failure.buffer != buffer {
			buffer.Release()
		}
	}()
	_, err := buffer.ReadFrom(resp.Body)
	if err == nil {
		err = x.checkEnd(ctx, c)
	}
	if err != nil {
		resp.Abort()
		x.recordBroken(ctx, c, err)
		return broken, err
	}
	body := buffer.Bytes()
	if err := x.checkBody(resp, body); err != nil {
		resp.Abort()
		x.recordBroken(ctx, c, err)
		return broken, err
	}
	resp.Done(time.Now())
	if r == failed {
		x.Fleet.ReturnedError(time.Now(), choice.ID)
		x.countFailure(c)
		x.keepFailure(failure{status: resp.Status, header: resp.Header, buffer: buffer})
		return failed, fmt.Errorf("upstream %s failed with status %d", choice.ID, resp.Status)
	}
	x.Fleet.AnswerStarted(time.Now(), choice.ID)
	x.Fleet.AnswerCompleted(choice.ID)
	x.countAnswer(c, c.headAt)
	x.learnFrom(time.Now(), c, false)
	if resp.Status < http.StatusMultipleChoices && len(body) > 0 {
		x.recordSurvival(time.Now())
	}
	x.respond(resp.Status, resp.Header, body, answered, c.logFields()...)
	return answered, nil
}

// keepFailure keeps an error response, whose buffer is released when another one replaces it or the request ends.
func (x *exchange) keepFailure(f failure) {
	if x.failure.buffer != nil {
		x.failure.buffer.Release()
	}
	x.failure = f
}

// deliverFailure forwards an upstream's error response, unless its status implies that the request has not run or a part of a
// stream has been sent.
func (x *exchange) deliverFailure(ctx context.Context, err error) {
	if x.streaming || !deliverable(x.failure.status) {
		x.failUnknown(ctx, err)
		return
	}
	x.respond(x.failure.status, x.failure.header, x.failure.buffer.Bytes(), failed)
}

// respond sends a buffered response to the caller.
func (x *exchange) respond(status int, header http.Header, body []byte, r result, more ...any) {
	held := hold.NewGrant(x.conn, hold.Answers)
	held.Note(int64(cap(body)))
	defer held.Release()
	x.copyHeader(header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		x.logResult("route: response could not be written to the caller", status, "left", "error", err.Error())
		return
	}
	x.logResult("route: answered", status, string(r), more...)
}

// copyHeader copies the headers of an upstream's response that are forwarded to the caller.
func (x *exchange) copyHeader(header http.Header) {
	head := x.w.Header()
	for name, values := range x.Dialect.ResponseHeader(header) {
		head[name] = values
	}
	x.closeAtStop()
}
