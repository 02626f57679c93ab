// Package rank decides which instance polls the store on behalf of all. Every instance ranks itself among those whose
// messages it receives. The first polls and sends the result to the others. The next ones take over by rank when no result
// arrives in time. There is no agreement: two instances that both poll only cost one more call.
package rank

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// peerTimeout is how long an instance counts after its last message. Messages arrive four times a second.
	peerTimeout = 800 * time.Millisecond
	// followTimeout is how long another instance's report that it follows the operators' rows is valid.
	followTimeout = 600 * time.Millisecond
	// rankStep is the delay for each rank before an instance takes over, so that they do not all poll at once.
	rankStep = 60 * time.Millisecond
	// maxRank bounds that delay, so that a single live instance among unresponsive ones still polls in time.
	maxRank = 8
	// unservedTTL is how long an instance that the store refused leaves the polling to others before it tries again.
	unservedTTL = 3 * time.Second
)

// Report is what an instance says of its reads of the store.
type Report struct {
	// Following reports whether the instance, or one that precedes it, follows the operators' rows.
	Following bool
	// Unserved reports whether the store has just refused the instance.
	Unserved bool
}

type peer struct {
	lastSeen    time.Time
	followingAt time.Time
	unserved    bool
}

// Tracker records when the other instances were last seen and which of them follow the operators' rows. It is safe for concurrent use.
type Tracker struct {
	// self is this instance's sort key.
	self  string
	mu    sync.Mutex
	peers map[string]peer
	// refusedAt is when the store last refused this instance; zero if it has served it since.
	refusedAt time.Time
}

// NewTracker returns a tracker without other instances.
func NewTracker(self string) *Tracker {
	return &Tracker{self: self, peers: make(map[string]peer)}
}

// SortKey returns an instance's sort key in the order in which instances poll for all: larger machines first, then by
// address.
func SortKey(size int, address string) string {
	return fmt.Sprintf("%08d %s", max(0, 99999999-size), address)
}

// Observe records a message of another instance by its sort key.
func (t *Tracker) Observe(now time.Time, key string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[key]
	p.lastSeen, p.unserved = now, r.Unserved
	if r.Following {
		p.followingAt = now
	} else {
		p.followingAt = time.Time{}
	}
	t.peers[key] = p
}

// MarkUnserved records that the store refused this instance, and reports whether that is new.
func (t *Tracker) MarkUnserved(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isUnserved(now) {
		return false
	}
	t.refusedAt = now
	return true
}

// MarkServed records that the store served this instance.
func (t *Tracker) MarkServed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusedAt = time.Time{}
}

// IsUnserved reports whether the store has just refused this instance.
func (t *Tracker) IsUnserved(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isUnserved(now)
}

// isUnserved is IsUnserved for callers that hold the lock.
func (t *Tracker) isUnserved(now time.Time) bool {
	return !t.refusedAt.IsZero() && now.Sub(t.refusedAt) < unservedTTL
}

// precedes reports whether a peer polls before this instance: those that the store serves go first. The caller holds the lock.
func (t *Tracker) precedes(now time.Time, key string, p peer) bool {
	if unserved := t.isUnserved(now); p.unserved != unserved {
		return unserved
	}
	return key < t.self
}

// Rank returns the number of live instances that precede this one.
func (t *Tracker) Rank(now time.Time) int {
	return t.RankAmong(now, func(string) bool { return true })
}

// RankAmong returns the number of live instances that precede this one and are included, by address.
func (t *Tracker) RankAmong(now time.Time, included func(address string) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for key, p := range t.peers {
		_, address, _ := strings.Cut(key, " ")
		if now.Sub(p.lastSeen) < peerTimeout && t.precedes(now, key, p) && included(address) {
			n++
		}
	}
	return n
}

// ShouldFollow reports whether this instance should follow the operators' rows itself.
func (t *Tracker) ShouldFollow(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, p := range t.peers {
		if key < t.self && !p.followingAt.IsZero() && now.Sub(p.followingAt) < followTimeout {
			return false
		}
	}
	return true
}

// PollAge returns the age of its data at which an instance of a rank polls the store itself. Delay is how long the report of
// the polling instance may take to arrive.
func PollAge(rank int, interval, delay time.Duration) time.Duration {
	if rank == 0 {
		return interval
	}
	return interval + delay + time.Duration(min(rank, maxRank))*rankStep
}
