package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/platform"
)

const (
	// changesWait is how long the store may hold a request for changes of the operators' rows.
	changesWait = 600 * time.Millisecond
	// changesDelay covers the pause between two such requests and the way of a response.
	changesDelay = 150 * time.Millisecond
	// storeTimeout bounds a call that the store answers at once; a slow store takes a quarter of a second.
	storeTimeout = 900 * time.Millisecond
	// followCheckInterval is the pause between checks whether another instance follows the operators' rows.
	followCheckInterval = 200 * time.Millisecond
	// listInterval is the time between reads of the list of upstreams; together with the takeover from a failed reader it
	// stays below the drain limit.
	listInterval = 600 * time.Millisecond
	// listCheckInterval is the maximum pause between checks of the age of the list.
	listCheckInterval = 200 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 1000 * time.Millisecond
	// instancesTable holds a row for each instance, by its UDP address.
	instancesTable = "instance"
)

// waitRetry waits for an exponential backoff with jitter. It returns false if the context ends.
func waitRetry(ctx context.Context, failures int) bool {
	limit := min(maxRetryDelay, minRetryDelay<<min(failures, 5))
	return sleep.For(ctx, limit/2+rand.N(limit/2+1)) == nil
}

// storeOutage logs when one of the loops cannot reach the store and when it can again.
type storeOutage struct {
	edge *Edge
	// purpose names what the loop reads from the store, for logs.
	purpose  string
	failures int
	since    time.Time
}

func (o *storeOutage) recordFailure(err error) {
	if o.failures == 0 {
		o.since = time.Now()
		o.edge.log.Info("store: unreachable", "for", o.purpose, "error", err.Error())
		o.edge.metrics.Counter("store_lost").Inc(1)
	}
	o.failures++
}

func (o *storeOutage) recordSuccess() {
	if o.failures > 0 {
		o.edge.log.Info("store: regained", "for", o.purpose, "failures", o.failures, "away_ms", time.Since(o.since).Milliseconds())
	}
	o.failures = 0
}

// followOperators keeps the document and the announced weights up to date, from the store or through the reports of an
// instance that follows the operators' rows.
func (e *Edge) followOperators(ctx context.Context) {
	outage := storeOutage{edge: e, purpose: "operators"}
	epoch, version := int64(unknownEpoch), int64(-1)
	// live reports whether the previous read has just returned, so that rows of the next one are newly written, after unchanged at the
	// earliest.
	live, unchanged := false, time.Duration(0)
	for ctx.Err() == nil {
		if version >= 0 && !e.ranks.ShouldFollow(time.Now()) {
			e.following.Store(false)
			live = false
			// The loop condition checks the context.
			_ = sleep.For(ctx, followCheckInterval)
			continue
		}
		if current, _ := e.epochs.get(); current != epoch {
			// The store was restored; the instance that follows its changes reads all rows once more.
			version = -1
			live = false
		}
		rows, confirmed, err := e.readOperators(ctx, version)
		if errors.Is(err, platform.ErrHistoryLost) {
			e.log.Info("store: change history lost, reading all rows", "for", outage.purpose, "after", version)
			version = -1
			live = false
			continue
		}
		if err == nil && version >= 0 && rows.Epoch != epoch {
			// The version belongs to another epoch, so that changes may be missing.
			version = -1
			live = false
			continue
		}
		if current, _ := e.epochs.get(); err == nil && rows.Epoch < current {
			err = errOldEpoch
		}
		if err != nil {
			e.following.Store(false)
			live = false
			outage.recordFailure(err)
			// All rows are read again, because a new connection may reach a store without the change history.
			version = -1
			if !waitRetry(ctx, outage.failures) {
				return
			}
			continue
		}
		outage.recordSuccess()
		now := clock.SinceBoot()
		seen := now
		if live {
			seen = writtenAt(now, unchanged)
		}
		if seen < now && len(rows.Rows) > 0 {
			e.log.Info("store: changes read late", "for", outage.purpose, "rows", len(rows.Rows), "late_ms", (now - seen).Milliseconds(),
				"unchanged_ms", (now - unchanged).Milliseconds())
		}
		for _, row := range rows.Rows {
			e.applyOperatorRow(row, seen, live)
			e.applyRollout(row, rows.Epoch)
		}
		unchanged = unchangedAt(confirmed, version >= 0 && len(rows.Rows) == 0)
		// What did not fit into the response was written before it.
		live = !rows.More
		epoch, version = rows.Epoch, max(version, rows.Version)
		e.following.Store(true)
		e.confirm(confirmed)
		if err := e.readRestore(ctx, epoch); err != nil {
			e.log.Info("store: date of the restore neither read nor written", "epoch", epoch, "error", err.Error())
		}
		// Now the store may be known to have been restored long enough before.
		e.confirm(confirmed)
	}
}

