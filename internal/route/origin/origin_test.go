package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func always(string) bool { return true }

func mustBuild(t *testing.T, tracker *Tracker, now time.Time, id, want string) {
	t.Helper()
	build, ok := tracker.Build(now, id)
	must.True(t, ok)
	must.Eq(t, want, build)
}

// Streams reach the other instances though two of three messages are lost, and directly or through a head.
func TestStreamsAreReportedSeveralTimes(t *testing.T) {
	sender, receiver := NewTracker(), NewTracker()
	sender.Began(start, "s", "a", "v1")
	sender.Began(start, "s", "b", "v2")
	for range reports - 1 {
		must.MapLen(t, 2, sender.Report(start, always))
	}
	receiver.Merge(start, Streams(nil).Plus(sender.Report(start, always)))
	mustBuild(t, receiver, start, "a", "v1")
	mustBuild(t, receiver, start, "b", "v2")
	must.MapEmpty(t, sender.Report(start, always))
	_, ok := receiver.Build(start, "c")
	must.False(t, ok)
}

// Streams that began while their service had one build are reported when it gets a second one.
func TestStreamsAreReportedOnceTheirServiceIsMixed(t *testing.T) {
	sender := NewTracker()
	sender.Began(start, "s", "a", "v1")
	sender.Began(start, "other", "b", "v1")
	must.MapEmpty(t, sender.Report(start, func(string) bool { return false }))
	mixed := func(service string) bool { return service == "s" }
	must.Eq(t, hashBytes, len(sender.Report(start.Add(10*time.Second), mixed)["v1"]))
	must.MapEmpty(t, sender.Report(start.Add(Memory), always))
}

func TestStreamsAreForgotten(t *testing.T) {
	tracker := NewTracker()
	tracker.Began(start, "s", "a", "v1")
	mustBuild(t, tracker, start.Add(Memory), "a", "v1")
	_, ok := tracker.Build(start.Add(2*Memory), "a")
	must.False(t, ok)
}

func TestReportsAreBounded(t *testing.T) {
	tracker := NewTracker()
	for i := range 2 * maxOwn {
		tracker.Began(start, "s", fmt.Sprint(i), "v1")
	}
	report := tracker.Report(start, always)
	must.Eq(t, maxReported*hashBytes, len(report["v1"]))
	newest := NewTracker()
	newest.Merge(start, report)
	mustBuild(t, newest, start, fmt.Sprint(2*maxOwn-1), "v1")
	total := Streams{}
	for range 2 * maxMerged / maxReported {
		total = total.Plus(report)
	}
	must.Eq(t, maxMerged*hashBytes, len(total["v1"]))
}

// Adding the streams of one instance does not change those of another.
func TestPlusDoesNotShareMemory(t *testing.T) {
	a := Streams{"v1": make([]byte, hashBytes, 4*hashBytes)}
	first := a.Plus(Streams{"v1": []byte("11111111")})
	a.Plus(Streams{"v1": []byte("22222222")})
	must.Eq(t, "11111111", string(first["v1"][hashBytes:]))
}

// The history has a build from the moment at which it is listed until it has been gone for the memory.
func TestHistoryOfBuilds(t *testing.T) {
	const memory = time.Minute
	history, changed := History{}.Updated(time.Second, map[string][]string{"s": {"v1"}}, memory)
	must.True(t, changed)
	must.False(t, history.Lacks("s", "v1"))
	must.True(t, history.Lacks("s", "v2"))
	_, changed = history.Updated(2*time.Second, map[string][]string{"s": {"v1"}}, memory)
	must.False(t, changed)
	history, changed = history.Updated(3*time.Second, map[string][]string{"s": {"v2"}, "other": {"w1"}}, memory)
	must.True(t, changed)
	must.Eq(t, History{"s": {"v1": 3000, "v2": 0}, "other": {"w1": 0}}, history)
	must.True(t, history.Lacks("s", "v1"))
	again, _ := history.Updated(4*time.Second, map[string][]string{"s": {"v1", "v2"}}, memory)
	must.Eq(t, map[string]int64{"v1": 0, "v2": 0}, again["s"])
	history, changed = history.Updated(4*time.Second+memory, map[string][]string{"s": {"v2"}}, memory)
	must.True(t, changed)
	must.Eq(t, History{"s": {"v2": 0}, "other": {"w1": 4000 + memory.Milliseconds()}}, history)
}

// Streams are saved once: own ones when they are first reported, those of others when they are new.
func TestStreamsAreSavedOnce(t *testing.T) {
	first, second := NewTracker(), NewTracker()
	first.Began(start, "s", "a", "v1")
	must.MapEmpty(t, first.Unsaved())
	report := first.Report(start, always)
	must.Eq(t, report, first.Unsaved())
	must.MapEmpty(t, first.Unsaved())
	second.Merge(start, report)
	second.Merge(start, report)
	must.Eq(t, report, second.Unsaved())
	must.MapEmpty(t, second.Unsaved())
	third := NewTracker()
	third.MergeSaved(start, report)
	mustBuild(t, third, start, "a", "v1")
	must.MapEmpty(t, third.Unsaved())
	third.Merge(start, Streams{"v2": []byte("12345678")})
	third.DropUnsaved(start.Add(unsavedTTL))
	must.MapLen(t, 1, third.unsavedForTest())
	third.DropUnsaved(start.Add(2 * unsavedTTL))
	must.MapEmpty(t, third.Unsaved())
}

// unsavedForTest returns the unsaved streams and keeps them.
func (t *Tracker) unsavedForTest() map[uint64]string {
	out := make(map[uint64]string)
	for _, s := range t.unsaved {
		out[s.hash] = s.build
	}
	return out
}
