package feed

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
)

var start = time.Unix(1_800_000_000, 0)

func documents(t *testing.T, n int) []*rules.Document {
	t.Helper()
	all := []*rules.Document{rules.Empty()}
	for range n {
		next, err := all[len(all)-1].Replace(rules.Models, "m: {weights: v}\n")
		must.NoError(t, err)
		all = append(all, next)
	}
	return all
}

func TestOfferNeverReverts(t *testing.T) {
	docs := documents(t, 3)
	f := New()
	must.True(t, f.Offer(docs[2]))
	must.False(t, f.Offer(docs[1]))
	must.False(t, f.Offer(docs[2]))
	must.Eq(t, 2, f.Revision())
	must.True(t, f.Offer(docs[3]))
}

func TestCheckNeedsDocument(t *testing.T) {
	must.True(t, fault.Is(New().Check(start, 1), fault.NotCurrent))
}

func TestCheckByConfirmation(t *testing.T) {
	f := New()
	f.Offer(documents(t, 1)[1])
	f.Confirm(start, 1)
	must.NoError(t, f.Check(start.Add(Window), 19))
	must.True(t, fault.Is(f.Check(start.Add(Window+1), 19), fault.NotCurrent))
}

func TestCheckByMajorityInOutage(t *testing.T) {
	f := New()
	f.Offer(documents(t, 1)[1])
	now := start.Add(time.Hour)
	age := 30 * time.Minute
	f.Hear(now, "p1", 1, age)
	must.True(t, fault.Is(f.Check(now, 5), fault.NotCurrent))
	f.Hear(now, "p2", 1, age)
	must.NoError(t, f.Check(now, 5))
	must.True(t, fault.Is(f.Check(now.Add(Window+1), 5), fault.NotCurrent))
}

func TestCheckKnowsOfNewer(t *testing.T) {
	f := New()
	f.Offer(documents(t, 1)[1])
	now := start.Add(time.Hour)
	f.Hear(now, "p1", 2, time.Second)
	must.True(t, fault.Is(f.Check(now, 1), fault.NotCurrent))
}

func TestConfirmationOfOlderRevisionProvesNothing(t *testing.T) {
	f := New()
	f.Offer(documents(t, 2)[2])
	f.Confirm(start, 1)
	must.True(t, fault.Is(f.Check(start, 9), fault.NotCurrent))
}

func TestPeerAgeCounts(t *testing.T) {
	f := New()
	f.Offer(documents(t, 1)[1])
	f.Hear(start, "p1", 1, Window)
	must.NoError(t, f.Check(start, 19))
	must.True(t, fault.Is(f.Check(start.Add(time.Millisecond), 19), fault.NotCurrent))
}
