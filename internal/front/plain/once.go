package plain

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/once/claim"
)

const (
	// storeWait is how long the caller's answer waits for the claim's answer to be stored.
	storeWait = 300 * time.Millisecond
	// storeLimit is how long storing is tried.
	storeLimit = 10 * time.Minute
	storePause = 2 * time.Second
	// maxBodyBytes bounds the answer of a call that may not be repeated.
	maxBodyBytes = 16 << 20
)

// once runs a call at most once.
func (h *Handler) once(ctx context.Context, w http.ResponseWriter, c *call) {
	key := c.header.Get(HeaderIdempotency)
	if key == "" {
		key = rand.Text()
	}
	id := claim.ID(c.caller.Workspace, c.name, key)
	held, kept, err := h.Desk.Begin(ctx, time.Now(), id, c.id, bodyHash(c))
	if err != nil {
		h.refuse(w, c.caller.Workspace, err)
		return
	}
	if kept != nil {
		h.replay(w, c, kept)
		return
	}
	h.Log.Info("claim: recorded", "request", c.id, "route", c.name, "workspace", c.caller.Workspace)
	answer, err := h.runClaim(ctx, w, c, held)
	if err != nil {
		h.refuse(w, c.caller.Workspace, err)
		return
	}
	h.keep(held, answer)
	writeAnswer(w, answer)
}

// runClaim sends a claimed call to the first upstream that takes a connection.
func (h *Handler) runClaim(ctx context.Context, w http.ResponseWriter, c *call, held *claim.Claim) (*claim.Response, error) {
	if !h.Desk.MarkSent(held) {
		return nil, fault.New(fault.ClaimBusy, "another router took the call over")
	}
	tried := make(map[string]bool)
	for range maxAttempts {
		v, ok := h.choose(c, tried)
		if !ok {
			break
		}
		tried[v.Name] = true
		res, err := h.send(ctx, w, c, v, h.Pool.DoOnce)
		if relay.NotSent(err) {
			h.Fleet.Failed(time.Now(), v.Name)
			continue
		}
		if err != nil {
			h.Fleet.Failed(time.Now(), v.Name)
			return nil, h.unknown(c, held, err)
		}
		answer, err := readAnswer(res)
		if err != nil {
			return nil, h.unknown(c, held, err)
		}
		h.Fleet.Succeeded(time.Now(), v.Name, "")
		return answer, nil
	}
	h.background(func(ctx context.Context) error { return h.Desk.Cancel(ctx, held) })
	return nil, fault.New(fault.NoUpstream, "no upstream of service %s takes the call", c.route.Service)
}

// unknown leaves the claim standing, so that the call is never sent again.
func (h *Handler) unknown(c *call, held *claim.Claim, err error) error {
	h.Desk.Abandon(held)
	h.Log.Info("claim: outcome unknown", "request", c.id, "route", c.name, "workspace", c.caller.Workspace, "reason", err.Error())
	return fault.New(fault.OutcomeUnknown, "the upstream may have run the call; it was sent once and gave no whole answer")
}

// keep stores the answer; the caller waits for it only a short while.
func (h *Handler) keep(held *claim.Claim, answer *claim.Response) {
	stored := h.background(func(ctx context.Context) error {
		record := *answer
		if len(record.Body) > claim.MaxResponseBytes {
			record.Body = nil
			record.Dropped = true
		}
		return h.Desk.Finish(ctx, held, &record)
	})
	select {
	case <-stored:
	case <-time.After(storeWait):
	}
}

// background repeats a write to the store until it succeeds, and closes the returned channel at its end.
func (h *Handler) background(write func(ctx context.Context) error) <-chan struct{} {
	done := make(chan struct{})
	h.pending.Add(1)
	go func() {
		defer h.pending.Done()
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), storeLimit)
		defer cancel()
		for {
			err := write(ctx)
			if err == nil {
				return
			}
			h.Log.Info("claim: answer not stored yet", "reason", err.Error())
			select {
			case <-ctx.Done():
				return
			case <-time.After(storePause):
			}
		}
	}()
	return done
}

func (h *Handler) replay(w http.ResponseWriter, c *call, kept *claim.Response) {
	h.Log.Info("claim: replayed answer", "request", c.id, "route", c.name, "workspace", c.caller.Workspace)
	if kept.Dropped {
		h.refuse(w, c.caller.Workspace, fault.New(fault.OutcomeUnknown, "the call ran with status %d; its answer was too large to keep", kept.Status))
		return
	}
	w.Header().Set(HeaderReplayed, "true")
	writeAnswer(w, kept)
}

func readAnswer(res *http.Response) (*claim.Response, error) {
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBodyBytes {
		return nil, errors.New("the answer is too large")
	}
	return &claim.Response{Status: res.StatusCode, Header: relay.Answerable(res.Header), Body: body}, nil
}

func writeAnswer(w http.ResponseWriter, a *claim.Response) {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// bodyHash identifies what the call asks for.
func bodyHash(c *call) string {
	sum := sha256.New()
	for _, s := range []string{c.method, c.path, c.query.Encode()} {
		sum.Write([]byte(s))
		sum.Write([]byte{0})
	}
	sum.Write(c.body)
	return hex.EncodeToString(sum.Sum(nil))
}
