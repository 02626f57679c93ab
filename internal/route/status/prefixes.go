package status

import (
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
)

const (
	// prefixTTL is how long a sent prefix is assumed to be cached.
	prefixTTL = 120 * time.Second
	// maxPrefixes bounds the number of prefixes in the index.
	maxPrefixes = 1 << 18
	// maxHolders bounds the number of upstreams recorded for one prefix.
	maxHolders = 32
)

// holder is an incarnation of an upstream that was sent a prefix.
type holder struct {
	name        string
	incarnation string
	sentAt      time.Time
}

// prefixIndex maps prefixes to the upstreams that hold them.
type prefixIndex struct {
	holders map[prefix.Hash][]holder
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{holders: make(map[prefix.Hash][]holder)}
}

func (x *prefixIndex) add(now time.Time, name, incarnation string, chain []prefix.Hash) {
	if len(x.holders)+len(chain) > maxPrefixes {
		x.prune(now)
	}
	latest := holder{name: name, incarnation: incarnation, sentAt: now}
	for _, p := range chain {
		x.holders[p] = upsert(x.holders[p], latest)
	}
}

// upsert adds or replaces the upstream's entry. A full list loses its oldest entry.
func upsert(list []holder, latest holder) []holder {
	oldest := 0
	for i := range list {
		if list[i].name == latest.name {
			list[i] = latest
			return list
		}
		if list[i].sentAt.Before(list[oldest].sentAt) {
			oldest = i
		}
	}
	if len(list) < maxHolders {
		return append(list, latest)
	}
	list[oldest] = latest
	return list
}

func (x *prefixIndex) remove(name string, missing []prefix.Hash) {
	for _, p := range missing {
		list := x.holders[p]
		for i := range list {
			if list[i].name == name {
				list[i] = list[len(list)-1]
				x.holders[p] = list[:len(list)-1]
				break
			}
		}
	}
}

// find returns the deepest prefix that each upstream's current incarnation holds, deepest first.
func (x *prefixIndex) find(now time.Time, chain []prefix.Hash, incarnation func(name string) string) []Holding {
	var found []Holding
	seen := make(map[string]bool)
	for depth := len(chain); depth > 0; depth-- {
		for _, h := range x.holders[chain[depth-1]] {
			if seen[h.name] || now.Sub(h.sentAt) > prefixTTL || h.incarnation != incarnation(h.name) {
				continue
			}
			seen[h.name] = true
			found = append(found, Holding{Name: h.name, Depth: depth})
		}
	}
	return found
}

// prune drops expired prefixes, and all prefixes when more than 3/4 of maxPrefixes remain.
func (x *prefixIndex) prune(now time.Time) {
	for p, list := range x.holders {
		keep := false
		for _, h := range list {
			keep = keep || now.Sub(h.sentAt) <= prefixTTL
		}
		if !keep {
			delete(x.holders, p)
		}
	}
	if len(x.holders) > maxPrefixes*3/4 {
		clear(x.holders)
	}
}
