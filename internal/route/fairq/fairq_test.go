package fairq

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
)

// TestBusyWorkspaceDelaysOnlyItself fills all slots, queues six requests of one workspace and one of another, and checks that
// the other's request is served first.
func TestBusyWorkspaceDelaysOnlyItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(8)
		for range 8 {
			must.NoError(t, q.Acquire(t.Context(), "flood", 1, 10))
		}
		served := make(chan string, 16)
		enter := func(workspace string) {
			must.NoError(t, q.Acquire(t.Context(), workspace, 1, 10))
			served <- workspace
		}
		for range 6 {
			go enter("flood")
			synctest.Wait()
		}
		go enter("calm")
		synctest.Wait()
		for range 8 {
			q.Release(time.Now())
			synctest.Wait()
		}
		must.Eq(t, "calm", <-served)
	})
}

func TestRejectsWhenExpectedWaitIsTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(1)
		must.NoError(t, q.Acquire(t.Context(), "w", 1, 1))
		q.meanInterval = MaxWait + time.Second
		err := q.Acquire(t.Context(), "w", 1, 1)
		must.True(t, fault.Is(err, fault.Overloaded))
		must.Positive(t, fault.RetryAfter(err))
	})
}

func TestCanceledWaiterLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(1)
		must.NoError(t, q.Acquire(t.Context(), "w", 1, 1))
		ctx, cancel := context.WithCancel(t.Context())
		canceled := make(chan error, 1)
		go func() { canceled <- q.Acquire(ctx, "w", 1, 1) }()
		synctest.Wait()
		cancel()
		must.ErrorIs(t, <-canceled, context.Canceled)
		q.Release(time.Now())
		must.Eq(t, 0, q.Running())
		must.NoError(t, q.Acquire(t.Context(), "w", 1, 1))
	})
}
