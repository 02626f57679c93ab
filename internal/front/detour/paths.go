// Package detour connects to upstreams, through other instances while this one has no path to them.
package detour

import (
	"slices"
	"sync"
	"time"
)

const (
	// suspectFailures is the number of upstreams to which connections have to fail, with none made since, before an instance
	// checks whether it has a path to any. A single one may have ended.
	suspectFailures = 2
	// failureTTL is how long a failed connection counts. Probes of a path that stays broken renew it.
	failureTTL = 5 * time.Second
	// maxProbes is how many paths are checked at a time.
	maxProbes = 4
)

// Target is an upstream.
type Target struct {
	ID      string
	Address string
	// Born distinguishes processes with the same ID; zero for any.
	Born int64
}

// failure is a failed connection to an upstream.
type failure struct {
	at time.Time
	// reached reports whether another instance could connect to the upstream.
	reached bool
}

// Paths tracks to which upstreams this instance can connect itself. It is safe for concurrent use.
type Paths struct {
	mu sync.Mutex
	// failures holds the upstreams, by address, to which this instance's latest connection failed.
	failures map[string]failure
	// connectedAt is when this instance last connected to an upstream itself.
	connectedAt time.Time
	// detached reports whether this instance could not connect to any of several upstreams, with none connected to since.
	detached bool
	// suspected wakes those that check the paths.
	suspected chan struct{}
}

// NewPaths returns paths of which nothing is known.
func NewPaths() *Paths {
	return &Paths{failures: make(map[string]failure), suspected: make(chan struct{}, 1)}
}

// Connected records that this instance connected to an upstream itself.
func (p *Paths) Connected(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectedAt, p.detached = now, false
	delete(p.failures, address)
}

// Failed records that this instance could not connect to an upstream itself, and whether another one could.
func (p *Paths) Failed(now time.Time, address string, reached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures[address] = failure{at: now, reached: reached || p.failures[address].reached}
	if p.suspect(now) && !p.detached {
		select {
		case p.suspected <- struct{}{}:
		default:
		}
	}
}

// Broken reports whether connections to an upstream are made through other instances only.
func (p *Paths) Broken(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, ok := p.failures[address]
	return ok && f.reached && now.Sub(f.at) < failureTTL || p.detached
}

// Detached reports whether this instance has no path to any upstream.
func (p *Paths) Detached() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.detached
}

// Suspect reports whether this instance may have no path to any upstream.
func (p *Paths) Suspect(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspect(now)
}

// detach records that connections to several upstreams have failed since a time, unless one was made.
func (p *Paths) detach(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detached = p.connectedAt.Before(since)
}

// suspect is Suspect for callers that hold the lock.
func (p *Paths) suspect(now time.Time) bool {
	n := 0
	for _, f := range p.failures {
		if f.at.After(p.connectedAt) && now.Sub(f.at) < failureTTL {
			n++
		}
	}
	return n >= suspectFailures
}

// ConnectedSince reports whether this instance has connected to an upstream itself since a time.
func (p *Paths) ConnectedSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.connectedAt.Before(at)
}

// broken returns at most maxProbes upstreams that another instance could reach and this one could not. Upstreams that are not listed
// any more are forgotten.
func (p *Paths) broken(now time.Time, listed []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for address, f := range p.failures {
		switch {
		case !slices.Contains(listed, address) || now.Sub(f.at) >= failureTTL:
			delete(p.failures, address)
		case f.reached:
			if len(out) < maxProbes {
				out = append(out, address)
			}
		}
	}
	return out
}
