// Package admit admits requests against a workspace's rate by collecting tokens from its shares on all instances.
package admit

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/limit/share"
	"github.com/skylarkquay/skylarkquay/internal/peer/lease"
)

const (
	// MaxWait is the maximum time a request waits for tokens to be refilled.
	MaxWait = time.Second
	// GrantTTL is how long a grant may be used after its first tokens were taken.
	GrantTTL = 250 * time.Millisecond
	// minWait is the minimum wait between two attempts to collect tokens.
	minWait = 5 * time.Millisecond
	// quarantine is how long a share whose holder did not answer is skipped.
	quarantine = 5 * time.Second
	// refillMargin is the fraction added to the estimated refill time before the next attempt.
	refillMargin = 0.05
)

// Leases returns the leases of partitions that this instance may use.
type Leases interface {
	Get(now time.Time, partition int) (lease.Held, bool)
}

// Peers takes and returns tokens at the holders of other partitions.
type Peers interface {
	// Holder returns the address of the instance that reports holding a partition, or "".
	Holder(now time.Time, partition int) string
	// Take spends up to the wanted tokens at a holder; held is false when that instance does not hold the partition.
	Take(ctx context.Context, address string, k share.Key, w share.TakeRequest) (given, left int64, held bool, err error)
	// Return returns tokens of a request, without a retry.
	Return(ctx context.Context, address string, k share.Key, id string, tokens int64)
}

// debit is what was taken from one share.
type debit struct {
	key     share.Key
	address string
	tokens  int64
	// spare is the part of the tokens for which the share keeps room until they are settled.
	spare int64
	// lease and part are set for a local share.
	lease share.Lease
	part  share.Part
}

// Grant is the admission of one request. It may be used only while Valid.
type Grant struct {
	// Tokens is the total taken.
	Tokens int64
	// At is when the first of the tokens were taken.
	At     time.Time
	id     string
	limit  share.Limit
	debits []debit
}

// Valid reports whether the grant may be used now.
func (g *Grant) Valid(now time.Time) bool {
	monotonicAge := now.Sub(g.At)
	wallAge := now.Round(0).Sub(g.At.Round(0))
	return monotonicAge < GrantTTL && wallAge < GrantTTL
}

// queue holds one workspace's requests that wait for tokens on this instance.
type queue struct {
	// slot is held while collecting.
	slot          chan struct{}
	waitingTokens int64
}

// Limiter admits requests. It is safe for concurrent use.
type Limiter struct {
	partitions int
	buckets    *share.Buckets
	leases     Leases
	peers      Peers
	// sleep is replaced by virtual time in tests.
	sleep func(ctx context.Context, d time.Duration) error

	mu sync.Mutex
	// placements are the partitions by workspace.
	placements map[string][]int
	estimates  map[share.Key]estimate
	queues     map[string]*queue
}

// NewLimiter returns a limiter for the given number of partitions.
func NewLimiter(partitions int, buckets *share.Buckets, leases Leases, peers Peers) *Limiter {
	return &Limiter{
		partitions: partitions,
		buckets:    buckets,
		leases:     leases,
		peers:      peers,
		sleep:      sleep.For,
		placements: make(map[string][]int),
		estimates:  make(map[share.Key]estimate),
		queues:     make(map[string]*queue),
	}
}

// Request is a request for admission.
type Request struct {
	// ID is unique to the request.
	ID string
	// Workspace is charged against Limit.
	Workspace string
	Limit     share.Limit
	// Firm is the number of tokens that are certain to be used, Spare the number that may be returned.
	Firm  int64
	Spare int64
}

// tokens returns the maximum that the request may use.
func (r Request) tokens() int64 {
	return r.Firm + r.Spare
}

// Precheck returns the error with which Admit would reject the request now, without taking tokens.
func (l *Limiter) Precheck(now time.Time, r Request) error {
	if r.tokens() > r.Limit.Burst {
		return fault.New(fault.BadRequest, "the request needs %d tokens; the workspace's burst is %d", r.tokens(), r.Limit.Burst)
	}
	s := l.summarize(now, r.Workspace, r.Limit)
	if s.rate <= 0 {
		return fault.NewRetryAfter(fault.LimitUnready, quarantine, "no share of workspace %s can be reached", r.Workspace)
	}
	missing := float64(r.tokens()) - s.level
	if missing <= 0 {
		return nil
	}
	if wait := s.refillTime(missing); wait > MaxWait {
		return fault.NewRetryAfter(fault.OverRate, wait, "workspace %s is over its rate", r.Workspace)
	}
	return nil
}

// Admit takes the tokens of one request, or rejects it at once with the time after which to retry.
// It waits at most MaxWait for tokens, in order of arrival within a workspace.
func (l *Limiter) Admit(ctx context.Context, clock func() time.Time, r Request) (*Grant, error) {
	start := clock()
	if err := l.Precheck(start, r); err != nil {
		return nil, err
	}
	tokens, workspace, limit := r.tokens(), r.Workspace, r.Limit
	t := l.enqueue(workspace, tokens)
	defer l.dequeue(t, tokens)
	queueWait := time.Duration(float64(t.tokensAhead) / float64(limit.Rate) * float64(time.Second))
	if queueWait > MaxWait {
		return nil, fault.NewRetryAfter(fault.OverRate, queueWait, "workspace %s is over its rate", workspace)
	}
	select {
	case t.queue.slot <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-t.queue.slot }()
	for {
		wait, grant := l.collect(ctx, clock, r)
		if grant != nil {
			return grant, nil
		}
		if clock().Sub(start)+wait > MaxWait {
			return nil, fault.NewRetryAfter(fault.OverRate, wait, "workspace %s is over its rate", workspace)
		}
		if err := l.sleep(ctx, wait); err != nil {
			return nil, err
		}
	}
}

