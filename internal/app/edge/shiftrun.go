package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/roll/leader"
	"github.com/skylarkquay/skylarkquay/internal/roll/shift"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/platform"
)

const (
	// shiftsTable holds the record of each service's move to another build, by service.
	shiftsTable = "shift"
	// shiftInterval is the interval between decisions about a running move, shiftIdleInterval that between checks whether there is one.
	shiftInterval     = 100 * time.Millisecond
	shiftIdleInterval = 300 * time.Millisecond
	// confirmInterval is the interval between reads of changes of the records while a move runs, fullConfirmInterval the same while
	// acknowledgements are awaited, which count only from instances that know the record to be current.
	confirmInterval     = 400 * time.Millisecond
	fullConfirmInterval = 200 * time.Millisecond
	// learnWait is how long an instance that knows an order waits for the others to tell it the record before it reads the store.
	learnWait = 600 * time.Millisecond
	// yieldTime is how long an instance leaves the decisions to another one that has written a record, which may be frozen.
	yieldTime = leader.Validity
	// maxMoveListAge is the age of the list of upstreams up to which it counts as current.
	maxMoveListAge = 2 * time.Second
)

// decider writes the records of moves while this instance decides about them. A record is written on condition of its version, so
// that of several instances that believe to decide only one goes on. Only one goroutine uses it.
type decider struct {
	*shifts
	edge   *Edge
	wakeup chan struct{}
	// loaded reports whether the records have been read since this instance began to decide, in an epoch, up to a version of the store.
	loaded         bool
	epoch, version int64
	// token is that of this instance's records.
	token int64
	// readAt is when the records were last known to be the store's.
	readAt time.Duration
	// yieldUntil is the time until which another instance decides.
	yieldUntil time.Duration
	// unreadable are the versions of rows that could not be decoded, by service. The record of a new order replaces them.
	unreadable map[string]int64
	// unknownSince is since when this instance knows an order without a record.
	unknownSince time.Duration
}

func newDecider(e *Edge) *decider {
	return &decider{shifts: newShifts(e.log, clock.SinceBoot), edge: e, wakeup: make(chan struct{}, 1), unreadable: make(map[string]int64)}
}

// applyRollout applies an operators' row if it is the order of a rollout.
func (e *Edge) applyRollout(row platform.Row, epoch int64) {
	if row.Deleted {
		return
	}
	r, ok, err := platform.ParseRollout(row)
	if err != nil {
		e.log.Info("shift: cannot decode the order, ignoring it", "key", row.Key, "row", row.Version, "error", err.Error())
		return
	}
	if !ok || !e.decider.order(shift.Order{Service: r.Service, To: r.To, Duration: r.Duration, Row: row.Version, Epoch: epoch}) {
		return
	}
	e.log.Info("shift: ordered", "service", r.Service, "to", r.To, "duration_ms", r.Duration.Milliseconds(), "row", row.Version, "epoch", epoch)
	select {
	case e.decider.wakeup <- struct{}{}:
	default:
	}
}

// run decides about moves, while this instance is the one that follows the operators' rows, until the context ends.
func (d *decider) run(ctx context.Context) {
	outage := storeOutage{edge: d.edge, purpose: "moves to other builds"}
	timer := time.NewTimer(shiftIdleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-d.wakeup:
		}
		timer.Reset(shiftIdleInterval)
		if !d.active.Load() {
			continue
		}
		if err := d.step(ctx); err != nil {
			outage.recordFailure(err)
			d.loaded = false
			if !waitRetry(ctx, outage.failures) {
				return
			}
			timer.Reset(0)
			continue
		}
		outage.recordSuccess()
		if d.stage() != "" {
			timer.Reset(shiftInterval)
		}
	}
}

// stage returns the stage of the running moves, Full if any is at it; "" if none runs.
func (d *decider) stage() shift.Stage {
	d.mu.Lock()
	defer d.mu.Unlock()
	var stage shift.Stage
	for service, m := range d.moves {
		if m.gate.Known(m.record).Phase == shift.Running && stage != shift.Full {
			stage = m.record.Stage
		}
		d.gauge(service, m)
	}
	return stage
}

