package fatal

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	deadPart  = uint64(1)
	soundPart = uint64(2)
)

// crashSome makes n upstreams crash one after the other, a second apart, under requests with a part.
func crashSome(tr *PartTracker, at time.Time, id uint64, n int) time.Time {
	for i := range n {
		at = at.Add(time.Second)
		tr.Crashed(at, []uint64{id}, uint64(at.UnixNano())+uint64(i), at.Add(-100*time.Millisecond))
	}
	return at
}

func isBlocked(tr *PartTracker, now time.Time, id uint64) bool {
	return tr.Blocked(now, []uint64{id})
}

func TestPartIsBlockedAfterSeveralCrashes(t *testing.T) {
	tr := NewPartTracker()
	at := crashSome(tr, start, deadPart, minPartCrashes-1)
	must.False(t, isBlocked(tr, at, deadPart))
	at = crashSome(tr, at, deadPart, 1)
	must.True(t, isBlocked(tr, at, deadPart))
	must.False(t, isBlocked(tr, at, soundPart))
	must.True(t, tr.Blocked(at, []uint64{soundPart, deadPart}))
	must.Eq(t, map[uint64]time.Time{deadPart: at}, tr.AllBlocked(at))
}

// Upstreams that end at the same moment ran requests with all popular parts.
func TestOutageOfManyUpstreamsBlocksNoPart(t *testing.T) {
	tr := NewPartTracker()
	for i := range uint64(20) {
		tr.Crashed(start.Add(time.Duration(i)*50*time.Millisecond), []uint64{soundPart}, i, start.Add(-time.Second))
	}
	must.False(t, isBlocked(tr, start.Add(time.Minute), soundPart))
}

// Three outages of several upstreams each, which hit many requests, had a rare part in common.
func TestRarePartInSeveralOutagesIsNotBlocked(t *testing.T) {
	tr := NewPartTracker()
	outage := func(n int, at time.Time) time.Time {
		tr.Crashed(at, []uint64{soundPart}, uint64(n), at.Add(-time.Second))
		for i := range uint64(minOutageUpstreams) {
			tr.Crashed(at.Add(outageTime/2), []uint64{100 + i}, uint64(n)*1000+500+i, at.Add(-time.Second))
		}
		return at.Add(3 * time.Second)
	}
	at := start
	for n := range minPartCrashes {
		at = outage(n, at)
	}
	must.False(t, isBlocked(tr, at, soundPart))
	// Requests that crash upstreams as fast as outages do are found too.
	for n := range minPartCrashes {
		at = outage(minPartCrashes+n, at)
	}
	must.True(t, isBlocked(tr, at, soundPart))
	at = at.Add(blockTTL + time.Second)
	must.False(t, isBlocked(tr, at, soundPart))
	must.True(t, isBlocked(tr, outage(99, at), soundPart))
}

// Requests that wait for long, so that many are under way when an upstream ends, hid the crashes that follow one another.
func TestOverlappingRequestsDoNotHideTheirCrashes(t *testing.T) {
	const delay, gap = 2 * time.Second, 100 * time.Millisecond
	tr := NewPartTracker()
	at := start
	for i := range 70 {
		at = at.Add(gap)
		tr.Crashed(at, []uint64{deadPart}, uint64(i), at.Add(-delay))
	}
	must.True(t, isBlocked(tr, at, deadPart))
}

// Frequent requests with one part looked like an outage, so that twice as many crashes were needed.
func TestFrequentCrashesOfOnePartAreNoOutage(t *testing.T) {
	tr := NewPartTracker()
	at := start
	for i := range minPartCrashes {
		at = at.Add(20 * time.Millisecond)
		tr.Crashed(at, []uint64{deadPart, uint64(1000 + i)}, uint64(i), at.Add(-10*time.Millisecond))
	}
	must.True(t, isBlocked(tr, at.Add(settleTime), deadPart))
}

// While the list of upstreams was out of date, only the first crash of each upstream counted.
func TestUpstreamsThatStartAgainCountAgain(t *testing.T) {
	tr := NewPartTracker()
	at := start
	for i := range uint64(minPartCrashes) {
		at = at.Add(time.Second)
		tr.Crashed(at, []uint64{deadPart}, i%2, at.Add(-50*time.Millisecond))
		// Another request that broke off with the same crash, and was sent earlier.
		tr.Crashed(at.Add(time.Millisecond), []uint64{deadPart}, i%2, at.Add(-200*time.Millisecond))
	}
	must.True(t, isBlocked(tr, at, deadPart))
	must.SliceLen(t, minPartCrashes, tr.parts[deadPart].crashes)
}

