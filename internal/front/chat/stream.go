package chat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
)

// errMissingEvent is returned when an event ID is skipped.
var errMissingEvent = errors.New("an event is missing from the engine's stream")

// errShorter is returned for a stream that is complete with fewer events than the caller has.
var errShorter = errors.New("the engine's answer is shorter than what the caller has")

// errMalformed is returned for an event whose data is not JSON, such as one that was cut off by other bytes.
var errMalformed = errors.New("an event of the engine is not JSON")

// errEngine is returned for an event by which the engine reports that it has failed.
var errEngine = errors.New("the engine reported an error within its stream")

// errCallerWrite is returned when a write to the caller fails.
var errCallerWrite = errors.New("the caller does not read")

// serveStream relays events to the caller. After a failure it resumes at the next event on another engine.
// It returns the tokens used.
func (h *Handler) serveStream(ctx context.Context, w http.ResponseWriter, j *job) int64 {
	out := &eventWriter{w: w, control: http.NewResponseController(w), timeout: h.WriteTimeout}
	if err := h.relayAnswer(ctx, j, out); err != nil {
		h.writeFailure(ctx, w, j, out, err)
		if !j.mayHaveRun {
			return 0
		}
		return j.promptTokens + out.sent
	}
	h.recordSuccess(j, out.sent)
	return j.promptTokens + out.sent
}

// recordSuccess records a completed request.
func (h *Handler) recordSuccess(j *job, events int64) {
	h.Metrics.Counter("completed").Inc(1)
	if j.crashedUpstream {
		h.CrashRecorder.RecordSuccess(j.fingerprint)
	}
	h.Log.V(1).Info("route: completed request", "request", j.id, "workspace", j.caller.Workspace, "events", events)
}

// writeFailure ends a request that could not be completed.
func (h *Handler) writeFailure(ctx context.Context, w http.ResponseWriter, j *job, out *eventWriter, lastErr error) {
	err := cancelCause(ctx, j.mayHaveRun, h.finalError(j, lastErr))
	if out.started {
		h.Log.Info("route: ended stream early", "request", j.id, "workspace", j.caller.Workspace, "reason", err.Error())
		_ = out.writeError(err)
		return
	}
	h.refuse(w, j.caller.Workspace, err)
}

// finalError maps the last attempt's error to the fault that the caller receives.
func (h *Handler) finalError(j *job, lastErr error) error {
	var known *fault.Error
	if errors.As(lastErr, &known) && !j.mayHaveRun {
		return known
	}
	return fault.New(fault.UpstreamFailed, "all engines that were tried failed; the last one: %s", lastErr.Error())
}

// serveBuffered serves a request that is not streamed, and retries on another engine after a failure. It returns the tokens used.
func (h *Handler) serveBuffered(ctx context.Context, w http.ResponseWriter, j *job) int64 {
	out := &responseBuffer{}
	defer out.release()
	if err := h.relayAnswer(ctx, j, out); err != nil {
		h.refuse(w, j.caller.Workspace, cancelCause(ctx, j.mayHaveRun, h.finalError(j, err)))
		if !j.mayHaveRun {
			return 0
		}
		return j.promptTokens
	}
	h.recordSuccess(j, 1)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(out.response.Data)
	return j.promptTokens + completionTokens(out.response.Data, j.req.MaxTokens)
}

// responseBuffer holds the response to a request that is not streamed.
type responseBuffer struct {
	response relay.Event
}

// release releases the response, if any.
func (o *responseBuffer) release() { o.response.Release() }

// offset implements output.
func (*responseBuffer) offset() int64 { return 0 }

// receive implements output.
func (o *responseBuffer) receive(e relay.Event) (bool, error) {
	o.response = e
	return true, nil
}

// usage is the part of a response body that reports the tokens used.
type usage struct {
	Usage struct {
		CompletionTokens *int64 `json:"completion_tokens"`
	} `json:"usage"`
}

// completionTokens returns the output tokens that a response body reports, or maxTokens when it reports none.
func completionTokens(body []byte, maxTokens int64) int64 {
	var u usage
	if json.Unmarshal(body, &u) != nil || u.Usage.CompletionTokens == nil {
		return maxTokens
	}
	return min(maxTokens, max(0, *u.Usage.CompletionTokens))
}

// eventWriter writes events to the caller.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	started bool
	// sent is the number of events written, without [DONE].
	sent int64
}

// offset implements output.
func (o *eventWriter) offset() int64 { return o.sent }

// receive implements output. It skips events that were already sent.
func (o *eventWriter) receive(e relay.Event) (bool, error) {
	defer e.Release()
	if e.Done() {
		if e.ID != 0 && e.ID < o.sent {
			return false, errShorter
		}
		return true, o.writeDone()
	}
	if e.ID != 0 && e.ID <= o.sent {
		return false, nil
	}
	if e.ID != 0 && e.ID != o.sent+1 {
		return false, errMissingEvent
	}
	if err := checkData(e.Data); err != nil {
		return false, err
	}
	return false, o.writeEvent(e)
}

// checkData returns an error if the data of an event is no part of an answer.
func checkData(data []byte) error {
	if !json.Valid(data) {
		return errMalformed
	}
	if !bytes.Contains(data, []byte(`"error"`)) {
		return nil
	}
	var failure struct {
		Error json.RawMessage `json:"error"`
	}
	if json.Unmarshal(data, &failure) == nil && len(failure.Error) > 0 && string(failure.Error) != "null" {
		return errEngine
	}
	return nil
}

func (o *eventWriter) writeEvent(e relay.Event) error {
	o.writeHeader()
	if err := o.write("data: %s\n\n", e.Data); err != nil {
		return err
	}
	o.sent++
	return nil
}

func (o *eventWriter) writeDone() error {
	o.writeHeader()
	return o.write("data: %s\n\n", []byte("[DONE]"))
}

// writeError ends a started stream with an error event and without [DONE].
func (o *eventWriter) writeError(err error) error {
	body, _ := json.Marshal(fault.BodyOf(err))
	return o.write("data: %s\n\n", body)
}

func (o *eventWriter) writeHeader() {
	if o.started {
		return
	}
	o.started = true
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	o.w.WriteHeader(http.StatusOK)
}

func (o *eventWriter) write(format string, data []byte) error {
	_ = o.control.SetWriteDeadline(time.Now().Add(o.timeout))
	if _, err := fmt.Fprintf(o.w, format, data); err != nil {
		return errors.Join(errCallerWrite, err)
	}
	if err := o.control.Flush(); err != nil {
		return errors.Join(errCallerWrite, err)
	}
	return nil
}
