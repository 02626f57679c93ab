package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/origin"
	"github.com/skylarkquay/skylarkquay/platform"
)

const (
	// originsTable holds at which builds streams began, so that they can be taken up after all instances have ended. A row for all
	// services has the builds that have served. While several serve, other rows have the latest streams.
	originsTable = "origin"
	// historyKey is the key of the row with the builds.
	historyKey = "builds"
	// streamRows is the number of rows with streams that one instance writes in turn, one in an originsInterval. They hold the
	// streams of the last 20 s, which is longer than callers wait for one.
	streamRows      = 80
	originsInterval = 250 * time.Millisecond
	// historyTimeout bounds the write of a new build, for which the list waits.
	historyTimeout = 400 * time.Millisecond
	// maxHistoryWrites limits the attempts of one write. Instances that start together write the same.
	maxHistoryWrites = 3
)

// streamRow is the store's row of streams.
type streamRow struct {
	// AtMs is the store's clock, in milliseconds, when the row was written.
	AtMs    int64          `json:"at"`
	Streams origin.Streams `json:"streams"`
}

// buildHistory is this instance's copy of the builds that have served. It is safe for concurrent use.
type buildHistory struct {
	mu sync.Mutex
	// history is nil until it has been read. Version is that of its row, in an epoch; zero if there was none.
	history origin.History
	version int64
	epoch   int64
}

func (b *buildHistory) get() (origin.History, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.history, b.version
}

func (b *buildHistory) set(history origin.History, version, epoch int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.history, b.version, b.epoch = history, version, epoch
}

// loadedIn reports whether the history was read in an epoch of the store.
func (b *buildHistory) loadedIn(epoch int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.history != nil && b.epoch == epoch
}

// records reports whether the store has all builds of a service that have served.
func (b *buildHistory) records(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.history[service]) > 0
}

// loadOrigins reads the builds that have served and the latest streams from the store.
func (e *Edge) loadOrigins(ctx context.Context) error {
	requestedAt := clock.SinceBoot()
	rows, err := e.readTable(ctx, originsTable)
	if err != nil {
		return err
	}
	e.observeStoreClock(requestedAt, rows.Clock)
	now := time.Now()
	history, version, loaded := origin.History{}, int64(0), 0
	for _, row := range rows.Rows {
		if row.Key == historyKey {
			version = row.Version
			err = json.Unmarshal(row.Value, &history)
		} else {
			var r streamRow
			err = json.Unmarshal(row.Value, &r)
			if err == nil && rows.Clock-time.Duration(r.AtMs)*time.Millisecond < origin.Memory {
				e.origins.MergeSaved(now, r.Streams)
				loaded++
			}
		}
		if err != nil {
			e.log.Info("route: cannot decode the row of streams or builds", "key", row.Key, "error", err.Error())
		}
	}
	e.applyHistory(now, rows.Clock, history, version, rows.Epoch)
	e.log.Info("route: builds of streams read", "services", len(history), "rows", loaded, "row", version)
	return nil
}

// applyHistory makes a history that the store has this instance's.
func (e *Edge) applyHistory(now time.Time, storeClock time.Duration, history origin.History, version, epoch int64) {
	for service, builds := range history {
		for build, gone := range builds {
			at := now
			if gone > 0 {
				at = now.Add(-max(0, storeClock-time.Duration(gone)*time.Millisecond))
			}
			e.fleet.RememberBuild(service, build, at)
		}
	}
	e.history.set(history, version, epoch)
}

// saveNewBuilds saves builds of a list that the store lacks, before streams can begin there. A failure is made up for by keepOrigins.
func (e *Edge) saveNewBuilds(ctx context.Context, entries []fleet.Entry, complete bool) {
	history, version := e.history.get()
	if version == 0 {
		// No stream of an earlier build can be taken up, or none is known.
		return
	}
	listed := make(map[string][]string)
	if !complete {
		listed = e.fleet.ListedBuilds()
	}
	lacks := false
	for _, entry := range entries {
		lacks = lacks || history.Lacks(entry.Service, entry.Build)
		listed[entry.Service] = union(listed[entry.Service], []string{entry.Build})
	}
	if !lacks {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	if err := e.saveHistory(ctx, listed); err != nil {
		e.log.Info("route: builds not saved", "error", err.Error())
	}
}

// saveHistory writes the builds that serve, unless the store has them.
func (e *Edge) saveHistory(ctx context.Context, listed map[string][]string) error {
	for range maxHistoryWrites {
		history, version := e.history.get()
		storeClock, _ := e.storeClock.at(clock.SinceBoot())
		updated, changed := history.Updated(storeClock, listed, fleet.BuildMemory)
		if !changed {
			return nil
		}
		value, err := json.Marshal(updated)
		if err != nil {
			return err
		}
		rows, err := e.store.Put(ctx, platform.Row{Table: originsTable, Key: historyKey, Value: value, Version: version})
		if err == nil {
			e.applyHistory(time.Now(), rows.Clock, updated, rows.Version, rows.Epoch)
			e.log.Info("route: builds saved", "builds", updated, "row", rows.Version)
			return nil
		}
		if !errors.Is(err, platform.ErrVersionMismatch) {
			return err
		}
		if err := e.loadOrigins(ctx); err != nil {
			return err
		}
	}
	return platform.ErrVersionMismatch
}

// keepOrigins keeps the builds that serve and the latest streams in the store, on behalf of all instances while this one has rank 0.
func (e *Edge) keepOrigins(ctx context.Context) {
	outage := storeOutage{edge: e, purpose: "builds of streams"}
	for sleep.For(ctx, originsInterval) == nil {
		now := time.Now()
		if e.joined.Load() == 0 || !e.fleet.Listed() || e.ranks.Rank(now) != 0 {
			e.origins.DropUnsaved(now)
			continue
		}
		if err := e.saveOrigins(ctx); err != nil {
			outage.recordFailure(err)
			if !waitRetry(ctx, outage.failures) {
				return
			}
			continue
		}
		outage.recordSuccess()
	}
}

func (e *Edge) saveOrigins(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if epoch, _ := e.epochs.get(); !e.history.loadedIn(epoch) {
		if err := e.loadOrigins(callCtx); err != nil {
			return err
		}
	}
	if err := e.saveHistory(callCtx, e.fleet.ListedBuilds()); err != nil {
		return err
	}
	streams := e.origins.Unsaved()
	if len(streams) == 0 {
		return nil
	}
	storeClock, _ := e.storeClock.at(clock.SinceBoot())
	value, err := json.Marshal(streamRow{AtMs: storeClock.Milliseconds(), Streams: streams})
	if err != nil {
		return err
	}
	// Two instances that both have rank 0 for a moment do not write the same row.
	key := fmt.Sprintf("%02d %s", int64(storeClock/originsInterval)%streamRows, e.settings.Peer)
	_, err = e.store.Put(callCtx, platform.Row{Table: originsTable, Key: key, Value: value, Version: -1})
	return err
}
