package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/peer/gossip"
	"github.com/skylarkquay/skylarkquay/internal/roll/count"
	"github.com/skylarkquay/skylarkquay/internal/roll/shift"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

const (
	testShare = 0.1
	testSlack = 50
)

// shiftSite is a site with routers whose callers go on during a rollout.
type shiftSite struct {
	*fake.Site
	routers []*router
	old     []*fake.Upstream
	fresh   []*fake.Upstream
	ordered time.Time
	// lost counts the answers that are no success, sent all of them.
	lost, sent atomic.Int64
}

// shiftSlots bounds the sites under load at the same time, whose tests mostly wait.
var shiftSlots = make(chan struct{}, 3)

// takeShiftSlot lets the test run beside others.
func takeShiftSlot(t *testing.T) {
	t.Parallel()
	shiftSlots <- struct{}{}
	t.Cleanup(func() { <-shiftSlots })
}

// startShiftSite starts a site with routers and lets callers look up orders at all of them until the test ends.
func startShiftSite(t *testing.T, routers int) *shiftSite {
	t.Helper()
	takeShiftSlot(t)
	s := &shiftSite{Site: newSite(t, 1, 4)}
	s.old = slices.Clone(s.Jobs)
	for range routers {
		c := testSettings(t, s.Site)
		c.ExposureShare, c.ExposureSlack, c.Rollback = testShare, testSlack, 5000
		s.routers = append(s.routers, startRouter(t, c))
	}
	for _, r := range s.routers {
		eventually(t, "ready", func() bool { return r.isReady() && r.exchange.Count() == routers })
	}
	return s
}

// callAll sends requests to the routers until the context ends and returns when all are answered.
func (s *shiftSite) callAll(ctx context.Context, routers []*router) *sync.WaitGroup {
	var callers sync.WaitGroup
	for _, r := range routers {
		for range 3 {
			callers.Go(func() {
				for ctx.Err() == nil {
					reply, err := fake.Send(context.Background(), r.settings.Listen, newCall(http.MethodGet, "/look/1"))
					s.sent.Add(1)
					if err != nil || reply.Status != http.StatusOK || !reply.Complete {
						s.lost.Add(1)
					}
					time.Sleep(15 * time.Millisecond)
				}
			})
		}
	}
	return &callers
}

// order starts the new build and orders the rollout.
func (s *shiftSite) order(t *testing.T, duration time.Duration, f fake.Faults) {
	t.Helper()
	s.ordered = time.Now()
	s.OrderRollout(fake.JobsService, "v2", duration)
	var err error
	s.fresh, err = s.StartBuild(fake.JobsService, "v2", 4, f)
	must.NoError(t, err)
}

// runsAfter returns the requests that upstreams began after a time.
func runsAfter(upstreams []*fake.Upstream, at time.Time) int {
	n := 0
	for _, run := range fake.RunsOf(upstreams) {
		if run.At.After(at) {
			n++
		}
	}
	return n
}

// follow waits for the verdict.
func (s *shiftSite) follow(t *testing.T, duration time.Duration) (string, time.Time) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), duration+10*time.Second)
	defer cancel()
	return s.FollowRollout(ctx, fake.JobsService, "v2", s.old, s.fresh)
}

// checkExposure checks that a bad build got no more requests than it may of those since the order.
func (s *shiftSite) checkExposure(t *testing.T) {
	t.Helper()
	exposed, all := runsAfter(s.fresh, s.ordered), runsAfter(s.Jobs, s.ordered)
	t.Logf("exposed %d of %d", exposed, all)
	must.LessEq(t, testShare*float64(all)+testSlack, float64(exposed))
}

