package serve

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
)

// errStopping is the reason of a request for which a stopping instance has no time.
var errStopping = errors.New("the instance stops too soon")

// answerMargin is the time before the end of a planned stop in which the requests that are still open get their responses.
const answerMargin = 200 * time.Millisecond

// Stop is the planned stop of an instance. It is safe for concurrent use.
type Stop struct {
	// last is when all sends end; nil before the stop has begun.
	last atomic.Pointer[time.Time]
	// sends is done when all sends have ended.
	sends context.Context
	end   context.CancelFunc
}

// NewStop returns a stop that has not begun.
func NewStop() *Stop {
	s := &Stop{}
	s.sends, s.end = context.WithCancel(context.Background())
	return s
}

// Begin begins a stop of an instance whose connections are closed at the given time.
func (s *Stop) Begin(now, closed time.Time) {
	last := closed.Add(-answerMargin)
	s.last.Store(&last)
	time.AfterFunc(last.Sub(now), s.end)
}

// Over reports whether all sends have ended.
func (s *Stop) Over() bool { return s.sends.Err() != nil }

// due returns when the sends of a request end that is due at the given time.
func (s *Stop) due(deadline time.Time) time.Time {
	if last := s.last.Load(); last != nil && last.Before(deadline) {
		return *last
	}
	return deadline
}

// stopsTooSoon reports whether the instance stops before the request can be expected to end.
func (x *exchange) stopsTooSoon(now time.Time) bool {
	return !fits(x.Stop.due(x.deadline).Sub(now), x.deadline.Sub(now), x.route.Objective, x.route.Kind)
}

// timeToSend returns the time for a send, or zero if the instance stops too soon for it.
func (x *exchange) timeToSend(now time.Time) time.Duration {
	if x.stopsTooSoon(now) {
		return 0
	}
	return x.Stop.due(x.deadline).Sub(now)
}

// fits reports whether a request with that time remaining can be expected to end in the time left. Most end within their route's
// objective. If the outcome of one that may not be repeated is unknown, neither this instance nor its caller can make up for it, so it
// needs all its time. How long a stream lasts after its first event is not known.
func fits(left, remaining, objective time.Duration, kind policy.Kind) bool {
	if remaining <= left {
		return true
	}
	return kind != policy.NonIdempotent && objective > 0 && objective <= left
}

// refuseStopping sends the error response of a request that has not run and for which the instance has no time.
func (x *exchange) refuseStopping(now time.Time) {
	x.respondError(fault.NewRetryAfter(fault.Draining, retryAfterDraining, "the instance stops in %s, the request has %s left",
		x.Stop.due(x.deadline).Sub(now).Round(time.Millisecond), x.deadline.Sub(now).Round(time.Millisecond)))
}

// closeAtStop makes the response the last one on its connection if the instance is about to stop. The caller then sends its next request
// to another instance.
func (x *exchange) closeAtStop() {
	if x.Draining.Load() {
		x.w.Header().Set("Connection", "close")
	}
}

// endedByStop reports whether the context for sends has ended because the instance stops.
func (x *exchange) endedByStop(now time.Time) bool {
	due := x.Stop.due(x.deadline)
	return due.Before(x.deadline) && !now.Before(due)
}

// endReason returns why the context for sends has ended, other than by the caller.
func (x *exchange) endReason(now time.Time) string {
	if x.endedByStop(now) {
		return "the instance stops"
	}
	return "the time was up"
}

// refuseAtStop makes the read of the request's body fail once all sends have ended. The returned function ends that, and reports
// whether the body may still be used.
func (x *exchange) refuseAtStop() (inTime func() bool) {
	return context.AfterFunc(x.Stop.sends, func() {
		// If it fails, the connection is closed without a response.
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Unix(1, 0))
	})
}

// WriteRefusal writes the response to a request of which no handler knows yet, and which is not read any further.
func (h *Handler) WriteRefusal(w io.Writer) error {
	return h.writeUnread(w, fault.NewRetryAfter(fault.Draining, retryAfterDraining, "the instance stops, the request was not read"))
}

// WriteShortage writes the response to a request of which no handler knows, and for which there is no memory.
func (h *Handler) WriteShortage(w io.Writer) error {
	retry := spreadRetryAfter(fault.ResponseFor(fault.Overloaded).Retry, strconv.FormatUint(rand.Uint64(), 16))
	return h.writeUnread(w, fault.NewRetryAfter(fault.Overloaded, retry, "no memory for the request, it was not read"))
}

// writeUnread writes the response to a request that is not read to its end.
func (h *Handler) writeUnread(w io.Writer, err *fault.Error) error {
	header := make(http.Header)
	h.Dialect.SetErrorHeader(header, "", err.Retry)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	text := err.Error() + "\n"
	resp := http.Response{
		StatusCode: fault.ResponseFor(err.Kind).Status, ProtoMajor: 1, ProtoMinor: 1, Header: header, Close: true,
		ContentLength: int64(len(text)), Body: io.NopCloser(strings.NewReader(text)),
	}
	return resp.Write(w)
}
