package gate

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A call that runs to completion went on after the stop if its caller had left before.
func TestOnceContextEndsAtStopAfterItsCallerLeft(t *testing.T) {
	requests, stop := context.WithCancelCause(t.Context())
	request, leave := context.WithCancel(WithStop(requests))
	ctx, release := OnceContext(request, time.Minute)
	defer release()
	leave()
	stop(ErrStopped())
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
		t.Fatal("the call goes on")
	}
	must.True(t, isStopped(ctx))
}
