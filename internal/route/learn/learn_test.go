package learn

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	start    = time.Unix(1000, 0)
	defaults = Defaults{PerToken: 25 * time.Microsecond, PerRunning: 4 * time.Millisecond, Response: 40 * time.Millisecond}
)

// see adds n prompts at idle upstreams that work at a speed, one every 100 ms, and returns the time after them. Noise multiplies the time
// of each.
func see(t *Tracker, now time.Time, n int, perToken time.Duration, noise func() float64) time.Time {
	for i := range n {
		now = now.Add(100 * time.Millisecond)
		tokens := int64(800 + 2100*(i%5))
		took := 30*time.Millisecond + time.Duration(tokens)*perToken
		t.Prompt(now, Sample{Service: "s", Upstream: "u", Born: 1, Tokens: tokens, Took: time.Duration(float64(took) * noise())})
	}
	return now
}

func exact() float64 { return 1 }

func within(t *testing.T, want, got time.Duration, part float64) {
	t.Helper()
	must.Between(t, time.Duration(float64(want)*(1-part)), got, time.Duration(float64(want)*(1+part)))
}

func TestSpeedIsLearned(t *testing.T) {
	for _, want := range []time.Duration{8, 11, 25, 60} {
		l := NewTracker(defaults)
		now := see(l, start, 100, want*time.Microsecond, exact)
		within(t, want*time.Microsecond, l.Estimate(now, "s").PerToken, 0.2)
	}
}

func TestSpeedIsLearnedInNoise(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	l := NewTracker(defaults)
	now := see(l, start, 200, 11*time.Microsecond, func() float64 {
		if random.IntN(50) == 0 {
			return 100
		}
		return 0.8 + 0.4*random.Float64()
	})
	within(t, 11*time.Microsecond, l.Estimate(now, "s").PerToken, 0.35)
}

func TestSpeedFollowsDrift(t *testing.T) {
	l := NewTracker(defaults)
	now := see(l, start, 300, 11*time.Microsecond, exact)
	now = see(l, now, 600, 22*time.Microsecond, exact)
	within(t, 22*time.Microsecond, l.Estimate(now, "s").PerToken, 0.2)
}

// Estimates act only when they are believed and differ from the defaults, and stop when they come near or fade.
func TestActing(t *testing.T) {
	l := NewTracker(defaults)
	now := see(l, start, minActingSamples-1, 10*time.Microsecond, exact)
	must.False(t, l.Estimate(now, "s").Acting)
	now = see(l, now, 100, 10*time.Microsecond, exact)
	must.True(t, l.Estimate(now, "s").Acting)
	must.False(t, l.Estimate(now.Add(5*forgetting), "s").Acting)
	now = see(l, now, 900, 25*time.Microsecond, exact)
	must.False(t, l.Estimate(now, "s").Acting)

	usual := NewTracker(defaults)
	must.False(t, usual.Estimate(see(usual, start, 200, 20*time.Microsecond, exact), "s").Acting)
	must.False(t, usual.Estimate(see(usual, start, 200, 32*time.Microsecond, exact), "s").Acting)
}

// pacesOf returns a tracker that knows the service and has seen n steps of an upstream that takes factor times as long.
func pacesOf(n int, factor float64) (*Tracker, time.Time) {
	l := NewTracker(defaults)
	now := start
	step := func(id string, factor float64) {
		now = now.Add(50 * time.Millisecond)
		l.Steps(now, Sample{Service: "s", Upstream: id, Born: 1, Version: 1, Took: time.Duration(factor * float64(5*time.Millisecond))})
	}
	for i := range 60 {
		step(fmt.Sprintf("other%d", i%10), 1)
	}
	for i := range n {
		step("u", factor)
		for k := range 9 {
			step(fmt.Sprintf("other%d", (i+k)%10), 1)
		}
	}
	return l, now
}

func TestPaceNeedsSamples(t *testing.T) {
	l, now := pacesOf(minPaceSamples-1, 2)
	pace, _ := l.Pace(now, "u", 1, 1)
	must.Eq(t, 1, pace)
	l, now = pacesOf(25, 2)
	pace, _ = l.Pace(now, "u", 1, 1)
	must.Between(t, 1.4, pace, 2)
	pace, _ = l.Pace(now, "other1", 1, 1)
	must.Between(t, 0.85, pace, 1.1)
}

// A restart and new weights make an upstream unknown; so does time.
func TestPaceIsForgotten(t *testing.T) {
	l, now := pacesOf(25, 2)
	for _, c := range []struct {
		born, version int64
		later         time.Duration
	}{{2, 1, 0}, {1, 2, 0}, {1, 1, 3 * paceForgetting}} {
		pace, _ := l.Pace(now.Add(c.later), "u", c.born, c.version)
		must.Eq(t, 1, pace)
	}
}

