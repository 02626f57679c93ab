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
	"time"

	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/plat/runner"
	"github.com/skylarkquay/skylarkquay/internal/route/placer"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

const (
	// maxAttempts bounds the engines that one request is tried on.
	maxAttempts = 4
	probeWait   = 500 * time.Millisecond
	// priorityLanguage is the engines' priority of language work.
	priorityLanguage = "1"
)

// errWrong says that an engine's answer is not the one to this request.
var errWrong = errors.New("the answer belongs to another request or to other weights")

// attempt is one try of a request on one engine.
type attempt struct {
	choice placer.Choice
	view   status.View
	res    *http.Response
	cancel context.CancelFunc
	// silence ends the attempt when the engine says nothing.
	silence *time.Timer
	silent  chan struct{}
	// reused tells that the request went over a connection that had served others.
	reused bool
}

// newAttempt starts an attempt that ends itself when the engine says nothing for too long.
func newAttempt(c placer.Choice, v status.View, cancel context.CancelFunc, patience time.Duration) *attempt {
	a := &attempt{choice: c, view: v, cancel: cancel, silent: make(chan struct{})}
	// The timer may fire again when an event that was already read sets it anew.
	fell := sync.OnceFunc(func() { close(a.silent) })
	a.silence = time.AfterFunc(patience, func() {
		fell()
		cancel()
	})
	return a
}

// open sends the request to an engine and returns once its header has come and fits.
func (h *Handler) open(ctx context.Context, j *job, offset int64) (*attempt, error) {
	c, v, err := h.chooseAgain(ctx, j)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	a := newAttempt(c, v, cancel, h.FirstToken)
	req, err := newRequest(ctx, j, v.Address, offset)
	if err != nil {
		a.end()
		return nil, err
	}
	a.res, err = h.Pool.Do(req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) { a.reused = c.Reused },
	})))
	if !relay.NotSent(err) {
		j.ran = true
	}
	if err == nil {
		err = check(j, a.res)
	}
	if err != nil {
		a.end()
		return a, err
	}
	h.learn(j, a)
	return a, nil
}

// chooseAgain chooses an engine; when there is none, those that may be well after all are let in once more.
func (h *Handler) chooseAgain(ctx context.Context, j *job) (placer.Choice, status.View, error) {
	c, v, err := h.choose(ctx, j)
	if err == nil || len(j.second) == 0 {
		return c, v, err
	}
	for _, name := range j.second {
		delete(j.avoid, name)
	}
	j.second = nil
	return h.choose(ctx, j)
}

// end frees what an attempt holds.
func (a *attempt) end() {
	a.silence.Stop()
	a.cancel()
	if a.res != nil {
		_ = a.res.Body.Close()
	}
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

// check verifies that an answer is good and is the one to this request.
func check(j *job, res *http.Response) error {
	if res.StatusCode != http.StatusOK {
		return oops.Errorf("the engine answered %d", res.StatusCode)
	}
	if res.Header.Get(runner.HeaderRequest) != j.id || res.Header.Get(runner.HeaderWeights) != j.weights {
		return errWrong
	}
	return nil
}

// learn records what the answer's header tells of the engine.
func (h *Handler) learn(j *job, a *attempt) {
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

// failed records an engine's failure and finds out whether the engine died of it.
func (h *Handler) failed(ctx context.Context, j *job, a *attempt, err error) {
	if a == nil {
		return
	}
	if ctx.Err() != nil {
		return
	}
	if a.wentSilent() {
		h.Pool.Distrust(a.view.Address)
	}
	j.avoid[a.choice.Engine] = true
	if a.wentSilent() && a.reused {
		// The connection may have gone silent and the engine be well, so the engine is not blamed, and it gets a second try
		// over a new connection when there is no other.
		h.Log.Info("route: connection went silent", "request", j.id, "engine", a.choice.Engine)
		j.second = append(j.second, a.choice.Engine)
		return
	}
	h.Log.Info("route: engine failed", "request", j.id, "engine", a.choice.Engine, "reason", err.Error())
	h.Metrics.Counter("engine_failures").Inc(1)
	if !errors.Is(err, errWrong) {
		h.Placer.RecordOutcome(time.Now(), a.choice, placer.Outcome{Engine: a.choice.Engine, Failed: true})
	}
	if !a.wentSilent() && h.died(ctx, a) {
		j.suspect = true
		h.Deaths.Died(j.fingerprint)
	}
}

// wentSilent tells whether the attempt ended because the engine said nothing.
func (a *attempt) wentSilent() bool {
	select {
	case <-a.silent:
		return true
	default:
		return false
	}
}

// died asks the engine whether it still is the incarnation that ran the request.
func (h *Handler) died(ctx context.Context, a *attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	before := a.view.Incarnation
	if a.res != nil {
		before = a.res.Header.Get(runner.HeaderIncarnation)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.view.Address+runner.LoadPath, nil)
	if err != nil {
		return false
	}
	res, err := h.Pool.DoOnce(req)
	if err != nil {
		// An engine that took the request and now refuses connections is gone; one that never took it proves nothing.
		return a.res != nil && ctx.Err() == nil
	}
	defer func() { _ = res.Body.Close() }()
	var report status.Report
	if json.NewDecoder(res.Body).Decode(&report) != nil {
		return false
	}
	return before != "" && report.Incarnation != before
}
