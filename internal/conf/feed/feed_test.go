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

func TestInstallIfNewerRejectsOlderRevisions(t *testing.T) {
	docs := documents(t, 3)
	f := New()
	must.True(t, f.InstallIfNewer(docs[2]))
	must.False(t, f.InstallIfNewer(docs[1]))
	must.False(t, f.InstallIfNewer(docs[2]))
	must.Eq(t, 2, f.Revision())
	must.True(t, f.InstallIfNewer(docs[3]))
}

func TestCheckFailsWithoutDocument(t *testing.T) {
	must.True(t, fault.Is(New().Check(start, 1), fault.NotCurrent))
}

func TestCheckPassesWithinConfirmationTTL(t *testing.T) {
	f := New()
	f.InstallIfNewer(documents(t, 1)[1])
	f.Confirm(start, 1)
	must.NoError(t, f.Check(start.Add(ConfirmationTTL), 19))
	must.True(t, fault.Is(f.Check(start.Add(ConfirmationTTL+1), 19), fault.NotCurrent))
}

func TestCheckPassesByMajorityDuringOutage(t *testing.T) {
	f := New()
	f.InstallIfNewer(documents(t, 1)[1])
	now := start.Add(time.Hour)
	age := 30 * time.Minute
	f.RecordPeer(now, "p1", 1, age)
	must.True(t, fault.Is(f.Check(now, 5), fault.NotCurrent))
	f.RecordPeer(now, "p2", 1, age)
	must.NoError(t, f.Check(now, 5))
	must.True(t, fault.Is(f.Check(now.Add(ConfirmationTTL+1), 5), fault.NotCurrent))
}

func TestCheckFailsIfPeerHasNewerRevision(t *testing.T) {
	f := New()
	f.InstallIfNewer(documents(t, 1)[1])
	now := start.Add(time.Hour)
	f.RecordPeer(now, "p1", 2, time.Second)
	must.True(t, fault.Is(f.Check(now, 1), fault.NotCurrent))
}

func TestConfirmationOfOlderRevisionIsIgnored(t *testing.T) {
	f := New()
	f.InstallIfNewer(documents(t, 2)[2])
	f.Confirm(start, 1)
	must.True(t, fault.Is(f.Check(start, 9), fault.NotCurrent))
}

func TestConfirmationAgeIncludesPeerAge(t *testing.T) {
	f := New()
	f.InstallIfNewer(documents(t, 1)[1])
	f.RecordPeer(start, "p1", 1, ConfirmationTTL)
	must.NoError(t, f.Check(start, 19))
	must.True(t, fault.Is(f.Check(start.Add(time.Millisecond), 19), fault.NotCurrent))
}
