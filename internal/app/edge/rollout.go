package edge

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/peer/gossip"
	"github.com/skylarkquay/skylarkquay/internal/roll/leader"
	"github.com/skylarkquay/skylarkquay/internal/roll/plan"
	"github.com/skylarkquay/skylarkquay/platform"
)

const (
	// rolloutInterval is the interval between checks of a pending rollout, idleInterval that between checks whether an engine has
	// superseded weights; announcements are checked at once.
	rolloutInterval = 50 * time.Millisecond
	idleInterval    = 300 * time.Millisecond
	// loadTimeout bounds the time that one engine takes to complete its requests and load.
	loadTimeout = 9 * time.Second
	// reportPollInterval is the pause between polls of a loading engine; its reports are some 100 ms old.
	reportPollInterval = 150 * time.Millisecond
	// resendInterval is the time until an order is sent again; by then reports show whether the first one took effect.
	resendInterval = 500 * time.Millisecond
	// orderTimeout bounds an order. Engines answer orders at once, and one that comes late has no effect after another.
	orderTimeout = 400 * time.Millisecond
	// orderRetryDelay is the delay before the next attempt on an engine that failed to load.
	orderRetryDelay = 700 * time.Millisecond
	// leaderHeadStart is how long other instances wait for the previous leader to start the rollout.
	leaderHeadStart = 900 * time.Millisecond
	// maxAcquireJitter spreads the first attempts to acquire the lease, so that few instances call the store.
	maxAcquireJitter = 400 * time.Millisecond
	// leaderReportTTL is how long the report of the lease's holder is valid.
	leaderReportTTL = 800 * time.Millisecond
	// loadedReportTTL is how long a loaded engine is reported; by then the list shows its version.
	loadedReportTTL = 4 * time.Second
	// leaseTable and leaseKey identify the lease's row.
	leaseTable = "duty"
	leaseKey   = "rollout"
)

// loadedReport is a loaded version with the time until which it is reported.
type loadedReport struct {
	gossip.Loaded
	until time.Time
}

// rollout makes engines load the announced weights while this instance holds the lease.
type rollout struct {
	edge   *Edge
	wakeup chan struct{}
	mu     sync.Mutex
	lease  leader.Lease
	// lastRenewal is when this instance last sent a renewal that succeeded; zero if none did.
	lastRenewal time.Duration
	// acquisition is the token of the last attempt to acquire the lease. No other process sent orders between ordersKnownSince, which is
	// since boot, and that attempt.
	acquisition      int64
	ordersKnownSince time.Duration
	// progress maps the ID of an engine that drains, loads or waits for a retry to its progress.
	progress map[string]plan.Progress
	// loaded are the completed loads that are still reported.
	loaded []loadedReport
	// stuck is the last number of stuck loads by model.
	stuck map[string]int
	// leaderSeen is when another instance last reported that it holds the lease, leaderAddress is its address.
	leaderSeen    time.Time
	leaderAddress string
	// acquireAt is the earliest time to try to acquire the lease.
	acquireAt time.Time
	// loads counts the running calls of loadEngine.
	loads sync.WaitGroup
}

func newRollout(e *Edge) *rollout {
	return &rollout{edge: e, wakeup: make(chan struct{}, 1), progress: make(map[string]plan.Progress), stuck: make(map[string]int)}
}

func (r *rollout) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// report adds the state of the rollout to a message.
func (r *rollout) report(now time.Time, m *gossip.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease.Valid(clock.SinceBoot()) {
		m.RolloutLeader = r.edge.settings.Peer
	}
	for id, p := range r.progress {
		if !p.LoadingSince.IsZero() || p.Draining(now) {
			m.Switching = append(m.Switching, id)
		}
	}
	current := r.loaded[:0]
	for _, l := range r.loaded {
		if now.Before(l.until) {
			current = append(current, l)
			m.Loaded = append(m.Loaded, l.Loaded)
		}
	}
	r.loaded = current
}

