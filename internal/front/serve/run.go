package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/front/link"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

const (
	// fullPause is how long an upstream without room is passed over.
	fullPause = 60 * time.Millisecond
	// answerMost bounds an answer that is held until it is whole.
	answerMost = 16 << 20
	// silenceLeast is the shortest silence after which a stream that may go on elsewhere is given up. Callers leave
	// after two seconds of silence.
	silenceLeast = 1200 * time.Millisecond
)

// run sends the request to upstreams until one has answered or none may be tried any more.
func (x *exchange) run() {
	ctx, cancel := x.context()
	defer cancel()
	x.Budget.Earn(x.started, x.service)
	for {
		choice, ok := x.place(time.Now())
		if !ok {
			x.giveUp(ctx, errors.New("no upstream may take the request"))
			return
		}
		r, err := x.attempt(ctx, choice)
		switch x.next(ctx, r) {
		case again:
			if r == failed {
				x.note(failed, choice, err)
			}
		case deliver:
			if r == failed {
				x.fail(ctx, err)
			}
			return
		case refuse:
			x.giveUp(ctx, err)
			return
		default:
			x.lose(ctx, err)
			return
		}
	}
}

// next decides what follows a send.
func (x *exchange) next(ctx context.Context, r result) step {
	switch {
	case ctx.Err() == nil, r == answered:
	case r == failed:
		return deliver
	default:
		return fail
	}
	now := time.Now()
	return follow(r, x.tally, x.route.Repeatable(), x.route.Attempts, x.ends.Sub(now), func() bool {
		return x.Budget.Spend(now, x.service)
	})
}

// giveUp answers a request that did not run.
func (x *exchange) giveUp(ctx context.Context, err error) {
	if x.streaming || x.tally.Ran > 0 {
		x.lose(ctx, err)
		return
	}
	if x.r.Context().Err() != nil {
		x.abandon()
		return
	}
	x.refuse(fault.NewRetryAfter(fault.NoUpstream, comeBackSoon, "%s", err))
}

