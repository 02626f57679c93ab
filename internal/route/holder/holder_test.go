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
	tracker := NewTracker()
	tracker.RecordUse(start, Use{"a", []uint64{1, 2}})
	tracker.RecordUse(start, Use{"b", []uint64{1}})
	tracker.RecordUse(start, Use{"c", []uint64{9, 2}})
	must.Eq(t, map[string]int{"a": 2, "b": 1}, tracker.Depths(start, []uint64{1, 2}))
}

func TestEngineHoldingsExpireBeforeThoseOfTheStore(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordUse(start, Use{"a", []uint64{1}})
	tracker.RecordUse(start, Use{Store, []uint64{1}})
	must.Eq(t, map[string]int{Store: 1}, tracker.Depths(start.Add(EngineTTL), []uint64{1}))
	must.MapEmpty(t, tracker.Depths(start.Add(StoreTTL), []uint64{1}))
}

func TestUsesAreReportedWithinReportPeriodAndNotRelayed(t *testing.T) {
	tracker, other := NewTracker(), NewTracker()
	u := Use{"a", []uint64{1, 2}}
	tracker.RecordUse(start, u)
	must.Eq(t, []Use{u}, tracker.Report(start, interval))
	other.Merge(start, tracker.Report(start, interval))
	must.SliceEmpty(t, other.Report(start, interval))
	must.Eq(t, map[string]int{"a": 2}, other.Depths(start, []uint64{1, 2}))
	must.SliceEmpty(t, tracker.Report(start.Add(reportPeriod+1), interval))
	tracker.RecordUse(start.Add(reportPeriod+1), u)
	must.SliceEmpty(t, tracker.Report(start.Add(reportPeriod+1), interval))
	tracker.RecordUse(start.Add(refreshAge+time.Second), u)
	must.SliceLen(t, 1, tracker.Report(start.Add(refreshAge+time.Second), interval))
}

func TestRemoveHolder(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordUse(start, Use{Store, []uint64{1}})
	tracker.RemoveHolder(Store)
	must.MapEmpty(t, tracker.Depths(start, []uint64{1}))
}

func TestNumberOfPrefixesIsLimited(t *testing.T) {
	tracker := NewTracker()
	for i := range uint64(maxPrefixes + 10) {
		tracker.Merge(start, []Use{{"a", []uint64{i}}})
	}
	must.Eq(t, maxPrefixes, len(tracker.prefixes))
	tracker.Merge(start.Add(StoreTTL), []Use{{"a", []uint64{0}}})
	must.Eq(t, 1, len(tracker.prefixes))
}
