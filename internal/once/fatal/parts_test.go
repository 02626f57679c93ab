package fatal

import (
	"fmt"
	"maps"
	"slices"
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
	must.Eq(t, map[uint64]Block{deadPart: {Since: at}}, tr.AllBlocked(at))
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
	// Its crashes are kept, in case the other part turns out to be sound, and count for nothing.
	sum, _ := tr.weight(tr.parts[soundPart])
	must.Zero(t, sum)
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
	tr.Survived(start.Add(soundTTL+time.Second), []uint64{maxParts + 1})
	must.MapLen(t, 1, tr.sound)
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
		last := tr.sound[soundPart].survived
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
	tr.Block(start, deadPart, Block{Since: start.Add(-time.Minute)})
	must.True(t, isBlocked(tr, start, deadPart))
	must.SliceLen(t, 1, tr.Report(start))
	must.False(t, isBlocked(tr, start.Add(blockTTL), deadPart))
	tr.Block(start, soundPart, Block{Since: start.Add(-blockTTL - time.Second)})
	must.False(t, isBlocked(tr, start, soundPart))
	tr.Survived(start, []uint64{soundPart})
	tr.Block(start, soundPart, Block{Since: start.Add(-time.Second)})
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

const (
	commonPart = uint64(3)
	otherPart  = uint64(4)
)

// isListed reports whether a part is blocked, without a request that might be let through to find out about it.
func isListed(tr *PartTracker, now time.Time, id uint64) bool {
	_, ok := tr.AllBlocked(now)[id]
	return ok
}

// crashTogether makes n upstreams crash one after the other, a second apart, under one request with the crashing parts. Beside it, each one
// runs a request with the parts of victims, which breaks off too.
func crashTogether(tr *PartTracker, at time.Time, n int, crashing, victims []uint64) time.Time {
	for range n {
		at = at.Add(time.Second)
		upstream := uint64(at.UnixNano())
		if victims != nil {
			tr.Crashed(at, victims, upstream, at.Add(-700*time.Millisecond))
		}
		tr.Crashed(at, crashing, upstream, at.Add(-20*time.Millisecond))
	}
	return at
}

// Guards against the refusal of the common first part of a client's prompts in place of the one that crashes upstreams
// (ReviewCaseBlame): after a restart both have the same evidence, because no request survives.
func TestPartOfAnswersThatBeginIsNotBlocked(t *testing.T) {
	tr := NewPartTracker()
	at := start
	for range minPartCrashes {
		at = crashTogether(tr, at, 1, []uint64{commonPart, deadPart}, []uint64{commonPart, soundPart})
		tr.Began(at.Add(300*time.Millisecond), []uint64{commonPart, soundPart})
	}
	must.True(t, isListed(tr, at, deadPart))
	must.False(t, isListed(tr, at, commonPart))
	must.False(t, isListed(tr, at, soundPart))
}

// Guards against the same while no answer has begun yet: the more specific part is refused first.
func TestMoreSpecificPartIsBlockedFirst(t *testing.T) {
	tr := NewPartTracker()
	at := crashTogether(tr, start, minPartCrashes, []uint64{commonPart, deadPart}, nil)
	must.False(t, isListed(tr, at, commonPart))
	must.True(t, isListed(tr, at, deadPart))
	must.Eq(t, map[uint64]Block{deadPart: {Since: at, Others: []uint64{commonPart}}}, tr.AllBlocked(at))
	tr.Began(at.Add(time.Second), []uint64{commonPart, soundPart})
	must.Eq(t, map[uint64]Block{deadPart: {Since: at}}, tr.AllBlocked(at.Add(time.Second)))
}

// Guards against a wrong block that nothing heals, because all requests with the part are refused for its time.
func TestWrongBlockIsFoundOut(t *testing.T) {
	tr := NewPartTracker()
	at := crashTogether(tr, start, minPartCrashes, []uint64{deadPart, soundPart}, nil)
	must.True(t, tr.Blocked(at, []uint64{deadPart, soundPart}))
	must.True(t, isListed(tr, at, soundPart))
	// The other part is not in this request, which shows which one crashes upstreams.
	must.False(t, tr.Blocked(at, []uint64{otherPart, soundPart}))
	must.True(t, tr.Blocked(at.Add(time.Millisecond), []uint64{otherPart, soundPart}))
	at = at.Add(time.Second)
	tr.Began(at, []uint64{otherPart, soundPart})
	must.False(t, tr.Blocked(at, []uint64{otherPart, soundPart}))
	// Its crashes are enough to refuse the other one.
	must.True(t, tr.Blocked(at, []uint64{deadPart, 100}))
	must.False(t, tr.Blocked(at, []uint64{otherPart, soundPart}))
}

// A request that finds out that a block is right costs one upstream, and no further request is let through.
func TestRightBlockIsFoundOutOnce(t *testing.T) {
	tr := NewPartTracker()
	at := crashTogether(tr, start, minPartCrashes, []uint64{commonPart, deadPart}, nil)
	must.True(t, tr.Blocked(at, []uint64{commonPart, deadPart}))
	must.False(t, tr.Blocked(at, []uint64{otherPart, deadPart}))
	at = crashTogether(tr, at, 1, []uint64{otherPart, deadPart}, nil)
	for range 100 {
		at = at.Add(trialInterval)
		must.True(t, tr.Blocked(at, []uint64{otherPart, deadPart}))
		must.True(t, tr.Blocked(at, []uint64{100, deadPart}))
	}
	must.False(t, isListed(tr, at, commonPart))
	must.False(t, isListed(tr, at, otherPart))
}

// The same after a restart of all instances, of which the store has kept the block.
func TestKeptBlockIsFoundOut(t *testing.T) {
	for _, right := range []bool{true, false} {
		a, b := NewPartTracker(), NewPartTracker()
		a.Block(start, soundPart, Block{Since: start.Add(-time.Minute), Others: []uint64{deadPart}})
		b.Merge(start, a.Report(start))
		must.True(t, b.Blocked(start, []uint64{deadPart, soundPart}))
		must.False(t, b.Blocked(start, []uint64{otherPart, soundPart}))
		at := start.Add(trialInterval)
		if right {
			at = crashTogether(b, start, 1, []uint64{otherPart, soundPart}, nil).Add(trialInterval)
		} else {
			b.Survived(start.Add(time.Second), []uint64{otherPart, soundPart})
		}
		must.Eq(t, right, b.Blocked(at, []uint64{otherPart, soundPart}))
	}
}

// Guards against a restarted instance that knows no sound request and takes the popular part for as suspect as the one that crashes
// upstreams.
func TestInstanceThatStartsLearnsSoundParts(t *testing.T) {
	a, b := NewPartTracker(), NewPartTracker()
	a.Survived(start.Add(-5*time.Minute), []uint64{soundPart})
	a.Began(start.Add(-time.Second), []uint64{commonPart})
	b.LearnSound(start, a.ReportSound(start))
	must.Eq(t, a.ReportSound(start), b.ReportSound(start))
	at := crashTogether(b, start, minPartCrashes, []uint64{deadPart, soundPart, commonPart}, nil)
	must.True(t, isListed(b, at, deadPart))
	must.False(t, isListed(b, at, soundPart))
	must.False(t, isListed(b, at, commonPart))
	b.LearnSound(start, []PartReport{{Part: "no number", Survived: 1}})
	for i := range uint64(maxSoundReports) {
		a.Survived(start, []uint64{100 + i})
	}
	must.SliceLen(t, maxSoundReports, a.ReportSound(start))
}

// Guards against a popular part that is refused because it was judged before the other parts of the same message were known.
func TestReportsAreJudgedTogether(t *testing.T) {
	a, b := NewPartTracker(), NewPartTracker()
	at := crashTogether(a, start, minPartCrashes, []uint64{commonPart, deadPart}, nil)
	reports := a.Report(at)
	slices.SortFunc(reports, func(x, y PartReport) int { return x.Position - y.Position })
	b.Merge(at, reports)
	must.True(t, isListed(b, at, deadPart))
	must.False(t, isListed(b, at, commonPart))
	// The same in two messages.
	b = NewPartTracker()
	b.Merge(at, reports[:1])
	must.True(t, isListed(b, at, commonPart))
	b.Merge(at, reports[1:])
	must.True(t, isListed(b, at, deadPart))
	must.False(t, isListed(b, at, commonPart))
}

// Instances that each see a part of the crashes and answers refuse the same part, whichever part of the prompt it is.
func TestInstancesBlockTheSamePart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := make([]*PartTracker, rapid.IntRange(1, 6).Draw(t, "instances"))
		for i := range trackers {
			trackers[i] = NewPartTracker()
		}
		pick := func(what string) *PartTracker { return trackers[rapid.IntRange(0, len(trackers)-1).Draw(t, what)] }
		crashing, sound := []uint64{commonPart, deadPart}, []uint64{commonPart, soundPart}
		if rapid.Bool().Draw(t, "first") {
			crashing, sound = []uint64{deadPart, commonPart}, []uint64{soundPart, commonPart}
		}
		now := start
		for i := range 2 * minPartCrashes {
			now = now.Add(time.Duration(rapid.IntRange(300, 2000).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "victim") {
				pick("victim's").Crashed(now, sound, uint64(i), now.Add(-700*time.Millisecond))
			}
			pick("crash").Crashed(now, crashing, uint64(i), now.Add(-20*time.Millisecond))
			now = now.Add(200 * time.Millisecond)
			pick("answer").Began(now, sound)
			for _, from := range trackers {
				for _, to := range trackers {
					to.Merge(now, from.Report(now))
				}
			}
		}
		for _, tr := range trackers {
			must.Eq(t, []uint64{deadPart}, slices.Collect(maps.Keys(tr.AllBlocked(now))))
		}
	})
}
