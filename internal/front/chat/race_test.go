package chat

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/once/crash"
	"github.com/skylarkquay/skylarkquay/internal/route/placer"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

const (
	firstTokenTimeout = 10 * time.Second
	tokenIdleTimeout  = 2 * time.Second
)

func TestRaceMayStart(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	crashing := crash.NewTracker()
	for crashing.Check(now, "f") == nil {
		crashing.Crashed(now, "f")
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	isFault := func(err error) bool { return fault.Is(err, fault.From(crashing.Check(now, "f")).Kind) }
	is := func(want error) func(error) bool { return func(err error) bool { return errors.Is(err, want) } }
	for _, c := range []struct {
		name     string
		ctx      context.Context
		attempts int
		crashes  *crash.Tracker
		want     func(error) bool
	}{
		{"first attempt is silent", t.Context(), 1, crash.NewTracker(), is(nil)},
		{"last attempt", t.Context(), maxAttempts - 1, crash.NewTracker(), is(nil)},
		{"no attempt left", t.Context(), maxAttempts, crash.NewTracker(), is(errNoAttempt)},
		{"caller has gone", canceled, 1, crash.NewTracker(), is(context.Canceled)},
		{"prompt crashes engines", t.Context(), 1, crashing, isFault},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &race{h: &Handler{Crashes: c.crashes}, j: &job{attempts: c.attempts, fingerprint: "f"}}
			must.True(t, c.want(r.mayStart(c.ctx, now)))
		})
	}
}

// A silent engine stays avoided after it was tried again over a new connection.
func TestSilentEngineIsFallbackOnce(t *testing.T) {
	j := &job{avoid: make(map[string]bool)}
	a := &attempt{}
	a.choice.Engine = "e1"
	a.reused.Store(true)
	j.avoidSilent(a)
	must.Eq(t, []string{"e1"}, j.fallback)
	j.fallback, j.avoid = nil, make(map[string]bool)
	j.avoidSilent(a)
	must.SliceEmpty(t, j.fallback)
	must.True(t, j.avoid["e1"])
}

// step is what a scripted engine does after a time: it sends the event with this number, or it fails. An engine whose steps are
// done sends nothing more.
type step struct {
	after time.Duration
	event int64
	fail  bool
}

// done is the number of the [DONE] event in a script.
const done = -1

// script is the behavior of the engines in the order in which they are tried.
type script struct {
	engines [][]step
	begin   time.Time

	mu      sync.Mutex
	started int
	running int
	// canceled is the time since the beginning at which each engine was canceled.
	canceled map[int]time.Duration
	// mostRunning is the largest number of engines that ran the request for any time at once.
	mostRunning int
}

func newScript(engines ...[]step) *script {
	return &script{engines: engines, begin: time.Now(), canceled: make(map[int]time.Duration)}
}

// start starts an attempt on the next engine.
func (s *script) start(ctx context.Context) (*attempt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.started
	if i == len(s.engines) {
		return nil, fault.New(fault.NoUpstream, "no engine")
	}
	ctx, cancel := context.WithCancel(ctx)
	a := newAttempt(placer.Choice{Engine: fmt.Sprint("e", i)}, status.View{}, cancel, maxIdlePeriods*firstTokenTimeout)
	a.idleTimeout = firstTokenTimeout
	a.events = make(chan relay.Event)
	a.sent = true
	s.started++
	s.running++
	time.AfterFunc(time.Nanosecond, s.sample)
	go func() {
		defer close(a.events)
		a.err = s.play(ctx, a, s.engines[i])
		s.end(i, a.err)
	}()
	return a, nil
}

// sample updates mostRunning.
func (s *script) sample() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mostRunning = max(s.mostRunning, s.running)
}

// end records the end of an attempt.
func (s *script) end(i int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if errors.Is(err, context.Canceled) {
		s.canceled[i] = time.Since(s.begin)
	}
}

