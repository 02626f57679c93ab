package chat

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/front/gate"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/limit/admit"
	"github.com/skylarkquay/skylarkquay/internal/limit/share"
	"github.com/skylarkquay/skylarkquay/internal/once/crash"
	"github.com/skylarkquay/skylarkquay/internal/route/fairq"
	"github.com/skylarkquay/skylarkquay/internal/route/picker"
	"github.com/skylarkquay/skylarkquay/internal/route/placer"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

// CrashRecorder records that an upstream crashed while running a request, or that a request completed after such a crash.
type CrashRecorder interface {
	RecordCrash(fingerprint string)
	RecordSuccess(fingerprint string)
}

// Handler serves chat and text completion calls.
type Handler struct {
	Gate          *gate.Gate
	Limiter       *admit.Limiter
	Queue         *fairq.Queue
	Fleet         *status.Fleet
	Pool          *relay.Pool
	Placer        *placer.Placer
	Crashes       *crash.Tracker
	CrashRecorder CrashRecorder
	Log           logr.Logger
	Metrics       tally.Scope
	// Zone is this instance's availability zone.
	Zone string
	// DefaultMaxTokens bounds the output of a request that sets no bound.
	DefaultMaxTokens int64
	// FirstTokenTimeout is the wait for the first event, TokenIdleTimeout the time between two events, after which another
	// engine may take over.
	FirstTokenTimeout time.Duration
	TokenIdleTimeout  time.Duration
	// WriteTimeout bounds one write to a slow caller.
	WriteTimeout time.Duration
}

// job is one admitted request.
type job struct {
	id           string
	caller       gate.Caller
	req          Request
	path         string
	modelWeights string
	queueWeight  int
	chain        []prefix.Hash
	promptTokens int64
	fingerprint  string
	start        time.Time
	avoid        map[string]bool
	// fallback lists avoided engines that may be healthy, tried again when there is no other.
	fallback []string
	// attempts is the number of attempts started, without those that were dropped because another one went on.
	attempts int
	// crashedUpstream reports whether an upstream crashed recently while running a request with this fingerprint.
	crashedUpstream bool
	// mayHaveRun reports whether an engine may have started the request.
	mayHaveRun bool
}

// bodyCopies is the memory that parsing takes and keeps, by the size of the body: the fields, the prompt and the body for the engine.
const bodyCopies = 3

// ServeHTTP serves POST /v1/chat/completions and /v1/completions.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, caller, release, err := h.Gate.Authenticate(r, time.Now())
	if err != nil {
		h.refuse(w, "", err)
		return
	}
	defer release()
	body, err := h.Gate.ReadBody(w, r)
	if err != nil {
		h.refuse(w, caller.Workspace, err)
		return
	}
	if err := h.Gate.Reserve(r, bodyCopies*int64(len(body))); err != nil {
		h.refuse(w, caller.Workspace, err)
		return
	}
	j, budget, err := h.prepare(time.Now(), caller, r.URL.Path, body)
	if err != nil {
		h.refuse(w, caller.Workspace, err)
		return
	}
	h.run(ctx, w, j, budget)
}

// prepare parses a request and checks it against the active routing document.
func (h *Handler) prepare(now time.Time, caller gate.Caller, path string, body []byte) (*job, *share.Limit, error) {
	req, err := Parse(body, h.DefaultMaxTokens)
	if err != nil {
		return nil, nil, err
	}
	doc, err := h.Gate.Document(now)
	if err != nil {
		return nil, nil, err
	}
	model, ok := doc.Models[req.Model]
	if !ok {
		return nil, nil, fault.New(fault.UnknownModel, "model %q is not served here", req.Model)
	}
	fingerprint := crash.Fingerprint(caller.Workspace, body)
	if err := h.Crashes.Check(now, fingerprint); err != nil {
		return nil, nil, err
	}
	j := &job{
		id:              rand.Text(),
		caller:          caller,
		req:             req,
		path:            path,
		modelWeights:    model.Weights,
		queueWeight:     doc.Workspaces[caller.Workspace].Weight,
		chain:           prefix.Chain(prefix.Salt{Workspace: caller.Workspace, Model: req.Model, Weights: model.Weights}, req.Prompt),
		promptTokens:    prefix.Tokens(req.Prompt),
		fingerprint:     fingerprint,
		start:           now,
		avoid:           make(map[string]bool),
		crashedUpstream: h.Crashes.IsSuspect(now, fingerprint),
	}
	rate, limited := doc.Rates[caller.Workspace]
	if !limited {
		return j, nil, nil
	}
	return j, &share.Limit{Rate: rate.TokensPerSecond, Burst: rate.BurstTokens}, nil
}

