package chat

import (
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/once/crash"
	"github.com/skylarkquay/skylarkquay/internal/route/placer"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

func TestReplacementMayStart(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		name     string
		attempts int
		left     time.Duration
		want     error
	}{
		{"in time", 1, time.Millisecond, nil},
		{"last attempt", maxAttempts - 1, time.Millisecond, nil},
		{"no attempt left", maxAttempts, time.Millisecond, errNoAttempt},
		{"deadline reached", 1, 0, errNotInTime},
		{"late", 1, -time.Millisecond, errNotInTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &Handler{Crashes: crash.NewTracker()}
			r := &replacement{h: h, j: &job{attempts: c.attempts}, deadline: now.Add(c.left)}
			must.True(t, errors.Is(r.mayStart(now), c.want))
		})
	}
}

func TestReplacementEndsAtItsDeadline(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := &replacement{deadline: now.Add(replaceTimeout)}
	must.Eq(t, time.Second, r.wait(now, time.Second))
	r.attempt = &attempt{}
	must.Eq(t, replaceTimeout, r.wait(now, time.Second))
	must.Eq(t, 0, r.wait(now.Add(replaceTimeout), time.Second))
}

// Two engines may work on one request for 250 ms at most.
func TestSlowReplacementIsDropped(t *testing.T) {
	must.LessEq(t, 250*time.Millisecond, replaceTimeout)
	h := &Handler{Log: logr.Discard(), Pool: relay.NewPool()}
	j := &job{avoid: make(map[string]bool)}
	canceled := false
	slow := newAttempt(placer.Choice{Engine: "e2"}, status.View{}, func() { canceled = true }, time.Hour)
	r := &replacement{h: h, j: j, silent: &attempt{}, attempt: slow}
	r.expired(t.Context(), 0)
	must.True(t, canceled)
	must.Nil(t, r.attempt)
	must.Eq(t, []string{"e2"}, j.fallback)
	must.True(t, j.avoid["e2"])
}

// A silent engine stays avoided after it was tried again over a new connection.
func TestSilentEngineIsFallbackOnce(t *testing.T) {
	j := &job{avoid: make(map[string]bool)}
	a := &attempt{}
	a.choice.Engine = "e1"
	a.reused.Store(true)
	j.avoidSilent(a)
	must.Eq(t, []string{"e1"}, j.fallback)
	j.fallback, j.avoid = nil, make(map[string]bool)
	j.avoidSilent(a)
	must.SliceEmpty(t, j.fallback)
	must.True(t, j.avoid["e1"])
}
