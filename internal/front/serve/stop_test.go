package serve

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
)

func TestFits(t *testing.T) {
	for _, c := range []struct {
		name                       string
		left, remaining, objective time.Duration
		kind                       policy.Kind
		want                       bool
	}{
		{"all the time of a booking is left", time.Second, time.Second, 0, policy.NonIdempotent, true},
		{"a part of a booking's time is left", 5 * time.Second, 6 * time.Second, 100 * time.Millisecond, policy.NonIdempotent, false},
		{"the objective is left", time.Second, 15 * time.Second, time.Second, policy.Idempotent, true},
		{"the objective is left to a stream", 5 * time.Second, 15 * time.Second, 2 * time.Second, policy.Streaming, true},
		{"less than the objective is left", 900 * time.Millisecond, 15 * time.Second, time.Second, policy.Idempotent, false},
		{"less than the objective, but all the time is left", 900 * time.Millisecond, 900 * time.Millisecond, time.Second, policy.Idempotent, true},
		{"a route without an objective", 5 * time.Second, 15 * time.Second, 0, policy.Idempotent, false},
		{"no time is left", 0, time.Second, 100 * time.Millisecond, policy.Streaming, false},
		{"the end has passed", -time.Second, time.Second, 0, policy.Streaming, false},
	} {
		must.Eq(t, c.want, fits(c.left, c.remaining, c.objective, c.kind), must.Sprint(c.name))
	}
}

func TestStopEndsSendsBeforeConnections(t *testing.T) {
	s, now := NewStop(), time.Now()
	must.Eq(t, now.Add(time.Hour), s.due(now.Add(time.Hour)))
	s.Begin(now, now.Add(time.Minute))
	must.Eq(t, now.Add(time.Minute-answerMargin), s.due(now.Add(time.Hour)))
	must.Eq(t, now.Add(time.Second), s.due(now.Add(time.Second)))
	must.False(t, s.Over())
}
