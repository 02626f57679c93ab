// Package holder remembers which engines read which prefixes lately, and which prefixes were saved to the store of kept KV
// cache. Instances tell each other, so that a prompt is placed where its prefix is, and an engine that lacks it fetches it
// from one that has it. Engines give prefixes up without a word, so that what is remembered is a guess that ages.
package holder

import (
	"slices"
	"sync"
	"time"
)

const (
	// Believed is how long after its last use an engine counts as holding a prefix. Its memory turns over in six to
	// fifteen seconds at the rates of the users' sheets.
	Believed = 10 * time.Second
	// StoreBelieved is the same for the kept store, which holds four to twenty times as much as an engine.
	StoreBelieved = 20 * time.Second
	// renewed is the age at which a use that others know already is told again.
	renewed = 2 * time.Second
	// most bounds the prefixes that are remembered.
	most = 1 << 14
	// Store stands for the store of kept KV cache among the holders.
	Store = "store"
)

// Use says that an upstream has read a prompt's prefixes.
type Use struct {
	// Holder is the upstream's id or Store.
	Holder string `json:"u"`
	// Chain identifies the prefixes, each with all before it, the shortest first.
	Chain []uint64 `json:"k"`
}

type own struct {
	use Use
	at  time.Time
}

// Book is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	prefixes map[uint64]map[string]time.Time
	own      []own
	swept    time.Time
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{prefixes: make(map[uint64]map[string]time.Time)}
}

// Depths returns how many leading prefixes of a chain each holder is believed to have.
func (b *Book) Depths(now time.Time, chain []uint64) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	depths := make(map[string]int)
	for i, key := range chain {
		for id, at := range b.prefixes[key] {
			if now.Sub(at) < believed(id) && depths[id] == i {
				depths[id] = i + 1
			}
		}
	}
	return depths
}

func believed(id string) time.Duration {
	if id == Store {
		return StoreBelieved
	}
	return Believed
}

// Used records a use by this instance, which is told to others unless they know it.
func (b *Book) Used(now time.Time, u Use) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := b.prefixes[u.Chain[len(u.Chain)-1]][u.Holder]
	if now.Sub(last) > renewed {
		b.own = append(b.own, own{u, now})
	}
	b.put(now, u)
}

func (b *Book) put(now time.Time, u Use) {
	if now.Sub(b.swept) > Believed/4 {
		b.sweep(now)
	}
	for _, key := range u.Chain {
		holders, ok := b.prefixes[key]
		if !ok {
			if len(b.prefixes) >= most {
				return
			}
			holders = make(map[string]time.Time, 1)
			b.prefixes[key] = holders
		}
		holders[u.Holder] = now
	}
}

func (b *Book) sweep(now time.Time) {
	b.swept = now
	for key, holders := range b.prefixes {
		for id, at := range holders {
			if now.Sub(at) >= believed(id) {
				delete(holders, id)
			}
		}
		if len(holders) == 0 {
			delete(b.prefixes, key)
		}
	}
}

// Tell returns the uses since the message before the last one, so that each is told twice. Interval is the pause between
// messages.
func (b *Book) Tell(now time.Time, interval time.Duration) []Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.own = slices.DeleteFunc(b.own, func(o own) bool { return now.Sub(o.at) > 2*interval+interval/5 })
	uses := make([]Use, 0, len(b.own))
	for _, o := range b.own {
		uses = append(uses, o.use)
	}
	return uses
}

// Hear records what another instance told.
func (b *Book) Hear(now time.Time, uses []Use) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range uses {
		if len(u.Chain) > 0 {
			b.put(now, u)
		}
	}
}

// Forget removes a holder that has lost what it held.
func (b *Book) Forget(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, holders := range b.prefixes {
		delete(holders, id)
	}
}