// gauge updates the metrics of a move.
func (d *decider) gauge(service string, m *move) {
	r := m.gate.Known(m.record)
	scope := d.edge.metrics.Tagged(map[string]string{"service": service})
	scope.Gauge("shift_share").Update(r.Share)
	for _, phase := range []shift.Phase{shift.Running, shift.Completed, shift.RolledBack} {
		on := 0.0
		if r.Phase == phase {
			on = 1
		}
		scope.Tagged(map[string]string{"phase": string(phase)}).Gauge("shift_phase").Update(on)
	}
}

// decides reports whether this instance decides: the one that follows the operators' rows on behalf of all.
func (d *decider) decides(now time.Time, boot time.Duration) bool {
	e := d.edge
	return e.following.Load() && e.ranks.ShouldFollow(now) && !e.dialer.Paths.Detached() && e.joined.Load() != 0 && e.fleet.Listed() && boot >= d.yieldUntil
}

func (d *decider) step(ctx context.Context) error {
	now, boot := time.Now(), clock.SinceBoot()
	if !d.decides(now, boot) {
		d.loaded = false
		return d.learn(ctx, boot)
	}
	if epoch, _ := d.edge.epochs.get(); !d.loaded || epoch != d.epoch {
		if err := d.load(ctx); err != nil {
			return err
		}
	} else if err := d.confirm(ctx, boot); err != nil {
		return err
	}
	for _, service := range d.services() {
		if !d.loaded {
			// Another instance has written a record.
			return nil
		}
		if err := d.advance(ctx, service); err != nil {
			return fmt.Errorf("record of %s: %w", service, err)
		}
	}
	return nil
}

// services returns the services with an order or a record.
func (d *decider) services() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := slices.AppendSeq(slices.Collect(maps.Keys(d.moves)), maps.Keys(d.orders))
	slices.Sort(names)
	return slices.Compact(names)
}

// learn reads the records if an order is known without one and no other instance tells it.
func (d *decider) learn(ctx context.Context, boot time.Duration) error {
	d.mu.Lock()
	missing := false
	for service := range d.orders {
		missing = missing || d.moves[service] == nil
	}
	d.mu.Unlock()
	switch {
	case !missing:
		d.unknownSince = 0
		return nil
	case d.unknownSince == 0:
		d.unknownSince = boot
		return nil
	case boot-d.unknownSince < learnWait:
		return nil
	}
	d.unknownSince = boot
	_, err := d.read(ctx)
	return err
}

// read reads all records and adopts those that are newer than the known ones.
func (d *decider) read(ctx context.Context) (platform.Rows, error) {
	e := d.edge
	requestedAt := clock.SinceBoot()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := e.readTable(callCtx, shiftsTable)
	if err != nil {
		return rows, err
	}
	if epoch, _ := e.epochs.get(); rows.Epoch < epoch {
		return rows, errOldEpoch
	}
	e.storeClock.observe(requestedAt, rows.Clock)
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.unreadable)
	for _, m := range d.moves {
		m.row, m.unsaved = 0, true
	}
	for _, row := range rows.Rows {
		d.applyRow(requestedAt, row)
	}
	return rows, nil
}

// applyRow applies the row of a record that the store had at a time. The caller holds the lock.
func (d *decider) applyRow(requestedAt time.Duration, row platform.Row) {
	var r shift.Record
	err := json.Unmarshal(row.Value, &r)
	if err == nil && (!validRecord(r) || r.Service != row.Key) {
		err = errInvalidRecord
	}
	if err != nil {
		d.log.Info("shift: cannot decode the record", "key", row.Key, "row", row.Version, "error", err.Error())
		d.unreadable[row.Key] = row.Version
		if m := d.moves[row.Key]; m != nil {
			m.row = row.Version
		}
		return
	}
	m := d.adopt(clock.SinceBoot(), r, "store")
	if m == nil {
		return
	}
	m.row, m.unsaved = row.Version, newer(m.record, r)
	if !m.unsaved {
		// Reports of other instances lack what only the deciding one needs.
		m.record, m.confirmed = r, max(m.confirmed, requestedAt)
	}
}

var errInvalidRecord = errors.New("the record names no service or phase")

// load begins to decide.
func (d *decider) load(ctx context.Context) error {
	requestedAt := clock.SinceBoot()
	rows, err := d.read(ctx)
	if err != nil {
		return err
	}
	d.loaded, d.epoch, d.version, d.readAt = true, rows.Epoch, rows.Version, requestedAt
	d.token = max(d.token, leader.MinToken(rows.Epoch, rows.Version))
	d.mu.Lock()
	for _, m := range d.moves {
		m.status, m.statusRow = "", 0
	}
	d.mu.Unlock()
	d.log.Info("shift: deciding", "token", d.token, "records", len(rows.Rows), "row", rows.Version, "epoch", rows.Epoch)
	return nil
}

