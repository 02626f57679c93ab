// Package escrow admits requests against a workspace's rate by gathering tokens from the shares of all holders.
package escrow

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
	// MaxWait bounds how long a request waits for tokens that are about to be refilled.
	MaxWait = time.Second
	// FreshFor is how long gathered tokens may be used after they were gathered.
	FreshFor = 250 * time.Millisecond
	// shortest is the shortest wait between two gatherings.
	shortest = 5 * time.Millisecond
	// quarantine is how long a holder that did not answer is passed over.
	quarantine = 5 * time.Second
	// headroom is the fraction of the estimated time to refill that is added before asking again.
	headroom = 0.05
)

// Leases tells which partitions this instance may use.
type Leases interface {
	Get(now time.Time, partition int) (lease.Held, bool)
}

// Peers spends and returns tokens at the holders of other partitions.
type Peers interface {
	// Holder returns the address of the instance that is said to hold a partition, or "".
	Holder(now time.Time, partition int) string
	// Take spends up to the wanted tokens at a holder; held is false when the asked instance does not hold the partition.
	Take(ctx context.Context, address string, k share.Key, w share.Want) (given, left int64, held bool, err error)
	// Give returns tokens of a request, without a second try.
	Give(ctx context.Context, address string, k share.Key, id string, tokens int64)
}

// piece is what was taken from one share.
type piece struct {
	key     share.Key
	address string
	tokens  int64
	// spare is the part of the tokens for which the share keeps room until it is told what became of them.
	spare int64
	// tenure and part are set for an own share.
	tenure share.Tenure
	part   share.Part
}

// Grant is the permission for one request. It may be used only while Fresh.
type Grant struct {
	// Tokens is the sum that was taken.
	Tokens int64
	// At is when the first of the tokens were taken.
	At     time.Time
	id     string
	whole  share.Budget
	pieces []piece
}

// Fresh tells whether the grant may be used now.
func (g *Grant) Fresh(now time.Time) bool {
	byMonotonic := now.Sub(g.At)
	byWall := now.Round(0).Sub(g.At.Round(0))
	return byMonotonic < FreshFor && byWall < FreshFor
}

// line is the queue of one workspace's requests that wait for tokens on this instance.
type line struct {
	turn    chan struct{}
	waiting int64
}

// Limiter admits requests. It is safe for concurrent use.
type Limiter struct {
	partitions int
	book       *share.Book
	leases     Leases
	peers      Peers
	// sleep waits; tests replace it by virtual time.
	sleep func(ctx context.Context, d time.Duration) error

	mu      sync.Mutex
	homes   map[string][]int
	guesses map[share.Key]guess
	lines   map[string]*line
}

// NewLimiter returns a limiter over the given number of partitions.
func NewLimiter(partitions int, book *share.Book, leases Leases, peers Peers) *Limiter {
	return &Limiter{
		partitions: partitions,
		book:       book,
		leases:     leases,
		peers:      peers,
		sleep:      sleep.For,
		homes:      make(map[string][]int),
		guesses:    make(map[share.Key]guess),
		lines:      make(map[string]*line),
	}
}

// Request is what a request needs.
type Request struct {
	// ID is unique to the request.
	ID string
	// Workspace pays from its budget, Whole.
	Workspace string
	Whole     share.Budget
	// Firm is the number of tokens that are certain to be used, Spare the number that may be returned.
	Firm  int64
	Spare int64
}

// tokens is all that the request may use.
func (r Request) tokens() int64 {
	return r.Firm + r.Spare
}