// A good build is completed, and no request is lost when the old upstreams stop at once.
func TestGoodBuildIsCompleted(t *testing.T) {
	const duration = 12 * time.Second
	s := startShiftSite(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	callers := s.callAll(ctx, s.routers)
	s.order(t, duration, fake.Faults{})
	state, at := s.follow(t, duration)
	time.Sleep(500 * time.Millisecond)
	cancel()
	callers.Wait()
	must.Eq(t, "completed", state)
	must.Zero(t, runsAfter(s.old, at))
	must.Positive(t, runsAfter(s.fresh, at))
	t.Logf("%d requests, %d lost", s.sent.Load(), s.lost.Load())
	must.Zero(t, s.lost.Load())
}

// A bad build is rolled back and gets no request after that, and few before.
func TestBadBuildIsRolledBack(t *testing.T) {
	for name, f := range map[string]fake.Faults{"fails": {Fail: true}, "is slow": {Work: 300 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			const duration = 20 * time.Second
			s := startShiftSite(t, 2)
			ctx, cancel := context.WithCancel(context.Background())
			callers := s.callAll(ctx, s.routers)
			s.order(t, duration, f)
			state, at := s.follow(t, duration)
			time.Sleep(time.Second)
			settled := time.Now()
			time.Sleep(time.Second)
			cancel()
			callers.Wait()
			must.Eq(t, "rolled_back", state)
			must.Zero(t, runsAfter(s.fresh, settled))
			t.Logf("after the verdict: %d", runsAfter(s.fresh, at))
			s.checkExposure(t)
		})
	}
}

// The instance that decides is stopped in the middle, and another one ends the order.
func TestSuccessorEndsTheOrder(t *testing.T) {
	for name, c := range map[string]struct {
		faults fake.Faults
		want   string
	}{
		"good": {fake.Faults{}, "completed"},
		"bad":  {fake.Faults{Work: 300 * time.Millisecond}, "rolled_back"},
	} {
		t.Run(name, func(t *testing.T) {
			const duration = 15 * time.Second
			s := startShiftSite(t, 3)
			ctx, cancel := context.WithCancel(context.Background())
			var deciding *router
			eventually(t, "an instance decides", func() bool {
				for _, r := range s.routers {
					if r.following.Load() && r.ranks.ShouldFollow(time.Now()) {
						deciding = r
					}
				}
				return deciding != nil
			})
			others := slices.DeleteFunc(slices.Clone(s.routers), func(r *router) bool { return r == deciding })
			callers := s.callAll(ctx, others)
			s.order(t, duration, c.faults)
			eventually(t, "running", func() bool { return s.RolloutStatus(fake.JobsService).State == "running" })
			deciding.kill()
			state, _ := s.follow(t, duration)
			cancel()
			callers.Wait()
			must.Eq(t, c.want, state)
			must.Zero(t, s.lost.Load())
			if c.want == "rolled_back" {
				s.checkExposure(t)
			}
		})
	}
}

// An order that cannot be read changes nothing, and one that can be read later counts.
func TestUnreadableOrderChangesNothing(t *testing.T) {
	s := startShiftSite(t, 2)
	s.Store.PutRaw("op", "rollout/"+fake.JobsService, []byte(`{"Service":"jobs","To":`))
	time.Sleep(500 * time.Millisecond)
	for _, r := range s.routers {
		must.False(t, r.decider.active.Load())
		must.Eq(t, http.StatusOK, r.send(t, newCall(http.MethodGet, "/look/1")).Status)
	}
	must.Nil(t, s.Store.Row("status", "rollout/"+fake.JobsService))
	must.Nil(t, s.Store.Row(shiftsTable, fake.JobsService))
	s.OrderRollout(fake.JobsService, "v2", time.Minute)
	eventually(t, "running", func() bool {
		return s.RolloutStatus(fake.JobsService) == fake.RolloutStatus{State: "running", To: "v2"}
	})
}

// Without an order, nothing of moves is stored, sent or asked for.
func TestNothingOfMovesActsWithoutAnOrder(t *testing.T) {
	s := startShiftSite(t, 2)
	before := s.Store.Calls(fake.CallGet)
	for _, r := range s.routers {
		must.False(t, r.decider.active.Load())
		must.Eq(t, http.StatusOK, r.send(t, newCall(http.MethodGet, "/look/1")).Status)
		must.SliceEmpty(t, r.decider.counter.Reports())
	}
	time.Sleep(time.Second)
	must.Eq(t, before, s.Store.Calls(fake.CallGet))
	must.Nil(t, s.Store.Row(shiftsTable, fake.JobsService))
}

