// Package detour connects to upstreams, through other instances while this one has no path to them.
package detour

import (
	"sync"
	"time"
)

const (
	// detachedFailures is the number of upstreams to which connections have to fail, with none made since, before an instance
	// counts as detached. A single one may have ended.
	detachedFailures = 2
	// failureTTL is how long a failed connection counts. Probes of a path that stays broken renew it.
	failureTTL = 5 * time.Second
	// maxProbes is how many paths are probed at a time.
	maxProbes = 4
	// provenTTL is how long a connection to one upstream proves that failures of others are not this instance's.
	provenTTL = 3 * time.Second
)

// Target is an upstream.
type Target struct {
	ID      string
	Address string
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
}

// NewPaths returns paths of which nothing is known.
func NewPaths() *Paths { return &Paths{failures: make(map[string]failure)} }

// Connected records that this instance connected to an upstream itself.
func (p *Paths) Connected(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectedAt = now
	delete(p.failures, address)
}

// Failed records that this instance could not connect to an upstream itself, and whether another one could.
func (p *Paths) Failed(now time.Time, address string, reached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures[address] = failure{at: now, reached: reached || p.failures[address].reached}
}

// Broken reports whether connections to an upstream are made through other instances only.
func (p *Paths) Broken(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, ok := p.failures[address]
	return ok && f.reached && now.Sub(f.at) < failureTTL || p.detached(now)
}

// Detached reports whether this instance seems to have no path to any upstream.
func (p *Paths) Detached(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.detached(now)
}

// detached is Detached for callers that hold the lock.
func (p *Paths) detached(now time.Time) bool {
	n := 0
	for _, f := range p.failures {
		if f.at.After(p.connectedAt) && now.Sub(f.at) < failureTTL {
			n++
		}
	}
	return n >= detachedFailures
}

// Proven reports whether this instance has lately connected to an upstream itself.
func (p *Paths) Proven(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.connectedAt.IsZero() && now.Sub(p.connectedAt) < provenTTL
}

// Probes returns at most maxProbes addresses of upstreams whose path may have been restored. Listed reports whether an upstream is still listed;
// the others are forgotten.
func (p *Paths) Probes(now time.Time, listed func(address string) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	detached := p.detached(now)
	for address, f := range p.failures {
		switch {
		case !listed(address) || now.Sub(f.at) >= failureTTL:
			delete(p.failures, address)
		case f.reached || detached:
			if len(out) < maxProbes {
				out = append(out, address)
			}
		}
	}
	return out
}
