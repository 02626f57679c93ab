package chat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/plat/runner"
	"github.com/skylarkquay/skylarkquay/internal/route/placer"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

const (
	// maxAttempts is the maximum number of engines that one request is tried on, without those that were dropped because
	// another one went on.
	maxAttempts  = 4
	probeTimeout = 500 * time.Millisecond
	// priorityLanguage is the value of the priority header for language requests.
	priorityLanguage = "1"
)

// errMismatch is returned for a response to another request, or one computed with other model weights.
var errMismatch = errors.New("the answer belongs to another request or to other weights")

// attempt is one try of a request on one engine. A goroutine reads what the engine sends until the attempt ends.
type attempt struct {
	choice placer.Choice
	view   status.View
	cancel context.CancelFunc
	// idleTimeout is the time without an event after which another engine is tried.
	idleTimeout time.Duration
	// idleTimer cancels the attempt when the engine sends nothing within the timeout.
	idleTimer    *time.Timer
	markTimedOut func()
	timedOut     chan struct{}
	// reused reports whether the request was sent over a connection that had carried others.
	reused atomic.Bool
	// silent reports whether an idle timeout has passed.
	silent bool
	// unbounded reports whether idleTimer is stopped because another engine is at work on the request.
	unbounded bool
	// events is closed when the engine sends no more. The fields below may be read only then.
	events chan relay.Event
	res    *http.Response
	// sent reports whether a part of the request may have reached the engine.
	sent bool
	err  error
}

// newAttempt starts an attempt that is canceled when the engine sends nothing within timeout.
func newAttempt(c placer.Choice, v status.View, cancel context.CancelFunc, timeout time.Duration) *attempt {
	a := &attempt{choice: c, view: v, cancel: cancel, timedOut: make(chan struct{})}
	// The timer fires again if an event that was read before the first firing resets it.
	a.markTimedOut = sync.OnceFunc(func() { close(a.timedOut) })
	a.idleTimer = time.AfterFunc(timeout, func() {
		a.markTimedOut()
		cancel()
	})
	return a
}

// start chooses an engine and starts to send it the request.
func (h *Handler) start(ctx context.Context, j *job, offset int64) (*attempt, error) {
	c, v, err := h.chooseWithFallback(ctx, j)
	if err != nil {
		return nil, err
	}
	req, err := newRequest(ctx, j, v.Address, offset)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	a := newAttempt(c, v, cancel, maxIdlePeriods*h.FirstTokenTimeout)
	a.idleTimeout = h.FirstTokenTimeout
	a.events = make(chan relay.Event)
	go func() {
		defer close(a.events)
		a.err = h.runAttempt(ctx, j, a, req)
	}()
	return a, nil
}

// runAttempt sends the request and delivers what the engine answers. It uses only those fields of the job that do not change.
func (h *Handler) runAttempt(ctx context.Context, j *job, a *attempt, req *http.Request) error {
	if err := h.send(ctx, j, a, req); err != nil {
		return err
	}
	defer func() { _ = a.res.Body.Close() }()
	return a.read(ctx, h.Pool, j.req.Stream)
}

// send sends the request to the engine and returns once a valid response header has arrived.
func (h *Handler) send(ctx context.Context, j *job, a *attempt, req *http.Request) error {
	res, err := h.Pool.Do(req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) { a.reused.Store(c.Reused) },
	})))
	a.sent = !relay.NotSent(err)
	if err != nil {
		return err
	}
	a.res = res
	if err := checkResponse(j, res); err != nil {
		_ = res.Body.Close()
		return err
	}
	h.recordResponse(j, a)
	return nil
}

// read reads the events of a stream, or a whole response as one event.
func (a *attempt) read(ctx context.Context, pool *relay.Pool, stream bool) error {
	if !stream {
		e, err := pool.ReadWhole(a.res)
		if err != nil {
			return err
		}
		if !json.Valid(e.Data) {
			e.Release()
			return relay.ErrTruncated
		}
		return a.deliver(ctx, e)
	}
	events := relay.NewEventReader(a.res.Body, pool.Memory)
	defer events.Close()
	for {
		e, err := events.Next()
		if err != nil {
			return err
		}
		if err := a.deliver(ctx, e); err != nil || e.Done() {
			return err
		}
	}
}

// deliver hands an event to the reader of the attempt's events, or releases it.
func (a *attempt) deliver(ctx context.Context, e relay.Event) error {
	select {
	case a.events <- e:
		return nil
	case <-ctx.Done():
		e.Release()
		return ctx.Err()
	}
}

// chooseWithFallback chooses an engine. When there is none, it chooses once more with the fallback engines allowed.
func (h *Handler) chooseWithFallback(ctx context.Context, j *job) (placer.Choice, status.View, error) {
	c, v, err := h.choose(ctx, j)
	if err == nil || len(j.fallback) == 0 {
		return c, v, err
	}
	for _, name := range j.fallback {
		delete(j.avoid, name)
	}
	j.fallback = nil
	return h.choose(ctx, j)
}

