package edge

import (
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/peer/gossip"
)

const (
	// newsKept is how long changes of the list are told; an instance that missed more reads the store.
	newsKept = 3 * time.Second
	// newsFresh is how long after its own read an instance tells of the list.
	newsFresh = 2 * time.Second
)

// dated is a change with the time at which it was read.
type dated struct {
	gossip.ListChange
	at time.Time
}

// list is how far this instance knows the list of upstreams.
type list struct {
	mu sync.Mutex
	// version is negative until the list was read whole.
	version int64
	// asOf is the time at which the store had nothing newer.
	asOf time.Time
	// own is when this instance last read the store itself.
	own  time.Time
	away time.Time
	// news are changes after since.
	since int64
	news  []dated
}

func newList() *list { return &list{version: -1} }

// age returns how old the knowledge is, and its version.
func (l *list) age(now time.Time) (time.Duration, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.asOf), l.version
}

// forget asks for the whole list.
func (l *list) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = -1
}

// lost records that the store could not be read. What is missed comes with the next read or from others.
func (l *list) lost(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = now
}

// read records that the store was read up to a version.
func (l *list) read(asked time.Time, version int64, changes []gossip.ListChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version < 0 || l.own.Before(l.asOf) {
		// Changes that others told are not told on.
		l.news, l.since = nil, version
		if l.version >= 0 {
			l.since = l.version
		}
	}
	for _, c := range changes {
		l.news = append(l.news, dated{c, asked})
	}
	l.version, l.asOf, l.own = version, asked, asked
}

// copied records that the whole list was taken from another instance.
func (l *list) copied(now time.Time, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.asOf = version, now
}

// tell returns what others should know, or nil when this instance did not read the store lately.
func (l *list) tell(now time.Time) *gossip.ListUpdate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version < 0 || l.own.Before(l.asOf) || now.Sub(l.own) > newsFresh {
		return nil
	}
	for len(l.news) > 0 && now.Sub(l.news[0].at) > newsKept {
		l.since = l.news[0].Version
		l.news = l.news[1:]
	}
	told := &gossip.ListUpdate{Since: l.since, Version: l.version, Age: int64(now.Sub(l.asOf)), UnreachableAge: -1}
	if !l.away.IsZero() {
		told.UnreachableAge = int64(now.Sub(l.away))
	}
	for _, d := range l.news {
		told.Changes = append(told.Changes, d.ListChange)
	}
	return told
}

// hear returns the changes of another instance's news that are new here. They cannot be used when some before them were
// missed.
func (l *list) hear(now time.Time, n *gossip.ListUpdate) []gossip.ListChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := now.Add(-time.Duration(n.Age))
	if l.version < 0 || l.version < n.Since || asOf.Before(l.asOf) {
		return nil
	}
	var fresh []gossip.ListChange
	for _, c := range n.Changes {
		if c.Version > l.version {
			fresh = append(fresh, c)
		}
	}
	l.version = max(l.version, n.Version)
	l.asOf = asOf
	return fresh
}
