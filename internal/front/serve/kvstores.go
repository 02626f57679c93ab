package serve

import (
	"maps"
	"sync"
)

// KVStores tracks which KV stores respond. The zero value assumes that all do. It is safe for concurrent use.
type KVStores struct {
	mu    sync.Mutex
	alive map[string]bool
}

// Set records whether a store responds and reports whether that changed.
func (k *KVStores) Set(address string, alive bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, known := k.alive[address]
	if k.alive == nil {
		k.alive = make(map[string]bool)
	}
	k.alive[address] = alive
	return alive != (before || !known)
}

// All returns the recorded state of each store by address.
func (k *KVStores) All() map[string]bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.alive)
}

// Choose returns the store for a prefix, the same on all instances, or "" if that store does not respond.
func (k *KVStores) Choose(addresses []string, prefix uint64) string {
	if len(addresses) == 0 {
		return ""
	}
	address := addresses[prefix%uint64(len(addresses))]
	k.mu.Lock()
	defer k.mu.Unlock()
	if alive, known := k.alive[address]; known && !alive {
		return ""
	}
	return address
}
