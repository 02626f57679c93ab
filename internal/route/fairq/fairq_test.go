package fairq

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
)

// TestFloodWaitsBehindItself fills the only place, queues many requests of one workspace and one of another, and checks that
// the other's request is served second.
func TestFloodWaitsBehindItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(8)
		for range 8 {
			must.NoError(t, q.Enter(t.Context(), "flood", 1, 10))
		}
		served := make(chan string, 16)
		enter := func(workspace string) {
			must.NoError(t, q.Enter(t.Context(), workspace, 1, 10))
			served <- workspace
		}
		for range 6 {
			go enter("flood")
			synctest.Wait()
		}
		go enter("calm")
		synctest.Wait()
		for range 8 {
			q.Leave(time.Now())
			synctest.Wait()
		}
		must.Eq(t, "calm", <-served)
	})
}

func TestRefusesWhatWouldWaitTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(1)
		must.NoError(t, q.Enter(t.Context(), "w", 1, 1))
		q.between = MaxWait + time.Second
		err := q.Enter(t.Context(), "w", 1, 1)
		must.True(t, fault.Is(err, fault.Overloaded))
		must.Positive(t, fault.RetryAfter(err))
	})
}

func TestLeaverGivesItsTurnBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(1)
		must.NoError(t, q.Enter(t.Context(), "w", 1, 1))
		ctx, cancel := context.WithCancel(t.Context())
		gone := make(chan error, 1)
		go func() { gone <- q.Enter(ctx, "w", 1, 1) }()
		synctest.Wait()
		cancel()
		must.ErrorIs(t, <-gone, context.Canceled)
		q.Leave(time.Now())
		must.Eq(t, 0, q.Running())
		must.NoError(t, q.Enter(t.Context(), "w", 1, 1))
	})
}
