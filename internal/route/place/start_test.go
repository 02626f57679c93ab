package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against requests that are placed on superseded weights although they will hardly begin before these may no longer start them.
func TestSupersededEngineWithALongQueueIsLeftOut(t *testing.T) {
	const maxReserve = 3500 * time.Millisecond
	for _, c := range []struct {
		// queued is the number of prompt tokens ahead, at 25 µs each.
		queued int64
		left   time.Duration
		once   bool
		want   string
	}{
		{queued: 4000, left: time.Second, want: "old"},
		{queued: 4000, left: time.Second, once: true, want: "new"},
		{queued: 4000, left: 2 * time.Second, once: true, want: "old"},
		{queued: 80000, left: time.Second, want: "new"},
		{queued: 80000, left: 3 * time.Second, want: "old"},
		{queued: 2000000, left: 3 * time.Second, want: "new"},
		{queued: 2000000, left: 4 * time.Second, once: true, want: "old"},
	} {
		for _, learned := range []*Learned{nil, {PerToken: 25 * time.Microsecond, PerRunning: time.Millisecond, First: time.Second}} {
			t.Run(fmt.Sprintf("%+v learned %v", c, learned != nil), func(t *testing.T) {
				old, latest := engine("old", 1), engine("new", 2)
				old.PendingTokens, latest.PendingTokens = c.queued, 2*c.queued
				q := Query{
					Model: "m", Version: 2, OwnTokens: 1000, Learned: learned, Once: c.once, MaxStartReserve: maxReserve,
					StartTime: func(version int64) (time.Duration, bool) { return c.left, version == 1 },
				}
				choice, ok := Choose(q, append(engines(0, 1), old, latest), DefaultCosts())
				must.True(t, ok)
				must.Eq(t, c.want, choice.ID)
			})
		}
	}
}

// A request that no engine is expected to begin in time is not placed, and the explanation says why.
func TestNoEngineBeginsInTime(t *testing.T) {
	views := engines(1, 1)
	q := Query{Model: "m", Version: 2, OwnTokens: 1000, MaxStartReserve: time.Second, StartTime: func(int64) (time.Duration, bool) { return 0, true }}
	_, ok := Choose(q, views, DefaultCosts())
	must.False(t, ok)
	explained := Explain(q, views, DefaultCosts())
	must.Len(t, 1, explained)
	must.NotEq(t, "", explained[0].Out)
}