// confirm reads the changes of the records, while a move runs, so that they are known to be the store's.
func (d *decider) confirm(ctx context.Context, boot time.Duration) error {
	interval := confirmInterval
	switch d.stage() {
	case "":
		return nil
	case shift.Full:
		interval = fullConfirmInterval
	}
	if boot-d.readAt < interval {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	requestedAt := clock.SinceBoot()
	rows, err := d.edge.store.Changes(callCtx, shiftsTable, d.version, time.Millisecond)
	if errors.Is(err, platform.ErrHistoryLost) || err == nil && rows.Epoch != d.epoch {
		d.loaded = false
		return nil
	}
	if err != nil {
		return err
	}
	d.edge.storeClock.observe(requestedAt, rows.Clock)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range rows.Rows {
		if m := d.moves[row.Key]; row.Deleted || m == nil || row.Version > m.row {
			d.yield(row.Key, row.Version)
			return nil
		}
	}
	d.version, d.readAt = max(d.version, rows.Version), requestedAt
	for _, m := range d.moves {
		if !m.unsaved && m.row > 0 {
			m.confirmed = max(m.confirmed, requestedAt)
		}
	}
	return nil
}

// yield leaves the decisions to another instance, which has written a record, for a time.
func (d *decider) yield(service string, row int64) {
	d.loaded, d.yieldUntil = false, clock.SinceBoot()+yieldTime
	d.log.Info("shift: another instance decides", "service", service, "row", row, "token", d.token)
}

// advance decides about one service's move and writes the record and the operators' status if they change.
func (d *decider) advance(ctx context.Context, service string) error {
	boot := clock.SinceBoot()
	storeClock, known := d.edge.storeClock.at(boot)
	if !known {
		return nil
	}
	next, reason, e := d.next(time.Now(), boot, storeClock, service)
	if reason != "" {
		if err := d.write(ctx, next, reason, e); err != nil || !d.loaded {
			return err
		}
	}
	return d.writeStatus(ctx, service)
}

// next returns the record that is to be written and why; there is none without a reason.
func (d *decider) next(now time.Time, boot, storeClock time.Duration, service string) (next shift.Record, reason string, e shift.Evidence) {
	bounds := d.edge.exposureBounds()
	d.mu.Lock()
	o, ordered := d.orders[service]
	m := d.moves[service]
	var r shift.Record
	unsaved := false
	if m != nil {
		r, unsaved = m.gate.Known(m.record), m.unsaved
	}
	d.mu.Unlock()
	switch {
	case m == nil && !ordered:
		return r, "", e
	case m == nil:
		return shift.Begin(storeClock, o, d.edge.fleet.ListedBuilds()[service], bounds, d.token), "ordered", e
	case ordered:
		if next, ok := shift.Replace(storeClock, r, o, bounds, d.token); ok {
			return next, next.Reason, e
		}
	}
	if unsaved {
		return r, "the store has an earlier record", e
	}
	e = d.evidence(now, boot, r)
	next, reason = shift.Next(storeClock, r, e, bounds)
	return next, reason, e
}

// exposureBounds returns what a bad build may do.
func (e *Edge) exposureBounds() shift.Bounds {
	return shift.Bounds{Share: e.settings.ExposureShare, Slack: e.settings.ExposureSlack, Rollback: millis(e.settings.Rollback)}
}

// evidence returns what all instances have counted since the order.
func (d *decider) evidence(now time.Time, boot time.Duration, r shift.Record) shift.Evidence {
	total, live := d.counted(boot, d.edge.exchange.MaxAcknowledgementAge(), r.Service)
	if covered, known := d.edge.exchange.Coverage(); known > 0 {
		live = covered - 1
	}
	e := shift.Evidence{Unacknowledged: live + 1}
	if total.Started == r.Started {
		e.Old, e.New, e.Arrived, e.Exposed = total.Old, total.New, total.Arrived, total.Exposed
		if total.Step == r.Step {
			e.Unacknowledged = max(0, live+1-total.Acked)
		}
	}
	// Instances that ended have taken their counts along.
	e.Arrived, e.Exposed = max(e.Arrived, r.Arrived), max(e.Exposed, r.Exposed)
	for _, v := range d.edge.fleet.Views(now, r.Service) {
		ready := 0
		if v.State == fleet.Ready {
			ready = 1
		}
		switch {
		case v.Build == r.To:
			e.NewUpstreams += ready
			e.NewRunning += max(0, v.Running)
		case !slices.Contains(r.Drop, v.Build):
			e.OldUpstreams += ready
			e.OldRunning += max(0, v.Running)
		}
	}
	listAge, _ := d.edge.list.age(boot)
	e.Unsettled = listAge > maxMoveListAge || boot-d.readAt > shift.Fresh
	return e
}

// write writes a record on condition that the store still has the one that this instance knows.
func (d *decider) write(ctx context.Context, r shift.Record, reason string, e shift.Evidence) error {
	r.Token = d.token
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	d.mu.Lock()
	row := d.unreadable[r.Service]
	if m := d.moves[r.Service]; m != nil {
		row = m.row
	}
	d.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := clock.SinceBoot()
	rows, err := d.edge.store.Put(callCtx, platform.Row{Table: shiftsTable, Key: r.Service, Value: value, Version: row})
	if errors.Is(err, platform.ErrVersionMismatch) {
		d.yield(r.Service, row)
		return nil
	}
	if err != nil {
		// The write may take effect later, so the record is read before the next one.
		d.loaded = false
		return err
	}
	if rows.Epoch != d.epoch {
		// The store was restored, and the version is another one than that which was read.
		d.loaded = false
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.adopt(clock.SinceBoot(), r, "this instance")
	if m == nil {
		return nil
	}
	m.row, m.unsaved = rows.Version, newer(m.record, r)
	if !m.unsaved {
		m.record, m.confirmed = r, max(m.confirmed, sent)
	}
	old, fresh := sum(e.Old), sum(e.New)
	d.log.Info("shift: decided", "service", r.Service, "to", r.To, "phase", string(r.Phase), "stage", string(r.Stage), "step", r.Step, "share", r.Share,
		"spread", r.Spread, "reason", reason, "arrived", e.Arrived, "exposed", e.Exposed, "old_good", old.Good, "old_bad", old.Bad, "old_slow", old.Slow,
		"new_good", fresh.Good, "new_bad", fresh.Bad, "new_slow", fresh.Slow, "old_upstreams", e.OldUpstreams, "new_upstreams", e.NewUpstreams,
		"old_running", e.OldRunning, "unacknowledged", e.Unacknowledged, "token", r.Token, "row", rows.Version)
	if r.Phase != shift.Running {
		d.edge.metrics.Tagged(map[string]string{"service": r.Service, "phase": string(r.Phase)}).Counter("shift_verdicts").Inc(1)
	}
	d.edge.exchange.TriggerSend()
	return nil
}

// sum returns the sum over all routes.
func sum(tallies map[string]shift.Tally) shift.Tally {
	var out shift.Tally
	for _, t := range tallies {
		out = out.Plus(t)
	}
	return out
}

var rolloutStates = map[shift.Phase]platform.RolloutState{
	shift.Running: platform.RolloutRunning, shift.Completed: platform.RolloutCompleted, shift.RolledBack: platform.RolloutRolledBack,
}

// writeStatus writes the operators' status of a record that the store has. The write is conditional, because an instance that was frozen
// may be about to write an earlier one.
func (d *decider) writeStatus(ctx context.Context, service string) error {
	d.mu.Lock()
	m := d.moves[service]
	if m == nil || m.unsaved || m.row == 0 {
		d.mu.Unlock()
		return nil
	}
	r, written, version := m.record, m.status, m.statusRow
	d.mu.Unlock()
	row, err := platform.RolloutStatus(service, r.To, rolloutStates[r.Phase])
	if err != nil || string(row.Value) == written {
		return err
	}
	row.Version = version
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := d.edge.store.Put(callCtx, row)
	d.mu.Lock()
	defer d.mu.Unlock()
	if errors.Is(err, platform.ErrVersionMismatch) {
		// The next round writes it, unless the store has it.
		m.status, m.statusRow = "", 0
		for _, current := range rows.Rows {
			m.status, m.statusRow = string(current.Value), current.Version
		}
		return nil
	}
	if err != nil {
		return err
	}
	m.status, m.statusRow = string(row.Value), rows.Version
	d.log.Info("shift: status written", "service", service, "status", m.status, "step", r.Step, "row", rows.Version)
	return nil
}
