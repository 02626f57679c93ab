package crash

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/stand/store"
)

var start = time.Unix(1_800_000_000, 0)

func TestRefusedAfterTheLimitAndForAWhile(t *testing.T) {
	b := NewBook()
	f := Fingerprint("w", []byte("body"))
	for range Limit {
		must.NoError(t, b.Check(start, f))
		b.Died(start, f)
	}
	must.True(t, fault.Is(b.Check(start, f), fault.CrashingRequest))
	must.NoError(t, b.Check(start.Add(Keep+1), f))
}

func TestWorkspacesAndContentsAreApart(t *testing.T) {
	must.NotEq(t, Fingerprint("w1", []byte("body")), Fingerprint("w2", []byte("body")))
	must.NotEq(t, Fingerprint("w", []byte("a")), Fingerprint("w", []byte("b")))
	must.NotEq(t, Fingerprint("wa", []byte("b")), Fingerprint("w", []byte("ab")))
}

func TestSurvivorIsCleared(t *testing.T) {
	b := NewBook()
	b.Died(start, "f")
	must.True(t, b.Marked(start, "f"))
	b.Survived(start.Add(1), "f")
	must.False(t, b.Marked(start.Add(1), "f"))
	// An older word from a peer does not bring the count back.
	b.Merge(start.Add(1), Mark{Fingerprint: "f", Count: 9, At: start})
	must.False(t, b.Marked(start.Add(1), "f"))
}

func TestCountsAddUpInTheTable(t *testing.T) {
	memory := store.NewMemory()
	for i, b := range []*Book{NewBook(), NewBook()} {
		must.NoError(t, b.Store(t.Context(), start.Add(time.Duration(i)), memory, "f", string(rune('a'+i)), 1))
	}
	// A write that is tried again counts once.
	must.NoError(t, NewBook().Store(t.Context(), start, memory, "f", "b", 1))
	restarted := NewBook()
	must.NoError(t, restarted.Load(t.Context(), start, memory))
	must.True(t, fault.Is(restarted.Check(start, "f"), fault.CrashingRequest))
}
