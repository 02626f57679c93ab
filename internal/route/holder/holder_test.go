package holder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

// interval is the time between messages, reportPeriod the time during which a use is included in them.
const (
	interval     = 250 * time.Millisecond
	reportPeriod = 550 * time.Millisecond
)

func TestDepthsCountLeadingPrefixes(t *testing.T) {
	tracker := NewBook()
	tracker.Used(start, Use{"a", []uint64{1, 2}})
	tracker.Used(start, Use{"b", []uint64{1}})
	tracker.Used(start, Use{"c", []uint64{9, 2}})
	must.Eq(t, map[string]int{"a": 2, "b": 1}, tracker.Depths(start, []uint64{1, 2}))
}

func TestEngineHoldingsExpireBeforeThoseOfTheStore(t *testing.T) {
	tracker := NewBook()
	tracker.Used(start, Use{"a", []uint64{1}})
	tracker.Used(start, Use{Store, []uint64{1}})
	must.Eq(t, map[string]int{Store: 1}, tracker.Depths(start.Add(Believed), []uint64{1}))
	must.MapEmpty(t, tracker.Depths(start.Add(StoreBelieved), []uint64{1}))
}

func TestUsesAreReportedOnceAndNotRelayed(t *testing.T) {
	tracker, other := NewBook(), NewBook()
	u := Use{"a", []uint64{1, 2}}
	tracker.Used(start, u)
	must.Eq(t, []Use{u}, tracker.Tell(start, interval))
	other.Hear(start, tracker.Tell(start, interval))
	must.SliceEmpty(t, other.Tell(start, interval))
	must.Eq(t, map[string]int{"a": 2}, other.Depths(start, []uint64{1, 2}))
	must.SliceEmpty(t, tracker.Tell(start.Add(reportPeriod+1), interval))
	tracker.Used(start.Add(reportPeriod+1), u)
	must.SliceEmpty(t, tracker.Tell(start.Add(reportPeriod+1), interval))
	tracker.Used(start.Add(refreshAge+time.Second), u)
	must.SliceLen(t, 1, tracker.Tell(start.Add(refreshAge+time.Second), interval))
}

func TestRemoveHolder(t *testing.T) {
	tracker := NewBook()
	tracker.Used(start, Use{Store, []uint64{1}})
	tracker.Forget(Store)
	must.MapEmpty(t, tracker.Depths(start, []uint64{1}))
}

func TestNumberOfPrefixesIsLimited(t *testing.T) {
	tracker := NewBook()
	for i := range uint64(maxPrefixes + 10) {
		tracker.Hear(start, []Use{{"a", []uint64{i}}})
	}
	must.Eq(t, maxPrefixes, len(tracker.prefixes))
	tracker.Hear(start.Add(StoreBelieved), []Use{{"a", []uint64{0}}})
	must.Eq(t, 1, len(tracker.prefixes))
}
