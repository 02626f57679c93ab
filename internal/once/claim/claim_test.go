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
	"github.com/skylarkquay/skylarkquay/internal/fake/store"
)

// init fixes seed and number of checks, so that every run gives the same result; flags override them.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "1000")
}

var (
	start    = time.Unix(1_800_000_000, 0)
	response = &Response{Status: http.StatusCreated, Body: []byte("42")}
)

const (
	id   = "claim"
	body = "body"
)

func unreachable(context.Context, string, string) (State, *Response, error) {
	return "", nil, errors.New("unreachable")
}

func noSleep(context.Context, time.Duration) error { return nil }

func TestRetryGetsStoredResponse(t *testing.T) {
	memory := store.NewMemory()
	first := NewManager(memory, "r1", unreachable)
	c, stored, err := first.Begin(t.Context(), start, id, "a1", body)
	must.NoError(t, err)
	must.Nil(t, stored)
	must.True(t, first.MarkSent(c))
	must.NoError(t, first.Finish(t.Context(), c, response))
	second := NewManager(memory, "r2", unreachable)
	_, stored, err = second.Begin(t.Context(), start, id, "a2", body)
	must.NoError(t, err)
	must.Eq(t, response, stored)
	_, _, err = second.Begin(t.Context(), start, id, "a3", "another body")
	must.True(t, fault.Is(err, fault.ClaimMismatch))
}

func TestClaimOfUnreachableRouterHasUnknownOutcome(t *testing.T) {
	memory := store.NewMemory()
	c, _, err := NewManager(memory, "r1", unreachable).Begin(t.Context(), start, id, "a1", body)
	must.NoError(t, err)
	must.NotNil(t, c)
	_, _, err = NewManager(memory, "r2", unreachable).Begin(t.Context(), start, id, "a2", body)
	must.True(t, fault.Is(err, fault.OutcomeUnknown))
}

func TestRunningClaimIsBusyUntilItsResponse(t *testing.T) {
	memory := store.NewMemory()
	first := NewManager(memory, "r1", unreachable)
	second := NewManager(memory, "r2", func(_ context.Context, _, attempt string) (State, *Response, error) {
		state, resolved := first.Resolve(attempt)
		return state, resolved, nil
	})
	c, _, err := first.Begin(t.Context(), start, id, "a1", body)
	must.NoError(t, err)
	must.True(t, first.MarkSent(c))
	_, _, err = second.Begin(t.Context(), start, id, "a2", body)
	must.True(t, fault.Is(err, fault.ClaimBusy))
	first.sleep = noSleep
	memory.SetDown(true)
	must.Error(t, first.Finish(t.Context(), c, response))
	memory.SetDown(false)
	// The response is not stored yet; the router that holds it in memory returns it.
	_, stored, err := second.Begin(t.Context(), start, id, "a3", body)
	must.NoError(t, err)
	must.Eq(t, response, stored)
}

func TestUnsentAttemptIsVoided(t *testing.T) {
	memory := store.NewMemory()
	first := NewManager(memory, "r1", unreachable)
	second := NewManager(memory, "r2", func(_ context.Context, _, attempt string) (State, *Response, error) {
		state, resolved := first.Resolve(attempt)
		return state, resolved, nil
	})
	c1, _, err := first.Begin(t.Context(), start, id, "a1", body)
	must.NoError(t, err)
	c2, _, err := second.Begin(t.Context(), start, id, "a2", body)
	must.NoError(t, err)
	must.False(t, first.MarkSent(c1))
	must.True(t, second.MarkSent(c2))
}

func TestStoreOutageReportsRequestAsNotRun(t *testing.T) {
	memory := store.NewMemory()
	memory.SetDown(true)
	_, _, err := NewManager(memory, "r1", unreachable).Begin(t.Context(), start, id, "a1", body)
	must.True(t, fault.Is(err, fault.ClaimStoreDown))
	must.Eq(t, fault.RanNo, fault.ResponseFor(fault.ClaimStoreDown).Ran)
}

