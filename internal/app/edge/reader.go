package edge

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/peer/gossip"
	"github.com/skylarkquay/skylarkquay/internal/peer/outage"
	"github.com/skylarkquay/skylarkquay/internal/peer/rank"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/platform"
)

// followList keeps the list of upstreams up to date, from the store or through the updates of an instance that reads it.
func (e *Edge) followList(ctx context.Context) {
	failing := storeOutage{edge: e, purpose: "list"}
	if e.copyInitialList(ctx) != nil {
		return
	}
	for ctx.Err() == nil {
		if e.list.isRestored() && e.copyInitialList(ctx) != nil {
			return
		}
		now := time.Now()
		age, version := e.list.age(clock.SinceBoot())
		if pollAge := rank.PollAge(e.ranks.Rank(now), listInterval, e.exchange.PropagationDelay()); version >= 0 && age < pollAge {
			if sleep.For(ctx, min(pollAge-age, listCheckInterval)) != nil {
				return
			}
			continue
		}
		if err := e.readList(ctx, version); errors.Is(err, platform.ErrHistoryLost) {
			e.log.Info("store: change history lost, reading all rows", "for", failing.purpose, "after", version)
			e.list.reset()
		} else if err != nil {
			failing.recordFailure(err)
			e.outages.Failed(clock.SinceBoot())
			if e.ranks.MarkUnserved(time.Now()) {
				// The next instance takes over at once.
				e.exchange.TriggerSend()
			}
			if version < 0 || e.missesChanges(clock.SinceBoot()) {
				if err := e.copyList(ctx); err != nil {
					e.log.Info("list: copy from another instance failed", "error", err.Error())
				}
			}
			if !waitRetry(ctx, failing.failures) {
				return
			}
		} else {
			failing.recordSuccess()
			e.ranks.MarkServed()
		}
	}
}

const (
	// initialCopyTimeout is how long an instance of a large site waits for the list of its zone's head before it reads the
	// store itself.
	initialCopyTimeout = 2500 * time.Millisecond
	// initialCopyInterval is the pause between attempts, joinCheckInterval that between checks whether the instance has
	// joined.
	initialCopyInterval = 150 * time.Millisecond
	joinCheckInterval   = 10 * time.Millisecond
)

// copyInitialList copies the first list, or the first one after a restore of the store, from the zone's head in a large site,
// because hundreds of instances at once would each read megabytes from the store. It returns an error if the context ends.
func (e *Edge) copyInitialList(ctx context.Context) error {
	for started := time.Now(); time.Since(started) < initialCopyTimeout; {
		wait := joinCheckInterval
		if e.joined.Load() != 0 {
			if !e.exchange.UsesHead() || e.copyList(ctx) == nil {
				return nil
			}
			wait = initialCopyInterval
		}
		if err := sleep.For(ctx, wait); err != nil {
			return err
		}
	}
	return nil
}

// readList reads the complete list, or the changes after a version if it is not negative.
func (e *Edge) readList(ctx context.Context, version int64) error {
	requestedAt := clock.SinceBoot()
	if version < 0 {
		rows, err := e.readTable(ctx, platform.ListTable)
		if err != nil {
			return err
		}
		if epoch, _ := e.epochs.get(); rows.Epoch < epoch {
			return errOldEpoch
		}
		e.recordServed(requestedAt, outage.Span{Since: requestedAt, Until: requestedAt}, 0, "store")
		e.applyListRows(ctx, rows.Rows, true)
		e.list.recordRead(requestedAt, rows.Epoch, rows.Version, nil)
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := e.store.Changes(callCtx, platform.ListTable, version, time.Millisecond)
	if err != nil {
		return err
	}
	if rows.Epoch != e.list.currentEpoch() {
		// The version belongs to another epoch. If that is over, the next round reads the complete list.
		return errOldEpoch
	}
	e.recordServed(requestedAt, outage.Span{Since: requestedAt, Until: requestedAt}, 0, "store")
	changes := e.applyListRows(ctx, rows.Rows, false)
	e.list.recordRead(requestedAt, rows.Epoch, max(version, rows.Version), changes)
	if len(changes) > 0 {
		e.exchange.TriggerSend()
	}
	return nil
}

// applyListRows applies rows of the list and returns the changes. If the rows are the complete list, it replaces the list
// and returns none.
func (e *Edge) applyListRows(ctx context.Context, rows []platform.Row, complete bool) []gossip.ListChange {
	var entries []fleet.Entry
	var parsed []gossip.ListChange
	for _, row := range rows {
		change := gossip.ListChange{Version: row.Version, ID: row.Key}
		if !row.Deleted {
			entry, err := platform.ParseEntry(row)
			if err != nil {
				e.log.Info("list: invalid entry", "upstream", row.Key, "row", row.Version, "error", err.Error())
			} else {
				change.Entry = &entry
				entries = append(entries, entry)
			}
		}
		parsed = append(parsed, change)
	}
	e.saveNewBuilds(ctx, entries, complete)
	now := time.Now()
	if !complete {
		return slices.DeleteFunc(parsed, func(c gossip.ListChange) bool { return !e.applyListChange(now, c) })
	}
	restored := e.list.isRestored()
	if restored {
		e.fleet.ReplaceRestored(now, entries)
	} else {
		e.fleet.Replace(now, entries)
	}
	e.log.Info("list: complete list read", "upstreams", len(entries), "restored", restored)
	return nil
}

// applyListChange applies one change of the list and reports whether it changed the state of the fleet.
func (e *Edge) applyListChange(now time.Time, c gossip.ListChange) bool {
	if c.Entry == nil {
		if !e.fleet.Drop(now, c.ID) {
			return false
		}
		_, kept := e.fleet.View(now, c.ID)
		e.log.Info("list: upstream is gone", "upstream", c.ID, "row", c.Version, "kept", kept)
		return true
	}
	if !e.fleet.Put(*c.Entry) {
		return false
	}
	e.log.Info("list: upstream changed", "upstream", c.ID, "service", c.Entry.Service, "build", c.Entry.Build, "state", string(c.Entry.State),
		"weights", c.Entry.Weights, "row", c.Version)
	return true
}