// An outage with many rare parts filled the table, and other parts were not tracked for 20 minutes.
func TestFullTableTracksNewParts(t *testing.T) {
	tr := NewPartTracker()
	for i := range uint64(maxParts) {
		tr.Crashed(start, []uint64{1000 + i}, i%100, start.Add(-time.Millisecond))
	}
	at := crashSome(tr, start, deadPart, minPartCrashes)
	must.True(t, isBlocked(tr, at, deadPart))
	must.MapLen(t, maxParts, tr.parts)
}

// A popular part is in each crash together with the part that causes it, and was refused if upstreams ended faster than its
// requests survived.
func TestPopularPartIsNotBlockedWithTheCrashingOne(t *testing.T) {
	tr := NewPartTracker()
	tr.Survived(start.Add(-time.Second), []uint64{soundPart})
	at := start
	for i := range uint64(2 * minPartCrashes) {
		at = at.Add(250 * time.Millisecond)
		tr.Crashed(at, []uint64{soundPart, deadPart}, i, at.Add(-100*time.Millisecond))
		must.False(t, isBlocked(tr, at, soundPart))
		if isBlocked(tr, at, deadPart) {
			break
		}
	}
	must.True(t, isBlocked(tr, at, deadPart))
	must.SliceEmpty(t, tr.parts[soundPart].crashes)
	// Without a part that explains the crashes, a part whose requests used to survive is refused later.
	tr = NewPartTracker()
	tr.Survived(start, []uint64{deadPart})
	at = crashSome(tr, start, deadPart, 2*minPartCrashes-1)
	must.False(t, isBlocked(tr, at, deadPart))
	must.True(t, isBlocked(tr, crashSome(tr, at, deadPart, 1), deadPart))
}

// A block was kept although a survival before its last crash became known afterwards, and taken over by others.
func TestBlockIsRevisedByLateReports(t *testing.T) {
	a, b := NewPartTracker(), NewPartTracker()
	at := crashSome(a, start, soundPart, minPartCrashes-1)
	b.Merge(at, a.Report(at))
	b.Survived(at.Add(900*time.Millisecond), []uint64{soundPart})
	at = crashSome(a, at, soundPart, 1)
	must.True(t, isBlocked(a, at, soundPart))
	blocked := a.Report(at)
	b.Merge(at, blocked)
	must.False(t, isBlocked(b, at, soundPart))
	a.Merge(at, b.Report(at))
	must.False(t, isBlocked(a, at, soundPart))
}

func TestSurvivalsAreLimited(t *testing.T) {
	tr := NewPartTracker()
	for i := range uint64(maxParts) {
		tr.Survived(start, []uint64{i})
	}
	tr.Survived(start.Add(survivalTTL+time.Second), []uint64{maxParts + 1})
	must.MapLen(t, 1, tr.survivals)
}

func TestPartIsJudgedOnceOthersHaveReported(t *testing.T) {
	tr := NewPartTracker()
	for i := range time.Duration(minPartCrashes) {
		tr.Crashed(start.Add(i*100*time.Millisecond), []uint64{deadPart}, uint64(i), start.Add(i*100*time.Millisecond-time.Millisecond))
	}
	early := start.Add(settleTime - time.Millisecond)
	must.False(t, isBlocked(tr, early, deadPart))
	reports := tr.Report(early)
	must.True(t, isBlocked(tr, start.Add(settleTime), deadPart))

	slow := NewPartTracker()
	slow.SetReportDelay(2 * settleTime)
	slow.Merge(early, reports)
	must.False(t, isBlocked(slow, start.Add(2*settleTime-time.Millisecond), deadPart))
	must.True(t, isBlocked(slow, start.Add(2*settleTime), deadPart))
	slow.SetReportDelay(0)
	must.Eq(t, settleTime, slow.settle)
}

