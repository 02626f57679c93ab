// Package budget bounds what this instance sends again, so that all instances together stay within the site's share of
// retries without asking each other.
package budget

import (
	"sync"
	"time"
)

const (
	// safety keeps the sum of all parts below the site's bounds when windows of instances do not coincide.
	safety = 0.7
)

// Bounds are the site's bounds on requests that are sent again.
type Bounds struct {
	// Ratio is the share of requests that may be sent again.
	Ratio float64
	// Slack is what may be sent again beyond that in each window, over all instances.
	Slack float64
	// Window is the span over which the site counts.
	Window time.Duration
}

type account struct {
	level float64
	at    time.Time
}

// Budget is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	bounds   Bounds
	accounts map[string]*account
	size     int
}

// New returns a budget of one instance among size.
func New(bounds Bounds, size int) *Budget {
	return &Budget{bounds: bounds, accounts: make(map[string]*account), size: max(1, size)}
}

// Resize sets the number of instances.
func (b *Budget) Resize(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.size = max(1, size)
}

// most is what one instance may hold.
func (b *Budget) most() float64 {
	return max(1, b.bounds.Slack*safety/float64(b.size)/2)
}

func (b *Budget) account(now time.Time, service string) *account {
	a, ok := b.accounts[service]
	if !ok {
		a = &account{level: b.most(), at: now}
		b.accounts[service] = a
	}
	// Half of the part is held, half of it comes back over each window: together they stay within the part.
	a.level = min(b.most(), a.level+b.most()*now.Sub(a.at).Seconds()/b.bounds.Window.Seconds())
	a.at = now
	return a
}

// Earn records a request that is sent for the first time.
func (b *Budget) Earn(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, service)
	a.level = min(b.most()*2, a.level+b.bounds.Ratio*safety)
}

// Spend takes one retry; false when there is none left.
func (b *Budget) Spend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, service)
	if a.level < 1 {
		return false
	}
	a.level--
	return true
}
