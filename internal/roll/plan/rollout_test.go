package plan

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

func init() {
	if err := flag.Set("rapid.seed", "50"); err != nil {
		panic(err)
	}
}

const (
	// startLimit and completeLimit are how long superseded weights may start requests, and the time by which engines have loaded newer ones.
	startLimit    = 7 * time.Second
	completeLimit = 11 * time.Second
	// storeLoadTime is the time to load from the weights store, which serves a storeShare of the engines at full speed.
	storeLoadTime = 570 * time.Millisecond
	storeShare    = 6
	// orderTime is the time of an order that gets no answer, with the pause before the next one.
	orderTime = 550 * time.Millisecond
	// loadTimeout is the time after which a load is given up, and retryDelay the time until the next.
	loadTimeout = 9 * time.Second
	retryDelay  = 700 * time.Millisecond
	// step is the interval between plans.
	step = 50 * time.Millisecond
)

// announcement is a version and when it is announced.
type announcement struct {
	version int64
	at      time.Time
}

// machine is a stand-in for an engine.
type machine struct {
	fleet.View
	// ignoresUntil is the time until which it leaves orders without an answer.
	ignoresUntil time.Time
	// late draws after how long an order without an answer is carried out; nil if none is. arrivals are when such orders are.
	late     func() time.Duration
	arrivals []time.Time
	// runTime is the time in which the running requests end once no new ones are placed.
	runTime time.Duration
	// finishTime is the time in which they end once an order to load came that lets them finish.
	finishTime time.Duration
	// loading is the version that it loads; zero if none. loadsAt is when its requests have finished, remaining the time left to load.
	loading   int64
	loadsAt   time.Time
	remaining time.Duration
	// ordered is when the next order is sent to it.
	ordered time.Time
	load    Load
	// running is the number of requests that ran when it began to drain.
	running int
}

// rollout plays a rollout in virtual time.
type rollout struct {
	announced []announcement
	machines  []*machine
	progress  map[string]Progress
	now       time.Time
	// startLimit is how long superseded weights may start requests.
	startLimit time.Duration
	// newLeaderAt is when another instance takes over, which knows nothing of what was ordered; zero if none does.
	newLeaderAt time.Time
}

// takeOverTime is the time without a leader.
const takeOverTime = 1500 * time.Millisecond

func newRollout(n int, announced ...announcement) *rollout {
	r := &rollout{announced: announced, progress: make(map[string]Progress), now: start, startLimit: startLimit}
	for i := range n {
		r.machines = append(r.machines, &machine{View: fleet.View{
			Entry:   fleet.Entry{ID: fmt.Sprintf("%03d", i), State: fleet.Ready, Weights: map[string]int64{"m": 1}},
			Running: 20,
		}, runTime: 2 * time.Second, running: 20})
	}
	return r
}

func (r *rollout) target() Target {
	t := Target{Model: "m", StartLimit: r.startLimit, SupersededFor: r.supersededFor, OrdersKnownFor: time.Hour}
	if !r.newLeaderAt.IsZero() && r.now.After(r.newLeaderAt) {
		t.OrdersKnownFor = r.now.Sub(r.newLeaderAt)
	}
	for _, a := range r.announced {
		if !r.now.Before(a.at) {
			t.Version = max(t.Version, a.version)
		}
	}
	return t
}

func (r *rollout) supersededFor(version int64) time.Duration {
	longest := time.Duration(0)
	for _, a := range r.announced {
		if a.version > version {
			longest = max(longest, r.now.Sub(a.at))
		}
	}
	return longest
}

func (r *rollout) views() []fleet.View {
	var views []fleet.View
	for _, m := range r.machines {
		views = append(views, m.View)
	}
	return views
}

