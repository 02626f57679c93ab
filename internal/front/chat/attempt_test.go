package chat

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/route/placer"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

// TestIdleTimerMayFireTwice resets the timer after it has fired, as happens when an event was read just before the timeout.
func TestIdleTimerMayFireTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		canceled := 0
		a := newAttempt(placer.Choice{}, status.View{}, func() { canceled++ }, time.Second)
		must.False(t, a.idleTimedOut())
		time.Sleep(time.Second)
		synctest.Wait()
		must.True(t, a.idleTimedOut())
		a.idleTimer.Reset(time.Second)
		time.Sleep(time.Second)
		synctest.Wait()
		must.Eq(t, 2, canceled)
		a.end()
	})
}
