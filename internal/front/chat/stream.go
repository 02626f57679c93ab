package chat

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
)

// maxAnswerBytes bounds a whole answer of an engine.
const maxAnswerBytes = 16 << 20

// errOrder says that an engine left out an event.
var errOrder = errors.New("an event is missing from the engine's stream")

// errCaller says that the caller could not be written to.
var errCaller = errors.New("the caller does not read")

// stream relays events until the stream is complete, going on at the next event on another engine after a failure.
// It returns the tokens used.
func (h *Handler) stream(ctx context.Context, w http.ResponseWriter, j *job) int64 {
	out := &output{w: w, control: http.NewResponseController(w), timeout: h.WriteTimeout}
	var last error
	for range maxAttempts {
		if ctx.Err() != nil {
			break
		}
		a, err := h.open(ctx, j, out.sent)
		if err == nil {
			err = h.relay(j, a, out)
			a.end()
		}
		if err == nil {
			h.finish(j, out.sent)
			return j.tokens + out.sent
		}
		last = err
		if a == nil || errors.Is(err, errCaller) {
			break
		}
		h.failed(ctx, j, a, err)
		if err := h.Crashes.Check(time.Now(), j.fingerprint); err != nil {
			last = err
			break
		}
	}
	h.giveUp(ctx, w, j, out, last)
	if !j.ran {
		return 0
	}
	return j.tokens + out.sent
}

// relay copies one engine's events to the caller.
func (h *Handler) relay(j *job, a *attempt, out *output) error {
	events := relay.NewEvents(a.res.Body)
	first := true
	for {
		e, err := events.Next()
		if err != nil {
			return err
		}
		a.silence.Reset(h.TokenIdle)
		if first {
			first = false
			if out.sent == 0 {
				h.Metrics.Timer("first_token").Record(time.Since(j.start))
			}
		}
		if e.Done() {
			return out.done()
		}
		if e.ID != 0 && e.ID <= out.sent {
			continue
		}
		if e.ID != 0 && e.ID != out.sent+1 {
			return errOrder
		}
		if err := out.event(e); err != nil {
			return err
		}
	}
}

// finish records a complete answer.
func (h *Handler) finish(j *job, events int64) {
	h.Metrics.Counter("completed").Inc(1)
	if j.suspect {
		h.Deaths.Survived(j.fingerprint)
	}
	h.Log.V(1).Info("route: completed request", "request", j.id, "workspace", j.caller.Workspace, "events", events)
}

// giveUp sends the final answer of a request that cannot be completed.
func (h *Handler) giveUp(ctx context.Context, w http.ResponseWriter, j *job, out *output, last error) {
	err := cause(ctx, h.finalError(j, last))
	if out.started {
		h.Log.Info("route: ended stream early", "request", j.id, "workspace", j.caller.Workspace, "reason", err.Error())
		_ = out.fail(err)
		return
	}
	h.refuse(w, j.caller.Workspace, err)
}

// finalError turns the last attempt's error into one of the closed list.
func (h *Handler) finalError(j *job, last error) error {
	var listed *fault.Error
	if errors.As(last, &listed) && !j.ran {
		return listed
	}
	if last == nil {
		last = context.Canceled
	}
	return fault.New(fault.UpstreamFailed, "all engines that were tried failed; the last one: %s", last.Error())
}

// whole gets an answer in one piece, from another engine after a failure.
func (h *Handler) whole(ctx context.Context, w http.ResponseWriter, j *job) int64 {
	var last error
	for range maxAttempts {
		if ctx.Err() != nil {
			break
		}
		a, err := h.open(ctx, j, 0)
		if err == nil {
			var answer []byte
			answer, err = io.ReadAll(io.LimitReader(a.res.Body, maxAnswerBytes))
			if err == nil && !json.Valid(answer) {
				err = relay.ErrCut
			}
			a.end()
			if err == nil {
				h.finish(j, 1)
				w.Header().Set("Content-Type", "application/json")
				_, _ = w.Write(answer)
				return j.tokens + completionTokens(answer, j.req.MaxTokens)
			}
		}
		last = err
		if a == nil {
			break
		}
		h.failed(ctx, j, a, err)
		if err := h.Crashes.Check(time.Now(), j.fingerprint); err != nil {
			last = err
			break
		}
	}
	h.refuse(w, j.caller.Workspace, cause(ctx, h.finalError(j, last)))
	if !j.ran {
		return 0
	}
	return j.tokens
}

// usage is the part of a whole answer that tells the tokens used.
type usage struct {
	Usage struct {
		CompletionTokens *int64 `json:"completion_tokens"`
	} `json:"usage"`
}

// completionTokens reads the output tokens of an answer; the bound stands in for an answer that does not tell.
func completionTokens(answer []byte, bound int64) int64 {
	var u usage
	if json.Unmarshal(answer, &u) != nil || u.Usage.CompletionTokens == nil {
		return bound
	}
	return min(bound, max(0, *u.Usage.CompletionTokens))
}

// output writes events to the caller.
type output struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	started bool
	// sent is the number of events that were written, the end mark not counted.
	sent int64
}

func (o *output) event(e relay.Event) error {
	o.start()
	if err := o.write("data: %s\n\n", e.Data); err != nil {
		return err
	}
	o.sent++
	return nil
}

func (o *output) done() error {
	o.start()
	return o.write("data: %s\n\n", []byte("[DONE]"))
}

// fail ends a started stream by an error event and without the end mark.
func (o *output) fail(err error) error {
	body, _ := json.Marshal(fault.BodyOf(err))
	return o.write("data: %s\n\n", body)
}

func (o *output) start() {
	if o.started {
		return
	}
	o.started = true
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	o.w.WriteHeader(http.StatusOK)
}

func (o *output) write(format string, data []byte) error {
	_ = o.control.SetWriteDeadline(time.Now().Add(o.timeout))
	if _, err := fmt.Fprintf(o.w, format, data); err != nil {
		return errors.Join(errCaller, err)
	}
	if err := o.control.Flush(); err != nil {
		return errors.Join(errCaller, err)
	}
	return nil
}
