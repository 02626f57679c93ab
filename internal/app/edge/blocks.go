package edge

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/once/fatal"
	"github.com/skylarkquay/skylarkquay/platform"
)

const (
	// blocksTable holds a row for each prompt part that is refused because it crashes upstreams, so that it still is after a
	// restart of all instances. The key is the hexadecimal identity of the part.
	blocksTable = "blocked"
	// blocksInterval is the interval between checks whether parts have been blocked or cleared.
	blocksInterval = 200 * time.Millisecond
	// blockRowTolerance is how much later than in its row a part may have been blocked; a part that is blocked again is written again.
	blockRowTolerance = time.Minute
)

// blockRow is the store's row of a blocked part.
type blockRow struct {
	// SinceMs is the store's clock, in milliseconds, when the part was blocked.
	SinceMs int64 `json:"since"`
	// Others are the hexadecimal identities of the parts that might have caused the crashes as well.
	Others []string `json:"others,omitempty"`
}

// blockKeeper keeps the blocked parts in the store, on behalf of all instances while this one has rank 0.
type blockKeeper struct {
	edge *Edge
	// logged are the parts that were blocked at the last check.
	logged map[uint64]fatal.Block
	// stored are the parts that the store has rows of, in an epoch. It is nil unless this instance has read them since it has rank 0.
	stored map[uint64]fatal.Block
	epoch  int64
}

// loadBlocks reads the blocked parts from the store. It returns the parts that the store has rows of.
func (e *Edge) loadBlocks(ctx context.Context) (map[uint64]fatal.Block, error) {
	requestedAt := clock.SinceBoot()
	rows, err := e.readTable(ctx, blocksTable)
	if err != nil {
		return nil, err
	}
	stored := make(map[uint64]fatal.Block)
	e.observeStoreClock(requestedAt, rows.Clock)
	now := time.Now()
	for _, row := range rows.Rows {
		id, err := strconv.ParseUint(row.Key, 16, 64)
		var r blockRow
		if err == nil {
			err = json.Unmarshal(row.Value, &r)
		}
		if err != nil {
			e.log.Info("crash: cannot decode the row of a blocked prompt part", "key", row.Key, "error", err.Error())
			continue
		}
		stored[id] = fatal.Block{
			Since: now.Add(-max(0, rows.Clock-time.Duration(r.SinceMs)*time.Millisecond)), Others: fatal.ParseParts(r.Others),
		}
		e.parts.Block(now, id, stored[id])
	}
	return stored, nil
}

// keepBlocks logs changes of the blocked parts and keeps them in the store until the context ends.
func (e *Edge) keepBlocks(ctx context.Context) {
	k := &blockKeeper{edge: e}
	outage := storeOutage{edge: e, purpose: "blocked prompt parts"}
	for sleep.For(ctx, blocksInterval) == nil {
		now := time.Now()
		k.log(e.parts.AllBlocked(now))
		if e.joined.Load() == 0 || e.ranks.Rank(now) != 0 {
			k.stored = nil
			continue
		}
		if err := k.write(ctx, now); err != nil {
			outage.recordFailure(err)
			if !waitRetry(ctx, outage.failures) {
				return
			}
			continue
		}
		outage.recordSuccess()
	}
}

// log logs the parts that have been blocked or cleared since the last check.
func (k *blockKeeper) log(blocked map[uint64]fatal.Block) {
	for id, b := range blocked {
		if _, ok := k.logged[id]; !ok {
			k.edge.log.Info("crash: prompt part blocked", "part", strconv.FormatUint(id, 16), "others", fatal.FormatParts(b.Others),
				"blocked", len(blocked))
			k.edge.exchange.TriggerSend()
		}
	}
	for id := range k.logged {
		if _, ok := blocked[id]; !ok {
			k.edge.log.Info("crash: prompt part no longer blocked", "part", strconv.FormatUint(id, 16), "blocked", len(blocked))
		}
	}
	k.logged = blocked
}

// write writes the rows of parts that are blocked and removes those of parts that no longer are.
func (k *blockKeeper) write(ctx context.Context, now time.Time) error {
	if epoch, _ := k.edge.epochs.get(); epoch != k.epoch || k.stored == nil {
		// A restored store may lack rows, or have some that this instance does not know.
		stored, err := k.edge.loadBlocks(ctx)
		if err != nil {
			return err
		}
		k.epoch, k.stored = epoch, stored
	}
	blocked := k.edge.parts.AllBlocked(now)
	for id, b := range blocked {
		if s, ok := k.stored[id]; ok && b.Since.Sub(s.Since) < blockRowTolerance && slices.Equal(b.Others, s.Others) {
			continue
		}
		if err := k.put(ctx, id, now.Sub(b.Since), b.Others); err != nil {
			return err
		}
		k.stored[id] = b
	}
	for id := range k.stored {
		if _, ok := blocked[id]; ok {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := k.edge.store.Delete(callCtx, platform.Row{Table: blocksTable, Key: strconv.FormatUint(id, 16)})
		cancel()
		if err != nil {
			return err
		}
		delete(k.stored, id)
	}
	return nil
}

// put writes the row of a part that was blocked for a time. Other instances write the same, so the write is unconditional.
func (k *blockKeeper) put(ctx context.Context, id uint64, age time.Duration, others []uint64) error {
	storeClock, _ := k.edge.storeClock.at(clock.SinceBoot())
	value, err := json.Marshal(blockRow{SinceMs: (storeClock - age).Milliseconds(), Others: fatal.FormatParts(others)})
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = k.edge.store.Put(callCtx, platform.Row{Table: blocksTable, Key: strconv.FormatUint(id, 16), Value: value, Version: -1})
	return err
}
