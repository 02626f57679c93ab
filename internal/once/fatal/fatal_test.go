package fatal

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func TestCrashesAddUpAcrossInstances(t *testing.T) {
	a, b := NewTracker(), NewTracker()
	a.Crashed(start, 7)
	b.Crashed(start, 7)
	b.Crashed(start, 7)
	a.Merge(start, "b", b.Report(start))
	a.Merge(start, "b", b.Report(start))
	must.Eq(t, 3, a.Count(start, 7))
	must.Eq(t, 0, a.Count(start, 8))
	must.Eq(t, 0, a.Count(start.Add(window+1), 7))
}

func TestInvalidCountsAreIgnored(t *testing.T) {
	b := NewTracker()
	b.Merge(start, "p", map[string]int{"no number": 3, "7": -1})
	must.Eq(t, 0, b.Count(start, 7))
}

func TestRecordsAreLimited(t *testing.T) {
	b := NewTracker()
	for i := range uint64(maxRecords + 10) {
		b.Crashed(start, i)
	}
	must.Eq(t, maxRecords, len(b.records))
	must.Eq(t, maxReported, len(b.Report(start)))
	b.Crashed(start.Add(window+time.Second), maxRecords+11)
	must.Eq(t, 1, len(b.records))
}

// Guards against counts that end with a rolling restart (ReviewCaseRoll): each instance reported its own count only, and lost it.
func TestCountsOutlastARollingRestart(t *testing.T) {
	addresses := []string{"a", "b", "c"}
	instances := map[string]*Tracker{}
	gossip := func(now time.Time) {
		for _, from := range addresses {
			for _, to := range addresses {
				if from != to {
					instances[to].Merge(now, from, instances[from].Report(now))
				}
			}
		}
	}
	for _, a := range addresses {
		instances[a] = NewTracker()
		instances[a].Crashed(start, 7)
	}
	gossip(start)
	now := start
	for i, a := range addresses {
		now = now.Add(5 * time.Second)
		other := addresses[(i+1)%len(addresses)]
		instances[a] = NewTracker()
		for range 2 {
			instances[a].LearnRequests(now, a, instances[other].ReportRequests(now, other))
		}
		must.Eq(t, 3, instances[a].Count(now, 7))
		gossip(now)
	}
	for _, a := range addresses {
		must.Eq(t, 3, instances[a].Count(now, 7))
		must.Eq(t, 0, instances[a].Count(start.Add(window+1), 7))
	}
	instances["a"].Crashed(now, 7)
	gossip(now)
	must.Eq(t, 4, instances["b"].Count(now, 7))
}

// A peer that has just started reports fewer crashes than before.
func TestSmallerCountsOfAPeerAreIgnored(t *testing.T) {
	tr := NewTracker()
	tr.Merge(start, "b", map[string]int{"7": 2})
	tr.Merge(start, "b", map[string]int{"7": 1})
	must.Eq(t, 2, tr.Count(start, 7))
}

func TestInvalidReportsOfRequestsAreIgnored(t *testing.T) {
	tr := NewTracker()
	tr.LearnRequests(start, "a", []RequestReport{
		{Request: "no number", Counts: map[string]int{"b": 3}}, {Request: "7", Counts: map[string]int{"b": 3}, AgeMs: -1},
		{Request: "8", Counts: map[string]int{"b": 3}, AgeMs: 1 << 62}, {Request: "9", Counts: map[string]int{"b": -3, "a": -3}},
	})
	for fingerprint := range uint64(10) {
		must.Eq(t, 0, tr.Count(start, fingerprint))
	}
}
