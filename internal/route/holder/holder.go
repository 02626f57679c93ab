// Package holder tracks which engines have recently read which prefixes, and which prefixes were saved to the KV store.
// Instances report their uses to each other, so that a prompt is placed on an engine that holds its prefix, and other
// engines fetch the prefix from a holder. Engines evict prefixes without notice, so entries are estimates that expire.
package holder

import (
	"slices"
	"sync"
	"time"
)

const (
	// EngineTTL is how long after its last use an engine is assumed to hold a prefix. At the request rates that users
	// specify, an engine's cache is replaced every six to fifteen seconds.
	EngineTTL = 10 * time.Second
	// StoreTTL is the same for the KV store, which holds four to twenty times as much as an engine.
	StoreTTL = 20 * time.Second
	// refreshAge is the age above which a use that was already reported is reported again.
	refreshAge = 2 * time.Second
	// maxPrefixes limits the number of tracked prefixes.
	maxPrefixes = 1 << 14
	// Store is the holder id of the KV store.
	Store = "store"
)

// Use records that an upstream has read a prompt's prefixes.
type Use struct {
	// Holder is an upstream's id or Store.
	Holder string `json:"u"`
	// Chain holds one cumulative hash per prefix, shortest first.
	Chain []uint64 `json:"k"`
}

type localUse struct {
	use Use
	at  time.Time
}

// Tracker records which holders have which prefixes. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// prefixes maps a chain hash to the time of the last use by holder.
	prefixes     map[uint64]map[string]time.Time
	localUses    []localUse
	lastEviction time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{prefixes: make(map[uint64]map[string]time.Time)}
}

// Depths returns how many leading prefixes of a chain each holder is assumed to have.
func (t *Tracker) Depths(now time.Time, chain []uint64) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	depths := make(map[string]int)
	for i, key := range chain {
		for id, at := range t.prefixes[key] {
			if now.Sub(at) < ttl(id) && depths[id] == i {
				depths[id] = i + 1
			}
		}
	}
	return depths
}

func ttl(id string) time.Duration {
	if id == Store {
		return StoreTTL
	}
	return EngineTTL
}

// RecordUse records a use by this instance and reports it to the other instances unless it was reported recently.
func (t *Tracker) RecordUse(now time.Time, u Use) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.prefixes[u.Chain[len(u.Chain)-1]][u.Holder]
	if now.Sub(last) > refreshAge {
		t.localUses = append(t.localUses, localUse{u, now})
	}
	t.put(now, u)
}

func (t *Tracker) put(now time.Time, u Use) {
	if now.Sub(t.lastEviction) > EngineTTL/4 {
		t.evictExpired(now)
	}
	for _, key := range u.Chain {
		holders, ok := t.prefixes[key]
		if !ok {
			if len(t.prefixes) >= maxPrefixes {
				return
			}
			holders = make(map[string]time.Time, 1)
			t.prefixes[key] = holders
		}
		holders[u.Holder] = now
	}
}

func (t *Tracker) evictExpired(now time.Time) {
	t.lastEviction = now
	for key, holders := range t.prefixes {
		for id, at := range holders {
			if now.Sub(at) >= ttl(id) {
				delete(holders, id)
			}
		}
		if len(holders) == 0 {
			delete(t.prefixes, key)
		}
	}
}

// Report returns the local uses of about the last two intervals between messages, so that each is reported twice.
func (t *Tracker) Report(now time.Time, interval time.Duration) []Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.localUses = slices.DeleteFunc(t.localUses, func(l localUse) bool { return now.Sub(l.at) > 2*interval+interval/5 })
	uses := make([]Use, 0, len(t.localUses))
	for _, l := range t.localUses {
		uses = append(uses, l.use)
	}
	return uses
}

// Merge merges uses reported by another instance.
func (t *Tracker) Merge(now time.Time, uses []Use) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range uses {
		if len(u.Chain) > 0 {
			t.put(now, u)
		}
	}
}

// RemoveHolder removes a holder that has lost its cache.
func (t *Tracker) RemoveHolder(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, holders := range t.prefixes {
		delete(holders, id)
	}
}
