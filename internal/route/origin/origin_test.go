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