func (r *rollout) machine(id string) *machine {
	for _, m := range r.machines {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// step plays one interval.
func (r *rollout) step() Plan {
	r.now = r.now.Add(step)
	target := r.target()
	if r.now.After(r.newLeaderAt) && r.now.Before(r.newLeaderAt.Add(takeOverTime)) {
		clear(r.progress)
		r.loadWeights()
		return Plan{}
	}
	next := Next(r.now, target, r.views(), r.progress)
	for _, e := range next.Drain {
		r.progress[e.ID] = r.progress[e.ID].StartDrain(r.now, e.Running, target.Version)
		r.machine(e.ID).running = e.Running
	}
	for _, l := range next.Load {
		r.progress[l.Engine.ID] = r.progress[l.Engine.ID].StartLoad(r.now, &target, &l)
		m := r.machine(l.Engine.ID)
		m.load, m.ordered = l, r.now
	}
	r.order(target.Version)
	r.giveUp()
	r.drain()
	r.loadWeights()
	return next
}

// arrive carries out the first order without an answer that is due. Later ones have no effect, as they follow on fewer orders.
func (r *rollout) arrive(m *machine, version int64) {
	if i := slices.IndexFunc(m.arrivals, func(at time.Time) bool { return !r.now.Before(at) }); i >= 0 && m.loading == 0 {
		m.loading, m.loadsAt, m.remaining, m.arrivals = version, r.now, storeLoadTime, nil
	}
}

// order sends the orders that are due.
func (r *rollout) order(version int64) {
	for _, m := range r.machines {
		r.arrive(m, version)
		p := r.progress[m.ID]
		switch {
		case m.loading > 0 && !p.LoadingSince.IsZero() && p.AcceptedAt.IsZero():
			p.AcceptedAt = r.now
		case p.LoadingSince.IsZero() || m.loading > 0 || r.now.Before(m.ordered):
		case r.now.Before(m.ignoresUntil):
			p.Unanswered++
			m.ordered = r.now.Add(orderTime)
			if m.late != nil {
				m.arrivals = append(m.arrivals, r.now.Add(m.late()))
			}
		default:
			p.AcceptedAt = r.now
			m.loading, m.loadsAt, m.remaining = version, r.now, storeLoadTime
			if m.load.Mode(r.now) == Finish {
				m.loadsAt = r.now.Add(max(m.runTime, m.finishTime))
			}
		}
		if !p.LoadingSince.IsZero() {
			r.progress[m.ID] = p
		}
	}
}

// giveUp ends loads that have taken too long. What an engine carries out goes on.
func (r *rollout) giveUp() {
	for id, p := range r.progress {
		if !p.LoadingSince.IsZero() && r.now.Sub(p.LoadingSince) >= loadTimeout {
			r.progress[id] = p.Fail(r.now.Add(retryDelay))
		}
	}
}

// drain ends requests of draining engines.
func (r *rollout) drain() {
	for _, m := range r.machines {
		if p := r.progress[m.ID]; !p.DrainingSince.IsZero() {
			m.Running = max(0, m.running-int(r.now.Sub(p.DrainingSince)*time.Duration(m.running)/m.runTime))
		}
	}
}

// loadWeights serves the engines that load.
func (r *rollout) loadWeights() {
	var loading []*machine
	for _, m := range r.machines {
		if m.loading > 0 && !r.now.Before(m.loadsAt) {
			loading = append(loading, m)
		}
	}
	capacity := float64(len(r.machines)) / storeShare
	rate := min(1, capacity/float64(max(1, len(loading))))
	for _, m := range loading {
		if m.remaining -= time.Duration(rate * float64(step)); m.remaining <= 0 {
			m.Weights = map[string]int64{"m": m.loading}
			m.loading, m.Running = 0, 0
			delete(r.progress, m.ID)
		}
	}
}

// late returns the engines that answer orders and whose weights have been superseded for longer than a limit.
func (r *rollout) late(limit time.Duration) []string {
	var late []string
	for _, m := range r.machines {
		if !r.now.Before(m.ignoresUntil) && r.supersededFor(m.Weights["m"]) > limit {
			late = append(late, fmt.Sprintf("%s on %d", m.ID, m.Weights["m"]))
		}
	}
	return late
}

// playUntilDone plays until all engines that answer have the latest version, and checks that none has older weights for too long.
func (r *rollout) playUntilDone(t must.T, ignoring int) {
	last := r.announced[len(r.announced)-1]
	for Pending("m", last.version, r.views()) > ignoring || r.now.Before(last.at) {
		r.step()
		must.SliceEmpty(t, r.late(completeLimit), must.Sprintf("at %v", r.now.Sub(start)))
		must.Less(t, 60*time.Second, r.now.Sub(start))
	}
}

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against versions announced seconds apart that delay the engines whose weights were superseded first.
func TestLaterVersionDoesNotDelaySupersededEngines(t *testing.T) {
	for _, n := range []int{3, 12, 60, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			var announced []announcement
			for i := range 8 {
				announced = append(announced, announcement{int64(2 + i), after(3 * float64(i))})
			}
			newRollout(n, announced...).playUntilDone(t, 0)
		})
	}
}

// Guards against stuck loads that keep other engines waiting past their due time.
func TestStuckLoadsDoNotKeepOthersWaiting(t *testing.T) {
	for _, n := range []int{4, 12, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := newRollout(n, announcement{2, start}, announcement{3, after(3)}, announcement{4, after(6)})
			for i, m := range r.machines {
				if i < n/2 {
					m.ignoresUntil = after(1000)
				}
			}
			r.playUntilDone(t, n/2)
		})
	}
}