// lose answers a request whose outcome is not known, or cuts its stream.
func (x *exchange) lose(ctx context.Context, err error) {
	if x.r.Context().Err() != nil {
		x.abandon()
		return
	}
	if x.streaming {
		reason := text(err)
		if ctx.Err() != nil {
			reason = "the time was up"
		}
		x.log("route: cut", http.StatusOK, "cut", "reason", reason)
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil && x.tally.Ran == 0 {
		x.refuse(fault.NewRetryAfter(fault.NoUpstream, comeBackSoon, "the time was up before an upstream took the request"))
		return
	}
	if ctx.Err() != nil {
		x.refuse(fault.New(fault.OutcomeUnknown, "no answer in time"))
		return
	}
	x.refuse(fault.New(fault.UpstreamFailed, "%s", text(err)))
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// abandon notes that the caller has gone.
func (x *exchange) abandon() {
	x.log("route: caller left", 0, "left")
	panic(http.ErrAbortHandler)
}

// attempt sends the request to one upstream and passes the answer on when there is one.
func (x *exchange) attempt(ctx context.Context, choice place.Choice) (result, error) {
	now := time.Now()
	x.sent = now
	x.tally.Sends++
	x.avoid[choice.ID] = true
	tokens := choice.PrefillTokens
	x.Fleet.RequestSent(choice.ID, tokens)
	defer func() { x.Fleet.RequestEnded(choice.ID, tokens) }()
	pass := x.pass(now, choice)
	x.saving = pass.SaveTo != ""
	reply, err := x.Pool.Send(ctx, now, link.Request{
		Address: choice.Address,
		Method:  x.r.Method,
		Target:  x.r.RequestURI,
		Host:    x.r.Host,
		Header:  x.Dialect.Forward(x.r.Header, x.ask, pass),
		Body:    x.body,
		Matches: func(h http.Header) bool { return x.Dialect.Verdict(h).ID == x.ask.ID },
		Once:    x.route.Kind == policy.NonIdempotent || x.route.Kind == policy.Streaming && !x.route.Resumable,
	})
	if link.NotSent(err) {
		if ctx.Err() == nil && !errors.Is(err, link.ErrBusy) {
			x.Fleet.Failed(time.Now(), choice.ID)
		}
		x.note(unsent, choice, err)
		return unsent, err
	}
	if err != nil {
		x.tally.Ran++
		x.brokenOff(ctx, choice, err)
		return broken, err
	}
	verdict := x.Dialect.Verdict(reply.Header)
	r := judge(reply.Status, verdict)
	switch r {
	case notRun:
		x.declined(choice, reply, verdict)
		drain(reply)
		err := fmt.Errorf("upstream %s declined with status %d", choice.ID, reply.Status)
		x.note(r, choice, err)
		return r, err
	case broken:
		x.tally.Ran++
		reply.Abort()
		x.Fleet.ReturnedError(time.Now(), choice.ID)
		err := fmt.Errorf("upstream %s sent an answer without a signature, status %d", choice.ID, reply.Status)
		x.note(r, choice, err)
		return r, err
	}
	x.tally.Ran++
	if choice.Version > 0 && verdict.Version > choice.Version {
		x.Fleet.ConfirmWeights(choice.ID, x.ask.Model, verdict.Version)
	}
	if r == answered && x.route.Kind == policy.Streaming && reply.Status < http.StatusMultipleChoices {
		// Engines answer the head at once; the prompt is read when the first event comes.
		return x.stream(ctx, choice, reply, func() {
			x.Fleet.Prefilled(choice.ID, tokens)
			tokens = 0
		})
	}
	return x.whole(ctx, choice, reply, r)
}

// drain reads a short answer to its end so that the connection can be kept.
func drain(reply *link.Reply) {
	if _, err := io.CopyN(io.Discard, reply.Body, drainMost); errors.Is(err, io.EOF) {
		reply.Done(time.Now())
		return
	}
	reply.Abort()
}

// drainMost bounds what is read of an answer that goes nowhere.
const drainMost = 64 << 10

// declined learns from an upstream that has not run the request.
func (x *exchange) declined(choice place.Choice, reply *link.Reply, v Verdict) {
	now := time.Now()
	switch {
	case reply.Status != http.StatusMisdirectedRequest:
		x.Fleet.MarkFull(now, choice.ID, fullPause)
	case v.Version > 0 && v.Version != choice.Version:
		x.Fleet.ConfirmWeights(choice.ID, x.ask.Model, v.Version)
		// The upstream was right and the belief wrong, so that it may be asked again.
		delete(x.avoid, choice.ID)
	default:
		x.Fleet.Failed(now, choice.ID)
		x.Pool.Forget(choice.Address)
	}
}

// brokenOff learns from an upstream that broke off. When the caller left or the time was up, only a long silence counts
// against the upstream.
func (x *exchange) brokenOff(ctx context.Context, choice place.Choice, err error) {
	x.note(broken, choice, err)
	now := time.Now()
	if ctx.Err() != nil {
		if !x.streaming && now.Sub(x.sent) >= silenceLeast {
			x.Fleet.Unanswered(now, choice.ID)
		}
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.Fleet.IdleTimedOut(now, choice.ID)
	} else {
		x.Fleet.Failed(now, choice.ID)
	}
	x.Crashers.Died(now, x.fingerprint)
	x.Pool.Forget(choice.Address)
}

// note logs a send that brought no answer.
func (x *exchange) note(r result, choice place.Choice, err error) {
	x.Log.Info("route: send brought no answer", "id", x.ask.ID, "upstream", choice.ID, "result", string(r), "error", text(err),
		"sends", x.tally.Sends, "ran", x.tally.Ran, "left_ms", x.left().Milliseconds())
}

// whole reads an answer to its end before any of it goes to the caller, so that one that breaks off can be had elsewhere.
func (x *exchange) whole(ctx context.Context, choice place.Choice, reply *link.Reply, r result) (result, error) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, answerMost))
	if err != nil || len(body) == answerMost {
		reply.Abort()
		if err == nil {
			err = errors.New("the answer is too long")
		}
		x.brokenOff(ctx, choice, err)
		return broken, err
	}
	reply.Done(time.Now())
	if r == failed {
		x.Fleet.ReturnedError(time.Now(), choice.ID)
		x.failure = failure{status: reply.Status, header: reply.Header, body: body}
		return failed, fmt.Errorf("upstream %s failed with status %d", choice.ID, reply.Status)
	}
	x.Fleet.AnswerStarted(time.Now(), choice.ID)
	x.Fleet.AnswerCompleted(choice.ID)
	x.answer(reply.Status, reply.Header, body, answered)
	return answered, nil
}

// fail passes an upstream's own failure on, unless its status would promise that the request has not run.
func (x *exchange) fail(ctx context.Context, err error) {
	if !deliverable(x.failure.status) {
		x.lose(ctx, err)
		return
	}
	x.answer(x.failure.status, x.failure.header, x.failure.body, failed)
}

// answer sends a whole answer.
func (x *exchange) answer(status int, header http.Header, body []byte, r result) {
	x.copyHead(header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		x.log("route: caller did not take the answer", status, "left", "error", err.Error())
		return
	}
	x.log("route: answered", status, string(r))
}

// copyHead sets the headers of an upstream's answer that go to the caller.
func (x *exchange) copyHead(header http.Header) {
	head := x.w.Header()
	for name, values := range x.Dialect.Answer(header) {
		head[name] = values
	}
}
