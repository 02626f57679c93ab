// Package fatal counts, across all instances, the upstreams that crashed while running the same request. The counts are held
// in memory and reported to peers in gossip messages.
package fatal

import (
	"strconv"
	"sync"
	"time"
)

const (
	// window is how long a crash counts. A request that crashes upstreams is retried within seconds.
	window = 60 * time.Second
	// maxReported is the maximum number of requests in one message to other instances.
	maxReported = 64
	// maxRecords limits memory when very many requests fail at once.
	maxRecords = 4096
)

// record counts the crashes of one request.
type record struct {
	// local counts those since this instance started, former those before, as other instances know them.
	local, former int
	// last is when a count last changed.
	last time.Time
	// peers are the counts reported by the peers, by address.
	peers map[string]int
}

// own returns the count of this instance.
func (r *record) own() int { return r.local + r.former }

// Tracker holds the counts of this instance and its peers. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[uint64]*record
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{records: make(map[uint64]*record)} }

// Count returns the number of upstreams that crashed while running a request.
func (tr *Tracker) Count(now time.Time, fingerprint uint64) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	r, ok := tr.records[fingerprint]
	if !ok || now.Sub(r.last) > window {
		return 0
	}
	sum := r.own()
	for _, n := range r.peers {
		sum += n
	}
	return sum
}

// Crashed records that an upstream crashed while running a request.
func (tr *Tracker) Crashed(now time.Time, fingerprint uint64) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if r := tr.getOrCreate(now, fingerprint); r != nil {
		r.local++
		r.last = now
	}
}

func (tr *Tracker) getOrCreate(now time.Time, fingerprint uint64) *record {
	r, ok := tr.records[fingerprint]
	if ok {
		return r
	}
	if len(tr.records) >= maxRecords {
		tr.removeExpired(now)
	}
	if len(tr.records) >= maxRecords {
		return nil
	}
	r = &record{peers: make(map[string]int)}
	tr.records[fingerprint] = r
	return r
}

func (tr *Tracker) removeExpired(now time.Time) {
	for fingerprint, r := range tr.records {
		if now.Sub(r.last) > window {
			delete(tr.records, fingerprint)
		}
	}
}

// Report returns this instance's own counts by hexadecimal fingerprint. Single crashes are included, because three
// instances may see one each.
func (tr *Tracker) Report(now time.Time) map[string]int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.removeExpired(now)
	counts := make(map[string]int)
	for fingerprint, r := range tr.records {
		if r.own() > 0 && len(counts) < maxReported {
			counts[strconv.FormatUint(fingerprint, 16)] = r.own()
		}
	}
	return counts
}

// Merge records the counts of a peer. A smaller one than before is that of a peer that has just started.
func (tr *Tracker) Merge(now time.Time, peer string, counts map[string]int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for hex, n := range counts {
		fingerprint, err := strconv.ParseUint(hex, 16, 64)
		if err != nil || n <= 0 {
			continue
		}
		r := tr.getOrCreate(now, fingerprint)
		if r == nil {
			return
		}
		if r.peers[peer] < n {
			r.peers[peer] = n
			r.last = now
		}
	}
}