// Hopeless refuses a request that Admit would refuse now, without taking anything.
func (l *Limiter) Hopeless(now time.Time, r Request) error {
	if r.tokens() > r.Whole.Burst {
		return fault.New(fault.BadRequest, "the request needs %d tokens; the workspace's burst is %d", r.tokens(), r.Whole.Burst)
	}
	s := l.survey(now, r.Workspace, r.Whole)
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

// Admit takes the tokens of one request or refuses it at once with the time to come back.
// It waits at most MaxWait for tokens, in order of arrival within a workspace.
func (l *Limiter) Admit(ctx context.Context, clock func() time.Time, r Request) (*Grant, error) {
	start := clock()
	if err := l.Hopeless(start, r); err != nil {
		return nil, err
	}
	tokens, workspace, whole := r.tokens(), r.Workspace, r.Whole
	q := l.enter(workspace, tokens)
	defer l.leave(q, tokens)
	ahead := time.Duration(float64(q.before) / float64(whole.PerSecond) * float64(time.Second))
	if ahead > MaxWait {
		return nil, fault.NewRetryAfter(fault.OverRate, ahead, "workspace %s is over its rate", workspace)
	}
	select {
	case q.line.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-q.line.turn }()
	for {
		wait, grant := l.try(ctx, clock, r)
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

// ticket is one request's place in a line.
type ticket struct {
	line   *line
	before int64
}

func (l *Limiter) enter(workspace string, tokens int64) ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.lines[workspace]
	if !ok {
		q = &line{turn: make(chan struct{}, 1)}
		l.lines[workspace] = q
	}
	t := ticket{line: q, before: q.waiting}
	q.waiting += tokens
	return t
}

func (l *Limiter) leave(t ticket, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.line.waiting -= tokens
}

// try gathers all tokens in one pass and keeps none when there are too few, so that no tokens wait outside the shares
// while these refill. Without a grant it returns how long to wait.
func (l *Limiter) try(ctx context.Context, clock func() time.Time, r Request) (time.Duration, *Grant) {
	now := clock()
	s := l.survey(now, r.Workspace, r.Whole)
	if missing := float64(r.tokens()) - s.level; missing > 0 {
		return s.refillTime(missing), nil
	}
	g := &Grant{At: now, id: r.ID, whole: r.Whole}
	l.takeOwn(now, g, r)
	l.takeOthers(ctx, clock, g, r, s.others)
	if g.Tokens >= r.tokens() {
		return 0, g
	}
	missing := float64(r.tokens() - g.Tokens)
	l.Settle(ctx, clock(), g, 0)
	return s.refillTime(missing), nil
}

// want is what a request still needs of a share.
func (g *Grant) want(r Request) share.Want {
	return share.Want{ID: r.ID, Tokens: r.tokens() - g.Tokens, Firm: max(0, r.Firm-g.Tokens)}
}

// takeOwn spends what this instance's own shares have.
func (l *Limiter) takeOwn(now time.Time, g *Grant, r Request) {
	homes := l.homesOf(r.Workspace)
	for i, p := range homes {
		if g.Tokens >= r.tokens() {
			return
		}
		h, ok := l.leases.Get(now, p)
		if !ok {
			continue
		}
		k := share.Key{Workspace: r.Workspace, Partition: p}
		t := tenureOf(h)
		part := r.Whole.Split(len(homes), i)
		want := g.want(r)
		given, _ := l.book.Take(now, k, t, part, want)
		g.add(want, piece{key: k, tokens: given, tenure: t, part: part})
	}
}

// takeOthers asks the other holders, those believed to have most first.
func (l *Limiter) takeOthers(ctx context.Context, clock func() time.Time, g *Grant, r Request, others []candidate) {
	for _, c := range others {
		if g.Tokens >= r.tokens() || c.level < 1 {
			return
		}
		want := g.want(r)
		given, left, held, err := l.peers.Take(ctx, c.address, c.key, want)
		l.learn(clock(), c.key, left, held && err == nil)
		if err == nil && held {
			g.add(want, piece{key: c.key, address: c.address, tokens: given})
		}
	}
}

// Settle returns what a request did not use, and tells the shares that kept room for more. Tokens are returned at most once;
// a lost return loses them.
func (l *Limiter) Settle(ctx context.Context, now time.Time, g *Grant, used int64) {
	if g == nil {
		return
	}
	back := g.Tokens - used
	for i := len(g.pieces) - 1; i >= 0; i-- {
		p := g.pieces[i]
		n := min(max(0, back), p.tokens)
		back -= n
		if n == 0 && p.spare == 0 {
			continue
		}
		if p.address != "" {
			l.peers.Give(ctx, p.address, p.key, g.id, n)
			continue
		}
		l.book.Give(now, p.key, p.tenure, p.part, g.id, n)
	}
	g.pieces = nil
	g.Tokens = min(g.Tokens, used)
}

// Serve spends tokens of an own share for a peer.
func (l *Limiter) Serve(now time.Time, k share.Key, whole share.Budget, w share.Want) (given, left int64, held bool) {
	h, ok := l.leases.Get(now, k.Partition)
	part, home := l.partOf(k, whole)
	if !ok || !home {
		return 0, 0, false
	}
	given, left = l.book.Take(now, k, tenureOf(h), part, w)
	return given, left, true
}

// Return puts a peer's unused tokens back.
func (l *Limiter) Return(now time.Time, k share.Key, whole share.Budget, id string, tokens int64) {
	h, ok := l.leases.Get(now, k.Partition)
	part, home := l.partOf(k, whole)
	if ok && home {
		l.book.Give(now, k, tenureOf(h), part, id, tokens)
	}
}

// partOf returns a share's part of the budget; false when the partition carries no share of the workspace.
func (l *Limiter) partOf(k share.Key, whole share.Budget) (share.Part, bool) {
	homes := l.homesOf(k.Workspace)
	for i, p := range homes {
		if p == k.Partition {
			return whole.Split(len(homes), i), true
		}
	}
	return share.Part{}, false
}

func (l *Limiter) homesOf(workspace string) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.homes[workspace]
	if !ok {
		h = share.Homes(workspace, l.partitions)
		l.homes[workspace] = h
	}
	return h
}

// add records what was given of a want.
func (g *Grant) add(w share.Want, p piece) {
	if p.tokens > 0 {
		p.spare = max(0, p.tokens-w.Firm)
		g.Tokens += p.tokens
		g.pieces = append(g.pieces, p)
	}
}

func tenureOf(h lease.Held) share.Tenure {
	return share.Tenure{Epoch: h.Row.Epoch, Since: h.Since, Full: h.Fresh}
}