// Guards against loads that wait for long requests and keep other engines waiting past their due time.
func TestLongRequestsDoNotKeepOthersWaiting(t *testing.T) {
	r := newRollout(12, announcement{2, start}, announcement{3, after(3)}, announcement{4, after(6)})
	for i, m := range r.machines {
		if i < 6 {
			m.runTime = 30 * time.Second
		}
	}
	r.playUntilDone(t, 0)
}

// Guards against engines that wait for their place while orders bring no answer and are carried out seconds later.
func TestOrdersCarriedOutLateAreGivenInTime(t *testing.T) {
	for _, n := range []int{12, 18, 60} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%d engines, seed %d", n, seed), func(t *testing.T) {
				r := newRollout(n, announcement{2, start})
				random := rand.New(rand.NewPCG(1, seed))
				for _, m := range r.machines {
					m.ignoresUntil = after(1000)
					m.late = func() time.Duration { return 2*time.Second + time.Duration(random.Int64N(int64(10*time.Second))) }
				}
				for r.now.Before(start.Add(completeLimit)) {
					r.step()
				}
				must.LessEq(t, max(1, n/10), Pending("m", 2, r.views()))
			})
		}
	}
}

// Guards against engines that become slow after orders that let requests finish.
func TestEnginesThatBecomeSlowAfterOrdersLoadInTime(t *testing.T) {
	for _, n := range []int{2, 3, 12, 18, 60, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := newRollout(n, announcement{2, start})
			for _, m := range r.machines {
				m.runTime, m.finishTime = drainTimeout*5/4, time.Minute
			}
			for r.now.Before(start.Add(completeLimit)) {
				r.step()
			}
			must.LessEq(t, max(1, n/10), Pending("m", 2, r.views()))
		})
	}
}

// Guards against a new leader that lets requests finish at further engines while those of the previous one still finish theirs.
func TestNewLeaderLetsRequestsFinishAtNoFurtherEngines(t *testing.T) {
	for _, n := range []int{2, 3, 12, 18, 60, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := newRollout(n, announcement{2, start})
			r.startLimit, r.newLeaderAt = 2*startLimit, after(1.4)
			for _, m := range r.machines {
				m.runTime, m.finishTime = drainTimeout*5/4, time.Minute
			}
			for r.now.Before(start.Add(2 * completeLimit)) {
				r.step()
			}
			must.LessEq(t, max(1, n/10), Pending("m", 2, r.views()))
		})
	}
}

// Guards against loads that let requests finish and are given up, after which further engines let theirs finish.
func TestEnginesThatFinishRequestsCountAfterTheTimeout(t *testing.T) {
	for _, n := range []int{2, 3, 12, 18, 60, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := newRollout(n, announcement{2, start}, announcement{3, after(11)})
			r.startLimit = 2 * startLimit
			for _, m := range r.machines {
				m.runTime, m.finishTime = drainTimeout*5/4, time.Minute
			}
			for r.now.Before(after(11)) {
				r.step()
			}
			for _, m := range r.machines {
				m.Running = 20
			}
			for r.now.Before(start.Add(11*time.Second + 2*completeLimit)) {
				r.step()
			}
			must.LessEq(t, max(1, n/10), Pending("m", 3, r.views()))
		})
	}
}

func TestLoadsThatLetRequestsFinishTakeTurns(t *testing.T) {
	for mode, order := range map[Mode]FinishOrder{Finish: {}, Continue: {"m", 2}} {
		views := enginesOn(1, 1, 1, 1)
		now := start.Add(drainTimeout)
		next := Next(now, target(2, 2*time.Second), views, map[string]Progress{
			"0": {LoadingSince: start, AcceptedAt: start, Finish: order}, "1": {DrainingSince: start, Running: 20},
		})
		must.Eq(t, []string{"1"}, ids(next.Load))
		must.Eq(t, mode, next.Load[0].Mode(now))
	}
}

func TestEnginesThatWereSupersededFirstGoFirst(t *testing.T) {
	views := enginesOn(3, 3, 2, 2, 3, 2, 2, 2)
	for i := range views {
		views[i].Running = i
	}
	superseded := map[int64]time.Duration{2: 5 * time.Second, 3: time.Second}
	next := Next(start, Target{Model: "m", Version: 4, StartLimit: startLimit, SupersededFor: func(v int64) time.Duration { return superseded[v] }}, views, nil)
	must.Eq(t, []string{"2"}, ids(next.Load))
	must.Len(t, 1, next.Drain)
	must.Eq(t, "3", next.Drain[0].ID)
}

