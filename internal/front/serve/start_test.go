package serve

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// newWatch returns the watch of an attempt whose weights may start requests for that long, and the attempt's context.
func newWatch(left func() (time.Duration, bool)) (context.Context, *startWatch) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &startWatch{cancel: cancel, state: waitingToStart, left: left}
	w.check()
	return ctx, w
}

// An attempt that has begun is no longer ended by its watch, and one that was taken back cannot begin.
func TestAttemptBeginsOrIsTakenBack(t *testing.T) {
	superseded := true
	left := func() (time.Duration, bool) { return 0, superseded }
	ctx, w := newWatch(left)
	must.Error(t, ctx.Err())
	must.True(t, w.isTakenBack())
	must.False(t, w.begin())

	superseded = false
	ctx, w = newWatch(left)
	must.True(t, w.begin())
	superseded = true
	w.check()
	must.NoError(t, ctx.Err())
	must.False(t, w.isTakenBack())
	w.release()
	must.Error(t, ctx.Err())
	must.False(t, w.isTakenBack())
}

// A version that is announced while an attempt waits counts too.
func TestAttemptIsTakenBackWhenItsWeightsAreSupersededLater(t *testing.T) {
	announced := time.Now().Add(2 * startCheckInterval)
	ctx, w := newWatch(func() (time.Duration, bool) {
		return time.Until(announced.Add(startCheckInterval)), time.Now().After(announced)
	})
	must.NoError(t, ctx.Err())
	must.Wait(t, wait.InitialSuccess(wait.Timeout(time.Minute), wait.Gap(startCheckInterval/10), wait.BoolFunc(func() bool { return ctx.Err() != nil })))
	must.False(t, time.Now().Before(announced.Add(startCheckInterval)))
	must.True(t, w.isTakenBack())
}
