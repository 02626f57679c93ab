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
