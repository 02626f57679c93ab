// Package share keeps the token buckets of the shares that this instance holds of each workspace's rate and burst.
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
	// clockSlack is the fraction by which refills are cut, so that a fast clock refills no more than the rate.
	clockSlack = 1.0 / 2000
)

// Budget is the rate and burst of a whole workspace, in tokens.
type Budget struct {
	// PerSecond is the refill rate in tokens per second.
	PerSecond int64
	// Burst is the capacity in tokens.
	Burst int64
}

// Part is one share's part of a budget.
type Part struct {
	// Rate is the refill rate in tokens per second.
	Rate float64
	// Burst is the capacity in tokens.
	Burst int64
}

// Split returns the part of one share out of so many, counted from 0. The parts add up to the whole.
func (b Budget) Split(shares, index int) Part {
	p := Part{Rate: float64(b.PerSecond) / float64(shares), Burst: b.Burst / int64(shares)}
	if int64(index) < b.Burst%int64(shares) {
		p.Burst++
	}
	return p
}

// Homes returns the partitions that carry a workspace's shares, in a fixed order that differs by workspace.
func Homes(workspace string, partitions int) []int {
	type scored struct {
		partition int
		score     uint64
	}
	seed := xxhash.Sum64String(workspace)
	all := make([]scored, partitions)
	for p := range all {
		all[p] = scored{p, mix(seed + uint64(p)*0x9e3779b97f4a7c15)}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].score > all[j].score })
	homes := make([]int, 0, PerWorkspace)
	for _, s := range all[:min(PerWorkspace, partitions)] {
		homes = append(homes, s.partition)
	}
	return homes
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Key names one share.
type Key struct {
	Workspace string
	Partition int
}

// Tenure is the lease under which a share is used.
type Tenure struct {
	// Epoch is the lease's epoch; a change empties the bucket.
	Epoch int64
	// Since is when the bucket may be taken to have been empty.
	Since time.Time
	// Full tells that the bucket starts full, because the partition never had another holder.
	Full bool
}

// Want is what is asked of a share.
type Want struct {
	// ID names the request; tokens are returned under it.
	ID string
	// Tokens is the number wanted at the most, of which Firm are certain to be used.
	Tokens int64
	Firm   int64
}

// Book holds the buckets of this instance. It is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	buckets map[Key]*bucket
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{buckets: make(map[Key]*bucket)}
}

// Take spends up to the wanted tokens of a share and returns what it gave and what is left.
func (b *Book) Take(now time.Time, k Key, t Tenure, p Part, w Want) (given, left int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.settle(now, k, t, p)
	given = min(w.Tokens, int64(s.level))
	if given > 0 {
		s.level -= float64(given)
		s.hold(now, w, given)
	}
	return given, int64(s.level)
}

// Give puts unused tokens of a request back, once, and no more than are still held for it.
func (b *Book) Give(now time.Time, k Key, t Tenure, p Part, id string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.buckets[k]
	if !ok || s.epoch != t.Epoch || tokens < 0 {
		return
	}
	s = b.settle(now, k, t, p)
	back := s.release(id, tokens)
	s.level = math.Min(s.burst, s.level+float64(back))
}

// Level returns the whole tokens in a share.
func (b *Book) Level(now time.Time, k Key, t Tenure, p Part) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(b.settle(now, k, t, p).level)
}

// settle brings a share to the present time, tenure and part.
func (b *Book) settle(now time.Time, k Key, t Tenure, p Part) *bucket {
	burst := float64(p.Burst)
	s, ok := b.buckets[k]
	if !ok || s.epoch != t.Epoch {
		s = &bucket{epoch: t.Epoch, rate: p.Rate, burst: burst, last: t.Since, holds: make(map[string]*hold)}
		if t.Full {
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