// An instance that knows an order but not its record sends nothing to the build on trial.
func TestNothingIsSentOnTrialWithoutACurrentRecord(t *testing.T) {
	boot := 10 * time.Second
	s := newShifts(logr.Discard(), func() time.Duration { return boot })
	allowed := func() []string {
		builds, others := s.Builds("s", 1, nil, false)
		var out []string
		for _, build := range []string{"v1", "v2"} {
			if builds.Allows(build) || others != nil && others.Allows(build) {
				out = append(out, build)
			}
		}
		return out
	}
	must.Eq(t, []string{"v1", "v2"}, allowed())
	must.True(t, s.order(shift.Order{Service: "s", To: "v2", Row: 3}))
	must.False(t, s.order(shift.Order{Service: "s", To: "v3", Row: 2}))
	must.Eq(t, []string{"v1"}, allowed())
	r := shift.Record{Service: "s", To: "v2", Row: 3, Phase: shift.Running, Stage: shift.Trial, Share: 1, Started: 5, Step: 4, Old: []string{"v1"}}
	s.adopt(boot, r, "test")
	must.Eq(t, []string{"v1"}, allowed(), must.Sprint("never known to be current"))
	s.moves["s"].confirmed = boot
	must.Eq(t, []string{"v1", "v2"}, allowed())
	boot += shift.Fresh + time.Millisecond
	must.Eq(t, []string{"v1"}, allowed(), must.Sprint("not current any more"))
	r.Phase, r.Step = shift.Completed, 5
	s.adopt(boot, r, "test")
	must.Eq(t, []string{"v2"}, allowed(), must.Sprint("the verdict"))
	r.Phase, r.Step = shift.Running, 9
	s.adopt(boot, r, "test")
	must.Eq(t, []string{"v2"}, allowed(), must.Sprint("a store that lost the verdict"))
}

// The record that others are told lacks what only the deciding instance needs, and is bounded.
func TestMessagesAboutMovesAreRead(t *testing.T) {
	s := startShiftSite(t, 2)
	s.OrderRollout(fake.JobsService, "v2", time.Minute)
	for _, r := range s.routers {
		eventually(t, "record known", func() bool {
			r.decider.mu.Lock()
			defer r.decider.mu.Unlock()
			m := r.decider.moves[fake.JobsService]
			return m != nil && m.confirmed > 0 && m.record.To == "v2"
		})
	}
	var record shift.Record
	must.NoError(t, json.Unmarshal(s.Store.Row(shiftsTable, fake.JobsService), &record))
	must.Eq(t, []string{"v1"}, record.Old)
	must.Positive(t, record.Token)
}

// An older order that a copy of the store brings back isn't carried out again, and one that is written again goes on.
func TestOrdersOfACopy(t *testing.T) {
	s := newShifts(logr.Discard(), func() time.Duration { return 0 })
	must.True(t, s.order(shift.Order{Service: "s", To: "v2", Row: 3}))
	must.True(t, s.order(shift.Order{Service: "s", To: "v3", Row: 7}))
	must.False(t, s.order(shift.Order{Service: "s", To: "v2", Row: 3, Epoch: 1}))
	must.True(t, s.order(shift.Order{Service: "s", To: "v3", Row: 5, Epoch: 1}))
	must.True(t, s.order(shift.Order{Service: "s", To: "v2", Row: 9, Epoch: 1}))
	must.False(t, s.order(shift.Order{Service: "s", To: "v3", Row: 5, Epoch: 1}))
}

