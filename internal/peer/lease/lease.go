// Package lease decides and records which instance holds which partition of the fleet's limits.
//
// A lease is one row of the table service. Its holder uses it until the earlier of two clocks, wall and monotonic,
// says that its end less the drift bound has come, and only while it is supported: while it has lately read its row
// without a doubt in it, or the holders of more than half of all partitions have lately answered it. A successor acts only
// after the end plus the drift bound, after a release, after another incarnation has answered at the holder's address, or
// after it has written a doubt into the row, the holders of more than half of all partitions have withdrawn their support,
// and the time for which support lasts has gone by since. Silence alone is no proof.
package lease

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Length is the duration of a lease.
	Length = 15 * time.Minute
	// Drift bounds the difference between the wall clocks of two instances.
	Drift = 2 * time.Second
	// renewBelow is the remaining time at which a holder renews.
	renewBelow = 2 * Length / 3
	// patience is how long a free partition waits for an instance that holds fewer than its part.
	patience = 3 * time.Second
)

// Row is the content of a lease row.
type Row struct {
	// Partition is the partition's number, from 0.
	Partition int `json:"partition"`
	// Address and Incarnation name the holder; empty after a release.
	Address     string `json:"address,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	// Epoch grows by one each time the holder changes.
	Epoch int64 `json:"epoch"`
	// End is the wall time at which the lease ends.
	End time.Time `json:"end"`
	// Doubt is set while an instance holds the holder for gone; the holder clears it.
	Doubt *Doubt `json:"doubt,omitempty"`
	// Rev is the table row's revision, 0 for an absent row.
	Rev int64 `json:"-"`
}

// Doubt says who holds a holder for gone.
type Doubt struct {
	// By is the doubting incarnation.
	By string `json:"by"`
	// At is the wall time of the doubt.
	At time.Time `json:"at"`
}

// Held is a lease of this instance.
type Held struct {
	Row Row
	// Granted is when the write that granted or renewed the lease was sent, with a monotonic reading.
	Granted time.Time
	// Since is the time from which the partition's budget may be counted.
	Since time.Time
	// Fresh tells that the partition never had a holder before.
	Fresh bool
	// VotesFrom is when the lease begins to count as a vote: once all votes of the partition's earlier holders have lapsed.
	VotesFrom time.Time
	// Good is until when the lease is supported. Once it has passed only a look at the row makes the lease usable again,
	// because the partition may have a new holder by then.
	Good time.Time
}

// Valid tells whether the lease may be used now, by the stricter of two clocks.
func (h Held) Valid(now time.Time) bool {
	elapsed := now.Sub(h.Granted)
	if elapsed < 0 || elapsed >= Length-Drift {
		return false
	}
	return now.Round(0).Before(h.Row.End.Add(-Drift))
}

// Action is one thing to do about a partition.
type Action string

// The actions.
const (
	Acquire Action = "acquire"
	Renew   Action = "renew"
	Release Action = "release"
	// Prove asks the holder's address which incarnation answers there.
	Prove Action = "prove"
	// Suspect writes a doubt into the row.
	Suspect Action = "suspect"
)

// Step is an action on a row.
type Step struct {
	Action Action
	Row    Row
}

// View is all that one decision is made from.
type View struct {
	// Self is this instance's address.
	Self string
	// Rows are all lease rows, one for each partition, in order.
	Rows []Row
	// Held are this instance's leases by partition.
	Held map[int]Held
	// Counts is the number of partitions that each live instance holds, this one included.
	Counts map[string]int
	// FreeSince is when each free partition was first seen free.
	FreeSince map[int]time.Time
	// Dead are the incarnations proven to have ended.
	Dead map[string]bool
	// Seizable are the partitions whose doubted holder can no longer be using them.
	Seizable map[int]bool
	// Incarnation is this instance's.
	Incarnation string
	// Leaving tells that this instance hands everything back.
	Leaving bool
}

// Decide returns the steps to take now, most urgent first.
func Decide(now time.Time, v View) []Step {
	var steps []Step
	low := max(1, len(v.Rows)/max(1, len(v.Counts)))
	high := (len(v.Rows) + len(v.Counts) - 1) / max(1, len(v.Counts))
	held := 0
	for _, row := range v.Rows {
		h, ok := v.Held[row.Partition]
		if !ok {
			continue
		}
		held++
		if v.Leaving || held > high || (held > low && someoneBelow(v, low)) {
			held--
			steps = append(steps, Step{Release, row})
			continue
		}
		if row.Doubt != nil || h.Row.End.Sub(now.Round(0)) < renewBelow {
			steps = append(steps, Step{Renew, row})
		}
	}
	if v.Leaving {
		return steps
	}
	for _, row := range preferred(v) {
		if v.Seizable[row.Partition] {
			held++
			steps = append(steps, Step{Acquire, row})
			continue
		}
		if !Free(now, row, v.Dead, v.Self) {
			if _, live := v.Counts[row.Address]; !live {
				steps = append(steps, Step{Prove, row})
				if held < high+1 && doubtable(now, row, v) {
					steps = append(steps, Step{Suspect, row})
				}
			}
			continue
		}
		since, seen := v.FreeSince[row.Partition]
		waited := seen && now.Sub(since) >= patience
		if held < low || (held < high && waited) {
			held++
			steps = append(steps, Step{Acquire, row})
		}
	}
	return steps
}

// doubtable tells whether an instance may doubt a silent holder: nobody else does so at the moment.
func doubtable(now time.Time, row Row, v View) bool {
	if row.Doubt == nil {
		return true
	}
	return row.Doubt.By != v.Incarnation && now.Round(0).After(row.Doubt.At.Add(PromiseFor(len(v.Rows))+Drift))
}

// someoneBelow tells whether a live instance holds fewer partitions than its part.
func someoneBelow(v View, low int) bool {
	for _, n := range v.Counts {
		if n < low {
			return true
		}
	}
	return false
}

// preferred orders the partitions held by others or nobody, starting at a place of this instance's own,
// so that instances which start together try different rows.
func preferred(v View) []Row {
	var rows []Row
	for _, row := range v.Rows {
		if _, ok := v.Held[row.Partition]; !ok {
			rows = append(rows, row)
		}
	}
	seed := xxhash.Sum64String(v.Self)
	sort.Slice(rows, func(i, j int) bool {
		return rank(seed, rows[i].Partition) < rank(seed, rows[j].Partition)
	})
	return rows
}

// Free tells whether an instance may take over a partition that it does not hold. A row that names the instance's own
// address is of an earlier incarnation or of a write whose answer was lost; neither is in use.
func Free(now time.Time, row Row, dead map[string]bool, self string) bool {
	if row.Address == "" || row.Address == self || dead[row.Incarnation] {
		return true
	}
	return now.Round(0).After(row.End.Add(Drift))
}

// since returns the time from which a successor may count the partition's budget, given that it acts now.
func since(now time.Time, row Row, dead map[string]bool) time.Time {
	expired := row.End.Add(Drift)
	if row.Address != "" && !dead[row.Incarnation] && now.Round(0).After(expired) {
		return now.Add(-now.Round(0).Sub(expired))
	}
	return now
}

// rank spreads the order in which instances try partitions.
func rank(seed uint64, partition int) uint64 {
	x := seed ^ uint64(partition+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	return x ^ (x >> 27)
}
