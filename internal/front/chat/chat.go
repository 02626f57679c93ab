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
	"github.com/skylarkquay/skylarkquay/internal/limit/escrow"
	"github.com/skylarkquay/skylarkquay/internal/limit/share"
	"github.com/skylarkquay/skylarkquay/internal/once/crash"
	"github.com/skylarkquay/skylarkquay/internal/route/fairq"
	"github.com/skylarkquay/skylarkquay/internal/route/picker"
	"github.com/skylarkquay/skylarkquay/internal/route/placer"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

// Deaths stores the death of an upstream that ran a request, or that the request ran well after all.
type Deaths interface {
	Died(fingerprint string)
	Survived(fingerprint string)
}

// Handler serves language calls.
type Handler struct {
	Gate    *gate.Gate
	Limiter *escrow.Limiter
	Queue   *fairq.Queue
	Fleet   *status.Fleet
	Pool    *relay.Pool
	Placer  *placer.Placer
	Crashes *crash.Book
	Deaths  Deaths
	Log     logr.Logger
	Metrics tally.Scope
	// Zone is this instance's availability zone.
	Zone string
	// MaxTokens is the bound on the output of a request that names none.
	MaxTokens int64
	// FirstToken bounds the wait for the first event, TokenIdle the silence between two.
	FirstToken time.Duration
	TokenIdle  time.Duration
	// WriteTimeout bounds the wait for a slow reader.
	WriteTimeout time.Duration
}

// job is one admitted request.
type job struct {
	id          string
	caller      gate.Caller
	req         Request
	path        string
	weights     string
	weight      int
	chain       []prefix.Hash
	tokens      int64
	fingerprint string
	start       time.Time
	avoid       map[string]bool
	// second are avoided engines that may be well, to be tried again when there is no other.
	second []string
	// suspect tells that an upstream died while it ran the request.
	suspect bool
	// ran tells that an engine may have started the request.
	ran bool
}

// ServeHTTP handles chat/completions and completions.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, caller, leave, err := h.Gate.Enter(r, time.Now())
	if err != nil {
		h.refuse(w, "", err)
		return
	}
	defer leave()
	body, err := h.Gate.Body(w, r)
	if err != nil {
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

// prepare parses and checks a request against the document in force.
func (h *Handler) prepare(now time.Time, caller gate.Caller, path string, body []byte) (*job, *share.Budget, error) {
	req, err := Parse(body, h.MaxTokens)
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
		id:          rand.Text(),
		caller:      caller,
		req:         req,
		path:        path,
		weights:     model.Weights,
		weight:      doc.Workspaces[caller.Workspace].Weight,
		chain:       prefix.Chain(prefix.Salt{Workspace: caller.Workspace, Model: req.Model, Weights: model.Weights}, req.Prompt),
		tokens:      prefix.Tokens(req.Prompt),
		fingerprint: fingerprint,
		start:       now,
		avoid:       make(map[string]bool),
		suspect:     h.Crashes.Marked(now, fingerprint),
	}
	rate, limited := doc.Rates[caller.Workspace]
	if !limited {
		return j, nil, nil
	}
	return j, &share.Budget{PerSecond: rate.TokensPerSecond, Burst: rate.BurstTokens}, nil
}

// run takes a place in the queue and the request's tokens, runs the request, and settles.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, j *job, budget *share.Budget) {
	if budget != nil {
		if err := h.Limiter.Hopeless(time.Now(), j.request(*budget)); err != nil {
			h.refuse(w, j.caller.Workspace, err)
			return
		}
	}
	if err := h.Queue.Acquire(ctx, j.caller.Workspace, j.weight, j.req.Cost()); err != nil {
		h.refuse(w, j.caller.Workspace, cause(ctx, err))
		return
	}
	defer func() { h.Queue.Release(time.Now()) }()
	grant, err := h.admit(ctx, j, budget)
	if err != nil {
		h.refuse(w, j.caller.Workspace, cause(ctx, err))
		return
	}
	var used int64
	if j.req.Stream {
		used = h.stream(ctx, w, j)
	} else {
		used = h.whole(ctx, w, j)
	}
	h.settle(grant, used)
}

// admit takes the request's tokens, and takes them anew when too much time went by before they can be used.
func (h *Handler) admit(ctx context.Context, j *job, budget *share.Budget) (*escrow.Grant, error) {
	if budget == nil {
		return nil, nil
	}
	for {
		grant, err := h.Limiter.Admit(ctx, time.Now, j.request(*budget))
		if err != nil || grant.Fresh(time.Now()) {
			return grant, err
		}
		h.settle(grant, 0)
	}
}

// request is what the job needs of its workspace's budget.
func (j *job) request(whole share.Budget) escrow.Request {
	return escrow.Request{ID: j.id, Workspace: j.caller.Workspace, Whole: whole, Firm: j.tokens, Spare: j.req.MaxTokens}
}

// settle returns unused tokens, also when the caller has left.
func (h *Handler) settle(g *escrow.Grant, used int64) {
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
		Tokens: j.tokens,
		Avoid:  j.avoid,
	})
	v, ok := h.Fleet.Engine(now, c.Engine, j.req.Model)
	if !ok {
		return c, v, fault.New(fault.NoUpstream, "no engine for model %q can take the request", j.req.Model)
	}
	h.Log.Info("route: chose engine", "request", j.id, "workspace", j.caller.Workspace, "engine", c.Engine,
		"expected", c.Total, "cached", c.CachedTokens, "tokens", j.tokens, "considered", c.Considered, "placer", c.PlacedBy)
	return c, v, nil
}

// refuse answers with an error of the closed list and logs it.
func (h *Handler) refuse(w http.ResponseWriter, workspace string, err error) {
	e := fault.From(err)
	h.Log.Info("route: refused request", "workspace", workspace, "kind", e.Kind, "reason", e.Message)
	h.Metrics.Tagged(map[string]string{"kind": string(e.Kind)}).Counter("refused").Inc(1)
	fault.Write(w, e)
}

// cause returns why a context ended when it ended for a listed fault, or else err.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil && fault.Is(c, fault.KeyWithdrawn) {
		return c
	}
	return err
}