// An engine that drained for a version that is superseded meanwhile loads the latest one.
func TestDrainingEngineGoesOnToLatestVersion(t *testing.T) {
	views := enginesOn(1, 1, 1, 1)
	views[2].Running = 0
	progress := map[string]Progress{"2": {DrainingSince: start, Version: 2}}
	next := Next(start.Add(time.Second), target(3, 0), views, progress)
	must.Eq(t, []string{"2"}, ids(next.Load))
}

// Urgency does not let all engines load at once: the weights store serves few of them at full speed.
func TestOverdueEnginesLoadInTurns(t *testing.T) {
	for _, n := range []int{3, 12, 300} {
		next := Next(start, target(2, time.Minute), enginesOn(versions(n, 1)...), nil)
		must.SliceEmpty(t, next.Drain)
		must.Len(t, max(minPlaces, n/2), next.Load)
	}
}

// All engines fail, for example because all are full, so that none counts as sound.
func TestFailingEnginesLoadInTurns(t *testing.T) {
	views := enginesOn(versions(20, 1)...)
	for i := range views {
		views[i].Ejected = true
	}
	progress := map[string]Progress{}
	for i := range 10 {
		now := start.Add(time.Duration(i) * step)
		next := Next(now, target(2, 0), views, progress)
		for _, e := range next.Drain {
			progress[e.ID] = Progress{DrainingSince: now, Running: e.Running, Version: 2}
		}
		for _, l := range next.Load {
			progress[l.Engine.ID] = Progress{LoadingSince: now, Version: 2}
		}
	}
	must.MapLen(t, int(20*maxUnavailable), progress)
}

// A failing engine that is overdue does not wait for sound ones that are not.
func TestOverdueFailingEngineDoesNotWait(t *testing.T) {
	views := enginesOn(1, 2, 2, 2, 2)
	views[0].Ejected = true
	superseded := map[int64]time.Duration{1: startLimit, 2: time.Second}
	next := Next(start, Target{Model: "m", Version: 3, StartLimit: startLimit, SupersededFor: func(v int64) time.Duration { return superseded[v] }}, views, nil)
	must.Eq(t, []string{"0"}, ids(next.Load))
}

// An order that lets requests finish cannot be taken back.
func TestRequestsFinishOnlyWhereTheyEndInTime(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after int
		age           time.Duration
		mode          Mode
	}{
		{"most have ended", 20, 5, 2 * time.Second, Finish},
		{"few have ended", 20, 18, 2 * time.Second, Continue},
		{"none has ended", 20, 20, 2 * time.Second, Continue},
		{"more run", 5, 8, 2 * time.Second, Continue},
		{"half have ended, soon urgent", 20, 10, 5 * time.Second, Continue},
		{"urgent", 20, 5, startLimit, Continue},
	} {
		t.Run(c.name, func(t *testing.T) {
			views := enginesOn(1)
			views[0].Running = c.after
			now := start.Add(drainTimeout)
			loads := Next(now, target(2, c.age), views, map[string]Progress{"0": {DrainingSince: start, Running: c.before}}).Load
			must.Len(t, 1, loads)
			must.Eq(t, c.mode, loads[0].Mode(now))
			must.Eq(t, Continue, loads[0].Mode(now.Add(startLimit)))
		})
	}
}

// Stuck is known from answers and reports.
func TestStuckLoads(t *testing.T) {
	for _, c := range []struct {
		name string
		p    Progress
		want bool
	}{
		{"idle", Progress{RetryAt: start}, false},
		{"drains", Progress{DrainingSince: start}, false},
		{"no order yet", Progress{LoadingSince: start.Add(time.Second)}, false},
		{"no order for long", Progress{LoadingSince: start.Add(-stuckAfter)}, true},
		{"no answer", Progress{LoadingSince: start, Unanswered: 1}, true},
		{"no answer, carried out", Progress{LoadingSince: start, Unanswered: 1, AcceptedAt: start}, false},
		{"carried out for long", Progress{LoadingSince: start.Add(-stuckAfter), AcceptedAt: start.Add(-stuckAfter)}, true},
	} {
		must.Eq(t, c.want, c.p.Stuck(start), must.Sprint(c.name))
	}
}

