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