// A build that turns bad while the store is away gets nothing once the record isn't known to be current any more, and is rolled back
// when the store is back.
func TestBuildTurnsBadWhileTheStoreIsAway(t *testing.T) {
	const duration = 30 * time.Second
	s := startShiftSite(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	callers := s.callAll(ctx, s.routers)
	s.order(t, duration, fake.Faults{})
	eventually(t, "sent on trial", func() bool { return runsAfter(s.fresh, s.ordered) > 0 })
	s.Store.SetFault(fake.Busy)
	for _, u := range s.fresh {
		u.SetFaults(fake.Faults{Fail: true})
	}
	time.Sleep(shift.Fresh + 500*time.Millisecond)
	stale := time.Now()
	time.Sleep(time.Second)
	must.Zero(t, runsAfter(s.fresh, stale))
	s.Store.SetFault(fake.NoFault)
	state, _ := s.follow(t, duration)
	cancel()
	callers.Wait()
	must.Eq(t, "rolled_back", state)
	s.checkExposure(t)
}

// A store that comes back from a copy without the verdict gets it again, and nothing is sent to the bad build.
func TestVerdictOutlivesACopyOfTheStore(t *testing.T) {
	const duration = 20 * time.Second
	s := startShiftSite(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	callers := s.callAll(ctx, s.routers)
	s.order(t, duration, fake.Faults{Fail: true})
	eventually(t, "running", func() bool { return s.RolloutStatus(fake.JobsService).State == "running" })
	kept := s.Store.Copy()
	state, _ := s.follow(t, duration)
	must.Eq(t, "rolled_back", state)
	time.Sleep(time.Second)
	verdict := time.Now()
	s.Store.Restore(kept)
	must.Eq(t, "running", s.RolloutStatus(fake.JobsService).State)
	for _, u := range s.fresh {
		s.Register(u, "ready")
	}
	eventually(t, "the verdict again", func() bool { return s.RolloutStatus(fake.JobsService).State == "rolled_back" })
	time.Sleep(time.Second)
	cancel()
	callers.Wait()
	must.Zero(t, runsAfter(s.fresh, verdict))
	s.checkExposure(t)
}

// Answers of the store that are lost, and a history that it forgets, hold a good build up for a moment only.
func TestGoodBuildIsCompletedAtAStoreThatLosesAnswers(t *testing.T) {
	const duration = 15 * time.Second
	s := startShiftSite(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	callers := s.callAll(ctx, s.routers)
	s.order(t, duration, fake.Faults{})
	eventually(t, "sent on trial", func() bool { return runsAfter(s.fresh, s.ordered) > 0 })
	s.Store.SetFault(fake.LoseResponses)
	time.Sleep(1500 * time.Millisecond)
	s.Store.SetFault(fake.NoFault)
	s.Store.Compact()
	state, at := s.follow(t, duration)
	time.Sleep(500 * time.Millisecond)
	cancel()
	callers.Wait()
	must.Eq(t, "completed", state)
	must.Zero(t, runsAfter(s.old, at))
	must.Zero(t, s.lost.Load())
}

// Streams of engines end where they began, and none breaks off when a good build is completed.
func TestStreamsWhileAServiceIsMoved(t *testing.T) {
	const duration = 12 * time.Second
	takeShiftSlot(t)
	s := &shiftSite{Site: newSite(t, 3, 1)}
	s.old = slices.Clone(s.Engines)
	for _, u := range s.old {
		u.Slots = 64
		u.PerEvent = 20 * time.Millisecond
		s.Register(u, "ready")
	}
	for range 2 {
		s.routers = append(s.routers, startRouter(t, testSettings(t, s.Site)))
	}
	for _, r := range s.routers {
		eventually(t, "ready", func() bool { return r.isReady() && r.exchange.Count() == 2 })
	}
	s.ordered = time.Now()
	s.OrderRollout(fake.EnginesService, "v2", duration)
	var err error
	s.fresh, err = s.StartBuild(fake.EnginesService, "v2", 3, fake.Faults{})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	var broken, sent atomic.Int64
	for _, r := range s.routers {
		for range 4 {
			callers.Go(func() {
				for ctx.Err() == nil {
					reply, err := fake.Send(context.Background(), r.settings.Listen, newUnsharedCall())
					sent.Add(1)
					if err != nil || reply.Status != http.StatusOK || reply.Body != events(1, 5) {
						broken.Add(1)
					}
				}
			})
		}
	}
	followCtx, stop := context.WithTimeout(context.Background(), duration+10*time.Second)
	defer stop()
	state, at := s.FollowRollout(followCtx, fake.EnginesService, "v2", s.old, s.fresh)
	time.Sleep(500 * time.Millisecond)
	cancel()
	callers.Wait()
	t.Logf("%d streams, %d broken", sent.Load(), broken.Load())
	must.Eq(t, "completed", state)
	must.Zero(t, runsAfter(s.old, at))
	must.Positive(t, runsAfter(s.fresh, at))
	must.Zero(t, broken.Load())
}

// An instance that starts in the middle learns the record, and one that starts alone after the verdict reads it from the store.
func TestInstancesThatStartLaterFollowTheRecord(t *testing.T) {
	const duration = 15 * time.Second
	s := startShiftSite(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	callers := s.callAll(ctx, s.routers[:1])
	s.order(t, duration, fake.Faults{})
	eventually(t, "sent on trial", func() bool { return runsAfter(s.fresh, s.ordered) > 0 })
	s.routers[1].kill()
	again := startRouter(t, s.routers[1].settings)
	eventually(t, "ready", again.isReady)
	later := s.callAll(ctx, []*router{again})
	state, at := s.follow(t, duration)
	time.Sleep(500 * time.Millisecond)
	cancel()
	callers.Wait()
	later.Wait()
	must.Eq(t, "completed", state)
	must.Zero(t, runsAfter(s.old, at))
	must.Zero(t, s.lost.Load())
	// The old upstreams come back without being allowed to serve.
	back, err := s.StartBuild(fake.JobsService, "v1", 2, fake.Faults{})
	must.NoError(t, err)
	s.routers[0].kill()
	again.kill()
	alone := startRouter(t, s.routers[0].settings)
	eventually(t, "ready", alone.isReady)
	eventually(t, "answered", func() bool {
		return alone.send(t, newCall(http.MethodGet, "/look/1")).Status == http.StatusOK
	})
	for range 50 {
		must.Eq(t, http.StatusOK, alone.send(t, newCall(http.MethodGet, "/look/1")).Status)
	}
	must.SliceEmpty(t, fake.RunsOf(back))
}

// Another order in the middle: the build of the first one gets nothing more, and the second one is ended.
func TestAnotherOrderInTheMiddle(t *testing.T) {
	const duration = 12 * time.Second
	s := startShiftSite(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	callers := s.callAll(ctx, s.routers)
	s.order(t, time.Minute, fake.Faults{})
	eventually(t, "sent on trial", func() bool { return runsAfter(s.fresh, s.ordered) > 0 })
	s.OrderRollout(fake.JobsService, "v3", duration)
	first := s.fresh
	var err error
	s.fresh, err = s.StartBuild(fake.JobsService, "v3", 4, fake.Faults{})
	must.NoError(t, err)
	eventually(t, "running", func() bool {
		return s.RolloutStatus(fake.JobsService) == fake.RolloutStatus{State: "running", To: "v3"}
	})
	time.Sleep(time.Second)
	changed := time.Now()
	followCtx, stop := context.WithTimeout(context.Background(), duration+10*time.Second)
	defer stop()
	state, at := s.FollowRollout(followCtx, fake.JobsService, "v3", s.old, s.fresh)
	time.Sleep(500 * time.Millisecond)
	cancel()
	callers.Wait()
	must.Eq(t, "completed", state)
	must.Zero(t, runsAfter(first, changed))
	must.Zero(t, runsAfter(s.old, at))
	must.Zero(t, s.lost.Load())
}

// When all old upstreams are gone, the new build serves.
func TestNewBuildServesWhenTheOldOneIsGone(t *testing.T) {
	const duration = 12 * time.Second
	s := startShiftSite(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	callers := s.callAll(ctx, s.routers)
	s.order(t, duration, fake.Faults{})
	eventually(t, "sent on trial", func() bool { return runsAfter(s.fresh, s.ordered) > 0 })
	for _, u := range s.old {
		s.Deregister(u)
	}
	gone := time.Now()
	eventually(t, "the new build serves", func() bool { return runsAfter(s.fresh, gone) > 200 })
	state, _ := s.follow(t, duration)
	cancel()
	callers.Wait()
	must.Eq(t, "completed", state)
}

// Two services move at the same time, one to a good build and one to a bad one.
func TestTwoServicesMoveAtTheSameTime(t *testing.T) {
	const duration = 15 * time.Second
	s := startShiftSite(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	callers := s.callAll(ctx, s.routers)
	for _, r := range s.routers {
		for range 2 {
			callers.Go(func() {
				for ctx.Err() == nil {
					// The answers of the bad build are its own.
					_, _ = fake.Send(context.Background(), r.settings.Listen, newUnsharedCall())
				}
			})
		}
	}
	engines, err := s.StartBuild(fake.EnginesService, "v2", 2, fake.Faults{Fail: true})
	must.NoError(t, err)
	s.OrderRollout(fake.EnginesService, "v2", duration)
	s.order(t, duration, fake.Faults{})
	state, at := s.follow(t, duration)
	eventually(t, "rolled back", func() bool { return s.RolloutStatus(fake.EnginesService).State == "rolled_back" })
	time.Sleep(time.Second)
	settled := time.Now()
	time.Sleep(500 * time.Millisecond)
	cancel()
	callers.Wait()
	must.Eq(t, "completed", state)
	must.Zero(t, runsAfter(s.old, at))
	must.Zero(t, runsAfter(engines, settled))
	must.Zero(t, s.lost.Load())
}

// What other instances counted is added once, also when they start again, end, or report through heads.
func TestCountsOfOtherInstances(t *testing.T) {
	const headAge = 300 * time.Millisecond
	report := func(arrived int64, acked int) []count.Report {
		return []count.Report{{Service: "s", Started: 5, Step: 3, Acked: acked, Arrived: arrived}}
	}
	message := func(address, zone string, kind gossip.Kind, incarnation, arrived int64, acked int) *gossip.Message {
		return &gossip.Message{Address: address, Zone: zone, Kind: kind, Incarnation: incarnation, Counts: report(arrived, acked)}
	}
	for _, c := range []struct {
		name     string
		messages []*gossip.Message
		// later is the time from the first messages to the question; the last message arrives then.
		later   time.Duration
		known   bool
		arrived int64
		acked   int
		live    int
	}{
		{"two others", []*gossip.Message{message("a", "x", gossip.KindOwn, 1, 10, 1), message("b", "x", gossip.KindOwn, 1, 5, 1)}, 0, true, 15, 2, 2},
		{"of unknown age", []*gossip.Message{message("a", "x", gossip.KindOwn, 1, 10, 1)}, 0, false, 10, 0, 1},
		{"one ended", []*gossip.Message{message("a", "x", gossip.KindOwn, 1, 10, 1), message("b", "x", gossip.KindOwn, 1, 5, 1)}, 3 * time.Second, true, 15, 1, 1},
		{"one started again", []*gossip.Message{message("a", "x", gossip.KindOwn, 1, 10, 1), message("a", "x", gossip.KindOwn, 2, 2, 1)}, 0, true, 12, 1, 1},
		{"a head", []*gossip.Message{
			message("a", "x", gossip.KindOwn, 1, 10, 1), message("c", "y", gossip.KindOwn, 1, 7, 1), message("b", "y", gossip.KindZone, 1, 20, 2),
		}, 0, true, 30, 3, 1},
		{"a head replaced", []*gossip.Message{message("b", "y", gossip.KindZone, 1, 20, 2), message("c", "y", gossip.KindZone, 1, 21, 1)}, 0, true, 21, 1, 0},
		{"a member", []*gossip.Message{message("a", "x", gossip.KindOwn, 1, 10, 1), message("b", "x", gossip.KindAll, 1, 40, 4)}, 0, true, 40, 4, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			boot := time.Minute
			s := newShifts(logr.Discard(), func() time.Duration { return boot })
			s.active.Store(true)
			for i, m := range c.messages {
				if i == len(c.messages)-1 {
					boot += c.later
				}
				s.merge(boot, boot-100*time.Millisecond, c.known, m)
			}
			total, live := s.counted(boot, headAge, "s")
			must.Eq(t, c.arrived, total.Arrived)
			must.Eq(t, c.acked, total.Acked)
			must.Eq(t, c.live, live)
		})
	}
}

// Builds that may run a request, by what is known of the move.
func TestSidesOfAMove(t *testing.T) {
	v1, v2 := "v1", "v2"
	running := func(stage shift.Stage, share float64) shift.Record {
		return shift.Record{Service: "s", To: v2, Phase: shift.Running, Stage: stage, Share: share, Old: []string{v1}, Drop: []string{"v0"}}
	}
	ended := func(p shift.Phase) shift.Record {
		return shift.Record{Service: "s", To: v2, Phase: p, Old: []string{v1}, Drop: []string{"v0"}}
	}
	for _, c := range []struct {
		name   string
		record shift.Record
		side   shift.Side
		age    time.Duration
		begun  *string
		again  bool
		// want are the builds of v0 to v3 that may run it, or may if none of these can.
		want, others []string
	}{
		{"no record", shift.Record{}, shift.Any, 0, nil, false, []string{"v0", "v1", "v2", "v3"}, nil},
		{"old", running(shift.Trial, 0.1), shift.Old, 0, nil, false, []string{"v1", "v3"}, nil},
		{"on trial", running(shift.Trial, 0.1), shift.New, 0, nil, false, []string{"v2"}, []string{"v1", "v3"}},
		{"sent again", running(shift.Trial, 0.1), shift.New, 0, nil, true, []string{"v1", "v3"}, nil},
		{"stream of the old build", running(shift.Trial, 0.1), shift.New, 0, &v1, false, []string{"v1", "v3"}, nil},
		{"stream of the new build", running(shift.Trial, 0.1), shift.Old, 0, &v2, false, []string{"v2"}, nil},
		{"the same, not current", running(shift.Trial, 0.1), shift.Old, shift.Fresh + 1, &v2, false, []string{"v1", "v3"}, nil},
		{"the same, no share", running(shift.Probe, 0), shift.Old, 0, &v2, false, []string{"v1", "v3"}, nil},
		{"full", running(shift.Full, 1), shift.New, 0, nil, true, []string{"v2"}, nil},
		{"full, not current", running(shift.Full, 1), shift.Old, shift.Hold + 1, nil, false, []string{"v1", "v3"}, nil},
		{"alone", running(shift.Alone, 1), shift.New, 0, nil, true, []string{"v2"}, nil},
		{"completed", ended(shift.Completed), shift.New, 0, nil, false, []string{"v2", "v3"}, nil},
		{"completed, stream of the old build", ended(shift.Completed), shift.New, 0, &v1, false, []string{"v2", "v3"}, nil},
		{"rolled back", ended(shift.RolledBack), shift.Old, 0, nil, false, []string{"v1", "v3"}, nil},
		{"rolled back, stream of the new build", ended(shift.RolledBack), shift.Old, 0, &v2, false, []string{"v1", "v3"}, nil},
	} {
		allowed := func(b place.Builds) []string {
			return slices.DeleteFunc([]string{"v0", "v1", "v2", "v3"}, func(build string) bool { return !b.Allows(build) })
		}
		builds, others := sides(c.record, c.side, c.age, c.begun, c.again)
		must.Eq(t, c.want, allowed(builds), must.Sprint(c.name))
		must.Eq(t, len(c.others) > 0, others != nil, must.Sprint(c.name))
		if others != nil {
			must.Eq(t, c.others, allowed(*others), must.Sprint(c.name))
		}
	}
}
