package claim

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/stand/store"
)

// init fixes seed and size, so that every run gives the same verdict; flags override them.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "1000")
}

var (
	start  = time.Unix(1_800_000_000, 0)
	answer = &Answer{Status: http.StatusCreated, Body: []byte("42")}
)

const (
	id   = "claim"
	body = "body"
)

func unreachable(context.Context, string, string) (State, *Answer, error) {
	return "", nil, errors.New("unreachable")
}

func noSleep(context.Context, time.Duration) error { return nil }

func TestResendGetsFirstAnswer(t *testing.T) {
	memory := store.NewMemory()
	first := NewDesk(memory, "r1", unreachable)
	c, kept, err := first.Begin(t.Context(), start, id, "a1", body)
	must.NoError(t, err)
	must.Nil(t, kept)
	must.True(t, first.Send(c))
	must.NoError(t, first.Finish(t.Context(), c, answer))
	second := NewDesk(memory, "r2", unreachable)
	_, kept, err = second.Begin(t.Context(), start, id, "a2", body)
	must.NoError(t, err)
	must.Eq(t, answer, kept)
	_, _, err = second.Begin(t.Context(), start, id, "a3", "another body")
	must.True(t, fault.Is(err, fault.ClaimMismatch))
}

func TestClaimOfDeadRouterIsUnknown(t *testing.T) {
	memory := store.NewMemory()
	c, _, err := NewDesk(memory, "r1", unreachable).Begin(t.Context(), start, id, "a1", body)
	must.NoError(t, err)
	must.NotNil(t, c)
	_, _, err = NewDesk(memory, "r2", unreachable).Begin(t.Context(), start, id, "a2", body)
	must.True(t, fault.Is(err, fault.OutcomeUnknown))
}

func TestRunningClaimIsBusyThenAnswered(t *testing.T) {
	memory := store.NewMemory()
	first := NewDesk(memory, "r1", unreachable)
	second := NewDesk(memory, "r2", func(_ context.Context, _, attempt string) (State, *Answer, error) {
		state, a := first.Resolve(attempt)
		return state, a, nil
	})
	c, _, err := first.Begin(t.Context(), start, id, "a1", body)
	must.NoError(t, err)
	must.True(t, first.Send(c))
	_, _, err = second.Begin(t.Context(), start, id, "a2", body)
	must.True(t, fault.Is(err, fault.ClaimBusy))
	first.sleep = noSleep
	memory.SetDown(true)
	must.Error(t, first.Finish(t.Context(), c, answer))
	memory.SetDown(false)
	// The answer is not stored yet, but the router that has it gives it out.
	_, kept, err := second.Begin(t.Context(), start, id, "a3", body)
	must.NoError(t, err)
	must.Eq(t, answer, kept)
}

func TestUnsentAttemptIsVoided(t *testing.T) {
	memory := store.NewMemory()
	first := NewDesk(memory, "r1", unreachable)
	second := NewDesk(memory, "r2", func(_ context.Context, _, attempt string) (State, *Answer, error) {
		state, a := first.Resolve(attempt)
		return state, a, nil
	})
	c1, _, err := first.Begin(t.Context(), start, id, "a1", body)
	must.NoError(t, err)
	c2, _, err := second.Begin(t.Context(), start, id, "a2", body)
	must.NoError(t, err)
	must.False(t, first.Send(c1))
	must.True(t, second.Send(c2))
}

func TestOutageIsNotRun(t *testing.T) {
	memory := store.NewMemory()
	memory.SetDown(true)
	_, _, err := NewDesk(memory, "r1", unreachable).Begin(t.Context(), start, id, "a1", body)
	must.True(t, fault.Is(err, fault.ClaimStoreDown))
	must.Eq(t, fault.RanNo, fault.ResponseFor(fault.ClaimStoreDown).Ran)
}

// router is one router of the random schedules.
type router struct {
	desk  *Desk
	alive bool
	cut   bool
	open  []*Claim
	sent  []*Claim
}