// router is one router of a simulation.
type router struct {
	manager  *Manager
	alive    bool
	isolated bool
	pending  []*Claim
	sent     []*Claim
}

// simulation is one random schedule that retries one request through several routers.
type simulation struct {
	memory   *store.Memory
	routers  []*router
	attempts int
	// runs is the number of times the upstream ran the request.
	runs int
	// wrongReplay reports whether a response was replayed although the request had not run.
	wrongReplay bool
}

func newSimulation() *simulation {
	s := &simulation{memory: store.NewMemory()}
	for i := range 3 {
		s.routers = append(s.routers, &router{})
		s.restart(i)
	}
	return s
}

func (s *simulation) restart(i int) {
	*s.routers[i] = router{alive: true}
	s.routers[i].manager = NewManager(s.memory, fmt.Sprint(i), func(_ context.Context, name, attempt string) (State, *Response, error) {
		var to int
		if _, err := fmt.Sscan(name, &to); err != nil {
			return "", nil, err
		}
		r := s.routers[to]
		if !r.alive || r.isolated || s.routers[i].isolated {
			return "", nil, errors.New("unreachable")
		}
		state, resolved := r.manager.Resolve(attempt)
		return state, resolved, nil
	})
	s.routers[i].manager.sleep = noSleep
}

// TestAtMostOnce runs random schedules of retries, router crashes and restarts, network partitions, store outages and lost
// store replies.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation()
		pick := func(rt *rapid.T) *router { return s.routers[rapid.IntRange(0, len(s.routers)-1).Draw(rt, "router")] }
		rt.Repeat(map[string]func(*rapid.T){
			"begin":       func(rt *rapid.T) { s.begin(pick(rt)) },
			"begin again": func(rt *rapid.T) { s.begin(pick(rt)) },
			"send":        func(rt *rapid.T) { s.send(pick(rt)) },
			"finish":      func(rt *rapid.T) { pick(rt).finish() },
			"cancel":      func(rt *rapid.T) { pick(rt).cancel() },
			"kill":        func(rt *rapid.T) { pick(rt).alive = false },
			"restart":     func(rt *rapid.T) { s.restart(rapid.IntRange(0, len(s.routers)-1).Draw(rt, "router")) },
			"cut":         func(rt *rapid.T) { r := pick(rt); r.isolated = !r.isolated },
			"outage":      func(rt *rapid.T) { s.memory.SetDown(rapid.Bool().Draw(rt, "down")) },
			"lose":        func(rt *rapid.T) { s.memory.SetLoseEvery(rapid.IntRange(0, 2).Draw(rt, "every")) },
			"fail":        func(rt *rapid.T) { s.memory.SetFailEvery(rapid.IntRange(0, 2).Draw(rt, "every")) },
			"": func(rt *rapid.T) {
				if s.runs > 1 {
					rt.Fatalf("the request ran %d times", s.runs)
				}
				if s.wrongReplay {
					rt.Fatal("a response was replayed although the request had not run")
				}
			},
		})
	})
}

func (s *simulation) send(r *router) {
	if !r.alive || len(r.pending) == 0 {
		return
	}
	c := r.pending[0]
	r.pending = r.pending[1:]
	if r.manager.MarkSent(c) {
		s.runs++
		r.sent = append(r.sent, c)
	}
}

func (r *router) finish() {
	if r.alive && len(r.sent) > 0 {
		_ = r.manager.Finish(context.Background(), r.sent[0], response)
		r.sent = r.sent[1:]
	}
}

func (r *router) cancel() {
	if r.alive && len(r.pending) > 0 {
		_ = r.manager.Cancel(context.Background(), r.pending[0])
		r.pending = r.pending[1:]
	}
}

func (s *simulation) begin(r *router) {
	if !r.alive {
		return
	}
	s.attempts++
	c, stored, err := r.manager.Begin(context.Background(), start, id, fmt.Sprint("a", s.attempts), body)
	s.wrongReplay = s.wrongReplay || (stored != nil && s.runs == 0)
	if err == nil && c != nil {
		r.pending = append(r.pending, c)
	}
}
