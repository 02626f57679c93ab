// Package lease decides and records which instance holds which partition of the site's limits.
//
// A lease is one row of the table service. Its holder may use it until MaxClockSkew before its end, by both the wall clock
// and the monotonic clock, and only while it is supported. It is supported if, within the last SupportDuration, the holder
// has read its row without a suspicion in it or the holders of more than half of all partitions have answered it.
//
// A successor takes over only in one of these cases:
//   - MaxClockSkew has passed since the end.
//   - The holder has released the lease.
//   - Another incarnation has answered at the holder's address.
//   - The successor has written a suspicion into the row, the holders of more than half of all partitions have withdrawn
//     their support, and SupportDuration plus MaxClockSkew has passed since.
//
// A missing answer alone does not prove that the holder has ended.
package lease

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Duration is the duration of a lease.
	Duration = 15 * time.Minute
	// MaxClockSkew is the maximum difference between the wall clocks of two instances.
	MaxClockSkew = 2 * time.Second
	// renewBelow is the remaining time at which a holder renews.
	renewBelow = 2 * Duration / 3
	// acquireDelay is how long a free partition is left to instances that hold fewer than their share.
	acquireDelay = 3 * time.Second
)

// Row is the content of a lease row.
type Row struct {
	// Partition is the partition's number, from 0.
	Partition int `json:"partition"`
	// Address and Incarnation name the holder; empty after a release.
	Address     string `json:"address,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	// Epoch increases by one with each change of holder.
	Epoch int64 `json:"epoch"`
	// End is the wall time at which the lease ends.
	End time.Time `json:"end"`
	// Suspicion is set while an instance suspects that the holder has ended; the holder clears it.
	Suspicion *Suspicion `json:"doubt,omitempty"`
	// Rev is the table row's revision, 0 for an absent row.
	Rev int64 `json:"-"`
}

// Suspicion is the suspicion that a holder has ended.
type Suspicion struct {
	// By is the incarnation that wrote the suspicion.
	By string `json:"by"`
	// At is the wall time of the write.
	At time.Time `json:"at"`
}

// Held is a lease of this instance.
type Held struct {
	Row Row
	// GrantedAt is when the write that granted or renewed the lease was sent, with a monotonic reading.
	GrantedAt time.Time
	// BudgetFrom is the time from which the partition's budget may be counted.
	BudgetFrom time.Time
	// FirstHolder reports whether the partition had no holder before.
	FirstHolder bool
	// VotesFrom is when the lease starts to count as a vote. All votes of the partition's earlier holders have expired by then.
	VotesFrom time.Time
	// SupportedUntil is when the support of the lease ends. After that only a read of the row makes the lease usable again,
	// because the partition may have a new holder by then.
	SupportedUntil time.Time
}

// Valid reports whether the lease is unexpired by both the monotonic and the wall clock.
func (h Held) Valid(now time.Time) bool {
	elapsed := now.Sub(h.GrantedAt)
	if elapsed < 0 || elapsed >= Duration-MaxClockSkew {
		return false
	}
	return now.Round(0).Before(h.Row.End.Add(-MaxClockSkew))
}

// Action is what to do with a partition.
type Action string

// The actions.
const (
	Acquire Action = "acquire"
	Renew   Action = "renew"
	Release Action = "release"
	// Probe requests the incarnation that answers at the holder's address.
	Probe Action = "prove"
	// Suspect writes a suspicion into the row.
	Suspect Action = "suspect"
)

// Step is an action on a row.
type Step struct {
	Action Action
	Row    Row
}

// View is the input of Decide.
type View struct {
	// Self is this instance's address.
	Self string
	// Rows are all lease rows, one for each partition, in order.
	Rows []Row
	// Held are this instance's leases by partition.
	Held map[int]Held
	// PartitionCounts is the number of partitions that each live instance holds, this one included.
	PartitionCounts map[string]int
	// FreeSince is when each free partition was first seen free.
	FreeSince map[int]time.Time
	// Ended are the incarnations proven to have ended.
	Ended map[string]bool
	// Seizable are the partitions whose suspected holder can no longer be using them.
	Seizable map[int]bool
	// Incarnation is this instance's incarnation.
	Incarnation string
	// Leaving reports whether this instance releases all its leases.
	Leaving bool
}

// Decide returns the steps to take now, most urgent first.
func Decide(now time.Time, v View) []Step {
	var steps []Step
	minHeld := max(1, len(v.Rows)/max(1, len(v.PartitionCounts)))
	maxHeld := (len(v.Rows) + len(v.PartitionCounts) - 1) / max(1, len(v.PartitionCounts))
	held := 0
	for _, row := range v.Rows {
		h, ok := v.Held[row.Partition]
		if !ok {
			continue
		}
		held++
		if v.Leaving || held > maxHeld || (held > minHeld && anyBelow(v, minHeld)) {
			held--
			steps = append(steps, Step{Release, row})
			continue
		}
		if row.Suspicion != nil || h.Row.End.Sub(now.Round(0)) < renewBelow {
			steps = append(steps, Step{Renew, row})
		}
	}
	if v.Leaving {
		return steps
	}
	for _, row := range acquireOrder(v) {
		if v.Seizable[row.Partition] {
			held++
			steps = append(steps, Step{Acquire, row})
			continue
		}
		if !IsFree(now, row, v.Ended, v.Self) {
			if _, live := v.PartitionCounts[row.Address]; !live {
				steps = append(steps, Step{Probe, row})
				if held < maxHeld+1 && canSuspect(now, row, v) {
					steps = append(steps, Step{Suspect, row})
				}
			}
			continue
		}
		since, seen := v.FreeSince[row.Partition]
		waited := seen && now.Sub(since) >= acquireDelay
		if held < minHeld || (held < maxHeld && waited) {
			held++
			steps = append(steps, Step{Acquire, row})
		}
	}
	return steps
}

// canSuspect reports whether this instance may write a suspicion into a row: there is none yet, or that of another instance
// has expired.
func canSuspect(now time.Time, row Row, v View) bool {
	if row.Suspicion == nil {
		return true
	}
	return row.Suspicion.By != v.Incarnation && now.Round(0).After(row.Suspicion.At.Add(WithdrawalDuration(len(v.Rows))+MaxClockSkew))
}

// anyBelow reports whether a live instance holds fewer partitions than its share.
func anyBelow(v View, minHeld int) bool {
	for _, n := range v.PartitionCounts {
		if n < minHeld {
			return true
		}
	}
	return false
}

// acquireOrder returns the rows that this instance does not hold, in an order that differs by instance, so that instances
// that start together try different rows.
func acquireOrder(v View) []Row {
	var rows []Row
	for _, row := range v.Rows {
		if _, ok := v.Held[row.Partition]; !ok {
			rows = append(rows, row)
		}
	}
	seed := xxhash.Sum64String(v.Self)
	sort.Slice(rows, func(i, j int) bool {
		return orderKey(seed, rows[i].Partition) < orderKey(seed, rows[j].Partition)
	})
	return rows
}

// IsFree reports whether an instance may take over a partition that it does not hold. A row with the instance's own address
// is from an earlier incarnation or from a write whose response was lost; neither is in use.
func IsFree(now time.Time, row Row, ended map[string]bool, self string) bool {
	if row.Address == "" || row.Address == self || ended[row.Incarnation] {
		return true
	}
	return now.Round(0).After(row.End.Add(MaxClockSkew))
}

// budgetStart returns the time from which a successor that takes over now may count the partition's budget.
func budgetStart(now time.Time, row Row, ended map[string]bool) time.Time {
	expired := row.End.Add(MaxClockSkew)
	if row.Address != "" && !ended[row.Incarnation] && now.Round(0).After(expired) {
		return now.Add(-now.Round(0).Sub(expired))
	}
	return now
}

// orderKey is the sort key of a partition in an instance's order.
func orderKey(seed uint64, partition int) uint64 {
	x := seed ^ uint64(partition+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	return x ^ (x >> 27)
}