// Whatever is announced, and whichever engines leave orders unanswered for a time, no engine that answers has older weights for too long.
func TestEnginesThatAnswerLoadInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 60).Draw(t, "engines")
		at := start
		var announced []announcement
		for i := range rapid.IntRange(1, 5).Draw(t, "versions") {
			announced = append(announced, announcement{int64(2 + i), at})
			at = at.Add(time.Duration(rapid.IntRange(100, 9000).Draw(t, "pause")) * time.Millisecond)
		}
		r := newRollout(n, announced...)
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		ignoring := 0
		for _, m := range r.machines {
			m.Running = random.IntN(60)
			m.running = m.Running
			m.runTime = time.Duration(200+random.IntN(10000)) * time.Millisecond
			if random.IntN(3) == 0 && ignoring < n/2 {
				ignoring++
				m.ignoresUntil = after(1000)
			}
		}
		r.newLeaderAt = start.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "new leader")) * time.Millisecond)
		r.playUntilDone(t, ignoring)
	})
}

// An engine that has asked for no requests is left alone until its own weights are urgent, whatever has been announced since.
func TestEngineThatWantsNoRequestsIsLeftAloneUntilUrgent(t *testing.T) {
	views := enginesOn(1)
	views[0].RetryAt = start.Add(time.Minute)
	next := Next(start, target(2, urgentAge-1), views, nil)
	must.SliceEmpty(t, next.Load)
	must.SliceEmpty(t, next.Drain)
	superseded := map[int64]time.Duration{1: urgentAge, 2: 0}
	next = Next(start, Target{Model: "m", Version: 3, StartLimit: startLimit, SupersededFor: func(v int64) time.Duration { return superseded[v] }}, views, nil)
	must.Eq(t, []string{"0"}, ids(next.Load))
}

// Stuck engines are avoided as well, so they bound how many others drain or load until one is urgent.
func TestHalfOfEnginesServeBesideStuckLoads(t *testing.T) {
	views := enginesOn(versions(12, 1)...)
	for _, c := range []struct{ stuck, drain int }{{2, 4}, {5, 1}, {6, 0}, {8, 0}} {
		progress := map[string]Progress{}
		for _, v := range views[:c.stuck] {
			progress[v.ID] = Progress{LoadingSince: start, Unanswered: 1}
		}
		next := Next(start, target(2, time.Second), views, progress)
		must.Len(t, c.drain, next.Drain)
		must.SliceEmpty(t, next.Load)
	}
}

// Other engines load without draining once most orders bring no answer, and not for one engine that is down.
func TestUnansweredOrdersMakeOthersUrgent(t *testing.T) {
	now := start.Add(stuckAfter)
	unanswered := Progress{LoadingSince: now, Unanswered: 1}
	for _, c := range []struct {
		name     string
		progress []Progress
		age      time.Duration
		loads    bool
	}{
		{"two without an answer", []Progress{unanswered, unanswered}, startLimit / 4, true},
		{"two without an answer, too early", []Progress{unanswered, unanswered}, startLimit/4 - 1, false},
		{"one without an answer", []Progress{unanswered}, startLimit / 4, false},
		{"most carried out", []Progress{unanswered, unanswered, {LoadingSince: now}, {LoadingSince: now}, {LoadingSince: now}}, startLimit / 4, false},
		{"carried out for long", slices.Repeat([]Progress{{LoadingSince: start, AcceptedAt: start, Unanswered: 1}}, 2), startLimit / 4, false},
		{"no order for long", slices.Repeat([]Progress{{LoadingSince: start}}, 2), startLimit / 4, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			views, progress := enginesOn(versions(12, 1)...), map[string]Progress{}
			for i, p := range c.progress {
				progress[views[i].ID] = p
			}
			must.Eq(t, c.loads, len(Next(now, target(2, c.age), views, progress).Load) > 0)
		})
	}
}

// Guards against two orders to one engine for two of its models.
func TestEngineThatLoadsOneModelWaitsForTheOther(t *testing.T) {
	views := enginesOn(1, 1)
	for i := range views {
		views[i].Weights["n"] = 1
	}
	progress := map[string]Progress{"0": {LoadingSince: start, Version: 2}}
	other := target(2, startLimit)
	other.Model = "n"
	must.Eq(t, []string{"1"}, ids(Next(start, other, views, progress).Load))
}

// A drain that led to no load, since this instance lost the lease, does not count in a later rollout.
func TestDrainOfEarlierRolloutIsForgotten(t *testing.T) {
	views := enginesOn(1, 1, 1, 1)
	progress := map[string]Progress{"0": {DrainingSince: start, Running: 30}, "1": {DrainingSince: start, Running: 30}}
	next := Next(start.Add(time.Hour), target(2, 0), views, progress)
	must.SliceEmpty(t, next.Load)
	must.Len(t, 2, next.Drain)
	must.Zero(t, next.Draining)
}
