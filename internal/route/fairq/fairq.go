// Package fairq limits the requests in progress on an instance and shares the limit fairly between workspaces.
//
// Waiting requests are served by start-time fair queueing: the virtual start times of a workspace's requests advance by
// cost over weight, and the earliest start is served next. A workspace that sends many requests delays only itself.
package fairq

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
)

// MaxWait is the longest expected wait for which a request is queued; above it the request is rejected immediately.
const MaxWait = 2 * time.Second

// smoothing is the weight of a new sample in the moving average of the time between finished requests.
const smoothing = 0.05

// waiter is one waiting request.
type waiter struct {
	virtualStart float64
	// sequence is the order of arrival.
	sequence uint64
	ready    chan struct{}
	granted  bool
}

// Queue admits requests. It is safe for concurrent use.
type Queue struct {
	mu          sync.Mutex
	capacity    int
	running     int
	virtualTime float64
	// virtualFinish is keyed by workspace.
	virtualFinish map[string]float64
	waiting       []*waiter
	lastSequence  uint64
	lastFinished  time.Time
	meanInterval  time.Duration
}

// NewQueue returns a queue that allows capacity requests in progress.
func NewQueue(capacity int) *Queue {
	return &Queue{capacity: capacity, virtualFinish: make(map[string]float64)}
}

// Acquire waits for a free slot, or fails immediately when the expected wait is too long. Release must follow a nil error.
func (q *Queue) Acquire(ctx context.Context, workspace string, weight int, cost int64) error {
	w, err := q.admitOrQueue(workspace, weight, cost)
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		if q.cancel(w) {
			return ctx.Err()
		}
		return nil
	}
}

// admitOrQueue takes a free slot and returns nil, or else queues the request and returns its waiter.
func (q *Queue) admitOrQueue(workspace string, weight int, cost int64) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	virtualStart := max(q.virtualTime, q.virtualFinish[workspace])
	if q.running < q.capacity {
		q.running++
		q.virtualFinish[workspace] = virtualStart + float64(cost)/float64(max(1, weight))
		return nil, nil
	}
	ahead := 1
	for _, other := range q.waiting {
		if other.virtualStart <= virtualStart {
			ahead++
		}
	}
	wait := time.Duration(ahead) * q.meanInterval
	if wait > MaxWait || len(q.waiting) >= q.capacity {
		return nil, fault.NewRetryAfter(fault.Overloaded, max(wait, time.Second), "the instance is overloaded")
	}
	q.virtualFinish[workspace] = virtualStart + float64(cost)/float64(max(1, weight))
	q.lastSequence++
	w := &waiter{virtualStart: virtualStart, sequence: q.lastSequence, ready: make(chan struct{})}
	q.waiting = append(q.waiting, w)
	return w, nil
}

// cancel removes a waiter from the queue; it returns false when the waiter was already granted a slot.
func (q *Queue) cancel(w *waiter) bool {
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

// Release frees a slot and grants it to the waiting request with the earliest virtual start time.
func (q *Queue) Release(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordFinish(now)
	next := q.first()
	if next == nil {
		q.running--
		q.resetIfIdle()
		return
	}
	q.remove(next)
	q.virtualTime = max(q.virtualTime, next.virtualStart)
	next.granted = true
	close(next.ready)
}

func (q *Queue) first() *waiter {
	var best *waiter
	for _, w := range q.waiting {
		if best == nil || w.virtualStart < best.virtualStart || (w.virtualStart == best.virtualStart && w.sequence < best.sequence) {
			best = w
		}
	}
	return best
}

// recordFinish updates the mean time between finished requests.
func (q *Queue) recordFinish(now time.Time) {
	if !q.lastFinished.IsZero() {
		sample := now.Sub(q.lastFinished)
		q.meanInterval += time.Duration(smoothing * float64(sample-q.meanInterval))
	}
	q.lastFinished = now
}

// resetIfIdle clears the virtual times when no request is in progress.
func (q *Queue) resetIfIdle() {
	if q.running > 0 {
		return
	}
	q.virtualTime = 0
	clear(q.virtualFinish)
}

// Running returns the number of requests in progress.
func (q *Queue) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running
}
