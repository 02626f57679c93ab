package serve

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

// startCheckInterval is the interval at which an attempt that has not begun is checked, since a version may be announced meanwhile.
const startCheckInterval = 250 * time.Millisecond

// errTakenBack is returned when an attempt is ended because it had not begun before its weights could no longer start requests.
var errTakenBack = errors.New("the attempt did not begin before its weights were superseded for too long")

// startState is the state of an attempt.
type startState string

const (
	waitingToStart startState = "waiting"
	started        startState = "started"
	takenBack      startState = "taken back"
)

// startWatch ends an attempt that has not begun when its weights may no longer start requests. It is safe for concurrent use.
type startWatch struct {
	// left returns how much longer the attempt's weights may start requests; false if they are not superseded.
	left   func() (time.Duration, bool)
	cancel context.CancelFunc
	mu     sync.Mutex
	state  startState
	timer  *time.Timer
}

// watchStart returns the context of an attempt, and what watches its start.
func (x *exchange) watchStart(ctx context.Context, choice place.Choice) (context.Context, *startWatch) {
	ctx, cancel := context.WithCancel(ctx)
	w := &startWatch{cancel: cancel, state: waitingToStart, left: func() (time.Duration, bool) { return x.startTime(choice) }}
	if choice.Version > 0 {
		w.check()
	}
	return ctx, w
}

// startTime returns how much longer the weights of a choice may start requests, or false if they are not superseded.
func (x *exchange) startTime(choice place.Choice) (time.Duration, bool) {
	age, superseded := x.supersededFor(choice)
	return x.Settings.SupersededLimit - age, superseded
}

// startTimes returns a function that returns how much longer a version may start requests, or false if it is not superseded.
func (x *exchange) startTimes(boot time.Duration) func(version int64) (time.Duration, bool) {
	type entry struct {
		left       time.Duration
		superseded bool
	}
	known := make(map[int64]entry, 2)
	return func(version int64) (time.Duration, bool) {
		e, ok := known[version]
		if !ok {
			since, superseded := x.Feed.SupersededSince(x.info.Model, version)
			e = entry{x.Settings.SupersededLimit - (boot - since), superseded}
			known[version] = e
		}
		return e.left, e.superseded
	}
}

// check ends the attempt if it is time to, and otherwise schedules the next check.
func (w *startWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != waitingToStart {
		return
	}
	left, superseded := w.left()
	if superseded && left <= 0 {
		w.state = takenBack
		w.cancel()
		return
	}
	wait := startCheckInterval
	if superseded {
		wait = min(wait, left)
	}
	w.timer = time.AfterFunc(wait, w.check)
}

// begin records that the attempt has begun. It returns false if the attempt has been taken back.
func (w *startWatch) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == waitingToStart {
		w.state = started
		w.stopTimer()
	}
	return w.state == started
}

// isTakenBack reports whether the attempt has been taken back.
func (w *startWatch) isTakenBack() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == takenBack
}

// release ends the attempt's context.
func (w *startWatch) release() {
	w.begin()
	w.cancel()
}

func (w *startWatch) stopTimer() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// takeBack records a call that was taken back, and returns its result r.
func (x *exchange) takeBack(now time.Time, c *call, r result) (result, error) {
	x.learnFrom(now, c, true)
	fields := []any{
		"id", x.info.ID, "upstream", c.choice.ID, "result", string(r), "newest", x.Feed.Weights(x.info.Model).Version,
		"limit_ms", x.Settings.SupersededLimit.Milliseconds(), "waited_ms", now.Sub(c.sentAt).Milliseconds(),
		"expected_ms", (c.choice.Wait + c.choice.Read).Milliseconds(), "running", c.choice.Running, "sends", x.counts.Sends, "ran", x.counts.Ran,
		"left_ms", x.remaining().Milliseconds(),
	}
	x.Log.Info("route: attempt taken back", append(fields, x.weightsFields(c.choice)...)...)
	x.Metrics.Tagged(map[string]string{"result": string(r)}).Counter("taken_back").Inc(1)
	return r, errTakenBack
}
