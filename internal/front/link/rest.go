package link

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"time"
)

const (
	// restLeast is the shortest idle time that a reset may be due to; a connection used later was lost for another reason.
	restLeast = 100 * time.Millisecond
	// restMargin is the part of an idle time at which a connection was found forgotten for which others are still used.
	restMargin = 0.75
	// restLasts is how long a shorter idle time is kept in force after the last connection that was found forgotten.
	restLasts = 10 * time.Second
)

// rest remembers after how much idle time upstreams were found to have forgotten a connection without a word.
type rest struct {
	mu    sync.Mutex
	found map[string]limit
	// all is the shortest idle time of all upstreams.
	all limit
}

// limit is an idle time with the end of its validity.
type limit struct {
	idle  time.Duration
	until time.Time
}

func (l limit) at(now time.Time, idle time.Duration) time.Duration {
	if now.Before(l.until) {
		return min(l.idle, idle)
	}
	return idle
}

// forgotten tells whether a kept connection failed in the way of one that its upstream has dropped.
func forgotten(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
}

// learn records that a connection had been forgotten after an idle time.
func (r *rest) learn(now time.Time, address string, idle time.Duration) {
	if idle < restLeast {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	found := limit{time.Duration(float64(idle) * restMargin), now.Add(restLasts)}
	if r.found == nil {
		r.found = make(map[string]limit)
	}
	for address, l := range r.found {
		if !now.Before(l.until) {
			delete(r.found, address)
		}
	}
	r.all = limit{r.all.at(now, found.idle), found.until}
	r.found[address] = limit{r.found[address].at(now, found.idle), found.until}
}

// most returns how long a connection may have been idle to be used. Requests that must not run twice heed what was found
// at any upstream, since they cannot be sent again.
func (r *rest) most(now time.Time, address string, idle time.Duration, once bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if once {
		return r.all.at(now, min(idle, freshMost))
	}
	return r.found[address].at(now, idle)
}