// merge applies another instance's report of its rollout.
func (r *rollout) merge(now time.Time, m *gossip.Message) {
	for _, id := range m.Switching {
		r.edge.fleet.SetSwitching(id, now.Add(switchingTTL))
	}
	for _, l := range m.Loaded {
		r.edge.fleet.ConfirmWeights(l.Upstream, l.Model, l.Version)
	}
	if m.RolloutLeader == "" || m.RolloutLeader == r.edge.settings.Peer {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaderSeen, r.leaderAddress = now, m.RolloutLeader
}

// switchingTTL is how long an engine is avoided after a report that it is switching weights; reports arrive several times
// a second.
const switchingTTL = 700 * time.Millisecond

// run advances the rollout, while engines have superseded weights, until the context ends.
func (r *rollout) run(ctx context.Context) {
	defer r.loads.Wait()
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	pendingSince := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-r.wakeup:
		}
		timer.Reset(idleInterval)
		now := time.Now()
		pending := r.countPending(now)
		if pending == 0 || r.edge.handler.Draining.Load() && !r.holdsLease() {
			pendingSince = time.Time{}
			continue
		}
		if r.edge.dialer.Paths.Detached() {
			r.yieldLease()
			pendingSince = time.Time{}
			continue
		}
		if pendingSince.IsZero() {
			pendingSince = now
			r.scheduleAcquire(now)
		}
		timer.Reset(r.checkInterval(now))
		if !r.ensureLease(ctx, now) {
			continue
		}
		for _, w := range r.edge.replica.LatestWeights() {
			r.advance(ctx, now, w)
		}
	}
}

// checkInterval returns the time until the next check of a pending rollout. Instances that see another one lead check less often.
func (r *rollout) checkInterval(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.leaderSeen) < leaderReportTTL {
		return idleInterval
	}
	return rolloutInterval
}

// holdsLease reports whether this instance holds the lease. A draining instance continues the rollout as long as it holds
// the lease.
func (r *rollout) holdsLease() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Valid(clock.SinceBoot())
}

// countPending returns the number of ready engines that run superseded weights.
func (r *rollout) countPending(now time.Time) int {
	doc := r.edge.replica.Document()
	if doc == nil {
		return 0
	}
	n := 0
	for _, w := range r.edge.replica.LatestWeights() {
		n += plan.Pending(w.Model, w.Version, r.edge.fleet.Views(now, doc.ServiceOfModel(w.Model)))
	}
	return n
}

// scheduleAcquire sets when this instance may try to acquire the lease: at once if it was the previous leader, after a head
// start and a random delay if another instance was, after a random delay if no leader is known.
func (r *rollout) scheduleAcquire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.lease.Token > 0 && r.leaderAddress == "":
		r.acquireAt = now
	case r.leaderAddress != "":
		r.acquireAt = now.Add(leaderHeadStart + rand.N(maxAcquireJitter))
	default:
		r.acquireAt = now.Add(rand.N(maxAcquireJitter))
	}
}

// ensureLease acquires or renews the lease when that is due and reports whether this instance may send orders now.
func (r *rollout) ensureLease(ctx context.Context, now time.Time) bool {
	boot := clock.SinceBoot()
	r.mu.Lock()
	lease, acquireAt := r.lease, r.acquireAt
	leaderLive := now.Sub(r.leaderSeen) < leaderReportTTL
	r.mu.Unlock()
	if lease.Valid(boot) && boot-lease.Sent < leader.RenewInterval {
		return true
	}
	if !lease.Valid(boot) && (leaderLive || now.Before(acquireAt)) {
		return false
	}
	wait, err := r.acquire(ctx, lease)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		r.acquireAt = now.Add(maxRetryDelay)
		r.edge.log.Info("lease: not acquired or renewed", "held", r.lease.Valid(clock.SinceBoot()), "error", err.Error())
	case wait > 0:
		r.acquireAt = now.Add(wait)
		r.edge.log.Info("lease: held by another instance", "holder", r.lease.Row.Holder, "token", r.lease.Row.Token,
			"free_ms", wait.Milliseconds())
	}
	return r.lease.Valid(clock.SinceBoot())
}

