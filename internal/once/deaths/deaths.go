// Package deaths counts, across all instances, the upstreams that crashed while running the same request.
package deaths

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

type record struct {
	local int
	last  time.Time
	peers map[string]int
}

// Book holds the crash counts of this instance and of its peers. It is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	records map[uint64]*record
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{records: make(map[uint64]*record)} }

// Deaths returns the number of upstreams that crashed while running a request.
func (b *Book) Deaths(now time.Time, fingerprint uint64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.records[fingerprint]
	if !ok || now.Sub(r.last) > window {
		return 0
	}
	sum := r.local
	for _, n := range r.peers {
		sum += n
	}
	return sum
}

// Died records that an upstream crashed while running a request.
func (b *Book) Died(now time.Time, fingerprint uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.getOrCreate(now, fingerprint); r != nil {
		r.local++
		r.last = now
	}
}

func (b *Book) getOrCreate(now time.Time, fingerprint uint64) *record {
	r, ok := b.records[fingerprint]
	if ok {
		return r
	}
	if len(b.records) >= maxRecords {
		b.removeExpired(now)
	}
	if len(b.records) >= maxRecords {
		return nil
	}
	r = &record{peers: make(map[string]int)}
	b.records[fingerprint] = r
	return r
}

func (b *Book) removeExpired(now time.Time) {
	for fingerprint, r := range b.records {
		if now.Sub(r.last) > window {
			delete(b.records, fingerprint)
		}
	}
}

// Tell returns this instance's own counts by hexadecimal fingerprint. Single crashes are included, because three
// instances may see one each.
func (b *Book) Tell(now time.Time) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeExpired(now)
	counts := make(map[string]int)
	for fingerprint, r := range b.records {
		if r.local > 0 && len(counts) < maxReported {
			counts[strconv.FormatUint(fingerprint, 16)] = r.local
		}
	}
	return counts
}

// Hear records the counts of a peer.
func (b *Book) Hear(now time.Time, peer string, counts map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for hex, n := range counts {
		fingerprint, err := strconv.ParseUint(hex, 16, 64)
		if err != nil || n <= 0 {
			continue
		}
		r := b.getOrCreate(now, fingerprint)
		if r == nil {
			return
		}
		if r.peers[peer] != n {
			r.peers[peer] = n
			r.last = now
		}
	}
}