// play does the steps of one engine.
func (s *script) play(ctx context.Context, a *attempt, steps []step) error {
	for _, p := range steps {
		select {
		case <-time.After(p.after):
		case <-ctx.Done():
			return ctx.Err()
		}
		if p.fail {
			return errMismatch
		}
		e := relay.Event{ID: p.event, Data: fmt.Append(nil, p.event)}
		if p.event == done {
			e = relay.Event{Data: []byte("[DONE]")}
		}
		if err := a.deliver(ctx, e); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// self is the membership of a router without peers.
type self struct {
	placer.Members
}

// Self implements placer.Members.
func (self) Self() string { return "" }

func newHandler() *Handler {
	return &Handler{
		Log: logr.Discard(), Metrics: tally.NoopScope, Pool: relay.NewPool(relay.DialTCP), Crashes: crash.NewTracker(),
		Placer:            placer.NewPlacer(status.NewFleet(time.Millisecond), self{}, nil),
		FirstTokenTimeout: firstTokenTimeout, TokenIdleTimeout: tokenIdleTimeout,
	}
}

// relay relays the answer of the scripted engines and returns the events that the caller got, joined by blanks.
func (s *script) relay(t *testing.T) (string, *job, error) {
	t.Helper()
	h := newHandler()
	j := &job{avoid: make(map[string]bool), req: Request{Stream: true}}
	w := httptest.NewRecorder()
	out := &eventWriter{w: w, control: http.NewResponseController(w), timeout: time.Second}
	r := &race{h: h, j: j, out: out, start: s.start, lastErr: context.Canceled}
	err := r.run(t.Context())
	must.Eq(t, 0, s.running)
	body := strings.ReplaceAll(w.Body.String(), "data: ", "")
	return strings.Join(strings.Fields(body), " "), j, err
}

// inBubble runs a test in virtual time.
func inBubble(t *testing.T, name string, test func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

const second = time.Second

// from returns the steps of an engine that sends the events first to last at once after a time, and then [DONE].
func from(after time.Duration, first, last int64) []step {
	steps := []step{{after: after, event: first}}
	for n := first + 1; n <= last; n++ {
		steps = append(steps, step{event: n})
	}
	return append(steps, step{event: done})
}

// then joins scripts of one engine.
func then(parts ...[]step) []step {
	var steps []step
	for _, p := range parts {
		steps = append(steps, p...)
	}
	return steps
}

// twoEvents are the steps of an engine that sends two events.
var twoEvents = []step{{event: 1}, {event: 2}}

func TestRaceIsWonByTheNextEvent(t *testing.T) {
	fail := []step{{after: second, fail: true}}
	for _, c := range []struct {
		name    string
		engines [][]step
		// end is when the answer is complete, attempts the number of those that count.
		end      time.Duration
		attempts int
		canceled map[int]time.Duration
	}{
		{
			"frozen engine is replaced as soon as another one sends an event",
			[][]step{twoEvents, from(600*time.Millisecond, 3, 5)},
			2600 * time.Millisecond, 2, map[int]time.Duration{0: 2600 * time.Millisecond},
		},
		{
			"the other engine may need longer than three idle timeouts",
			[][]step{twoEvents, from(9*second, 3, 5)},
			11 * second, 2, map[int]time.Duration{0: 11 * second},
		},
		{
			"paused engine goes on first",
			[][]step{then(twoEvents, from(3*second, 3, 5)), from(5*second, 3, 5)},
			3 * second, 1, map[int]time.Duration{1: 3 * second},
		},
		{
			"paused engine goes on after more than three idle timeouts while another one is at work",
			[][]step{then(twoEvents, from(9*second, 3, 5)), nil},
			9 * second, 1, map[int]time.Duration{1: 9 * second},
		},
		{
			"engine without a first event is replaced",
			[][]step{nil, from(600*time.Millisecond, 1, 5)},
			10600 * time.Millisecond, 2, map[int]time.Duration{0: 10600 * time.Millisecond},
		},
		{
			"further engines are tried at once when others fail",
			[][]step{twoEvents, fail, fail, from(second, 3, 5)},
			5 * second, 4, map[int]time.Duration{0: 5 * second},
		},
		{
			"the other engine skips events",
			[][]step{twoEvents, from(second, 4, 5), from(second, 3, 5)},
			4 * second, 3, map[int]time.Duration{0: 4 * second},
		},
		{
			"the other engine repeats events and loses",
			[][]step{then(twoEvents, from(4*second, 3, 5)), {{after: second, event: 1}, {after: 0, event: 2}, {after: 9 * second, event: 3}}},
			4 * second, 1, map[int]time.Duration{1: 4 * second},
		},
		{
			"silent other engine is replaced by a third one",
			[][]step{twoEvents, nil, from(second, 3, 5)},
			13 * second, 3, map[int]time.Duration{0: 13 * second, 1: 12 * second},
		},
		{
			"slow other engine is kept when there is no third one",
			[][]step{nil, from(15*second, 1, 5)},
			25 * second, 2, map[int]time.Duration{0: 25 * second},
		},
		{
			"other engine goes on when the silent one fails",
			[][]step{then(twoEvents, []step{{after: 3 * second, fail: true}}), from(4*second, 3, 5)},
			6 * second, 2, map[int]time.Duration{},
		},
		{
			"engine that has taken over is replaced too",
			[][]step{twoEvents, {{after: second, event: 3}}, from(second, 4, 5)},
			6 * second, 3, map[int]time.Duration{0: 3 * second, 1: 6 * second},
		},
		{
			"silent engine is kept for two more idle timeouts after others have failed",
			[][]step{then(twoEvents, from(6900*time.Millisecond, 3, 5)), fail},
			6900 * time.Millisecond, 2, map[int]time.Duration{},
		},
	} {
		inBubble(t, c.name, func(t *testing.T) {
			s := newScript(c.engines...)
			got, j, err := s.relay(t)
			must.NoError(t, err)
			must.Eq(t, "1 2 3 4 5 [DONE]", got)
			must.Eq(t, c.end, time.Since(s.begin))
			must.Eq(t, c.attempts, j.attempts)
			must.LessEq(t, 2, s.mostRunning)
			for i, at := range c.canceled {
				must.Eq(t, at, s.canceled[i])
			}
			must.True(t, j.mayHaveRun)
		})
	}
}

// A silent engine is given up after three idle timeouts when no other one takes over.
func TestSilentEnginesAreGivenUp(t *testing.T) {
	for _, c := range []struct {
		name    string
		engines [][]step
		end     time.Duration
	}{
		{"no other engine, within a stream", [][]step{twoEvents}, 6 * second},
		{"no other engine, before the first event", [][]step{nil}, 30 * second},
		{"the other engine fails at once", [][]step{twoEvents, {{fail: true}}}, 6 * second},
		{"the other engine is frozen", [][]step{nil, nil}, 40 * second},
		{"four engines are frozen", [][]step{nil, nil, nil, nil, from(0, 1, 5)}, 60 * second},
	} {
		inBubble(t, c.name, func(t *testing.T) {
			s := newScript(c.engines...)
			_, j, err := s.relay(t)
			must.Error(t, err)
			must.Eq(t, c.end, time.Since(s.begin))
			must.LessEq(t, maxAttempts, j.attempts)
			must.LessEq(t, 2, s.mostRunning)
		})
	}
}

// An attempt that is dropped because the first engine went on does not count, however often that happens.
func TestDroppedAttemptsDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pauses = 2 * maxAttempts
		first := []step{{event: 1}}
		engines := [][]step{nil}
		for n := range int64(pauses) {
			first = append(first, step{after: 3 * second, event: n + 2})
			engines = append(engines, nil)
		}
		engines[0] = first
		engines = append(engines, from(second, pauses+2, pauses+3))
		s := newScript(engines...)
		got, j, err := s.relay(t)
		must.NoError(t, err)
		must.Eq(t, "1 2 3 4 5 6 7 8 9 10 11 [DONE]", got)
		must.Eq(t, 2, j.attempts)
		must.Eq(t, pauses*3*second+3*second, time.Since(s.begin))
		for n := 1; n <= pauses; n++ {
			must.False(t, j.avoid[fmt.Sprint("e", n)])
		}
	})
}