// acquire acquires or renews the lease. It returns how long to wait before the next attempt if another instance may still
// send orders or has written the row.
func (r *rollout) acquire(ctx context.Context, lease leader.Lease) (time.Duration, error) {
	callCtx, cancel := context.WithTimeout(ctx, leader.Validity-leader.RenewInterval)
	defer cancel()
	self := r.edge.settings.Peer
	state := leaseRow{Row: lease.Row, version: lease.Version, epoch: lease.Epoch}
	renewal := lease.Token > 0 && lease.Row.Holder == self
	if !renewal {
		var err error
		if state, err = r.readLease(callCtx); err != nil {
			return 0, err
		}
		if wait := r.acquireDelay(state); wait > 0 {
			r.mu.Lock()
			r.lease = leader.Lease{Row: state.Row}
			r.mu.Unlock()
			return wait, nil
		}
	}
	// The row is dated by the time from which the lease counts here, however long ago the store's clock was read.
	sent := clock.SinceBoot()
	storeClock, _ := r.edge.storeClock.at(sent)
	next := leader.Renewal(storeClock, state.Row)
	if !renewal {
		next = leader.Acquisition(storeClock, state.Row, self, leader.MinToken(state.epoch, state.latest))
		r.noteAcquisition(state, next.Token, sent-storeClock)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	rows, err := r.edge.store.Put(callCtx, platform.Row{Table: leaseTable, Key: leaseKey, Value: value, Version: state.version})
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, platform.ErrVersionMismatch) || err == nil && rows.Epoch != state.epoch {
		// Another instance wrote the row, or an earlier write of this one took effect although its response was lost, or the
		// store was restored and the version is another one than that which was read.
		r.lease = leader.Lease{}
		return rand.N(maxAcquireJitter), nil
	}
	if err != nil {
		// The write may take effect later, so the row must be read before the next write.
		r.lease.Row.Holder = ""
		return 0, err
	}
	if !renewal {
		r.edge.log.Info("lease: acquired", "token", next.Token, "from", state.Holder, "row", rows.Version, "epoch", rows.Epoch,
			"orders_known_ms", (sent - r.ordersKnownSince).Milliseconds())
	}
	r.lease = leader.Lease{Token: next.Token, Sent: sent, Epoch: rows.Epoch, Version: rows.Version, Row: next}
	r.lastRenewal = sent
	r.leaderAddress = ""
	r.edge.observeStoreClock(sent, rows.Clock)
	return 0, nil
}

// noteAcquisition records an attempt to acquire the lease in the state in which it was read. The store's clock was zero at storeStart, or
// later by the time of a call.
func (r *rollout) noteAcquisition(state leaseRow, token int64, storeStart time.Duration) {
	_, restoredAt := r.edge.epochs.get()
	r.mu.Lock()
	defer r.mu.Unlock()
	since := r.ordersKnownSince
	if state.version > 0 && state.Token != r.acquisition {
		since = max(since, storeStart+state.OrdersEnd())
	}
	// The copy of a restored store may lack the row of a later holder.
	if restoredAt > 0 {
		since = max(since, restoredAt+leader.Validity+leader.Margin)
	}
	r.acquisition, r.ordersKnownSince = token, since
}

// acquireDelay returns how long this instance must wait before it may acquire the lease.
func (r *rollout) acquireDelay(state leaseRow) time.Duration {
	leaseTerm := millis(r.edge.settings.Turn)
	_, restoredAt := r.edge.epochs.get()
	r.mu.Lock()
	lastRenewal := r.lastRenewal
	r.mu.Unlock()
	wait := leader.AfterRestore(clock.SinceBoot(), restoredAt, lastRenewal, leaseTerm)
	if decision, turn := leader.Decide(state.clock, state.Row, state.version > 0, r.edge.settings.Peer, leaseTerm); decision == leader.Wait {
		wait = max(wait, turn)
	}
	return wait
}

// dropLease gives up the lease after a restore of the store, whose copy may lack the row or hold an earlier one.
func (r *rollout) dropLease() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease.Token > 0 {
		r.edge.log.Info("lease: dropped after a restore of the store", "token", r.lease.Token, "row", r.lease.Version, "epoch", r.lease.Epoch)
	}
	r.lease = leader.Lease{}
}

// yieldLease gives up the lease of an instance that cannot send orders. Another one acquires it once it has run out.
func (r *rollout) yieldLease() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease.Valid(clock.SinceBoot()) {
		r.edge.log.Info("lease: given up without a path to the engines", "token", r.lease.Token, "row", r.lease.Version)
	}
	r.lease = leader.Lease{}
}

