package link

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"time"
)

const (
	// minLearnedIdle is the shortest idle time that counts as the cause of a reset; a connection reset sooner failed for
	// another reason.
	minLearnedIdle = 100 * time.Millisecond
	// learnedIdleShare is the fraction of a dropped connection's idle time that becomes the limit for other connections.
	learnedIdleShare = 0.75
	// learnedIdleTTL is how long a learned limit applies after the latest dropped connection.
	learnedIdleTTL = 10 * time.Second
)

// idleLimits records the idle times after which upstreams silently dropped connections.
type idleLimits struct {
	mu        sync.Mutex
	byAddress map[string]idleLimit
	// shortest is the shortest limit of all upstreams.
	shortest idleLimit
}

// idleLimit is a maximum idle time that applies until it expires.
type idleLimit struct {
	idle  time.Duration
	until time.Time
}

// apply returns idle, reduced to the limit unless the limit has expired.
func (l idleLimit) apply(now time.Time, idle time.Duration) time.Duration {
	if now.Before(l.until) {
		return min(l.idle, idle)
	}
	return idle
}

// droppedByPeer reports whether err on a pooled connection indicates that the upstream had dropped it.
func droppedByPeer(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
}

// record records that an upstream dropped a connection after an idle time.
func (l *idleLimits) record(now time.Time, address string, idle time.Duration) {
	if idle < minLearnedIdle {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	learned := idleLimit{time.Duration(float64(idle) * learnedIdleShare), now.Add(learnedIdleTTL)}
	if l.byAddress == nil {
		l.byAddress = make(map[string]idleLimit)
	}
	for address, limit := range l.byAddress {
		if !now.Before(limit.until) {
			delete(l.byAddress, address)
		}
	}
	l.shortest = idleLimit{l.shortest.apply(now, learned.idle), learned.until}
	l.byAddress[address] = idleLimit{l.byAddress[address].apply(now, learned.idle), learned.until}
}

// maxIdle returns the idle time up to which a connection may be used; idle is its timeout. For requests that must not run
// twice (fresh), the limits of all upstreams apply, because such requests cannot be retried.
func (l *idleLimits) maxIdle(now time.Time, address string, idle time.Duration, fresh bool) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fresh {
		return l.shortest.apply(now, min(idle, maxFreshIdle))
	}
	return l.byAddress[address].apply(now, idle)
}
