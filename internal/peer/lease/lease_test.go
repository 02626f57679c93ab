package lease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1_800_000_000, 0)

func held(row Row) Held {
	return Held{Row: row, GrantedAt: start, SupportedUntil: start.Add(Duration)}
}

func row(p int, address, incarnation string) Row {
	return Row{Partition: p, Address: address, Incarnation: incarnation, End: start.Add(Duration), Rev: 1}
}

func TestValidStopsBeforeTheEnd(t *testing.T) {
	h := held(row(0, "a", "a1"))
	must.True(t, h.Valid(start.Add(Duration-MaxClockSkew-1)))
	must.False(t, h.Valid(start.Add(Duration-MaxClockSkew)))
	must.False(t, h.Valid(start.Add(-1)))
}

func TestIsFree(t *testing.T) {
	r := row(0, "a", "a1")
	must.False(t, IsFree(r.End.Add(MaxClockSkew), r, nil, "b"))
	must.True(t, IsFree(r.End.Add(MaxClockSkew+1), r, nil, "b"))
	must.True(t, IsFree(start, r, nil, "a"))
	must.True(t, IsFree(start, r, map[string]bool{"a1": true}, "b"))
	must.True(t, IsFree(start, Row{}, nil, "b"))
}

func actions(steps []Step) map[Action]int {
	n := make(map[Action]int)
	for _, s := range steps {
		n[s.Action]++
	}
	return n
}

func TestDecide(t *testing.T) {
	free := func(n int) []Row {
		rows := make([]Row, n)
		for i := range rows {
			rows[i] = Row{Partition: i}
		}
		return rows
	}
	cases := []struct {
		name string
		view View
		want map[Action]int
	}{
		{"acquires its share of free rows", View{Rows: free(6), PartitionCounts: map[string]int{"a": 0, "b": 0, "c": 0}}, map[Action]int{Acquire: 2}},
		{"acquires one more after the delay", View{Rows: free(4), PartitionCounts: map[string]int{"a": 0, "b": 1, "c": 1}, FreeSince: map[int]time.Time{0: start.Add(-acquireDelay), 1: start.Add(-acquireDelay), 2: start.Add(-acquireDelay), 3: start.Add(-acquireDelay)}}, map[Action]int{Acquire: 2}},
		{"renews when little time remains", View{Rows: []Row{{Partition: 0, Address: "a", End: start.Add(renewBelow - 1)}}, Held: map[int]Held{0: held(Row{End: start.Add(renewBelow - 1)})}, PartitionCounts: map[string]int{"a": 1}}, map[Action]int{Renew: 1}},
		{"clears a suspicion by renewing", View{Rows: []Row{{Partition: 0, Address: "a", Suspicion: &Suspicion{By: "b1"}, End: start.Add(Duration)}}, Held: map[int]Held{0: held(row(0, "a", "a1"))}, PartitionCounts: map[string]int{"a": 1}}, map[Action]int{Renew: 1}},
		{"releases to an instance below its share", View{Rows: []Row{row(0, "a", "a1"), row(1, "a", "a1")}, Held: map[int]Held{0: held(row(0, "a", "a1")), 1: held(row(1, "a", "a1"))}, PartitionCounts: map[string]int{"a": 2, "b": 0}}, map[Action]int{Release: 1}},
		{"releases all when leaving", View{Leaving: true, Rows: []Row{row(0, "a", "a1"), row(1, "a", "a1")}, Held: map[int]Held{0: held(row(0, "a", "a1")), 1: held(row(1, "a", "a1"))}, PartitionCounts: map[string]int{"a": 2}}, map[Action]int{Release: 2}},
		{"probes and suspects an unresponsive holder", View{Rows: []Row{row(0, "b", "b1")}, PartitionCounts: map[string]int{"a": 0}}, map[Action]int{Probe: 1, Suspect: 1}},
		{"does nothing about a live holder", View{Rows: []Row{row(0, "b", "b1")}, PartitionCounts: map[string]int{"a": 0, "b": 1}}, map[Action]int{}},
		{"acquires a seizable partition", View{Rows: []Row{row(0, "b", "b1")}, PartitionCounts: map[string]int{"a": 0}, Seizable: map[int]bool{0: true}}, map[Action]int{Acquire: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.view.Self, c.view.Incarnation = "a", "a1"
			must.Eq(t, c.want, actions(Decide(start, c.view)))
		})
	}
}

func TestSeizableBetweenSupportEndAndWithdrawalEnd(t *testing.T) {
	v := newVotes(24)
	support, withdrawal := SupportDuration(24), WithdrawalDuration(24)
	r := row(0, "b", "b1")
	v.suspicions[0] = suspicionState{rev: r.Rev, holder: "b1"}
	must.False(t, v.seizable(start.Add(support+MaxClockSkew+1), r))
	v.suspicions[0] = suspicionState{rev: r.Rev, holder: "b1", withdrawalsFrom: start, majorityAt: start}
	must.False(t, v.seizable(start.Add(support+MaxClockSkew), r))
	must.True(t, v.seizable(start.Add(support+MaxClockSkew+1), r))
	must.False(t, v.seizable(start.Add(withdrawal-MaxClockSkew), r))
	changed := r
	changed.Rev++
	must.False(t, v.seizable(start.Add(support+MaxClockSkew+1), changed))
}

func TestMajorityOfVotes(t *testing.T) {
	v := newVotes(5)
	must.True(t, v.supportedUntil(start, []int{0, 1}).IsZero())
	v.supportedAt[2] = start.Add(-time.Second)
	must.Eq(t, start.Add(-time.Second).Add(SupportDuration(5)), v.supportedUntil(start, []int{0, 1}))
	// An instance's own vote counts only once.
	v = newVotes(5)
	v.supportedAt[0] = start
	must.True(t, v.supportedUntil(start, []int{0, 1}).IsZero())
}
