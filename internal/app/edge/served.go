package edge

import (
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/peer/gossip"
	"github.com/skylarkquay/skylarkquay/internal/peer/outage"
)

// outageHeartbeats is how many heartbeat intervals without any read of the store, and with a read that failed, are an outage. An entry
// lapses after three intervals of silence, so that a live upstream has to miss two heartbeats.
const outageHeartbeats = 1.5

// listUpdate returns what this instance reports of the list and of the store, or nil unless it has read the store recently.
func (e *Edge) listUpdate(boot time.Duration) *gossip.ListUpdate {
	u := e.list.report(boot)
	if u == nil {
		return nil
	}
	u.ReturnedAge = -1
	if at, ok := e.outages.ReturnedAt(); ok {
		u.ReturnedAge = int64(boot - at)
	}
	if span, ok := e.outages.Latest(); ok {
		u.ServedAge = int64(boot - span.Since)
	}
	return u
}

// mergeServed records what another instance reports of the store.
func (e *Edge) mergeServed(boot time.Duration, u *gossip.ListUpdate, from string) {
	span := outage.Span{Since: boot - time.Duration(max(u.Age, u.ServedAge)), Until: boot - time.Duration(u.Age)}
	returnedAt := time.Duration(0)
	if u.ReturnedAge >= 0 {
		returnedAt = boot - time.Duration(u.ReturnedAge)
	}
	e.recordServed(boot, span, returnedAt, from)
}

// recordServed records a span in which the store was read, and the return from an outage that was reported with it, or zero.
func (e *Edge) recordServed(boot time.Duration, span outage.Span, returnedAt time.Duration, from string) {
	e.servedMu.Lock()
	defer e.servedMu.Unlock()
	before, _ := e.outages.ReturnedAt()
	last, _ := e.outages.Latest()
	e.outages.Served(span, returnedAt)
	after, ok := e.outages.ReturnedAt()
	if after == before {
		return
	}
	if !ok {
		e.log.Info("store: was served to others all the while", "from", from, "since_ms", (boot - span.Since).Milliseconds())
		e.fleet.SetStoreReturned(time.Time{})
		return
	}
	e.log.Info("store: back from an outage", "from", from, "returned_ms", (boot - after).Milliseconds(), "unread_ms", (after - last.Until).Milliseconds())
	e.fleet.SetStoreReturned(time.Now().Add(after - clock.SinceBoot()))
}

// recordRestored records that the store was restored from a copy.
func (e *Edge) recordRestored(boot time.Duration) {
	e.servedMu.Lock()
	defer e.servedMu.Unlock()
	e.outages.Restored(boot)
	e.fleet.SetStoreReturned(time.Now())
}
