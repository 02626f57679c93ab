package rank

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func TestRankCountsRecentlySeenPeers(t *testing.T) {
	tracker := NewTracker("b")
	tracker.Observe(start, "a", Report{})
	tracker.Observe(start, "c", Report{})
	must.Eq(t, 1, tracker.Rank(start))
	must.Eq(t, 0, tracker.Rank(start.Add(peerTimeout)))
}

// An instance that the store turns away leaves the polling to those that it serves, and tries again after a while.
func TestInstancesThatTheStoreServesPollFirst(t *testing.T) {
	tracker := NewTracker("b")
	tracker.Observe(start, "a", Report{Unserved: true})
	tracker.Observe(start, "c", Report{})
	must.Eq(t, 0, tracker.Rank(start))
	must.True(t, tracker.MarkUnserved(start))
	must.False(t, tracker.MarkUnserved(start))
	must.True(t, tracker.IsUnserved(start))
	must.Eq(t, 2, tracker.Rank(start))
	tracker.MarkServed()
	must.Eq(t, 0, tracker.Rank(start))
	tracker.MarkUnserved(start)
	later := start.Add(unservedTTL)
	tracker.Observe(later, "c", Report{})
	must.False(t, tracker.IsUnserved(later))
	must.Eq(t, 0, tracker.Rank(later))
}

// When the following instance pauses, the next one follows once its last report has expired.
func TestShouldFollow(t *testing.T) {
	tracker := NewTracker("b")
	must.True(t, tracker.ShouldFollow(start))
	tracker.Observe(start, "a", Report{Following: true})
	tracker.Observe(start, "c", Report{Following: true})
	must.False(t, tracker.ShouldFollow(start))
	must.True(t, tracker.ShouldFollow(start.Add(followTimeout)))
	tracker.Observe(start, "a", Report{})
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
