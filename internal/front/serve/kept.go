package serve

import (
	"maps"
	"sync"
)

// KeptStores says which stores of kept KV cache answer. Its zero value believes in all. It is safe for concurrent use.
type KeptStores struct {
	mu    sync.Mutex
	alive map[string]bool
}

// Set records whether a store answers and tells whether that is new.
func (k *KeptStores) Set(address string, alive bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, known := k.alive[address]
	if k.alive == nil {
		k.alive = make(map[string]bool)
	}
	k.alive[address] = alive
	return alive != (before || !known)
}

// All returns what is known of all stores.
func (k *KeptStores) All() map[string]bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.alive)
}

// Choose returns the store for a prefix, so that all instances choose the same one, or "" when it does not answer.
func (k *KeptStores) Choose(addresses []string, prefix uint64) string {
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
