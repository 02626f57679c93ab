package crash

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/fake/store"
)

var start = time.Unix(1_800_000_000, 0)

func TestRejectedAtLimitUntilExpiry(t *testing.T) {
	tracker := NewTracker()
	f := Fingerprint("w", []byte("body"))
	for range Limit {
		must.NoError(t, tracker.Check(start, f))
		tracker.Crashed(start, f)
	}
	must.True(t, fault.Is(tracker.Check(start, f), fault.CrashingRequest))
	must.NoError(t, tracker.Check(start.Add(Window+1), f))
}

func TestFingerprintDependsOnWorkspaceAndBody(t *testing.T) {
	must.NotEq(t, Fingerprint("w1", []byte("body")), Fingerprint("w2", []byte("body")))
	must.NotEq(t, Fingerprint("w", []byte("a")), Fingerprint("w", []byte("b")))
	must.NotEq(t, Fingerprint("wa", []byte("b")), Fingerprint("w", []byte("ab")))
}

func TestCompletionResetsCount(t *testing.T) {
	tracker := NewTracker()
	tracker.Crashed(start, "f")
	must.True(t, tracker.IsSuspect(start, "f"))
	tracker.Completed(start.Add(1), "f")
	must.False(t, tracker.IsSuspect(start.Add(1), "f"))
	// An older report from a peer does not restore the count.
	tracker.Merge(start.Add(1), Counter{Fingerprint: "f", Count: 9, At: start})
	must.False(t, tracker.IsSuspect(start.Add(1), "f"))
}

func TestCountsAddUpInTable(t *testing.T) {
	memory := store.NewMemory()
	for i, tracker := range []*Tracker{NewTracker(), NewTracker()} {
		must.NoError(t, tracker.Store(t.Context(), start.Add(time.Duration(i)), memory, "f", string(rune('a'+i)), 1))
	}
	// A retried write counts once.
	must.NoError(t, NewTracker().Store(t.Context(), start, memory, "f", "b", 1))
	restarted := NewTracker()
	must.NoError(t, restarted.Load(t.Context(), start, memory))
	must.True(t, fault.Is(restarted.Check(start, "f"), fault.CrashingRequest))
}
