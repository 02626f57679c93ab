package place_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/learn"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

// policy chooses an upstream in the closed model.
type policy string

const (
	learnedCosts  policy = "learned costs"
	defaultCosts  policy = "default costs"
	leastRequests policy = "least requests"
	twoChoices    policy = "power of two choices"
	randomChoice  policy = "random"
)

var otherPolicies = []policy{defaultCosts, leastRequests, twoChoices, randomChoice}

// pattern is a load of the closed model.
type pattern struct {
	instances, engines int
	// perSecond is the rate of prompts over all instances. Two in three are long.
	perSecond float64
	length    time.Duration
	// perToken is the time of an engine of pace 1. Pace returns how many times as long engine i takes at a time.
	perToken time.Duration
	pace     func(i int, since time.Duration) float64
	// reportDelay is the age of the loads that instances know of each other, which they send every reportInterval.
	reportDelay, reportInterval time.Duration
	// outliers is the share of prompts that take ten times as long.
	outliers float64
	// cacheTokens is the capacity of an engine's KV cache, holdTime the time of an answer after the first event.
	cacheTokens int64
	holdTime    time.Duration
}

const (
	modelService  = "s"
	modelSlots    = 24
	longPrompt    = 9200
	shortPrompt   = 800
	modelBaseTime = 40 * time.Millisecond
	modelSteps    = 9
)