// ticket is one request's place in a queue.
type ticket struct {
	queue       *queue
	tokensAhead int64
}

func (l *Limiter) enqueue(workspace string, tokens int64) ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.queues[workspace]
	if !ok {
		q = &queue{slot: make(chan struct{}, 1)}
		l.queues[workspace] = q
	}
	t := ticket{queue: q, tokensAhead: q.waitingTokens}
	q.waitingTokens += tokens
	return t
}

func (l *Limiter) dequeue(t ticket, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.queue.waitingTokens -= tokens
}

// collect takes all tokens in one pass and returns them when there are too few, so that none are held outside the shares
// while these refill. Without a grant it returns how long to wait.
func (l *Limiter) collect(ctx context.Context, clock func() time.Time, r Request) (time.Duration, *Grant) {
	now := clock()
	s := l.summarize(now, r.Workspace, r.Limit)
	if missing := float64(r.tokens()) - s.level; missing > 0 {
		return s.refillTime(missing), nil
	}
	g := &Grant{At: now, id: r.ID, limit: r.Limit}
	l.takeLocal(now, g, r)
	l.takeRemote(ctx, clock, g, r, s.remote)
	if g.Tokens >= r.tokens() {
		return 0, g
	}
	missing := float64(r.tokens() - g.Tokens)
	l.Settle(ctx, clock(), g, 0)
	return s.refillTime(missing), nil
}

// remaining returns what a request still needs from a share.
func (g *Grant) remaining(r Request) share.TakeRequest {
	return share.TakeRequest{ID: r.ID, Tokens: r.tokens() - g.Tokens, Firm: max(0, r.Firm-g.Tokens)}
}

// takeLocal takes tokens from the local shares.
func (l *Limiter) takeLocal(now time.Time, g *Grant, r Request) {
	partitions := l.partitionsOf(r.Workspace)
	for i, p := range partitions {
		if g.Tokens >= r.tokens() {
			return
		}
		h, ok := l.leases.Get(now, p)
		if !ok {
			continue
		}
		k := share.Key{Workspace: r.Workspace, Partition: p}
		t := leaseOf(h)
		part := r.Limit.Split(len(partitions), i)
		take := g.remaining(r)
		given, _ := l.buckets.Take(now, k, t, part, take)
		g.add(take, debit{key: k, tokens: given, lease: t, part: part})
	}
}

// takeRemote takes tokens from remote shares, highest estimated level first.
func (l *Limiter) takeRemote(ctx context.Context, clock func() time.Time, g *Grant, r Request, remote []remoteShare) {
	for _, s := range remote {
		if g.Tokens >= r.tokens() || s.level < 1 {
			return
		}
		take := g.remaining(r)
		given, left, held, err := l.peers.Take(ctx, s.address, s.key, take)
		l.updateEstimate(clock(), s.key, left, held && err == nil)
		if err == nil && held {
			g.add(take, debit{key: s.key, address: s.address, tokens: given})
		}
	}
}

// Settle returns the tokens that a request did not use, and frees the room kept for them. Tokens are returned at most once;
// a lost call loses them.
func (l *Limiter) Settle(ctx context.Context, now time.Time, g *Grant, used int64) {
	if g == nil {
		return
	}
	unused := g.Tokens - used
	for i := len(g.debits) - 1; i >= 0; i-- {
		d := g.debits[i]
		n := min(max(0, unused), d.tokens)
		unused -= n
		if n == 0 && d.spare == 0 {
			continue
		}
		if d.address != "" {
			l.peers.Return(ctx, d.address, d.key, g.id, n)
			continue
		}
		l.buckets.Return(now, d.key, d.lease, d.part, g.id, n)
	}
	g.debits = nil
	g.Tokens = min(g.Tokens, used)
}

// ServeTake takes tokens from a local share for a peer.
func (l *Limiter) ServeTake(now time.Time, k share.Key, limit share.Limit, w share.TakeRequest) (given, left int64, held bool) {
	h, ok := l.leases.Get(now, k.Partition)
	part, found := l.partOf(k, limit)
	if !ok || !found {
		return 0, 0, false
	}
	given, left = l.buckets.Take(now, k, leaseOf(h), part, w)
	return given, left, true
}

// ServeReturn returns a peer's unused tokens to a local share.
func (l *Limiter) ServeReturn(now time.Time, k share.Key, limit share.Limit, id string, tokens int64) {
	h, ok := l.leases.Get(now, k.Partition)
	part, found := l.partOf(k, limit)
	if ok && found {
		l.buckets.Return(now, k, leaseOf(h), part, id, tokens)
	}
}

// partOf returns a share's part of the limit, or false when the partition carries no share of the workspace.
func (l *Limiter) partOf(k share.Key, limit share.Limit) (share.Part, bool) {
	partitions := l.partitionsOf(k.Workspace)
	for i, p := range partitions {
		if p == k.Partition {
			return limit.Split(len(partitions), i), true
		}
	}
	return share.Part{}, false
}

func (l *Limiter) partitionsOf(workspace string) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.placements[workspace]
	if !ok {
		p = share.PartitionsFor(workspace, l.partitions)
		l.placements[workspace] = p
	}
	return p
}

// add records the tokens taken by a request to a share.
func (g *Grant) add(take share.TakeRequest, d debit) {
	if d.tokens > 0 {
		d.spare = max(0, d.tokens-take.Firm)
		g.Tokens += d.tokens
		g.debits = append(g.debits, d)
	}
}

func leaseOf(h lease.Held) share.Lease {
	return share.Lease{Epoch: h.Row.Epoch, Since: h.BudgetFrom, Full: h.FirstHolder}
}