// site is the state of one schedule: resends of one request through several routers.
type site struct {
	memory   *store.Memory
	routers  []*router
	attempts int
	// runs counts how often the upstream ran the request.
	runs int
	// wrongReplay tells that an answer was given out though nothing had run.
	wrongReplay bool
}

func newSite() *site {
	s := &site{memory: store.NewMemory()}
	for i := range 3 {
		s.routers = append(s.routers, &router{})
		s.restart(i)
	}
	return s
}

func (s *site) restart(i int) {
	*s.routers[i] = router{alive: true}
	s.routers[i].desk = NewDesk(s.memory, fmt.Sprint(i), func(_ context.Context, name, attempt string) (State, *Answer, error) {
		var to int
		if _, err := fmt.Sscan(name, &to); err != nil {
			return "", nil, err
		}
		r := s.routers[to]
		if !r.alive || r.cut || s.routers[i].cut {
			return "", nil, errors.New("unreachable")
		}
		state, a := r.desk.Resolve(attempt)
		return state, a, nil
	})
	s.routers[i].desk.sleep = noSleep
}

// TestAtMostOnce runs random schedules of resends, kills, restarts, cuts, outages and lost answers.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSite()
		pick := func(rt *rapid.T) *router { return s.routers[rapid.IntRange(0, len(s.routers)-1).Draw(rt, "router")] }
		rt.Repeat(map[string]func(*rapid.T){
			"begin":       func(rt *rapid.T) { s.begin(pick(rt)) },
			"begin again": func(rt *rapid.T) { s.begin(pick(rt)) },
			"send":        func(rt *rapid.T) { s.send(pick(rt)) },
			"finish":      func(rt *rapid.T) { pick(rt).finish() },
			"cancel":      func(rt *rapid.T) { pick(rt).cancel() },
			"kill":        func(rt *rapid.T) { pick(rt).alive = false },
			"restart":     func(rt *rapid.T) { s.restart(rapid.IntRange(0, len(s.routers)-1).Draw(rt, "router")) },
			"cut":         func(rt *rapid.T) { r := pick(rt); r.cut = !r.cut },
			"outage":      func(rt *rapid.T) { s.memory.SetDown(rapid.Bool().Draw(rt, "down")) },
			"lose":        func(rt *rapid.T) { s.memory.SetLoseEvery(rapid.IntRange(0, 2).Draw(rt, "every")) },
			"fail":        func(rt *rapid.T) { s.memory.SetFailEvery(rapid.IntRange(0, 2).Draw(rt, "every")) },
			"": func(rt *rapid.T) {
				if s.runs > 1 {
					rt.Fatalf("the request ran %d times", s.runs)
				}
				if s.wrongReplay {
					rt.Fatal("an answer was replayed that no run gave")
				}
			},
		})
	})
}

func (s *site) send(r *router) {
	if !r.alive || len(r.open) == 0 {
		return
	}
	c := r.open[0]
	r.open = r.open[1:]
	if r.desk.Send(c) {
		s.runs++
		r.sent = append(r.sent, c)
	}
}

func (r *router) finish() {
	if r.alive && len(r.sent) > 0 {
		_ = r.desk.Finish(context.Background(), r.sent[0], answer)
		r.sent = r.sent[1:]
	}
}

func (r *router) cancel() {
	if r.alive && len(r.open) > 0 {
		_ = r.desk.Cancel(context.Background(), r.open[0])
		r.open = r.open[1:]
	}
}

func (s *site) begin(r *router) {
	if !r.alive {
		return
	}
	s.attempts++
	c, kept, err := r.desk.Begin(context.Background(), start, id, fmt.Sprint("a", s.attempts), body)
	s.wrongReplay = s.wrongReplay || (kept != nil && s.runs == 0)
	if err == nil && c != nil {
		r.open = append(r.open, c)
	}
}
