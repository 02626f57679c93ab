package plain

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/once/claim"
)

const (
	// storeWait bounds how long the caller's response waits for its write to the claim store.
	storeWait = 300 * time.Millisecond
	// storeTimeout bounds the retries of one write to the claim store.
	storeTimeout       = 10 * time.Minute
	storeRetryInterval = 2 * time.Second
)

// serveOnce runs a call at most once, or replays its stored response.
func (h *Handler) serveOnce(ctx context.Context, w http.ResponseWriter, c *call) {
	key := c.header.Get(HeaderIdempotencyKey)
	if key == "" {
		key = rand.Text()
	}
	id := claim.ID(c.caller.Workspace, c.routeName, key)
	claimed, stored, err := h.Claims.Begin(ctx, time.Now(), id, c.id, bodyHash(c))
	if err != nil {
		h.refuse(w, c.caller.Workspace, err)
		return
	}
	if stored != nil {
		h.replay(w, c, stored)
		return
	}
	h.Log.Info("claim: recorded", "request", c.id, "route", c.routeName, "workspace", c.caller.Workspace)
	response, err := h.sendClaimed(ctx, w, c, claimed)
	if err != nil {
		h.refuse(w, c.caller.Workspace, err)
		return
	}
	defer response.release()
	h.storeResponse(claimed, response)
	writeResponse(w, response.Response)
}

// heldResponse is a response whose memory is released once it has been written and stored.
type heldResponse struct {
	*claim.Response
	body relay.Event
	// holders is the number of uses that have not ended.
	holders atomic.Int32
}

// release ends one use.
func (r *heldResponse) release() {
	if r.holders.Add(-1) == 0 {
		r.body.Release()
	}
}

// sendClaimed sends a claimed call to the first upstream that accepts a connection.
func (h *Handler) sendClaimed(ctx context.Context, w http.ResponseWriter, c *call, claimed *claim.Claim) (*heldResponse, error) {
	if !h.Claims.MarkSent(claimed) {
		return nil, fault.New(fault.ClaimBusy, "another router took the call over")
	}
	tried := make(map[string]bool)
	for range maxAttempts {
		v, ok := h.choose(c, tried)
		if !ok {
			break
		}
		tried[v.Name] = true
		res, err := h.send(ctx, w, c, v)
		if relay.NotSent(err) {
			h.Fleet.Failed(time.Now(), v.Name)
			continue
		}
		if err != nil {
			h.Fleet.Failed(time.Now(), v.Name)
			return nil, h.outcomeUnknown(c, claimed, err)
		}
		response, err := h.readResponse(res)
		if err != nil {
			return nil, h.outcomeUnknown(c, claimed, err)
		}
		h.Fleet.Succeeded(time.Now(), v.Name, "")
		return response, nil
	}
	h.retryInBackground(func(ctx context.Context) error { return h.Claims.Cancel(ctx, claimed) }, func() {})
	return nil, fault.New(fault.NoUpstream, "no upstream of service %s takes the call", c.route.Service)
}

// outcomeUnknown abandons the claim and returns a fault. The claim stays recorded, so that the call is never sent again.
func (h *Handler) outcomeUnknown(c *call, claimed *claim.Claim, err error) error {
	h.Claims.Abandon(claimed)
	h.Log.Info("claim: outcome unknown", "request", c.id, "route", c.routeName, "workspace", c.caller.Workspace, "reason", err.Error())
	return fault.New(fault.OutcomeUnknown, "the upstream may have run the call; it was sent once and gave no whole answer")
}

// storeResponse stores the response in the background and waits for it up to storeWait.
func (h *Handler) storeResponse(claimed *claim.Claim, response *heldResponse) {
	record := *response.Response
	if len(record.Body) > claim.MaxResponseBytes {
		record.Body = nil
		record.Dropped = true
	}
	done := h.retryInBackground(func(ctx context.Context) error { return h.Claims.Finish(ctx, claimed, &record) }, response.release)
	select {
	case <-done:
	case <-time.After(storeWait):
	}
}

// retryInBackground retries a write to the claim store until it succeeds or times out, then calls end and closes the returned channel.
func (h *Handler) retryInBackground(write func(ctx context.Context) error, end func()) <-chan struct{} {
	done := make(chan struct{})
	h.pending.Add(1)
	go func() {
		defer h.pending.Done()
		defer close(done)
		defer end()
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		for {
			err := write(ctx)
			if err == nil {
				return
			}
			h.Log.Info("claim: write to the store failed, retrying", "reason", err.Error())
			select {
			case <-ctx.Done():
				return
			case <-time.After(storeRetryInterval):
			}
		}
	}()
	return done
}

func (h *Handler) replay(w http.ResponseWriter, c *call, stored *claim.Response) {
	h.Log.Info("claim: replayed answer", "request", c.id, "route", c.routeName, "workspace", c.caller.Workspace)
	if stored.Dropped {
		h.refuse(w, c.caller.Workspace, fault.New(fault.OutcomeUnknown, "the call ran with status %d; its answer was too large to keep", stored.Status))
		return
	}
	w.Header().Set(HeaderReplayed, "true")
	writeResponse(w, stored)
}

func (h *Handler) readResponse(res *http.Response) (*heldResponse, error) {
	defer func() { _ = res.Body.Close() }()
	body, err := h.Pool.ReadWhole(res)
	if err != nil {
		return nil, err
	}
	response := &heldResponse{
		Response: &claim.Response{Status: res.StatusCode, Header: relay.FilterResponseHeader(res.Header), Body: body.Data}, body: body,
	}
	// It is written and stored.
	response.holders.Store(2)
	return response, nil
}

func writeResponse(w http.ResponseWriter, response *claim.Response) {
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// bodyHash returns the hash of method, path, query and body, which identifies a call's content.
func bodyHash(c *call) string {
	sum := sha256.New()
	for _, s := range []string{c.method, c.path, c.query.Encode()} {
		sum.Write([]byte(s))
		sum.Write([]byte{0})
	}
	sum.Write(c.body)
	return hex.EncodeToString(sum.Sum(nil))
}
