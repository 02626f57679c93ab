// Package budget limits the retries of this instance, so that all instances together stay within the site's retry limits
// without coordination.
package budget

import (
	"sync"
	"time"
)

const (
	// safetyFactor keeps the sum of all instances' retries below the site's limits when their windows do not coincide.
	safetyFactor = 0.7
)

// Bounds are the site's limits on retries.
type Bounds struct {
	// Ratio is the fraction of requests that may be retried.
	Ratio float64
	// Slack is the number of retries allowed beyond Ratio in each window, over all instances.
	Slack float64
	// Window is the interval over which the site counts.
	Window time.Duration
}

type bucket struct {
	level      float64
	refilledAt time.Time
}

// Budget limits the retries of one instance, by service. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	bounds    Bounds
	buckets   map[string]*bucket
	instances int
}

// New returns the budget of one instance out of the given number.
func New(bounds Bounds, instances int) *Budget {
	return &Budget{bounds: bounds, buckets: make(map[string]*bucket), instances: max(1, instances)}
}

// SetInstances sets the number of instances.
func (b *Budget) SetInstances(instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(1, instances)
}

// capacity is the level up to which a bucket is refilled.
func (b *Budget) capacity() float64 {
	return max(1, b.bounds.Slack*safetyFactor/float64(b.instances)/2)
}

// refill returns the bucket of a service, refilled up to now.
func (b *Budget) refill(now time.Time, service string) *bucket {
	s, ok := b.buckets[service]
	if !ok {
		s = &bucket{level: b.capacity(), refilledAt: now}
		b.buckets[service] = s
	}
	// Capacity is half of the instance's slack. The other half is refilled per window, so that both together stay within it.
	s.level = min(b.capacity(), s.level+b.capacity()*now.Sub(s.refilledAt).Seconds()/b.bounds.Window.Seconds())
	s.refilledAt = now
	return s
}

// Earn records a first attempt, which adds to the retries allowed.
func (b *Budget) Earn(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refill(now, service)
	s.level = min(b.capacity()*2, s.level+b.bounds.Ratio*safetyFactor)
}

// Spend takes one retry, or returns false when none is left.
func (b *Budget) Spend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refill(now, service)
	if s.level < 1 {
		return false
	}
	s.level--
	return true
}
