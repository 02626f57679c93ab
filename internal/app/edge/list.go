package edge

import (
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/peer/gossip"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

const (
	// changeRetention is how long changes of the list are reported; an instance that missed older ones reads the store.
	changeRetention = 3 * time.Second
	// maxListLag is the age up to which an instance's list has all builds at which streams may have begun.
	maxListLag = fleet.BuildSettleTime
	// maxChangesBytes bounds the changes in a report, which has to fit in a datagram with the rest of a message. An instance that missed
	// older ones reads the store.
	maxChangesBytes = 40000
	// fixedChangeBytes is the length of a change without its texts, and weightsBytes that of a version of a model's weights.
	fixedChangeBytes = 150
	weightsBytes     = 24
	// maxReportAge is how long after its own read of the store an instance reports the list.
	maxReportAge = 2 * time.Second
)

// datedChange is a change with the time at which this instance requested it from the store.
type datedChange struct {
	gossip.ListChange
	requestedAt time.Duration
}

// listState is the version and age of this instance's copy of the list of upstreams, with the changes to report. Times are on the
// boot-time clock, which counts suspensions.
type listState struct {
	mu sync.Mutex
	// epoch is the store's epoch of the version.
	epoch int64
	// version is negative until the complete list was read.
	version int64
	// restored reports whether the next complete list is the first one after a restore of the store.
	restored bool
	// asOf is the latest time at which the store is known to have had no newer version. After a copy from an instance of an earlier build
	// it is when the copy was requested.
	asOf time.Duration
	// provenAt is a time at which the store had no newer version, also if this instance or others were frozen since. AsOf may be later
	// than that, because it dates a message of another instance by its arrival.
	provenAt time.Duration
	// readAt is when this instance last read the store itself.
	readAt time.Duration
	// changes are the changes after version since that are still reported.
	since   int64
	changes []datedChange
}

func newListState() *listState { return &listState{version: -1} }

// age returns the age of the list and its version.
func (l *listState) age(boot time.Duration) (time.Duration, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return boot - l.asOf, l.version
}

// isCurrent reports whether the list is known to have had all entries of the store at some time in the last maxListLag.
func (l *listState) isCurrent(boot time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version >= 0 && boot-l.provenAt < maxListLag
}

// reset makes the next read fetch the complete list.
func (l *listState) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = -1
}

// restore makes the next read fetch the complete list of a restored store. The changes before have no order to later ones.
func (l *listState) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.changes, l.restored, l.provenAt = -1, nil, true, 0
}

// isRestored reports whether the next complete list is the first one after a restore of the store.
func (l *listState) isRestored() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restored
}

// currentEpoch returns the epoch of the list.
func (l *listState) currentEpoch() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

// recordRead records that the store was read up to a version of an epoch.
func (l *listState) recordRead(requestedAt time.Duration, epoch, version int64, changes []gossip.ListChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version < 0 || l.readAt < l.asOf {
		// Changes received from other instances are not forwarded.
		l.changes, l.since = nil, version
		if l.version >= 0 {
			l.since = l.version
		}
	}
	for _, c := range changes {
		l.changes = append(l.changes, datedChange{c, requestedAt})
	}
	l.epoch, l.version, l.restored = epoch, version, false
	l.asOf, l.readAt, l.provenAt = requestedAt, requestedAt, max(l.provenAt, requestedAt)
}

// currentVersion returns the version of the list, negative until the complete list was read.
func (l *listState) currentVersion() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

// recordCopy records that the complete list was copied from another instance, which knows that the store had no newer version at a time.
func (l *listState) recordCopy(asOf time.Duration, epoch, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch, l.version, l.restored, l.asOf = epoch, version, false, asOf
}

// report returns the update for other instances, or nil unless this instance read the store in the last maxReportAge.
func (l *listState) report(boot time.Duration) *gossip.ListUpdate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version < 0 || l.readAt < l.asOf || boot-l.readAt > maxReportAge {
		return nil
	}
	total := 0
	for _, c := range l.changes {
		total += changeBytes(c.ListChange)
	}
	for len(l.changes) > 0 && (boot-l.changes[0].requestedAt > changeRetention || total > maxChangesBytes) {
		total -= changeBytes(l.changes[0].ListChange)
		l.since = l.changes[0].Version
		l.changes = l.changes[1:]
	}
	update := &gossip.ListUpdate{Epoch: l.epoch, Since: l.since, Version: l.version, Age: int64(boot - l.asOf)}
	for _, d := range l.changes {
		update.Changes = append(update.Changes, d.ListChange)
	}
	return update
}

// merge returns the changes of another instance's update that are new here. It returns none if earlier changes were
// missed.
func (l *listState) merge(boot time.Duration, u *gossip.ListUpdate) []gossip.ListChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := boot - time.Duration(u.Age)
	if u.Epoch != l.epoch || l.version < 0 || l.version < u.Since || asOf < l.asOf {
		return nil
	}
	var newChanges []gossip.ListChange
	for _, c := range u.Changes {
		if c.Version > l.version {
			newChanges = append(newChanges, c)
		}
	}
	l.version = max(l.version, u.Version)
	l.asOf = asOf
	return newChanges
}

// changeBytes returns about how long a change is in a message.
func changeBytes(c gossip.ListChange) int {
	n := fixedChangeBytes + len(c.ID)
	if c.Entry == nil {
		return n
	}
	n += len(c.Entry.ID) + len(c.Entry.Service) + len(c.Entry.Address) + len(c.Entry.Zone) + len(c.Entry.Build)
	for model := range c.Entry.Weights {
		n += len(model) + weightsBytes
	}
	return n
}

// prove records that a message that was not sent before a time had an update, whose changes have been applied if they were new.
func (l *listState) prove(sentAfter time.Duration, u *gossip.ListUpdate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.Epoch == l.epoch && l.version >= u.Version && u.Age >= 0 {
		l.provenAt = max(l.provenAt, sentAfter-time.Duration(u.Age))
	}
}