func TestSurvivalClearsAPart(t *testing.T) {
	tr := NewPartTracker()
	at := crashSome(tr, start, soundPart, minPartCrashes-1)
	tr.Survived(at, []uint64{soundPart})
	at = crashSome(tr, at, soundPart, 2*minPartCrashes-1)
	must.False(t, isBlocked(tr, at, soundPart))
	at = crashSome(tr, at, soundPart, 1)
	must.True(t, isBlocked(tr, at, soundPart))
	tr.Survived(at.Add(time.Millisecond), []uint64{soundPart})
	must.False(t, isBlocked(tr, at.Add(time.Second), soundPart))
}

// After a while requests with the part are tried again; the first crash blocks it again.
func TestBlockIsTriedAgain(t *testing.T) {
	tr := NewPartTracker()
	at := crashSome(tr, start, deadPart, minPartCrashes)
	must.True(t, isBlocked(tr, at, deadPart))
	must.True(t, isBlocked(tr, at.Add(blockTTL), deadPart))
	at = at.Add(blockTTL + time.Second)
	must.False(t, isBlocked(tr, at, deadPart))
	at = crashSome(tr, at, deadPart, 1)
	must.True(t, isBlocked(tr, at, deadPart))
	at = at.Add(blockTTL + time.Second)
	must.False(t, isBlocked(tr, at, deadPart))
	must.SliceLen(t, 1, tr.Report(at))
	must.SliceEmpty(t, tr.Report(at.Add(partTTL)))
}

// Instances whose blocks were over renewed them by the reports of others.
func TestReportsDoNotRenewABlock(t *testing.T) {
	a, b := NewPartTracker(), NewPartTracker()
	at := crashSome(a, start, deadPart, minPartCrashes)
	must.True(t, isBlocked(a, at, deadPart))
	at = at.Add(time.Second)
	b.Merge(at, a.Report(at))
	must.True(t, isBlocked(b, at, deadPart))
	for at = at.Add(blockTTL - 2*time.Second); at.Before(start.Add(blockTTL + time.Minute)); at = at.Add(250 * time.Millisecond) {
		a.Merge(at, b.Report(at))
		b.Merge(at, a.Report(at))
	}
	must.False(t, isBlocked(a, at, deadPart))
	must.False(t, isBlocked(b, at, deadPart))
	at = crashSome(a, at, deadPart, 1)
	b.Merge(at, a.Report(at))
	must.True(t, isBlocked(a, at, deadPart))
	must.True(t, isBlocked(b, at, deadPart))
}

// Reports that instances passed on to each other multiplied crashes and moved survivals, since each one dates them a little later.
func TestReportsThatAreRepeatedAddNothing(t *testing.T) {
	const latency = 20 * time.Millisecond
	trackers := []*PartTracker{NewPartTracker(), NewPartTracker(), NewPartTracker()}
	trackers[0].Crashed(start, []uint64{deadPart, soundPart}, 1, start.Add(-3*time.Millisecond))
	survived := start.Add(100 * time.Millisecond)
	trackers[0].Survived(survived, []uint64{soundPart})
	now := survived
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		for i, from := range trackers {
			trackers[(i+1)%3].Merge(now.Add(latency), from.Report(now))
			trackers[(i+2)%3].Merge(now.Add(latency), from.Report(now))
		}
	}
	for _, tr := range trackers {
		must.SliceLen(t, 1, tr.parts[deadPart].crashes)
		must.LessEq(t, 2*latency+time.Millisecond, tr.parts[deadPart].crashes[0].at.Sub(start))
		last := tr.survivals[soundPart]
		if p, ok := tr.parts[soundPart]; ok {
			last = p.survived
		}
		must.LessEq(t, 2*latency+time.Millisecond, last.Sub(survived))
	}
}

// Requests that are sent to an upstream until its crash is known counted as further crashes.
func TestRequestsToADeadUpstreamCountOnce(t *testing.T) {
	tr := NewPartTracker()
	for i := range 20 {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		tr.Crashed(at, []uint64{soundPart}, 1, at.Add(-time.Millisecond))
	}
	must.SliceLen(t, 1, tr.parts[soundPart].crashes)
	must.False(t, isBlocked(tr, start.Add(time.Minute), soundPart))
}

