package share

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func TestRankCountsRecentlySeenPeers(t *testing.T) {
	c := NewCircle("b")
	c.Hear(start, "a", false)
	c.Hear(start, "c", false)
	must.Eq(t, 1, c.Rank(start))
	must.Eq(t, 0, c.Rank(start.Add(peerTimeout)))
}

// When the following instance pauses, the next one follows once its last report has expired.
func TestFollow(t *testing.T) {
	c := NewCircle("b")
	must.True(t, c.Follow(start))
	c.Hear(start, "a", true)
	c.Hear(start, "c", true)
	must.False(t, c.Follow(start))
	must.True(t, c.Follow(start.Add(followTimeout)))
	c.Hear(start, "a", false)
	must.True(t, c.Follow(start))
}

func TestDueIncreasesWithRank(t *testing.T) {
	const delay = 500 * time.Millisecond
	must.Eq(t, time.Second, Due(0, time.Second, delay))
	must.Greater(t, Due(0, time.Second, delay)+delay, Due(1, time.Second, delay))
	must.Greater(t, Due(1, time.Second, delay), Due(2, time.Second, delay))
	must.Eq(t, Due(maxRank, time.Second, delay), Due(100, time.Second, delay))
	// When the first two readers fail, the list must still be younger than the shortest drain limit, two seconds.
	must.Less(t, 2*time.Second, Due(2, 600*time.Millisecond, delay))
}
