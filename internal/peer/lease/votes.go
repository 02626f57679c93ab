package lease

import (
	"slices"
	"time"
)

const (
	// minSupport and supportPerPartition determine SupportDuration. It grows with the site, because an instance sends
	// requests to only a few others a second.
	minSupport          = 15 * time.Second
	supportPerPartition = 400 * time.Millisecond
	// withdrawalFactor is how many times longer a withdrawal lasts than support.
	withdrawalFactor = 3
)

// SupportDuration returns how long support lasts in a site with that number of partitions.
func SupportDuration(partitions int) time.Duration {
	return max(minSupport, time.Duration(partitions)*supportPerPartition)
}

// WithdrawalDuration returns how long a withdrawal of support lasts.
func WithdrawalDuration(partitions int) time.Duration {
	return withdrawalFactor * SupportDuration(partitions)
}

// votes records the support that this instance has received, the support that it has withdrawn, and the withdrawals from
// holders that it suspects. Each partition is one vote, cast by its holder.
type votes struct {
	partitions int
	// supportedAt is, by partition, when the latest request was sent that its holder answered with support.
	supportedAt map[int]time.Time
	// withdrawnUntil is the time until which this instance does not support an incarnation.
	withdrawnUntil map[string]time.Time
	// grantedAt is when this instance last granted its support to an incarnation.
	grantedAt map[string]time.Time
	// suspicions are those written by this instance, by partition.
	suspicions map[int]suspicionState
}

// suspicionState is the state of a suspicion that this instance has written into a row.
type suspicionState struct {
	// rev is the row's revision after the write.
	rev int64
	// holder is the suspected incarnation.
	holder string
	// withdrawalsFrom is the earliest time at which a counted withdrawal may have begun.
	withdrawalsFrom time.Time
	// majorityAt is when withdrawals of a majority of votes had been received, or zero.
	majorityAt time.Time
}

func newVotes(partitions int) votes {
	return votes{
		partitions:     partitions,
		supportedAt:    make(map[int]time.Time),
		withdrawnUntil: make(map[string]time.Time),
		grantedAt:      make(map[string]time.Time),
		suspicions:     make(map[int]suspicionState),
	}
}

// isMajority reports whether n votes are more than half.
func (v *votes) isMajority(n int) bool {
	return 2*n > v.partitions
}

// supportedUntil returns the time until which more than half of the votes support this incarnation, its own included.
func (v *votes) supportedUntil(now time.Time, own []int) time.Time {
	ownUntil := now.Add(SupportDuration(v.partitions))
	times := make([]time.Time, 0, v.partitions)
	for range own {
		times = append(times, ownUntil)
	}
	for p, at := range v.supportedAt {
		if !slices.Contains(own, p) {
			times = append(times, at.Add(SupportDuration(v.partitions)))
		}
	}
	need := v.partitions/2 + 1
	if len(times) < need {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1]
}

// seizable reports whether the suspected holder of a row can no longer be using it, at the row's revision.
func (v *votes) seizable(now time.Time, row Row) bool {
	s, ok := v.suspicions[row.Partition]
	if !ok || s.rev != row.Rev || s.majorityAt.IsZero() {
		return false
	}
	supportEnd := s.majorityAt.Add(SupportDuration(v.partitions) + MaxClockSkew)
	withdrawalEnd := s.withdrawalsFrom.Add(WithdrawalDuration(v.partitions) - MaxClockSkew)
	return now.After(supportEnd) && now.Before(withdrawalEnd)
}
