// Package replay runs a trace through the routing decisions in virtual time, with simulated engines.
package replay

import (
	"fmt"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

// simEngine is a simulated engine. It computes one prompt at a time, runs all outputs concurrently and has an LRU cache.
type simEngine struct {
	name     string
	zone     string
	perToken time.Duration
	capacity int
	// crashes is part of the incarnation.
	crashes int
	// busyUntil is when the last queued prompt will be computed.
	busyUntil time.Time
	downUntil time.Time
	running   int
	// cache maps a piece to the value of uses at its last use.
	cache map[prefix.Hash]uint64
	uses  uint64
}

func (e *simEngine) incarnation() string {
	return fmt.Sprintf("%s#%d", e.name, e.crashes)
}

func (e *simEngine) crash(now time.Time, downtime time.Duration) {
	e.crashes++
	e.busyUntil = now
	e.downUntil = now.Add(downtime)
	e.running = 0
	e.cache = make(map[prefix.Hash]uint64)
}

// cachedDepth returns how many leading pieces of a chain are cached.
func (e *simEngine) cachedDepth(chain []prefix.Hash) int {
	for i, h := range chain {
		if _, ok := e.cache[h]; !ok {
			return i
		}
	}
	return len(chain)
}

// queueTokens returns the number of prompt tokens that are still to be computed.
func (e *simEngine) queueTokens(now time.Time) int64 {
	return int64(max(0, e.busyUntil.Sub(now)) / e.perToken)
}

func (e *simEngine) report(now time.Time) status.Report {
	return status.Report{Incarnation: e.incarnation(), QueueTokens: e.queueTokens(now), Running: e.running}
}

// accept queues a prompt and returns its cached tokens and when it will be computed.
func (e *simEngine) accept(now time.Time, chain []prefix.Hash, tokens int64) (cached int64, ready time.Time) {
	cached = int64(e.cachedDepth(chain)) * prefix.PieceTokens
	start := now
	if e.busyUntil.After(start) {
		start = e.busyUntil
	}
	slowdown := time.Duration(e.running) * delayPerRunning
	e.busyUntil = start.Add(time.Duration(tokens-cached)*e.perToken + slowdown)
	for i := len(chain) - 1; i >= 0; i-- {
		e.uses++
		e.cache[chain[i]] = e.uses
	}
	e.evict()
	return cached, e.busyUntil
}

// delayPerRunning is the delay of a prompt for each running output.
const delayPerRunning = time.Millisecond

// evict removes the least recently used pieces beyond the capacity.
func (e *simEngine) evict() {
	for len(e.cache) > e.capacity {
		var oldest prefix.Hash
		oldestUse := ^uint64(0)
		for h, lastUse := range e.cache {
			if lastUse < oldestUse {
				oldest, oldestUse = h, lastUse
			}
		}
		delete(e.cache, oldest)
	}
}
