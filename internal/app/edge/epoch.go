package edge

import (
	"errors"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
)

// errOldEpoch means that a response came from before the latest restore of the store.
var errOldEpoch = errors.New("the response is older than the latest restore of the store")

// unknownEpoch is the epoch before the store's first response.
const unknownEpoch = -1

// epochTracker holds the store's epoch: the number of times that it was restored from a copy. Versions of rows are ordered
// within an epoch only. It is safe for concurrent use.
type epochTracker struct {
	mu      sync.Mutex
	current int64
	// restoredAt is when an instance learned of the latest restore, in nanoseconds of clock.SinceBoot; zero if there was none. It is
	// this instance, or the one that recorded the restore in the store.
	restoredAt time.Duration
}

// observe records an epoch and returns the previous one. Risen reports whether the store was restored since. It calls restored if the
// store may have been restored just now; until that returns, nobody else learns of the epoch.
func (t *epochTracker) observe(boot time.Duration, epoch int64, restored func()) (previous int64, risen bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous = t.current
	if epoch <= previous {
		return previous, false
	}
	t.current = epoch
	if epoch > 0 {
		// The store may have been restored just now, also if this instance has just started.
		t.restoredAt = boot
		restored()
	}
	return previous, previous != unknownEpoch
}

// date sets when the restore to an epoch became known, and calls apply, unless the epoch is over or the date no earlier than the known
// one.
func (t *epochTracker) date(epoch int64, at time.Duration, apply func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch == t.current && at < t.restoredAt {
		t.restoredAt = at
		apply()
	}
}

// get returns the epoch and when the latest restore became known; zero if there was none.
func (t *epochTracker) get() (epoch int64, restoredAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current, t.restoredAt
}

// observeEpoch handles an epoch that the store or another instance named. After a restore, all that was remembered by a
// version of the store is read again; docs/design/restore.md lists it.
func (e *Edge) observeEpoch(epoch int64, from string) {
	boot := clock.SinceBoot()
	previous, risen := e.epochs.observe(boot, epoch, func() { e.replica.Restored(boot + policy.RestoreSettleTime) })
	if !risen {
		return
	}
	age, _ := e.replica.ConfirmationAge(boot)
	_, listVersion := e.list.age(boot)
	e.log.Info("store: restored from a copy", "epoch", epoch, "previous", previous, "from", from, "confirmed_ms", age.Milliseconds(),
		"list_row", listVersion)
	e.metrics.Counter("store_restored").Inc(1)
	// Upstreams that the copy lacks write their entries again.
	e.recordRestored(boot)
	e.list.restore()
	e.rollout.dropLease()
	select {
	case e.registerAgain <- struct{}{}:
	default:
	}
	e.exchange.TriggerSend()
}