// modelEvent is a first event or, if ended is set, the end of an answer.
type modelEvent struct {
	at       time.Time
	ended    bool
	instance int
	choice   place.Choice
	sentAt   time.Time
	held     int64
	// step is the time between the events of the answer.
	step time.Duration
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model runs a pattern in virtual time.
type model struct {
	pattern
	policy    policy
	rand      *rand.Rand
	start     time.Time
	fleets    []*fleet.Fleet
	learners  []*learn.Tracker
	rates     []place.PrefillRate
	busyUntil []time.Time
	held      []int64
	sent      []int
	events    modelEvents
	inTransit [][]map[string]fleet.Load
	waits     []time.Duration
	// overfull counts the prompts that do not fit into the KV cache of their engine.
	overfull int
}

func newModel(p pattern, by policy) *model {
	m := &model{
		pattern: p, policy: by, rand: rand.New(rand.NewPCG(3, 4)), start: time.Unix(1000, 0), rates: make([]place.PrefillRate, p.instances),
		busyUntil: make([]time.Time, p.engines), held: make([]int64, p.engines), sent: make([]int, p.engines),
	}
	costs := place.DefaultCosts()
	for range p.instances {
		f := fleet.New()
		for i := range p.engines {
			f.Put(fleet.Entry{ID: engineID(i), Service: modelService, State: fleet.Ready, Slots: modelSlots, Weights: map[string]int64{"m": 1}, Born: 1})
		}
		m.fleets = append(m.fleets, f)
		m.learners = append(m.learners, learn.NewTracker(learn.Defaults{PerToken: costs.PerToken, PerRunning: costs.PerRunning, Response: costs.PerRunning}))
	}
	return m
}

func engineID(i int) string { return fmt.Sprintf("e%02d", i) }

// run returns the mean wait for the first event in the second half of the time.
func (m *model) run() time.Duration {
	end, reportAt := m.start.Add(m.length), m.start
	now := m.start
	for now.Before(end) {
		next := now.Add(time.Duration(m.rand.ExpFloat64() / m.perSecond * float64(time.Second)))
		for {
			at := reportAt
			if len(m.events) > 0 && m.events[0].at.Before(at) {
				at = m.events[0].at
			}
			if at.After(next) {
				break
			}
			if at.Equal(reportAt) {
				m.report(at)
				reportAt = at.Add(m.reportInterval)
				continue
			}
			m.happen(heap.Pop(&m.events).(modelEvent))
		}
		now = next
		m.place(now)
	}
	sum := time.Duration(0)
	for _, w := range m.waits {
		sum += w
	}
	return sum / time.Duration(max(1, len(m.waits)))
}

func (m *model) happen(e modelEvent) {
	f, l := m.fleets[e.instance], m.learners[e.instance]
	if e.ended {
		f.RequestEnded(e.choice.ID, 0)
		f.CacheFreed(e.choice.ID, e.held)
		m.held[m.index(e.choice.ID)] -= e.held
		l.Lasted(e.at, modelService, e.at.Sub(e.sentAt))
		l.Steps(e.at, learn.Sample{Service: modelService, Upstream: e.choice.ID, Born: 1, Version: 1, Took: e.step})
		return
	}
	f.Prefilled(e.choice.ID, e.choice.PrefillTokens)
	l.Prompt(e.at, learn.Sample{
		Service: modelService, Upstream: e.choice.ID, Born: 1, Version: 1, Tokens: e.choice.PrefillTokens, Ahead: e.choice.PendingTokens,
		Running: e.choice.Running, Took: e.at.Sub(e.sentAt),
	})
	if e.sentAt.Sub(m.start) > m.length/2 {
		m.waits = append(m.waits, e.at.Sub(e.sentAt))
	}
}

// report sends the loads of all instances, which arrive reportDelay later.
func (m *model) report(now time.Time) {
	loads := make([]map[string]fleet.Load, m.instances+1)
	sum := make(map[string]fleet.Load)
	for i, f := range m.fleets {
		loads[i] = f.Loads(now)
		for id, p := range m.learners[i].Report(now) {
			l := loads[i][id]
			l.Samples, l.Pace = p.Count, p.Sum
			loads[i][id] = l
		}
		for id, l := range loads[i] {
			sum[id] = sum[id].Plus(l)
		}
	}
	loads[m.instances] = sum
	m.inTransit = append(m.inTransit, loads)
	if len(m.inTransit) <= int(m.reportDelay/m.reportInterval) {
		return
	}
	arrived := m.inTransit[0]
	m.inTransit = m.inTransit[1:]
	for i, f := range m.fleets {
		others := make(map[string]fleet.Load, len(sum))
		for id, l := range arrived[m.instances] {
			others[id] = l.Minus(arrived[i][id])
		}
		f.SetPeerLoads(now, "head", others)
		var reported []learn.Incarnation
		for id, l := range others {
			reported = append(reported, learn.Incarnation{ID: id, Service: modelService, Born: 1, Version: 1, Pace: learn.Pace{Count: l.Samples, Sum: l.Pace}})
		}
		m.learners[i].Merge(now, reported)
	}
}

// modelPaces implements place.Paces.
type modelPaces struct {
	learner *learn.Tracker
	now     time.Time
}

func (p modelPaces) Pace(v *fleet.View) (pace, samples float64) {
	return p.learner.Pace(p.now, v.ID, v.Born, learn.WeightsKey(v.Weights))
}

func (m *model) place(now time.Time) {
	instance, tokens := m.rand.IntN(m.instances), int64(longPrompt)
	if m.rand.IntN(3) == 0 {
		tokens = shortPrompt
	}
	f, l := m.fleets[instance], m.learners[instance]
	views := f.Views(now, modelService)
	slices.SortFunc(views, func(a, b fleet.View) int { return m.index(a.ID) - m.index(b.ID) })
	l.Held(now, modelService, tokens)
	choice := m.choose(now, instance, tokens, views)
	f.RequestSent(now, choice.ID, choice.PrefillTokens)
	f.CacheHeld(choice.ID, tokens)
	i := m.index(choice.ID)
	m.sent[i]++
	if m.held[i] += tokens; m.cacheTokens > 0 && m.held[i] > m.cacheTokens {
		m.overfull++
	}
	pace := m.pace(i, now.Sub(m.start))
	work := time.Duration(pace * float64(tokens) * float64(m.perToken))
	m.busyUntil[i] = later(m.busyUntil[i], now).Add(work)
	first := m.busyUntil[i].Add(time.Duration(pace * float64(modelBaseTime) * (0.7 + 0.6*m.rand.Float64())))
	if m.rand.Float64() < m.outliers {
		first = first.Add(10 * first.Sub(now))
	}
	e := modelEvent{at: first, instance: instance, choice: choice, sentAt: now, held: tokens}
	heap.Push(&m.events, e)
	hold := time.Duration(pace * float64(m.holdTime) * (0.6 + 0.8*m.rand.Float64()))
	e.at, e.ended, e.step = first.Add(hold), true, hold/modelSteps
	heap.Push(&m.events, e)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *model) index(id string) int {
	return int(id[1]-'0')*10 + int(id[2]-'0')
}

func (m *model) choose(now time.Time, instance int, tokens int64, views []fleet.View) place.Choice {
	pick := func(v fleet.View) place.Choice { return place.Choice{View: v, PrefillTokens: tokens} }
	a, b := views[m.rand.IntN(len(views))], views[m.rand.IntN(len(views))]
	switch m.policy {
	case randomChoice:
		return pick(a)
	case twoChoices:
		if b.Running < a.Running {
			return pick(b)
		}
		return pick(a)
	case leastRequests:
		least := slices.MinFunc(views, func(a, b fleet.View) int { return a.Running - b.Running })
		return pick(least)
	}
	costs, delay := place.DefaultCosts(), m.reportDelay
	q := place.Query{Model: "m", Version: 1, OwnTokens: tokens, Seed: m.rand.Uint64()}
	if m.policy == learnedCosts {
		l := m.learners[instance]
		binds := l.CacheBinds(now, modelService, m.cacheTokens, modelSlots)
		if e := l.Estimate(now, modelService); e.Acting || e.Mixed || binds {
			q.Learned = &place.Learned{Base: e.Base, PerToken: e.PerToken, PerRunning: e.PerRunning, First: e.First, Lasting: e.Lasting, Paces: modelPaces{l, now}}
			costs.PerToken, delay = e.PerToken, q.Learned.Unseen(delay)
			if binds {
				q.Learned.CacheTokens, q.Learned.HeldTokens = m.cacheTokens, tokens
			}
		}
	}
	q.Unreported = place.Unreported(m.rates[instance].Rate(now), m.instances-1, delay, costs)
	choice, _ := place.Choose(q, views, costs)
	m.rates[instance].Add(now, tokens)
	return choice
}

// mixed returns a pattern of engines of three speeds, of which a third are more than twice as fast as the others.
func mixed(instances int) pattern {
	engines, interval, length := 12, 200*time.Millisecond, 30*time.Second
	if instances > 72 {
		engines, interval, length = 24, 600*time.Millisecond, 60*time.Second
	}
	return pattern{
		instances: instances, engines: engines, perSecond: float64(6 * engines), length: length, perToken: 11 * time.Microsecond, reportDelay: 600 * time.Millisecond, reportInterval: interval,
		holdTime: 200 * time.Millisecond, pace: func(i int, _ time.Duration) float64 { return []float64{1.4, 1.4, 0.6}[i%3] },
	}
}

// compare fails unless prompts wait less by learned costs than by each other policy.
func compare(t *testing.T, p pattern, margin float64) {
	learned := newModel(p, learnedCosts).run()
	for _, by := range otherPolicies {
		other := newModel(p, by).run()
		t.Logf("%d instances: mean wait %s by learned costs, %s by %s", p.instances, learned, other, by)
		must.Less(t, time.Duration(margin*float64(other)), learned, must.Sprintf("%d instances, %s", p.instances, by))
	}
}

// Engines of one service work at different speeds.
func TestLearnedCostsOfMixedSpeeds(t *testing.T) {
	for _, instances := range []int{3, 24, 72, 300} {
		compare(t, mixed(instances), 1)
	}
}

// One in a hundred prompts takes ten times as long for another reason.
func TestLearnedCostsWithOutliers(t *testing.T) {
	p := mixed(24)
	p.outliers = 0.01
	compare(t, p, 1)
}

// Reports are two seconds old.
func TestLearnedCostsOnStaleReports(t *testing.T) {
	p := mixed(24)
	p.reportDelay = 2 * time.Second
	compare(t, p, 1)
}

// Engines change their speeds in the middle, and the wait is that after the change.
func TestLearnedCostsFollowDrift(t *testing.T) {
	p := mixed(24)
	p.pace = func(i int, since time.Duration) float64 {
		if since > p.length/2 {
			i++
		}
		return []float64{1.4, 1.4, 0.6}[i%3]
	}
	compare(t, p, 1)
}

// The fastest engines get more than the others, but no more than they can do, and slow ones are still tried.
func TestLearnedCostsDoNotHerd(t *testing.T) {
	m := newModel(mixed(72), learnedCosts)
	m.run()
	total := 0
	for _, n := range m.sent {
		total += n
	}
	for i, n := range m.sent {
		share := float64(n) / float64(total)
		t.Logf("engine %d of pace %.1f: share %.3f", i, m.pace(i, 0), share)
		must.Greater(t, 0.01, share)
		must.Less(t, 0.25, share)
	}
}

// Long prompts fill the KV caches of engines that have slots left.
func TestLearnedCostsKeepRoomInKVCaches(t *testing.T) {
	p := pattern{
		instances: 24, engines: 12, perSecond: 85, length: 20 * time.Second, perToken: 24 * time.Microsecond / 3, reportDelay: 400 * time.Millisecond, reportInterval: 200 * time.Millisecond,
		holdTime: 700 * time.Millisecond, cacheTokens: 67304, pace: func(int, time.Duration) float64 { return 1 },
	}
	learned := newModel(p, learnedCosts)
	learned.run()
	for _, by := range otherPolicies {
		other := newModel(p, by)
		other.run()
		t.Logf("%d prompts did not fit by learned costs, %d by %s", learned.overfull, other.overfull, by)
		must.Less(t, other.overfull, learned.overfull)
	}
}

// A slow engine that is as fast as the others again gets its part within seconds.
func TestRecoveredEngineIsTried(t *testing.T) {
	p := mixed(24)
	p.pace = func(i int, since time.Duration) float64 {
		if i == 0 && since < p.length/2 {
			return 4
		}
		return 1
	}
	m := newModel(p, learnedCosts)
	m.run()
	t.Logf("requests by engine: %v", m.sent)
	pace, samples := m.learners[0].Pace(m.start.Add(p.length), engineID(0), 1, 1)
	t.Logf("pace %.2f of %.1f samples", pace, samples)
	must.Less(t, 1.5, pace)
	must.False(t, math.IsNaN(pace))
}
