package lease

import (
	"slices"
	"time"
)

const (
	// supportLeast and supportPerPartition give the time for which support lasts; it grows with the fleet, because an
	// instance asks only a few others a second.
	supportLeast        = 15 * time.Second
	supportPerPartition = 400 * time.Millisecond
	// promises is how many times longer a withdrawal lasts than support.
	promises = 3
)

// SupportFor returns how long support lasts in a fleet of so many partitions.
func SupportFor(partitions int) time.Duration {
	return max(supportLeast, time.Duration(partitions)*supportPerPartition)
}

// PromiseFor returns how long a withdrawal of support lasts.
func PromiseFor(partitions int) time.Duration {
	return promises * SupportFor(partitions)
}

// votes is what an instance knows of support: given to it, withdrawn by it, and withdrawn from those that it doubts.
// Each partition is one vote, cast by its holder.
type votes struct {
	partitions int
	// supported is when each partition's holder was last asked with the answer that it supports this incarnation.
	supported map[int]time.Time
	// withdrawn is until when this instance has promised not to support an incarnation.
	withdrawn map[string]time.Time
	// heard is when this instance last answered an incarnation.
	heard map[string]time.Time
	// doubts are this instance's doubts by partition.
	doubts map[int]doubt
}

// doubt is a row that this instance has doubted.
type doubt struct {
	// rev is the row's revision after the doubt was written.
	rev int64
	// holder is the doubted incarnation.
	holder string
	// first is when the first withdrawal that counts may have been promised; complete is when enough had come, or zero.
	first    time.Time
	complete time.Time
}

func newVotes(partitions int) votes {
	return votes{
		partitions: partitions,
		supported:  make(map[int]time.Time),
		withdrawn:  make(map[string]time.Time),
		heard:      make(map[string]time.Time),
		doubts:     make(map[int]doubt),
	}
}

// enough tells whether so many votes are more than half.
func (v *votes) enough(n int) bool {
	return 2*n > v.partitions
}

// until returns the time until which more than half of the votes support this incarnation, given its own votes.
func (v *votes) until(now time.Time, own []int) time.Time {
	lapse := now.Add(SupportFor(v.partitions))
	times := make([]time.Time, 0, v.partitions)
	for range own {
		times = append(times, lapse)
	}
	for p, at := range v.supported {
		if !slices.Contains(own, p) {
			times = append(times, at.Add(SupportFor(v.partitions)))
		}
	}
	need := v.partitions/2 + 1
	if len(times) < need {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1]
}

// seizable tells whether a doubted holder can no longer be using a row of the revision.
func (v *votes) seizable(now time.Time, row Row) bool {
	d, ok := v.doubts[row.Partition]
	if !ok || d.rev != row.Rev || d.complete.IsZero() {
		return false
	}
	lapsed := d.complete.Add(SupportFor(v.partitions) + Drift)
	promised := d.first.Add(PromiseFor(v.partitions) - Drift)
	return now.After(lapsed) && now.Before(promised)
}
