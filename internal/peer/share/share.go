// Package share decides which instance asks the store on behalf of all. Every instance ranks itself among those it hears;
// the first asks and tells the others, and the next ones step in by rank when they hear nothing for too long. Nothing
// is agreed on: two instances that both ask only cost a call.
package share

import (
	"fmt"
	"sync"
	"time"
)

const (
	// fresh is how long an instance counts after it was heard. Messages come four times a second.
	fresh = 800 * time.Millisecond
	// followerFresh is how long another instance's word that it follows the operators' rows counts.
	followerFresh = 600 * time.Millisecond
	// perRank spreads those that step in.
	perRank = 60 * time.Millisecond
	// rankMost bounds that spread, so that a lone instance among silent ones asks in time.
	rankMost = 8
)

type peer struct {
	heard     time.Time
	following time.Time
}

// Circle is what an instance knows of who else is awake. It is safe for concurrent use.
type Circle struct {
	// me is this instance's place in the order of all.
	me    string
	mu    sync.Mutex
	peers map[string]peer
}

// NewCircle returns a circle of one.
func NewCircle(me string) *Circle {
	return &Circle{me: me, peers: make(map[string]peer)}
}

// Order returns an instance's place in the order in which duties for all are taken: larger machines first.
func Order(size int, name string) string {
	return fmt.Sprintf("%08d %s", max(0, 99999999-size), name)
}

// Hear records a message of another instance by its place, and whether it or one before it follows the operators' rows.
func (c *Circle) Hear(now time.Time, name string, following bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[name]
	p.heard = now
	if following {
		p.following = now
	} else {
		p.following = time.Time{}
	}
	c.peers[name] = p
}

// Rank returns the number of instances that were heard lately and come before this one.
func (c *Circle) Rank(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for name, p := range c.peers {
		if name < c.me && now.Sub(p.heard) < fresh {
			n++
		}
	}
	return n
}

// Follow tells whether this instance should follow the operators' rows itself.
func (c *Circle) Follow(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.peers {
		if name < c.me && !p.following.IsZero() && now.Sub(p.following) < followerFresh {
			return false
		}
	}
	return true
}

// Due returns the age of knowledge at which an instance of a rank asks the store itself. Delay is how long the word of the
// one that asks may take.
func Due(rank int, pause, delay time.Duration) time.Duration {
	if rank == 0 {
		return pause
	}
	return pause + delay + time.Duration(min(rank, rankMost))*perRank
}
