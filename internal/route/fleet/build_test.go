package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A build is remembered for a time after its last upstream has left the list.
func TestBuildsAreRememberedAfterTheLastUpstreamHasLeft(t *testing.T) {
	f := New()
	old, replaced := entry("old"), entry("new")
	old.Build, replaced.Build = "v1", "v2"
	f.Put(old)
	must.Eq(t, []string{"v1"}, f.Builds(start, "s"))
	f.Put(replaced)
	must.Eq(t, []string{"v1", "v2"}, f.Builds(start, "s"))
	f.Drop(start, "old")
	must.Eq(t, []string{"v1", "v2"}, f.Builds(start.Add(BuildMemory-time.Second), "s"))
	must.Eq(t, []string{"v2"}, f.Builds(start.Add(BuildMemory), "s"))
	must.SliceEmpty(t, f.Builds(start, "other"))
}

func TestBuildIsNewUntilItHasSettled(t *testing.T) {
	f := New()
	now := time.Unix(1000, 0)
	isNew := func(at time.Time) bool {
		f.Builds(at, "s")
		v, ok := f.View(at, "u")
		must.True(t, ok)
		return v.NewBuild
	}
	f.Put(Entry{ID: "u", Service: "s", Build: "v1", State: Ready})
	must.True(t, isNew(now))
	must.True(t, isNew(now.Add(BuildSettleTime-1)))
	must.False(t, isNew(now.Add(BuildSettleTime)))
	f.Put(Entry{ID: "u", Service: "s", Build: "v2", State: Ready})
	now = now.Add(time.Minute)
	must.True(t, isNew(now))
	must.False(t, isNew(now.Add(BuildSettleTime)))
	// A build that has been gone for longer than it is remembered is new again.
	f.Put(Entry{ID: "u", Service: "s", Build: "v1", State: Ready})
	must.True(t, isNew(now.Add(BuildSettleTime+BuildMemory)))
}
