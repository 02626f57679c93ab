package edge

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/platform"
)

// restoresTable and restoresKey identify the row with the latest restore of the store, by which instances that start know how long ago
// it was. A copy from which the store is restored never has the row of that restore.
const (
	restoresTable = "restore"
	restoresKey   = "latest"
)

// restoreRow is the store's row of its latest restore.
type restoreRow struct {
	Epoch int64 `json:"epoch"`
	// SinceMs is the store's clock, in milliseconds, when an instance learned of the restore. It is not too early.
	SinceMs int64 `json:"since"`
}

// readRestore reads when the store was restored to an epoch, once, and records it in the store if no instance has.
func (e *Edge) readRestore(ctx context.Context, epoch int64) error {
	if epoch == 0 || epoch == e.restoreRead {
		return nil
	}
	requestedAt := clock.SinceBoot()
	rows, err := e.readTable(ctx, restoresTable)
	if err != nil {
		return err
	}
	if rows.Epoch != epoch {
		return errOldEpoch
	}
	e.observeStoreClock(requestedAt, rows.Clock)
	var latest restoreRow
	version := int64(0)
	for _, row := range rows.Rows {
		if row.Key != restoresKey {
			continue
		}
		version = row.Version
		if err := json.Unmarshal(row.Value, &latest); err != nil {
			e.log.Info("store: cannot decode the row of the latest restore", "row", row.Version, "error", err.Error())
		}
	}
	if latest.Epoch == epoch {
		e.dateRestore(clock.SinceBoot(), epoch, rows.Clock-time.Duration(latest.SinceMs)*time.Millisecond)
	} else if err := e.saveRestore(ctx, epoch, version); err != nil {
		return err
	}
	e.restoreRead = epoch
	return nil
}

// dateRestore records that an instance had learned of the restore to an epoch a while before.
func (e *Edge) dateRestore(boot time.Duration, epoch int64, age time.Duration) {
	at := max(1, boot-max(0, age))
	// A later restore must not be undone here.
	e.epochs.date(epoch, at, func() { e.replica.Restored(at + policy.RestoreSettleTime) })
	e.log.Info("store: date of the restore read", "epoch", epoch, "age_ms", age.Milliseconds())
}

// saveRestore writes the row of a restore.
func (e *Edge) saveRestore(ctx context.Context, epoch, version int64) error {
	_, restoredAt := e.epochs.get()
	since, _ := e.storeClock.at(restoredAt)
	value, err := json.Marshal(restoreRow{Epoch: epoch, SinceMs: since.Milliseconds()})
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = e.store.Put(callCtx, platform.Row{Table: restoresTable, Key: restoresKey, Value: value, Version: version})
	if errors.Is(err, platform.ErrVersionMismatch) {
		// Another instance has written it.
		return nil
	}
	return err
}
