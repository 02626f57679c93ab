package edge

import (
	"context"
	"errors"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/peer/pulse"
	"github.com/skylarkquay/skylarkquay/internal/peer/share"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/platform"
)

// followList keeps the list of upstreams up to date, from the store or by the word of an instance that read it.
func (e *Edge) followList(ctx context.Context) {
	dep := dependency{edge: e, name: "list"}
	if e.copyFirst(ctx) != nil {
		return
	}
	for ctx.Err() == nil {
		now := time.Now()
		age, version := e.list.age(now)
		if due := share.Due(e.circle.Rank(now), listPause, e.exchange.Delay()); version >= 0 && age < due {
			if sleep.For(ctx, min(due-age, listLook)) != nil {
				return
			}
			continue
		}
		if err := e.readList(ctx, version); errors.Is(err, platform.ErrHistoryLost) {
			e.log.Info("store: history lost, reading all", "for", dep.name, "after", version)
			e.list.forget()
		} else if err != nil {
			dep.failed(err)
			e.fleet.StoreUnreachable(time.Now())
			e.list.lost(time.Now())
			if version < 0 {
				if err := e.copyList(ctx); err != nil {
					e.log.Info("list: not copied", "error", err.Error())
				}
			}
			if !retry(ctx, dep.failures) {
				return
			}
		} else {
			dep.worked()
		}
	}
}

const (
	// copyFirstMost is how long a member of a large site waits for its head's list before it reads the store itself.
	copyFirstMost = 2500 * time.Millisecond
	// copyFirstPause is the pause between tries, joinPause that between looks whether the others are known.
	copyFirstPause = 150 * time.Millisecond
	joinPause      = 10 * time.Millisecond
)

// copyFirst lets the members of a large site take their first list from their heads: hundreds of instances that start at
// once would read megabytes each. It returns an error when the context has ended.
func (e *Edge) copyFirst(ctx context.Context) error {
	for began := time.Now(); time.Since(began) < copyFirstMost; {
		wait := joinPause
		if e.joined.Load() != 0 {
			if !e.exchange.Member() || e.copyList(ctx) == nil {
				return nil
			}
			wait = copyFirstPause
		}
		if err := sleep.For(ctx, wait); err != nil {
			return err
		}
	}
	return nil
}

// readList reads the list whole, or what changed after a version.
func (e *Edge) readList(ctx context.Context, version int64) error {
	asked := time.Now()
	if version < 0 {
		rows, err := e.get(ctx, platform.ListTable)
		if err != nil {
			return err
		}
		e.listRows(time.Now(), rows.Rows, true)
		e.list.read(asked, rows.Version, nil)
		return nil
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := e.store.Feed(call, platform.ListTable, version, time.Millisecond)
	if err != nil {
		return err
	}
	changes := e.listRows(time.Now(), rows.Rows, false)
	e.list.read(asked, max(version, rows.Version), changes)
	if len(changes) > 0 {
		e.exchange.Now()
	}
	return nil
}

// listRows takes rows of the list and returns what changed by them; whole tells that what it lacks is gone.
func (e *Edge) listRows(now time.Time, rows []platform.Row, whole bool) []pulse.ListChange {
	var entries []fleet.Entry
	var changes []pulse.ListChange
	for _, row := range rows {
		change := pulse.ListChange{Version: row.Version, ID: row.Key}
		if !row.Deleted {
			entry, err := platform.Entry(row)
			if err != nil {
				e.log.Info("list: entry names no upstream", "upstream", row.Key, "row", row.Version, "error", err.Error())
			} else {
				change.Entry = &entry
				entries = append(entries, entry)
			}
		}
		if !whole && e.listChange(now, change) {
			changes = append(changes, change)
		}
	}
	if whole {
		e.fleet.Replace(now, entries)
		e.log.Info("list: read whole", "upstreams", len(entries))
	}
	return changes
}

// listChange takes one change of the list and tells whether it changed what is believed.
func (e *Edge) listChange(now time.Time, c pulse.ListChange) bool {
	if c.Entry == nil {
		if !e.fleet.Drop(now, c.ID) {
			return false
		}
		e.log.Info("list: upstream is gone", "upstream", c.ID, "row", c.Version)
		return true
	}
	if !e.fleet.Put(*c.Entry) {
		return false
	}
	e.log.Info("list: upstream changed", "upstream", c.ID, "service", c.Entry.Service, "state", string(c.Entry.State),
		"weights", c.Entry.Weights, "row", c.Version)
	return true
}
