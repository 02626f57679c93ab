// Package kept remembers which prefixes were saved to the store of kept KV cache by any instance, so that each is sent
// there once. The store's link is slower than those of all engines together, and what is saved besides displaces
// prefixes that many requests share.
package kept

import (
	"sync"
	"time"
)

const (
	// Believed is how long a saved prefix counts as kept. The store may have given it up meanwhile, and a prefix that is
	// saved again within that time costs little.
	Believed = 15 * time.Second
	// told is how long a save is told to other instances, which is three messages.
	told = 800 * time.Millisecond
	// most bounds memory.
	most = 1 << 14
)

// Book is safe for concurrent use.
type Book struct {
	mu    sync.Mutex
	saved map[uint64]time.Time
	own   map[uint64]time.Time
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{saved: make(map[uint64]time.Time), own: make(map[uint64]time.Time)}
}

// Holds tells whether a prefix was saved lately.
func (b *Book) Holds(now time.Time, key uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.saved[key]
	return ok && now.Sub(at) < Believed
}

// Save records a prefix that this instance had saved.
func (b *Book) Save(now time.Time, key uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.put(now, key)
	b.own[key] = now
}

func (b *Book) put(now time.Time, key uint64) {
	if len(b.saved) >= most {
		for k, at := range b.saved {
			if now.Sub(at) >= Believed {
				delete(b.saved, k)
			}
		}
	}
	if len(b.saved) < most {
		b.saved[key] = now
	}
}

// Tell returns the prefixes that this instance had saved a moment ago.
func (b *Book) Tell(now time.Time) []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var keys []uint64
	for key, at := range b.own {
		if now.Sub(at) > told {
			delete(b.own, key)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

// Hear records what another instance had saved.
func (b *Book) Hear(now time.Time, keys []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range keys {
		if at, ok := b.saved[key]; !ok || now.Sub(at) > told {
			b.put(now, key)
		}
	}
}

// Clear forgets everything, for when the store has lost it.
func (b *Book) Clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.saved)
	clear(b.own)
}
