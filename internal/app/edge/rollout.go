package edge

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/peer/pulse"
	"github.com/skylarkquay/skylarkquay/internal/roll/lease"
	"github.com/skylarkquay/skylarkquay/internal/roll/plan"
	"github.com/skylarkquay/skylarkquay/platform"
)

const (
	// rolloutTick is the pause between looks at the rollout.
	rolloutTick = 50 * time.Millisecond
	// loadMost is how long one engine may take to finish its requests and load.
	loadMost = 9 * time.Second
	// drainTold is how long an engine that drains is avoided when its load does not begin.
	drainTold = 2 * time.Second
	// askPause is the pause between questions to a loading engine; its reports are some 100 ms old.
	askPause = 150 * time.Millisecond
	// reorder is the pause before an order without an answer is given again; its effect shows in reports by then.
	reorder = 600 * time.Millisecond
	// orderRetry is the pause before an engine that did not take an order is tried again.
	orderRetry = 700 * time.Millisecond
	// actTime is how long an instance that gave orders lately is given to begin.
	actTime = 900 * time.Millisecond
	// challengeMost spreads the first tries to take the lease, so that few instances ask the store.
	challengeMost = 400 * time.Millisecond
	// dutyFresh is how long the word of the lease's holder counts.
	dutyFresh = 800 * time.Millisecond
	// toldLoaded is how long a loaded engine is told of; the list has it by then.
	toldLoaded = 4 * time.Second
	// leaseTable and leaseKey name the lease's row.
	leaseTable = "duty"
	leaseKey   = "rollout"
)

// told is a loaded version with the time until which others are told.
type told struct {
	pulse.Loaded
	until time.Time
}

// rollout brings engines to the announced weights while this instance holds the lease.
type rollout struct {
	edge *Edge
	kick chan struct{}
	mu   sync.Mutex
	held lease.Held
	// clockAt is the store's clock at boot time zero of this instance, as of the last answer.
	clockAt  time.Duration
	progress map[string]plan.Progress
	loaded   []told
	// duty is when another instance last said that it holds the lease, and which.
	duty     time.Time
	dutyName string
	// challenge is the earliest time to look at the lease.
	challenge time.Time
	loads     sync.WaitGroup
}

func newRollout(e *Edge) *rollout {
	return &rollout{edge: e, kick: make(chan struct{}, 1), progress: make(map[string]plan.Progress)}
}

func (r *rollout) wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// tell adds to a message what others should know of the rollout.
func (r *rollout) tell(now time.Time, m *pulse.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held.Holds(clock.SinceBoot()) {
		m.Duty = r.edge.settings.Peer
	}
	for id, p := range r.progress {
		if !p.Started.IsZero() || now.Sub(p.Draining) < drainTold {
			m.Switching = append(m.Switching, id)
		}
	}
	kept := r.loaded[:0]
	for _, t := range r.loaded {
		if now.Before(t.until) {
			kept = append(kept, t)
			m.Loaded = append(m.Loaded, t.Loaded)
		}
	}
	r.loaded = kept
}

// hear takes what another instance told of its rollout.
func (r *rollout) hear(now time.Time, m *pulse.Message) {
	for _, id := range m.Switching {
		r.edge.fleet.SetSwitching(id, now.Add(switchingHeard))
	}
	for _, l := range m.Loaded {
		r.edge.fleet.ConfirmWeights(l.Upstream, l.Model, l.Version)
	}
	if m.Duty == "" || m.Duty == r.edge.settings.Peer {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.duty, r.dutyName = now, m.Duty
}

// switchingHeard is how long an engine is avoided after the word that it loads; the word comes several times a second.
const switchingHeard = 700 * time.Millisecond

// run looks for engines on superseded weights.
func (r *rollout) run(ctx context.Context) {
	defer r.loads.Wait()
	ticker := time.NewTicker(rolloutTick)
	defer ticker.Stop()
	pendingSince := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.kick:
		}
		now := time.Now()
		pending := r.pending(now)
		if pending == 0 || r.edge.handler.Draining.Load() && !r.holds() {
			pendingSince = time.Time{}
			continue
		}
		if pendingSince.IsZero() {
			pendingSince = now
			r.schedule(now)
		}
		if !r.lead(ctx, now) {
			continue
		}
		for _, w := range r.edge.feed.Announced() {
			r.advance(ctx, now, plan.Target{Model: w.Model, Version: w.Version, Age: clock.SinceBoot() - w.Learnt})
		}
	}
}

// holds tells whether this instance holds the lease. An instance that is about to stop goes on while it does.
func (r *rollout) holds() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held.Holds(clock.SinceBoot())
}

func (r *rollout) pending(now time.Time) int {
	doc := r.edge.feed.Document()
	if doc == nil {
		return 0
	}
	n := 0
	for _, w := range r.edge.feed.Announced() {
		n += plan.Pending(w.Model, w.Version, r.edge.fleet.Views(now, doc.Serves(w.Model)))
	}
	return n
}

// schedule sets when this instance looks at the lease: at once when it gave the last orders, else after the last
// holder had time to begin.
func (r *rollout) schedule(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.held.Token > 0 && r.dutyName == "":
		r.challenge = now
	case r.dutyName != "":
		r.challenge = now.Add(actTime + rand.N(challengeMost))
	default:
		r.challenge = now.Add(rand.N(challengeMost))
	}
}

