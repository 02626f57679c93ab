package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
)

// ErrStopped returns the fault with which the contexts of the requests are canceled that are open when the instance stops.
func ErrStopped() error { return fault.New(fault.Draining, "the instance stops") }

// isStopped reports whether ctx was canceled because the instance stops.
func isStopped(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause != nil && fault.Is(cause, fault.Draining)
}

// StopFault returns the fault of a request that was canceled because the instance stops, or else err. Sent reports whether an upstream
// may have started the request.
func StopFault(ctx context.Context, sent bool, err error) error {
	switch {
	case !isStopped(ctx):
		return err
	case sent:
		return fault.New(fault.OutcomeUnknown, "the instance stopped before the answer was complete")
	default:
		return context.Cause(ctx)
	}
}

// stopKey is the context key of the context that is canceled when the instance stops.
type stopKey struct{}

// WithStop returns the base context of requests, which knows itself, so that work that outlasts its request ends with the instance.
func WithStop(ctx context.Context) context.Context { return context.WithValue(ctx, stopKey{}, ctx) }

// OnceContext returns the context of a call that runs to completion, also when its caller disconnects, unless the instance stops.
func OnceContext(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(parent))
	unlink := func() bool { return true }
	if stop, ok := parent.Value(stopKey{}).(context.Context); ok {
		unlink = context.AfterFunc(stop, func() { cancel(context.Cause(stop)) })
	}
	ctx, release := context.WithTimeout(ctx, timeout)
	return ctx, func() {
		unlink()
		release()
		cancel(context.Canceled)
	}
}

// endReadAtStop makes reads of the request's body fail when the request's context ends. The returned function ends that.
func endReadAtStop(w http.ResponseWriter, r *http.Request) (unlink func() bool) {
	return context.AfterFunc(r.Context(), func() {
		// If it fails, the connection is closed without a response.
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	})
}
