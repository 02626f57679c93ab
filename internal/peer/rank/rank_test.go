package rank

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func TestRankCountsRecentlySeenPeers(t *testing.T) {
	tracker := NewTracker("b")
	tracker.Observe(start, "a", false)
	tracker.Observe(start, "c", false)
	must.Eq(t, 1, tracker.Rank(start))
	must.Eq(t, 0, tracker.Rank(start.Add(peerTimeout)))
}

// When the following instance pauses, the next one follows once its last report has expired.
func TestShouldFollow(t *testing.T) {
	tracker := NewTracker("b")
	must.True(t, tracker.ShouldFollow(start))
	tracker.Observe(start, "a", true)
	tracker.Observe(start, "c", true)
	must.False(t, tracker.ShouldFollow(start))
	must.True(t, tracker.ShouldFollow(start.Add(followTimeout)))
	tracker.Observe(start, "a", false)
	must.True(t, tracker.ShouldFollow(start))
}

func TestPollAgeIncreasesWithRank(t *testing.T) {
	const delay = 500 * time.Millisecond
	must.Eq(t, time.Second, PollAge(0, time.Second, delay))
	must.Greater(t, PollAge(0, time.Second, delay)+delay, PollAge(1, time.Second, delay))
	must.Greater(t, PollAge(1, time.Second, delay), PollAge(2, time.Second, delay))
	must.Eq(t, PollAge(maxRank, time.Second, delay), PollAge(100, time.Second, delay))
	// When the first two instances fail, the list must still be younger than the shortest drain limit, two seconds.
	must.Less(t, 2*time.Second, PollAge(2, 600*time.Millisecond, delay))
}