// A grey upstream that answers at once, or never, is not taken for more than minPace and maxPace.
func TestPaceIsBounded(t *testing.T) {
	l, now := pacesOf(100, 0.001)
	pace, _ := l.Pace(now, "u", 1, 1)
	must.GreaterEq(t, minPace, pace)
	l, now = pacesOf(100, 1000)
	pace, _ = l.Pace(now, "u", 1, 1)
	must.LessEq(t, maxPace, pace)
}

// An instance that sees few requests believes the others, within what they can have seen.
func TestPacesOfOthers(t *testing.T) {
	seen, now := pacesOf(40, 2)
	report := seen.Report(now)
	l := NewTracker(defaults)
	for i := range 8 {
		l.Merge(now.Add(time.Duration(i)*time.Second), []Incarnation{
			{ID: "u", Service: "s", Born: 1, Version: 1, Pace: report["u"]}, {ID: "lie", Born: 1, Version: 1, Pace: Pace{Count: 1 << 40, Sum: -1 << 50}},
			{ID: "odd", Born: 1, Version: 1, Pace: Pace{Count: -4, Sum: 9}},
		})
	}
	now = now.Add(8 * time.Second)
	pace, samples := l.Pace(now, "u", 1, 1)
	t.Logf("pace %.2f of %.1f samples", pace, samples)
	must.Between(t, 1.3, pace, 2)
	pace, samples = l.Pace(now, "lie", 1, 1)
	must.GreaterEq(t, minPace, pace)
	must.LessEq(t, maxPaceSamples, samples)
	pace, _ = l.Pace(now, "odd", 1, 1)
	must.Eq(t, 1, pace)
}

// An instance that was frozen knows nothing of the time, and its clock may have jumped back.
func TestPacesAfterAFreeze(t *testing.T) {
	l, now := pacesOf(25, 2)
	for _, later := range []time.Duration{time.Hour, -time.Hour} {
		l.Steps(now.Add(later), Sample{Service: "s", Upstream: "u", Born: 1, Version: 1, Took: time.Hour})
		pace, _ := l.Pace(now.Add(later), "u", 1, 1)
		must.Between(t, 1, pace, maxPace)
	}
}

// What was cut off is a lower bound: it counts only if it took longer than expected.
func TestCutSamples(t *testing.T) {
	l := NewTracker(defaults)
	now := see(l, start, 100, 11*time.Microsecond, exact)
	before := l.Estimate(now, "s").PerToken
	for range 50 {
		l.Prompt(now, Sample{Service: "s", Upstream: "u", Born: 1, Tokens: 9000, Took: time.Millisecond, Cut: true})
	}
	must.Eq(t, before, l.Estimate(now, "s").PerToken)
	for range 50 {
		l.Prompt(now, Sample{Service: "s", Upstream: "u", Born: 1, Tokens: 9000, Took: time.Second, Cut: true})
	}
	must.Less(t, l.Estimate(now, "s").PerToken, before)
}

func TestExpectedOutput(t *testing.T) {
	l := NewTracker(defaults)
	must.Eq(t, 80, l.ExpectedOutput(start, "r", 80))
	for range 20 {
		l.Output(start, "r", 9)
	}
	must.Eq(t, 9, l.ExpectedOutput(start, "r", 80))
	must.Eq(t, 5, l.ExpectedOutput(start, "r", 5))
}

func TestCacheBinds(t *testing.T) {
	l := NewTracker(defaults)
	for range minServiceSamples + 1 {
		must.False(t, l.CacheBinds(start, "unknown", 67304, 24))
		l.Held(start, "s", 9200)
	}
	must.True(t, l.CacheBinds(start, "s", 67304, 24))
	must.False(t, l.CacheBinds(start, "s", 400000, 24))
	must.False(t, l.CacheBinds(start, "s", 0, 24))
}

func TestResponsesOfPlainServices(t *testing.T) {
	l := NewTracker(defaults)
	for range 100 {
		l.Plain(start, Sample{Service: "p", Route: "r", Upstream: "u", Born: 1, Took: 60 * time.Millisecond})
	}
	within(t, 60*time.Millisecond, l.Estimate(start, "p").Response, 0.05)
}

// Upstreams of different speeds are told from equal ones with noise, and no longer when they have become equal.
func TestMixedSpeeds(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	run := func(l *Tracker, now time.Time, slow float64) time.Time {
		for i := range 2000 {
			now = now.Add(10 * time.Millisecond)
			factor := math.Exp(0.4 * random.NormFloat64())
			if i%6 == 0 {
				factor *= slow
			}
			l.Steps(now, Sample{Service: "s", Upstream: fmt.Sprint(i % 24), Born: 1, Version: 1, Took: time.Duration(factor * float64(5*time.Millisecond))})
		}
		return now
	}
	l := NewTracker(defaults)
	now := run(l, start, 1)
	must.False(t, l.Estimate(now, "s").Mixed)
	now = run(l, now, 1.7)
	must.True(t, l.Estimate(now, "s").Mixed)
	must.False(t, l.Estimate(now, "other").Mixed)
	now = run(l, now, 1)
	now = run(l, now, 1)
	must.False(t, l.Estimate(now, "s").Mixed)
}
