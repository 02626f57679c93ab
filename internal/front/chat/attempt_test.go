package chat

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/route/placer"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

// TestSilenceMayFallTwice sets the timer anew after it has fired, as an event does that was read before.
func TestSilenceMayFallTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		canceled := 0
		a := newAttempt(placer.Choice{}, status.View{}, func() { canceled++ }, time.Second)
		must.False(t, a.wentSilent())
		time.Sleep(time.Second)
		synctest.Wait()
		must.True(t, a.wentSilent())
		a.silence.Reset(time.Second)
		time.Sleep(time.Second)
		synctest.Wait()
		must.Eq(t, 2, canceled)
		a.end()
	})
}