// leaseRow is the lease's row as read from the store.
type leaseRow struct {
	leader.Row
	// version is the row's version; zero if it does not exist. latest is the store's latest version.
	version, latest int64
	epoch           int64
	clock           time.Duration
}

func (r *rollout) readLease(ctx context.Context) (leaseRow, error) {
	requestedAt := clock.SinceBoot()
	rows, err := r.edge.store.Get(ctx, leaseTable, "", storeTimeout)
	if err != nil {
		return leaseRow{}, err
	}
	if epoch, _ := r.edge.epochs.get(); rows.Epoch < epoch {
		return leaseRow{}, errOldEpoch
	}
	r.edge.observeStoreClock(requestedAt, rows.Clock)
	state := leaseRow{latest: rows.Version, epoch: rows.Epoch, clock: rows.Clock}
	for _, row := range rows.Rows {
		if row.Key != leaseKey {
			continue
		}
		state.version = row.Version
		return state, json.Unmarshal(row.Value, &state.Row)
	}
	return state, nil
}

// advance starts to drain or load the engines that are next for the latest weights of a model.
func (r *rollout) advance(ctx context.Context, now time.Time, latest policy.Weights) {
	target := plan.Target{
		Model: latest.Model, Version: latest.Version, StartLimit: r.edge.handler.Settings.SupersededLimit,
		SupersededFor: func(version int64) time.Duration { return r.supersededFor(latest.Model, version) },
	}
	boot := clock.SinceBoot()
	doc := r.edge.replica.Document()
	views := r.edge.fleet.Views(now, doc.ServiceOfModel(target.Model))
	r.mu.Lock()
	target.OrdersKnownFor = max(0, boot-r.ordersKnownSince)
	next := plan.Next(now, target, views, r.progress)
	for _, e := range next.Drain {
		r.progress[e.ID] = r.progress[e.ID].StartDrain(now, e.Running, target.Version)
		r.edge.fleet.SetSwitching(e.ID, now.Add(plan.DrainTTL))
	}
	for _, l := range next.Load {
		r.progress[l.Engine.ID] = r.progress[l.Engine.ID].StartLoad(now, &target, &l)
		r.edge.fleet.SetSwitching(l.Engine.ID, now.Add(loadTimeout))
	}
	stuckBefore := r.stuck[target.Model]
	r.stuck[target.Model] = next.Stuck
	r.mu.Unlock()
	if len(next.Drain)+len(next.Load) == 0 && next.Stuck == stuckBefore {
		return
	}
	r.logPlan(target, boot-latest.FirstSeen, next)
	r.edge.exchange.TriggerSend()
	for _, l := range next.Load {
		r.loads.Go(func() { r.loadEngine(ctx, l, target.Model, target.Version) })
	}
}

// logPlan logs a plan, and for how long the weights of its engines have been superseded.
func (r *rollout) logPlan(target plan.Target, age time.Duration, next plan.Plan) {
	oldest := time.Duration(0)
	for i := range next.Waiting {
		oldest = max(oldest, r.supersededFor(target.Model, next.Waiting[i].Weights[target.Model]))
	}
	r.edge.log.Info("weights: planned", "model", target.Model, "version", target.Version, "age_ms", age.Milliseconds(),
		"drain", len(next.Drain), "load", len(next.Load), "waiting", len(next.Waiting), "waiting_superseded_ms", oldest.Milliseconds(),
		"draining", next.Draining, "loading", next.Loading, "stuck", next.Stuck, "finishing", next.Finishing)
	for i := range next.Drain {
		e := &next.Drain[i]
		version := e.Weights[target.Model]
		r.edge.log.Info("weights: engine drains", "upstream", e.ID, "model", target.Model, "weights", version, "version", target.Version,
			"superseded_ms", r.supersededFor(target.Model, version).Milliseconds(), "running", e.Running)
	}
}

// supersededFor returns for how long a version of a model's weights has been superseded.
func (r *rollout) supersededFor(model string, version int64) time.Duration {
	since, superseded := r.edge.replica.SupersededSince(model, version)
	if !superseded {
		return 0
	}
	return clock.SinceBoot() - since
}
