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
	b := NewTracker()
	f := Fingerprint("w", []byte("body"))
	for range Limit {
		must.NoError(t, b.Check(start, f))
		b.Crashed(start, f)
	}
	must.True(t, fault.Is(b.Check(start, f), fault.CrashingRequest))
	must.NoError(t, b.Check(start.Add(Window+1), f))
}

func TestFingerprintDependsOnWorkspaceAndBody(t *testing.T) {
	must.NotEq(t, Fingerprint("w1", []byte("body")), Fingerprint("w2", []byte("body")))
	must.NotEq(t, Fingerprint("w", []byte("a")), Fingerprint("w", []byte("b")))
	must.NotEq(t, Fingerprint("wa", []byte("b")), Fingerprint("w", []byte("ab")))
}

func TestCompletionResetsCount(t *testing.T) {
	b := NewTracker()
	b.Crashed(start, "f")
	must.True(t, b.Suspect(start, "f"))
	b.Completed(start.Add(1), "f")
	must.False(t, b.Suspect(start.Add(1), "f"))
	// An older report from a peer does not restore the count.
	b.Merge(start.Add(1), Counter{Fingerprint: "f", Count: 9, At: start})
	must.False(t, b.Suspect(start.Add(1), "f"))
}

func TestCountsAddUpInTable(t *testing.T) {
	memory := store.NewMemory()
	for i, b := range []*Tracker{NewTracker(), NewTracker()} {
		must.NoError(t, b.Store(t.Context(), start.Add(time.Duration(i)), memory, "f", string(rune('a'+i)), 1))
	}
	// A retried write counts once.
	must.NoError(t, NewTracker().Store(t.Context(), start, memory, "f", "b", 1))
	restarted := NewTracker()
	must.NoError(t, restarted.Load(t.Context(), start, memory))
	must.True(t, fault.Is(restarted.Check(start, "f"), fault.CrashingRequest))
}