// lead tells whether this instance may give orders now, and takes or renews the lease when that is due.
func (r *rollout) lead(ctx context.Context, now time.Time) bool {
	boot := clock.SinceBoot()
	r.mu.Lock()
	held, challenge := r.held, r.challenge
	heard := now.Sub(r.duty) < dutyFresh
	r.mu.Unlock()
	if held.Holds(boot) && boot-held.Sent < lease.Renew {
		return true
	}
	if !held.Holds(boot) && (heard || now.Before(challenge)) {
		return false
	}
	wait, err := r.acquire(ctx, held)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		r.challenge = now.Add(retryMost)
		r.edge.log.Info("lease: not renewed", "held", r.held.Holds(clock.SinceBoot()), "error", err.Error())
	case wait > 0:
		r.challenge = now.Add(wait)
		r.edge.log.Info("lease: another instance holds it", "holder", r.held.Row.Holder, "token", r.held.Row.Token,
			"free_ms", wait.Milliseconds())
	}
	return r.held.Holds(clock.SinceBoot())
}

// acquire takes or renews the lease. It returns how long to wait when another instance may still give orders.
func (r *rollout) acquire(ctx context.Context, held lease.Held) (time.Duration, error) {
	call, cancel := context.WithTimeout(ctx, lease.Valid-lease.Renew)
	defer cancel()
	me := r.edge.settings.Peer
	row, version, clockNow := held.Row, held.Version, r.storeClock()
	mine := held.Token > 0 && held.Row.Holder == me && clockNow > 0
	if !mine {
		var err error
		if row, version, clockNow, err = r.read(call); err != nil {
			return 0, err
		}
		verdict, wait := lease.Judge(clockNow, row, version > 0, me, millis(r.edge.settings.Turn))
		if verdict == lease.Wait {
			r.mu.Lock()
			r.held = lease.Held{Row: row}
			r.mu.Unlock()
			return wait, nil
		}
	}
	next := lease.Next(clockNow, row, me)
	value, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	sent := clock.SinceBoot()
	rows, err := r.edge.store.Put(call, platform.Row{Table: leaseTable, Key: leaseKey, Value: value, Version: version})
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, platform.ErrChanged) {
		// Another instance has the row, or an earlier write of this one took effect without an answer.
		r.held = lease.Held{}
		return rand.N(challengeMost), nil
	}
	if err != nil {
		// The write may take effect later, so that the row must be read before the next one.
		r.held.Row.Holder = ""
		return 0, err
	}
	if !mine {
		r.edge.log.Info("lease: taken", "token", next.Token, "from", row.Holder, "row", rows.Version)
	}
	r.held = lease.Held{Token: next.Token, Sent: sent, Version: rows.Version, Row: next}
	r.dutyName = ""
	r.clockAt = rows.Clock - clock.SinceBoot()
	return 0, nil
}

func (r *rollout) read(ctx context.Context) (lease.Row, int64, time.Duration, error) {
	rows, err := r.edge.store.Get(ctx, leaseTable, "", storeTimeout)
	if err != nil {
		return lease.Row{}, 0, 0, err
	}
	r.mu.Lock()
	r.clockAt = rows.Clock - clock.SinceBoot()
	r.mu.Unlock()
	for _, row := range rows.Rows {
		if row.Key != leaseKey {
			continue
		}
		var l lease.Row
		if err := json.Unmarshal(row.Value, &l); err != nil {
			return lease.Row{}, 0, 0, err
		}
		return l, row.Version, rows.Clock, nil
	}
	return lease.Row{}, 0, rows.Clock, nil
}

// storeClock estimates the store's clock, or returns zero when it was never heard.
func (r *rollout) storeClock() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clockAt == 0 {
		return 0
	}
	return r.clockAt + clock.SinceBoot()
}

// advance begins to load the version on the engines whose turn it is.
func (r *rollout) advance(ctx context.Context, now time.Time, t plan.Target) {
	doc := r.edge.feed.Document()
	views := r.edge.fleet.Views(now, doc.Serves(t.Model))
	r.mu.Lock()
	next := plan.Next(now, t, views, r.progress)
	for _, e := range next.Drain {
		r.progress[e.ID] = plan.Progress{Draining: now, Version: t.Version}
		r.edge.fleet.SetSwitching(e.ID, now.Add(drainTold))
	}
	for _, m := range next.Load {
		r.progress[m.Engine.ID] = plan.Progress{Started: now, Version: t.Version}
		r.edge.fleet.SetSwitching(m.Engine.ID, now.Add(loadMost))
	}
	r.mu.Unlock()
	if len(next.Drain)+len(next.Load) == 0 {
		return
	}
	r.edge.log.Info("weights: planned", "model", t.Model, "version", t.Version, "age_ms", t.Age.Milliseconds(), "drain", len(next.Drain),
		"load", len(next.Load))
	r.edge.exchange.Now()
	for _, m := range next.Load {
		r.loads.Go(func() { r.load(ctx, m, t.Model, t.Version) })
	}
}