// An instance that has just started learns of all crashes, also of those that another instance saw before it restarted itself.
func TestReportsPassOnWhatOthersReported(t *testing.T) {
	a, b, c := NewPartTracker(), NewPartTracker(), NewPartTracker()
	at := crashSome(a, start, deadPart, minPartCrashes-1)
	b.Merge(at, a.Report(at))
	at = crashSome(b, at, deadPart, 1)
	c.Merge(at, b.Report(at))
	c.Merge(at, a.Report(at))
	c.Merge(at, b.Report(at))
	must.True(t, isBlocked(c, at, deadPart))
	sum, _ := c.weight(c.parts[deadPart])
	must.Eq(t, minPartCrashes*singleWeight, sum)
	b.Survived(at.Add(time.Millisecond), []uint64{deadPart})
	c.Merge(at.Add(time.Second), b.Report(at.Add(time.Second)))
	must.False(t, isBlocked(c, at.Add(time.Second), deadPart))
}

// A block that was kept from an earlier run lasts no longer than any other and does not outlive a survival.
func TestKeptBlock(t *testing.T) {
	tr := NewPartTracker()
	tr.Block(start, deadPart, start.Add(-time.Minute))
	must.True(t, isBlocked(tr, start, deadPart))
	must.SliceLen(t, 1, tr.Report(start))
	must.False(t, isBlocked(tr, start.Add(blockTTL), deadPart))
	tr.Block(start, soundPart, start.Add(-blockTTL-time.Second))
	must.False(t, isBlocked(tr, start, soundPart))
	tr.Survived(start, []uint64{soundPart})
	tr.Block(start, soundPart, start.Add(-time.Second))
	must.False(t, isBlocked(tr, start, soundPart))
}

func TestInvalidPartReportsAreIgnored(t *testing.T) {
	tr := NewPartTracker()
	tr.Merge(start, []PartReport{
		{Part: "no number", Blocked: 1},
		{Part: "1", Crashes: []CrashReport{{"x", 2, 1}, {"2", 1, 2}, {"3", 1, -1}, {"4", partTTL.Milliseconds() + 1, 1}}, Survived: -5, Blocked: -5},
	})
	must.False(t, isBlocked(tr, start, deadPart))
	must.SliceEmpty(t, tr.parts[deadPart].crashes)
}

func TestTrackedPartsAreLimited(t *testing.T) {
	tr := NewPartTracker()
	for i := range uint64(maxParts + 10) {
		tr.Crashed(start, []uint64{i}, i, start)
	}
	must.MapLen(t, maxParts, tr.parts)
	at := crashSome(tr, start, deadPart, minPartCrashes)
	reports := tr.Report(at)
	must.SliceLen(t, maxPartReports, reports)
	must.Eq(t, "1", reports[0].Part)
	for i := range 20 {
		tr.Crashed(at, []uint64{deadPart}, uint64(i)+1<<40, at)
	}
	must.SliceLen(t, maxPartCrashes, tr.parts[deadPart].crashes)
	tr.Report(at.Add(2*partTTL + time.Second))
	must.MapEmpty(t, tr.ends)
	must.MapEmpty(t, tr.endCounts)
}

// Instances that see any part of the crashes and survivals, and hear of the rest late, refuse the part that never survives and
// never one that survives between any two crashes.
func TestOnlyPartsThatNeverSurviveAreBlocked(t *testing.T) {
	const maxDelay = settleTime / 2
	rapid.Check(t, func(t *rapid.T) {
		trackers := make([]*PartTracker, rapid.IntRange(1, 6).Draw(t, "instances"))
		for i := range trackers {
			trackers[i] = NewPartTracker()
		}
		pick := func(what string) *PartTracker { return trackers[rapid.IntRange(0, len(trackers)-1).Draw(t, what)] }
		exchange := func(now time.Time) {
			for _, from := range trackers {
				reports := from.Report(now)
				for _, to := range trackers {
					to.Merge(now, reports)
				}
			}
		}
		now := start
		step := func(what string) {
			now = now.Add(time.Duration(rapid.Int64Range(10, maxDelay.Milliseconds()).Draw(t, what)) * time.Millisecond)
		}
		for i := range 12 {
			sent := now
			step("run")
			pick("crash").Crashed(now, []uint64{deadPart, soundPart}, uint64(i), sent)
			step("pause")
			exchange(now)
			step("answer")
			pick("survival").Survived(now, []uint64{soundPart})
			step("report")
			for _, tr := range trackers {
				must.False(t, isBlocked(tr, now, soundPart), must.Sprint(fmt.Sprintf("crash %d", i)))
			}
			exchange(now)
		}
		now = now.Add(settleTime)
		for _, tr := range trackers {
			must.True(t, isBlocked(tr, now, deadPart))
		}
	})
}
