package engine

import (
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
)

const (
	// holdFor is how long a sent prefix is believed to be cached.
	holdFor = 120 * time.Second
	// maxPrefixes bounds the prefixes in the index.
	maxPrefixes = 1 << 18
	// maxHolders bounds the upstreams of one prefix.
	maxHolders = 32
)

// holder is an incarnation of an upstream that was sent a prefix.
type holder struct {
	name        string
	incarnation string
	at          time.Time
}

// holders is an index from prefixes to the upstreams that hold them.
type holders struct {
	index map[prefix.Hash][]holder
}

func newHolders() *holders {
	return &holders{index: make(map[prefix.Hash][]holder)}
}

func (h *holders) add(now time.Time, name, incarnation string, chain []prefix.Hash) {
	if len(h.index)+len(chain) > maxPrefixes {
		h.prune(now)
	}
	fresh := holder{name: name, incarnation: incarnation, at: now}
	for _, p := range chain {
		h.index[p] = put(h.index[p], fresh)
	}
}

// put replaces the upstream's entry, or the oldest one when there are too many.
func put(list []holder, fresh holder) []holder {
	oldest := 0
	for i := range list {
		if list[i].name == fresh.name {
			list[i] = fresh
			return list
		}
		if list[i].at.Before(list[oldest].at) {
			oldest = i
		}
	}
	if len(list) < maxHolders {
		return append(list, fresh)
	}
	list[oldest] = fresh
	return list
}

func (h *holders) remove(name string, missing []prefix.Hash) {
	for _, p := range missing {
		list := h.index[p]
		for i := range list {
			if list[i].name == name {
				list[i] = list[len(list)-1]
				h.index[p] = list[:len(list)-1]
				break
			}
		}
	}
}

// find returns the deepest piece that each upstream holds, deepest first; entries of other incarnations do not count.
func (h *holders) find(now time.Time, chain []prefix.Hash, incarnation func(name string) string) []Holding {
	var found []Holding
	known := make(map[string]bool)
	for depth := len(chain); depth > 0; depth-- {
		for _, e := range h.index[chain[depth-1]] {
			if known[e.name] || now.Sub(e.at) > holdFor || e.incarnation != incarnation(e.name) {
				continue
			}
			known[e.name] = true
			found = append(found, Holding{Name: e.name, Depth: depth})
		}
	}
	return found
}

// prune drops prefixes that nobody was sent lately, and all when that is not enough.
func (h *holders) prune(now time.Time) {
	for p, list := range h.index {
		keep := false
		for _, e := range list {
			keep = keep || now.Sub(e.at) <= holdFor
		}
		if !keep {
			delete(h.index, p)
		}
	}
	if len(h.index) > maxPrefixes*3/4 {
		clear(h.index)
	}
}