// run waits in the queue, reserves the request's tokens, runs the request and returns unused tokens.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, j *job, budget *share.Limit) {
	if budget != nil {
		if err := h.Limiter.Precheck(time.Now(), j.limitRequest(*budget)); err != nil {
			h.refuse(w, j.caller.Workspace, err)
			return
		}
	}
	if err := h.Queue.Acquire(ctx, j.caller.Workspace, j.queueWeight, j.req.Cost()); err != nil {
		h.refuse(w, j.caller.Workspace, cancelCause(ctx, false, err))
		return
	}
	defer func() { h.Queue.Release(time.Now()) }()
	grant, err := h.admit(ctx, j, budget)
	if err != nil {
		h.refuse(w, j.caller.Workspace, cancelCause(ctx, false, err))
		return
	}
	var used int64
	if j.req.Stream {
		used = h.serveStream(ctx, w, j)
	} else {
		used = h.serveBuffered(ctx, w, j)
	}
	h.settle(grant, used)
}

// admit reserves the request's tokens, and reserves them again when the grant has expired in the meantime.
func (h *Handler) admit(ctx context.Context, j *job, budget *share.Limit) (*admit.Grant, error) {
	if budget == nil {
		return nil, nil
	}
	for {
		grant, err := h.Limiter.Admit(ctx, time.Now, j.limitRequest(*budget))
		if err != nil || grant.Valid(time.Now()) {
			return grant, err
		}
		h.settle(grant, 0)
	}
}

// limitRequest builds the job's token request to the limiter.
func (j *job) limitRequest(budget share.Limit) admit.Request {
	return admit.Request{ID: j.id, Workspace: j.caller.Workspace, Limit: budget, Firm: j.promptTokens, Spare: j.req.MaxTokens}
}

// settle returns unused tokens, also when the caller has disconnected.
func (h *Handler) settle(g *admit.Grant, used int64) {
	if g == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	h.Limiter.Settle(ctx, time.Now(), g, used)
}

// choose places the request on an engine and logs the decision.
func (h *Handler) choose(ctx context.Context, j *job) (placer.Choice, status.View, error) {
	now := time.Now()
	c := h.Placer.Place(ctx, now, j.caller.Workspace, picker.Query{
		Model:  j.req.Model,
		Zone:   h.Zone,
		Chain:  j.chain,
		Tokens: j.promptTokens,
		Avoid:  j.avoid,
	})
	v, ok := h.Fleet.Engine(now, c.Engine, j.req.Model)
	if !ok {
		return c, v, fault.New(fault.NoUpstream, "no engine for model %q can take the request", j.req.Model)
	}
	h.Log.Info("route: chose engine", "request", j.id, "workspace", j.caller.Workspace, "engine", c.Engine,
		"expected", c.Total, "cached", c.CachedTokens, "tokens", j.promptTokens, "considered", c.Considered, "placer", c.PlacedBy)
	return c, v, nil
}

// refuse writes err to the caller as a fault and logs it.
func (h *Handler) refuse(w http.ResponseWriter, workspace string, err error) {
	e := fault.From(err)
	h.Log.Info("route: refused request", "workspace", workspace, "kind", e.Kind, "reason", e.Message)
	h.Metrics.Tagged(map[string]string{"kind": string(e.Kind)}).Counter("refused").Inc(1)
	fault.Write(w, e)
}

// cancelCause returns the fault of a request that was canceled because the caller's key was withdrawn or the instance stops, or else err.
// Sent reports whether an engine may have started the request.
func cancelCause(ctx context.Context, sent bool, err error) error {
	if c := context.Cause(ctx); c != nil && fault.Is(c, fault.KeyWithdrawn) {
		return c
	}
	return gate.StopFault(ctx, sent, err)
}
