package place

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

func TestExplain(t *testing.T) {
	build := "v1"
	entry := func(id string, state fleet.State, build string, weights int64) fleet.Entry {
		return fleet.Entry{ID: id, State: state, Build: build, Slots: 8, Weights: map[string]int64{"m": weights}}
	}
	views := []fleet.View{
		{Entry: entry("busy", fleet.Ready, "v1", 2), Running: 7, PendingTokens: 9000},
		{Entry: entry("calm", fleet.Ready, "v1", 2)},
		{Entry: entry("leaving", fleet.Draining, "v1", 2)},
		{Entry: entry("limited", fleet.Ready, "v1", 2), Limited: true},
		{Entry: entry("newer", fleet.Ready, "v2", 2)},
		{Entry: entry("older", fleet.Ready, "v1", 1)},
		{Entry: entry("other", fleet.Ready, "v1", 0)},
		{Entry: entry("paused", fleet.Ready, "v1", 2), RetryAt: time.Unix(1, 0)},
		{Entry: entry("tried", fleet.Ready, "v1", 2)},
	}
	q := Query{Model: "m", Version: 2, MinVersion: 2, OwnTokens: 100, Build: &build, Avoid: map[string]bool{"tried": true}}
	got := make([]string, 0, len(views))
	for _, c := range Explain(q, views, DefaultCosts()) {
		got = append(got, c.ID+": "+c.Out)
	}
	must.Eq(t, []string{
		"calm: ", "busy: ", "leaving: is draining", "limited: its limit leaves this instance none", "newer: is of another build than the stream",
		"older: runs superseded weights", "other: does not run the model", "paused: asked for no requests for a time", "tried: has received the request",
	}, got)
	must.Eq(t, map[string]bool{"tried": true}, q.Avoid)
	first, ok := Choose(q, views, DefaultCosts())
	must.True(t, ok)
	must.Eq(t, "calm", first.ID)
}