// end stops the timer, cancels the request and waits until the response body is closed.
func (a *attempt) end() {
	a.idleTimer.Stop()
	a.cancel()
	if a.events == nil {
		return
	}
	for e := range a.events {
		e.Release()
	}
}

// end ends an attempt and records whether its engine may have started the request.
func (j *job) end(a *attempt) {
	a.end()
	if a.sent {
		j.mayHaveRun = true
	}
}

// avoidSilent avoids the engine of a silent attempt. If the connection was reused, the engine may be healthy.
func (j *job) avoidSilent(a *attempt) {
	j.avoid[a.choice.Engine] = true
	if a.reused.Load() && !a.silent {
		j.fallback = append(j.fallback, a.choice.Engine)
	}
	a.silent = true
}

func newRequest(ctx context.Context, j *job, address string, offset int64) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+j.path, bytes.NewReader(j.req.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(runner.HeaderRequest, j.id)
	req.Header.Set(runner.HeaderPriority, priorityLanguage)
	req.Header.Set(runner.HeaderSalt, j.caller.Workspace)
	if offset > 0 {
		req.Header.Set(runner.HeaderOffset, strconv.FormatInt(offset, 10))
	}
	return req, nil
}

// checkResponse checks that a response succeeded and belongs to this request.
func checkResponse(j *job, res *http.Response) error {
	if res.StatusCode != http.StatusOK {
		return oops.Errorf("the engine answered %d", res.StatusCode)
	}
	if res.Header.Get(runner.HeaderRequest) != j.id || res.Header.Get(runner.HeaderWeights) != j.modelWeights {
		return errMismatch
	}
	return nil
}

// recordResponse records the engine's incarnation and cached tokens from the response header.
func (h *Handler) recordResponse(j *job, a *attempt) {
	cached, err := strconv.ParseInt(a.res.Header.Get(runner.HeaderCached), 10, 64)
	if err != nil {
		cached = a.choice.CachedTokens
	}
	h.Placer.RecordOutcome(time.Now(), a.choice, placer.Outcome{
		Engine:       a.choice.Engine,
		Incarnation:  a.res.Header.Get(runner.HeaderIncarnation),
		Chain:        j.chain,
		CachedTokens: cached,
	})
}

// recordFailure records an engine's failure and whether the engine crashed while running the request.
func (h *Handler) recordFailure(ctx context.Context, j *job, a *attempt, err error) {
	if ctx.Err() != nil {
		return
	}
	if a.idleTimedOut() {
		h.Pool.CloseIdle(a.view.Address)
	}
	j.avoid[a.choice.Engine] = true
	if a.idleTimedOut() && a.reused.Load() {
		// A reused connection may be broken while the engine is healthy. The failure is not counted against the engine, and
		// the engine is tried again over a new connection when there is no other.
		h.Log.Info("route: reused connection timed out without data", "request", j.id, "engine", a.choice.Engine)
		j.avoidSilent(a)
		return
	}
	h.Log.Info("route: engine failed", "request", j.id, "engine", a.choice.Engine, "reason", err.Error())
	h.Metrics.Counter("engine_failures").Inc(1)
	if !errors.Is(err, errMismatch) {
		h.Placer.RecordOutcome(time.Now(), a.choice, placer.Outcome{Engine: a.choice.Engine, Failed: true})
	}
	if !a.idleTimedOut() && h.engineCrashed(ctx, a) {
		j.crashedUpstream = true
		h.CrashRecorder.RecordCrash(j.fingerprint)
	}
}

// idleTimedOut reports whether the attempt ended because idleTimer expired.
func (a *attempt) idleTimedOut() bool {
	select {
	case <-a.timedOut:
		return true
	default:
		return false
	}
}

// engineCrashed reports whether the engine has stopped or restarted since it ran the request.
func (h *Handler) engineCrashed(ctx context.Context, a *attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	incarnation := a.view.Incarnation
	if a.res != nil {
		incarnation = a.res.Header.Get(runner.HeaderIncarnation)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.view.Address+runner.LoadPath, nil)
	if err != nil {
		return false
	}
	res, err := h.Pool.DoOnce(req)
	if err != nil {
		// An engine that responded and now refuses connections has crashed. Without a response, the cause is unknown.
		return a.res != nil && ctx.Err() == nil
	}
	defer func() { _ = res.Body.Close() }()
	var report status.Report
	if json.NewDecoder(bound.Reader(res.Body, status.MaxReportBytes)).Decode(&report) != nil {
		return false
	}
	return incarnation != "" && report.Incarnation != incarnation
}
