// Package replay runs a recorded trace through the routing decisions in virtual time, with engines as small fakes.
package replay

import (
	"fmt"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

// fake is one engine: prompts are computed one after the other, outputs run at once, the cache drops its oldest pieces.
type fake struct {
	name     string
	zone     string
	perToken time.Duration
	capacity int
	runs     int
	// busyUntil is when the last queued prompt will have been computed.
	busyUntil time.Time
	downUntil time.Time
	running   int
	// cache maps a piece to its last use.
	cache map[prefix.Hash]uint64
	uses  uint64
}

func (f *fake) incarnation() string {
	return fmt.Sprintf("%s#%d", f.name, f.runs)
}

func (f *fake) crash(now time.Time, d time.Duration) {
	f.runs++
	f.busyUntil = now
	f.downUntil = now.Add(d)
	f.running = 0
	f.cache = make(map[prefix.Hash]uint64)
}

// depth returns how many leading pieces of a chain are cached.
func (f *fake) depth(chain []prefix.Hash) int {
	for i, h := range chain {
		if _, ok := f.cache[h]; !ok {
			return i
		}
	}
	return len(chain)
}

// queueTokens is the work that waits.
func (f *fake) queueTokens(now time.Time) int64 {
	return int64(max(0, f.busyUntil.Sub(now)) / f.perToken)
}

func (f *fake) report(now time.Time) status.Report {
	return status.Report{Incarnation: f.incarnation(), QueueTokens: f.queueTokens(now), Running: f.running}
}

// accept queues a prompt and returns its cached tokens and when it will have been computed.
func (f *fake) accept(now time.Time, chain []prefix.Hash, tokens int64) (cached int64, ready time.Time) {
	cached = int64(f.depth(chain)) * prefix.PieceTokens
	start := now
	if f.busyUntil.After(start) {
		start = f.busyUntil
	}
	slow := time.Duration(f.running) * slowPerRunning
	f.busyUntil = start.Add(time.Duration(tokens-cached)*f.perToken + slow)
	for i := len(chain) - 1; i >= 0; i-- {
		f.uses++
		f.cache[chain[i]] = f.uses
	}
	f.evict()
	return cached, f.busyUntil
}

// slowPerRunning is how much each running output delays a prompt.
const slowPerRunning = time.Millisecond

func (f *fake) evict() {
	for len(f.cache) > f.capacity {
		var oldest prefix.Hash
		least := ^uint64(0)
		for h, at := range f.cache {
			if at < least {
				oldest, least = h, at
			}
		}
		delete(f.cache, oldest)
	}
}
