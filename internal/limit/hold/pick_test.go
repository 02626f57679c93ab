package hold

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// caller returns what is held for a caller that moved bytes for ten seconds, the last of them some time ago.
func caller(p Phase, owner string, known bool, silent time.Duration, moved int64) Held {
	return Held{Phase: p, Owner: owner, Known: known, Bytes: moved, Since: start.Add(-10 * time.Second), Progress: start.Add(-silent), Moved: moved}
}

// Load: many callers stop just short of the end of their bodies, while others go on.
func TestPick(t *testing.T) {
	young := caller(Body, "a", false, 0, 10)
	young.Since = start
	cut := caller(Body, "a", true, time.Minute, 10)
	cut.Cut = true
	for _, c := range []struct {
		name   string
		held   []Held
		want   int
		reason Reason
	}{
		{"none", nil, -1, ""},
		{"only running", []Held{caller(Running, "a", true, time.Minute, 10)}, -1, ""},
		{"the longest stalled", []Held{caller(Body, "a", true, time.Second, 10), caller(Head, "b", true, 2*time.Second, 90)}, 1, Stalled},
		{"a stalled one before one without a key", []Held{caller(Body, "a", false, 0, 10), caller(Body, "b", true, time.Second, 90)}, 1, Stalled},
		{"an unread answer is stalled", []Held{caller(Body, "a", false, 0, 10), caller(Sending, "b", true, time.Second, 90)}, 1, Stalled},
		{"stalled before idle", []Held{caller(Idle, "a", true, time.Minute, 0), caller(Body, "b", true, time.Second, 90)}, 1, Stalled},
		{"idle before moving", []Held{caller(Body, "a", false, 0, 10), caller(Idle, "b", true, time.Second, 0)}, 1, Unused},
		{"the longest idle", []Held{caller(Idle, "a", true, time.Second, 0), caller(Idle, "b", true, time.Minute, 0)}, 1, Unused},
		{"without a key before the slowest", []Held{caller(Body, "a", true, 0, 1), caller(Body, "b", false, 0, 90)}, 1, NoKey},
		{"the slowest of the largest owner", []Held{
			caller(Body, "a", true, 0, 1), caller(Body, "b", true, 0, 90), caller(Body, "b", true, 0, 60),
		}, 2, Largest},
		{"the slowest of one owner", []Held{caller(Body, "a", true, 0, 60), caller(Body, "a", true, 0, 10)}, 1, Slowest},
		{"the largest owner only runs", []Held{caller(Running, "b", true, 0, 900), caller(Body, "a", true, 0, 10)}, 1, Slowest},
		{"not one that has just begun", []Held{young}, -1, Slowest},
		{"not one that is cut", []Held{cut, caller(Body, "a", true, time.Second, 10)}, 1, Stalled},
	} {
		t.Run(c.name, func(t *testing.T) {
			i, reason := Pick(start, c.held)
			must.Eq(t, c.want, i)
			if i >= 0 {
				must.Eq(t, c.reason, reason)
			}
		})
	}
}

// No caller that goes on sending or reading is cut while another one is stalled, and none whose request runs.
func TestMovingCallersOutliveStalledOnes(t *testing.T) {
	phases := []Phase{Idle, Head, Body, Running, Sending}
	rapid.Check(t, func(t *rapid.T) {
		held := make([]Held, rapid.IntRange(0, 20).Draw(t, "callers"))
		anyStalled := false
		for i := range held {
			silent := time.Duration(rapid.IntRange(0, 3000).Draw(t, "silent")) * time.Millisecond
			held[i] = caller(rapid.SampledFrom(phases).Draw(t, "phase"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner"),
				rapid.Bool().Draw(t, "known"), silent, rapid.Int64Range(0, 1000).Draw(t, "moved"))
			anyStalled = anyStalled || held[i].moving() && silent >= stallAge
		}
		i, _ := Pick(start, held)
		if i < 0 {
			must.False(t, anyStalled)
			return
		}
		must.NotEq(t, Running, held[i].Phase)
		if anyStalled {
			must.True(t, held[i].moving() && start.Sub(held[i].Progress) >= stallAge)
		}
	})
}
