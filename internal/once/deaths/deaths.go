// Package deaths counts, over all instances, how many upstreams died of the same request.
package deaths

import (
	"strconv"
	"sync"
	"time"
)

const (
	// remembered is how long a death counts. A request that kills upstreams comes again within seconds.
	remembered = 60 * time.Second
	// toldMost bounds what one message to other instances carries.
	toldMost = 64
	// keptMost bounds memory when very many requests break off at once.
	keptMost = 4096
)

type record struct {
	own   int
	last  time.Time
	peers map[string]int
}

// Book is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	records map[uint64]*record
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{records: make(map[uint64]*record)} }

// Crashes returns how many upstreams died of a request.
func (b *Book) Crashes(now time.Time, fingerprint uint64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.records[fingerprint]
	if !ok || now.Sub(r.last) > remembered {
		return 0
	}
	sum := r.own
	for _, n := range r.peers {
		sum += n
	}
	return sum
}

// Crashed records that an upstream broke off while it ran a request.
func (b *Book) Crashed(now time.Time, fingerprint uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.record(now, fingerprint); r != nil {
		r.own++
		r.last = now
	}
}

func (b *Book) record(now time.Time, fingerprint uint64) *record {
	r, ok := b.records[fingerprint]
	if ok {
		return r
	}
	if len(b.records) >= keptMost {
		b.expire(now)
	}
	if len(b.records) >= keptMost {
		return nil
	}
	r = &record{peers: make(map[string]int)}
	b.records[fingerprint] = r
	return r
}

func (b *Book) expire(now time.Time) {
	for fingerprint, r := range b.records {
		if now.Sub(r.last) > remembered {
			delete(b.records, fingerprint)
		}
	}
}

// Tell returns this instance's own counts, by the fingerprint in hexadecimal. Single deaths are told too: three
// instances may see one each.
func (b *Book) Tell(now time.Time) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	told := make(map[string]int)
	for fingerprint, r := range b.records {
		if r.own > 0 && len(told) < toldMost {
			told[strconv.FormatUint(fingerprint, 16)] = r.own
		}
	}
	return told
}

// Hear records the counts of another instance.
func (b *Book) Hear(now time.Time, peer string, told map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for text, n := range told {
		fingerprint, err := strconv.ParseUint(text, 16, 64)
		if err != nil || n <= 0 {
			continue
		}
		r := b.record(now, fingerprint)
		if r == nil {
			return
		}
		if r.peers[peer] != n {
			r.peers[peer] = n
			r.last = now
		}
	}
}
