package edge

import (
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
)

// storeClock estimates the store's clock, never too early: a response may be read long after it was sent, so the store's clock in it is
// that of the start of the request. It is safe for concurrent use.
type storeClock struct {
	mu sync.Mutex
	// offset is the store's clock minus the time since boot.
	offset time.Duration
	known  bool
}

// observe records the store's clock in the response to a request that started at a time since boot.
func (c *storeClock) observe(requestedAt, stored time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset, c.known = stored-requestedAt, true
}

// at returns the store's clock at a time since boot, or false before the first response.
func (c *storeClock) at(boot time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return boot + c.offset, c.known
}

// observeStoreClock records the store's clock in the response to a request that started at a time since boot.
func (e *Edge) observeStoreClock(requestedAt, stored time.Duration) {
	e.storeClock.observe(requestedAt, stored)
	e.fleet.SetStoreClock(time.Now().Add(requestedAt-clock.SinceBoot()), stored)
}
