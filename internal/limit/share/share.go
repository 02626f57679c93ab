// Package share holds the token buckets of this instance's shares of each workspace's rate limit.
//
// A workspace's rate and burst are split evenly over a fixed number of partitions. Each share is a token bucket with
// its part of the rate and of the burst, kept by the holder of the partition's lease. Over any interval the shares
// together admit at most burst + rate x interval, because each does so for its part.
package share

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// PerWorkspace is the number of shares of one workspace.
	PerWorkspace = 24
	// clockSlack is the fraction by which refills are reduced, so that a fast clock does not refill above the rate.
	clockSlack = 1.0 / 2000
)

// Limit is the rate limit of a workspace over all shares.
type Limit struct {
	// Rate is the refill rate in tokens per second.
	Rate int64
	// Burst is the capacity in tokens.
	Burst int64
}

// Part is one share's part of a limit.
type Part struct {
	// Rate is the refill rate in tokens per second.
	Rate float64
	// Burst is the capacity in tokens.
	Burst int64
}

// Split returns the part of the share with the given index, counted from 0. The parts add up to the limit.
func (l Limit) Split(shares, index int) Part {
	p := Part{Rate: float64(l.Rate) / float64(shares), Burst: l.Burst / int64(shares)}
	if int64(index) < l.Burst%int64(shares) {
		p.Burst++
	}
	return p
}

// PartitionsFor returns the partitions that carry a workspace's shares, by rendezvous hashing over the given number of
// partitions. Their order is fixed and differs by workspace.
func PartitionsFor(workspace string, partitions int) []int {
	type scored struct {
		partition int
		score     uint64
	}
	seed := xxhash.Sum64String(workspace)
	ranked := make([]scored, partitions)
	for p := range ranked {
		ranked[p] = scored{p, mix(seed + uint64(p)*0x9e3779b97f4a7c15)}
	}
	sort.Slice(ranked, func(i, j int) bool { return ranked[i].score > ranked[j].score })
	selected := make([]int, 0, PerWorkspace)
	for _, s := range ranked[:min(PerWorkspace, partitions)] {
		selected = append(selected, s.partition)
	}
	return selected
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Key identifies one share.
type Key struct {
	Workspace string
	Partition int
}

// Lease describes the lease under which a share is used.
type Lease struct {
	// Epoch is the lease's epoch; a new epoch starts a new bucket.
	Epoch int64
	// Since is the time from which the new bucket refills. It is assumed empty then, unless Full is set.
	Since time.Time
	// Full reports whether the bucket starts full, because the partition never had another holder.
	Full bool
}

// TakeRequest is a request for tokens of a share.
type TakeRequest struct {
	// ID identifies the admitted request; tokens are returned under it.
	ID string
	// Tokens is the maximum number wanted, of which Firm are certain to be used.
	Tokens int64
	Firm   int64
}

// Buckets holds the buckets of this instance's shares. It is safe for concurrent use.
type Buckets struct {
	mu      sync.Mutex
	buckets map[Key]*bucket
}

// NewBuckets returns an empty set of buckets.
func NewBuckets() *Buckets {
	return &Buckets{buckets: make(map[Key]*bucket)}
}

// Take spends up to the wanted tokens of a share and returns the number given and the number left.
func (b *Buckets) Take(now time.Time, k Key, l Lease, p Part, r TakeRequest) (given, left int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refresh(now, k, l, p)
	given = min(r.Tokens, int64(s.level))
	if given > 0 {
		s.level -= float64(given)
		s.addHold(now, r, given)
	}
	return given, int64(s.level)
}

// Return returns unused tokens of a request to their share, once and at most as many as are still held for it.
func (b *Buckets) Return(now time.Time, k Key, l Lease, p Part, id string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.buckets[k]
	if !ok || s.epoch != l.Epoch || tokens < 0 {
		return
	}
	s = b.refresh(now, k, l, p)
	returned := s.release(id, tokens)
	s.level = math.Min(s.burst, s.level+float64(returned))
}

// Level returns the number of whole tokens in a share.
func (b *Buckets) Level(now time.Time, k Key, l Lease, p Part) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(b.refresh(now, k, l, p).level)
}

// refresh returns the bucket of a share, brought up to the given time, lease and part.
func (b *Buckets) refresh(now time.Time, k Key, l Lease, p Part) *bucket {
	burst := float64(p.Burst)
	s, ok := b.buckets[k]
	if !ok || s.epoch != l.Epoch {
		s = &bucket{epoch: l.Epoch, rate: p.Rate, burst: burst, refilledAt: l.Since, holds: make(map[string]*hold)}
		if l.Full {
			s.level = burst
		}
		b.buckets[k] = s
	}
	s.advance(now)
	s.rate = p.Rate
	s.burst = burst
	s.level = math.Min(s.level, math.Max(0, burst-s.held))
	return s
}