// A buffered request is answered by the engine that completes it first.
func TestBufferedRaceIsWonByTheCompleteAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  time.Duration
		second time.Duration
		want   string
	}{
		{"silent engine completes first", 12 * second, 3 * second, "1"},
		{"other engine completes first", 14 * second, 3 * second, "2"},
	} {
		inBubble(t, c.name, func(t *testing.T) {
			s := newScript([]step{{after: c.first, event: 1}}, []step{{after: c.second, event: 2}})
			h := newHandler()
			out := &responseBuffer{}
			r := &race{h: h, j: &job{avoid: make(map[string]bool)}, out: out, start: s.start, lastErr: context.Canceled}
			must.NoError(t, r.run(t.Context()))
			must.Eq(t, c.want, string(out.response.Data))
			must.Eq(t, 0, s.running)
			must.Eq(t, min(c.first, firstTokenTimeout+c.second), time.Since(s.begin))
		})
	}
}

// crashCount counts recorded crashes.
type crashCount struct {
	CrashRecorder
	crashes int
}

// RecordCrash implements CrashRecorder.
func (c *crashCount) RecordCrash(string) { c.crashes++ }

// A silent engine that is given up is not counted as crashed, even if it has restarted. One that fails is.
func TestSilenceIsNoCrash(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status.Report{Incarnation: "new"})
	}))
	defer server.Close()
	count := &crashCount{}
	h := newHandler()
	h.CrashRecorder = count
	r := &race{h: h, j: &job{avoid: make(map[string]bool)}}
	newFailed := func() *attempt {
		v := status.View{Address: server.Listener.Addr().String(), Incarnation: "old"}
		return newAttempt(placer.Choice{Engine: "e1"}, v, func() {}, time.Hour)
	}
	r.giveUp(t.Context(), newFailed())
	must.Eq(t, 0, count.crashes)
	r.current = newFailed()
	must.NoError(t, r.failed(t.Context(), r.current, relay.ErrTruncated))
	must.Eq(t, 1, count.crashes)
}