// unchangedAt returns a time at which the store had no rows but those of a response. The store holds a request without changes for
// changesWait.
func unchangedAt(requestedAt time.Duration, held bool) time.Duration {
	if held {
		return requestedAt + changesWait
	}
	return requestedAt
}

// writtenAt returns when the rows of a response that is read now were written; the store did not have them at a time before. The process
// may have been suspended since the store responded.
func writtenAt(now, unchanged time.Duration) time.Duration {
	return min(now, unchanged+changesWait+changesDelay)
}

// confirm records that the store had no newer document at a time.
func (e *Edge) confirm(at time.Duration) {
	if e.replica.Document() != nil {
		e.replica.Confirm(at)
	}
}

// readOperators reads all rows of the operators, or those changed after a version if it is not negative. It also returns
// the time at which the store had nothing newer. That is the start of the request, because a freeze may pass between the store's
// response and its read.
func (e *Edge) readOperators(ctx context.Context, version int64) (platform.Rows, time.Duration, error) {
	requestedAt := clock.SinceBoot()
	if version < 0 {
		rows, err := e.readTable(ctx, platform.OperatorTable)
		return rows, requestedAt, err
	}
	callCtx, cancel := context.WithTimeout(ctx, changesWait+storeTimeout)
	defer cancel()
	rows, err := e.store.Changes(callCtx, platform.OperatorTable, version, changesWait)
	return rows, requestedAt, err
}

func (e *Edge) readTable(ctx context.Context, table string) (platform.Rows, error) {
	return e.store.Get(ctx, table, "", storeTimeout)
}

// applyOperatorRow applies one of the operators' rows. Seen is when it was written, if live reports that it is newly written.
func (e *Edge) applyOperatorRow(row platform.Row, seen time.Duration, live bool) {
	if row.Deleted {
		return
	}
	doc, err := platform.ParseDocument(row)
	if err != nil {
		e.log.Info("config: cannot decode the document, keeping the current one", "row", row.Version, "error", err.Error())
		return
	}
	if doc != nil && e.replica.InstallIfNewer(doc) {
		e.documentRow.Store(&row)
		e.applyLimits(doc)
		e.log.Info("config: document in force", "revision", doc.Revision, "row", row.Version, "routes", len(doc.Routes),
			"keys", len(doc.Keys))
		e.exchange.TriggerSend()
	}
	model, version, ok, err := platform.ParseAnnouncement(row)
	if err != nil {
		e.log.Info("weights: cannot decode the announcement", "row", row.Version, "error", err.Error())
		return
	}
	if !ok {
		return
	}
	e.addAnnouncement(policy.Weights{Model: model, Version: version, FirstSeen: seen, Observed: live}, fromStore)
}

const (
	// fromStore names the store in logs, beside the addresses of instances.
	fromStore = "store"
	// datedByPeer is logged of an announcement that another instance observed.
	datedByPeer = "peer"
	// minLoggedShift is the difference from which another date on the same basis is logged. Reports take different times to arrive.
	minLoggedShift = 10 * time.Millisecond
)

// dated returns what the date of an announcement was taken from, for logs.
func dated(w policy.Weights, from string) string {
	if w.Observed && from != fromStore {
		return datedByPeer
	}
	return string(w.Basis())
}

// addAnnouncement records what is learned of an announcement of weights.
func (e *Edge) addAnnouncement(w policy.Weights, from string) {
	now := clock.SinceBoot()
	for _, c := range e.replica.AddAnnouncement(now, w) {
		before, after := c.Before, c.After
		if !c.IsNew() {
			if before.Basis() != after.Basis() || (after.FirstSeen-before.FirstSeen).Abs() >= minLoggedShift {
				e.log.Info("weights: date changed", "model", after.Model, "version", after.Version, "from", from, "was", string(before.Basis()),
					"dated", dated(after, from), "old_age_ms", (now - before.FirstSeen).Milliseconds(), "age_ms", (now - after.FirstSeen).Milliseconds())
			}
			continue
		}
		e.log.Info("weights: announced", "model", after.Model, "version", after.Version, "from", from, "seen", after.Observed,
			"dated", dated(after, from), "age_ms", (now - after.FirstSeen).Milliseconds())
		e.rollout.wake()
		e.exchange.TriggerSend()
	}
}
