// Package fairq bounds the requests in progress on an instance and shares the bound fairly between workspaces.
//
// Waiting requests are served by start-time fair queueing: each workspace's requests carry virtual start times that
// advance by cost over weight, and the earliest start goes next, so a workspace that sends much waits behind itself.
package fairq

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
)

// MaxWait is the longest expected wait for which a request is queued; beyond it the request is refused at once.
const MaxWait = 2 * time.Second

// smoothing is the weight of a new sample in the mean time between finished requests.
const smoothing = 0.05

// waiter is one waiting request.
type waiter struct {
	start   float64
	order   uint64
	ready   chan struct{}
	granted bool
}

// Queue admits requests. It is safe for concurrent use.
type Queue struct {
	mu       sync.Mutex
	capacity int
	running  int
	virtual  float64
	finishes map[string]float64
	waiting  []*waiter
	order    uint64
	lastDone time.Time
	between  time.Duration
}

// NewQueue returns a queue that lets the given number of requests run at once.
func NewQueue(capacity int) *Queue {
	return &Queue{capacity: capacity, finishes: make(map[string]float64)}
}

// Enter waits for a place or refuses at once when the wait would be too long. Leave must follow a nil error.
func (q *Queue) Enter(ctx context.Context, workspace string, weight int, cost int64) error {
	w, err := q.join(workspace, weight, cost)
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		if q.quit(w) {
			return ctx.Err()
		}
		return nil
	}
}

// join takes a free place, returning nil, or a place in the queue.
func (q *Queue) join(workspace string, weight int, cost int64) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	start := max(q.virtual, q.finishes[workspace])
	if q.running < q.capacity {
		q.running++
		q.finishes[workspace] = start + float64(cost)/float64(max(1, weight))
		return nil, nil
	}
	ahead := 1
	for _, other := range q.waiting {
		if other.start <= start {
			ahead++
		}
	}
	wait := time.Duration(ahead) * q.between
	if wait > MaxWait || len(q.waiting) >= q.capacity {
		return nil, fault.NewRetryAfter(fault.Overloaded, max(wait, time.Second), "the instance is overloaded")
	}
	q.finishes[workspace] = start + float64(cost)/float64(max(1, weight))
	q.order++
	w := &waiter{start: start, order: q.order, ready: make(chan struct{})}
	q.waiting = append(q.waiting, w)
	return w, nil
}

// quit takes a waiter out; it returns false when its place had already been granted.
func (q *Queue) quit(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.granted {
		return false
	}
	q.remove(w)
	return true
}

func (q *Queue) remove(w *waiter) {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// Leave frees a place and grants it to the waiting request with the earliest start.
func (q *Queue) Leave(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.observe(now)
	next := q.first()
	if next == nil {
		q.running--
		q.reset()
		return
	}
	q.remove(next)
	q.virtual = max(q.virtual, next.start)
	next.granted = true
	close(next.ready)
}

func (q *Queue) first() *waiter {
	var best *waiter
	for _, w := range q.waiting {
		if best == nil || w.start < best.start || (w.start == best.start && w.order < best.order) {
			best = w
		}
	}
	return best
}

// observe updates the mean time between finished requests.
func (q *Queue) observe(now time.Time) {
	if !q.lastDone.IsZero() {
		sample := now.Sub(q.lastDone)
		q.between += time.Duration(smoothing * float64(sample-q.between))
	}
	q.lastDone = now
}

// reset forgets the virtual times of an idle queue.
func (q *Queue) reset() {
	if q.running > 0 {
		return
	}
	q.virtual = 0
	clear(q.finishes)
}

// Running returns the requests in progress.
func (q *Queue) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running
}
