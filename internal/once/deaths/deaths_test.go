package deaths

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func TestCrashesAddUpAcrossInstances(t *testing.T) {
	a, b := NewBook(), NewBook()
	a.Died(start, 7)
	b.Died(start, 7)
	b.Died(start, 7)
	a.Hear(start, "b", b.Tell(start))
	a.Hear(start, "b", b.Tell(start))
	must.Eq(t, 3, a.Deaths(start, 7))
	must.Eq(t, 0, a.Deaths(start, 8))
	must.Eq(t, 0, a.Deaths(start.Add(window+1), 7))
}

func TestInvalidCountsAreIgnored(t *testing.T) {
	b := NewBook()
	b.Hear(start, "p", map[string]int{"no number": 3, "7": -1})
	must.Eq(t, 0, b.Deaths(start, 7))
}

func TestRecordsAreLimited(t *testing.T) {
	b := NewBook()
	for i := range uint64(maxRecords + 10) {
		b.Died(start, i)
	}
	must.Eq(t, maxRecords, len(b.records))
	must.Eq(t, maxReported, len(b.Tell(start)))
	b.Died(start.Add(window+time.Second), maxRecords+11)
	must.Eq(t, 1, len(b.records))
}
