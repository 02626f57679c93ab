// Package escrow admits requests against a workspace's rate by gathering tokens from the shares of all holders.
package escrow

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/limit/share"
	"github.com/skylarkquay/skylarkquay/internal/peer/lease"
)

const (
	// MaxWait bounds how long a request waits for tokens that are about to be refilled.
	MaxWait = time.Second
	// FreshFor is how long gathered tokens may be used after they were gathered.
	FreshFor = 2 * time.Second
	// pause is the shortest wait between two gatherings.
	pause = 5 * time.Millisecond
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
	Take(ctx context.Context, address string, k share.Key, want int64) (given, left int64, held bool, err error)
	// Give returns tokens, without a second try.
	Give(ctx context.Context, address string, k share.Key, tokens int64)
}

// piece is what was taken from one share.
type piece struct {
	key     share.Key
	address string
	tokens  int64
	tenure  share.Tenure
}

// Grant is the permission for one request. It may be used only while Fresh.
type Grant struct {
	// Tokens is the sum that was taken.
	Tokens int64
	// At is when the oldest tokens were taken.
	At     time.Time
	whole  share.Budget
	pieces []piece
}

// Fresh tells whether the grant may be used now.
func (g *Grant) Fresh(now time.Time) bool {
	byMonotonic := now.Sub(g.At)
	byWall := now.Round(0).Sub(g.At.Round(0))
	return byMonotonic < FreshFor && byWall < FreshFor
}

// guess is what this instance believes of a share held elsewhere.
type guess struct {
	level float64
	at    time.Time
	// downUntil is when a holder that did not answer is asked again.
	downUntil time.Time
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
		homes:      make(map[string][]int),
		guesses:    make(map[share.Key]guess),
		lines:      make(map[string]*line),
	}
}

// Admit takes the tokens of one request or refuses it at once with the time to come back.
// It waits at most MaxWait for tokens, in order of arrival within a workspace.
func (l *Limiter) Admit(ctx context.Context, clock func() time.Time, workspace string, whole share.Budget, tokens int64) (*Grant, error) {
	if tokens > whole.Burst {
		return nil, fault.New(fault.BadRequest, "the request needs %d tokens; the workspace's burst is %d", tokens, whole.Burst)
	}
	q := l.enter(workspace, tokens)
	defer l.leave(q, tokens)
	ahead := time.Duration(float64(q.before) / float64(whole.PerSecond) * float64(time.Second))
	if ahead > MaxWait {
		return nil, fault.Later(fault.OverRate, ahead, "workspace %s is over its rate", workspace)
	}
	select {
	case q.line.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-q.line.turn }()
	return l.gather(ctx, clock, workspace, whole, tokens)
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

// gather takes tokens until there are enough, or gives all back.
func (l *Limiter) gather(ctx context.Context, clock func() time.Time, workspace string, whole share.Budget, tokens int64) (*Grant, error) {
	start := clock()
	g := &Grant{At: start, whole: whole}
	for {
		l.takeOwn(clock(), g, workspace, tokens)
		l.takeOthers(ctx, clock, g, workspace, tokens)
		if g.Tokens >= tokens {
			return g, nil
		}
		now := clock()
		wait := l.refillTime(now, workspace, whole, tokens-g.Tokens)
		if now.Sub(start)+wait > MaxWait {
			l.Settle(ctx, now, g, 0)
			return nil, fault.Later(fault.OverRate, wait, "workspace %s is over its rate", workspace)
		}
		if err := sleep(ctx, wait); err != nil {
			l.Settle(ctx, clock(), g, 0)
			return nil, err
		}
	}
}

// takeOwn spends what this instance's own shares have.
func (l *Limiter) takeOwn(now time.Time, g *Grant, workspace string, tokens int64) {
	homes := l.homesOf(workspace)
	for _, p := range homes {
		if g.Tokens >= tokens {
			return
		}
		h, ok := l.leases.Get(now, p)
		if !ok {
			continue
		}
		k := share.Key{Workspace: workspace, Partition: p}
		t := tenureOf(h)
		given, _ := l.book.Take(now, k, t, g.whole, len(homes), tokens-g.Tokens)
		g.add(piece{key: k, tokens: given, tenure: t})
	}
}

// takeOthers asks the other holders, those believed to have most first.
func (l *Limiter) takeOthers(ctx context.Context, clock func() time.Time, g *Grant, workspace string, tokens int64) {
	now := clock()
	for _, c := range l.candidates(now, workspace, g.whole) {
		if g.Tokens >= tokens {
			return
		}
		if c.level < 1 {
			return
		}
		given, left, held, err := l.peers.Take(ctx, c.address, c.key, tokens-g.Tokens)
		l.learn(clock(), c.key, left, held && err == nil)
		if err == nil && held {
			g.add(piece{key: c.key, address: c.address, tokens: given})
		}
	}
}

// candidate is a share held elsewhere.
type candidate struct {
	key     share.Key
	address string
	level   float64
}

func (l *Limiter) candidates(now time.Time, workspace string, whole share.Budget) []candidate {
	homes := l.homesOf(workspace)
	rate := float64(whole.PerSecond) / float64(len(homes))
	burst := float64(whole.Burst) / float64(len(homes))
	var all []candidate
	for _, p := range homes {
		if _, own := l.leases.Get(now, p); own {
			continue
		}
		address := l.peers.Holder(now, p)
		if address == "" {
			continue
		}
		k := share.Key{Workspace: workspace, Partition: p}
		level, up := l.guessLevel(now, k, rate, burst)
		if up {
			all = append(all, candidate{key: k, address: address, level: level})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].level > all[j].level })
	return all
}

// guessLevel estimates a share held elsewhere; an unknown one is believed to be full.
func (l *Limiter) guessLevel(now time.Time, k share.Key, rate, burst float64) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, ok := l.guesses[k]
	if !ok {
		return burst, true
	}
	if now.Before(g.downUntil) {
		return 0, false
	}
	return min(burst, g.level+now.Sub(g.at).Seconds()*rate), true
}

func (l *Limiter) learn(now time.Time, k share.Key, left int64, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := guess{level: float64(left), at: now}
	if !answered {
		g.downUntil = now.Add(quarantine)
	}
	l.guesses[k] = g
}

// refillTime estimates how long the reachable shares take to refill what is missing.
func (l *Limiter) refillTime(now time.Time, workspace string, whole share.Budget, missing int64) time.Duration {
	homes := l.homesOf(workspace)
	reachable := len(l.candidates(now, workspace, whole))
	for _, p := range homes {
		if _, own := l.leases.Get(now, p); own {
			reachable++
		}
	}
	if reachable == 0 {
		return quarantine
	}
	rate := float64(whole.PerSecond) * float64(reachable) / float64(len(homes))
	seconds := float64(missing) / rate * (1 + headroom)
	return max(pause, time.Duration(seconds*float64(time.Second)))
}

// Settle returns what a request did not use. Tokens are returned at most once; a lost return loses them.
func (l *Limiter) Settle(ctx context.Context, now time.Time, g *Grant, used int64) {
	if g == nil {
		return
	}
	back := g.Tokens - used
	for i := len(g.pieces) - 1; i >= 0 && back > 0; i-- {
		p := g.pieces[i]
		n := min(back, p.tokens)
		back -= n
		if p.address != "" {
			l.peers.Give(ctx, p.address, p.key, n)
			continue
		}
		l.book.Give(now, p.key, p.tenure, g.whole, len(l.homesOf(p.key.Workspace)), n)
	}
	g.pieces = nil
	g.Tokens = min(g.Tokens, used)
}

// Serve spends tokens of an own share for a peer.
func (l *Limiter) Serve(now time.Time, k share.Key, whole share.Budget, want int64) (given, left int64, held bool) {
	h, ok := l.leases.Get(now, k.Partition)
	if !ok {
		return 0, 0, false
	}
	given, left = l.book.Take(now, k, tenureOf(h), whole, len(l.homesOf(k.Workspace)), want)
	return given, left, true
}

// Return puts a peer's unused tokens back.
func (l *Limiter) Return(now time.Time, k share.Key, whole share.Budget, tokens int64) {
	if h, ok := l.leases.Get(now, k.Partition); ok {
		l.book.Give(now, k, tenureOf(h), whole, len(l.homesOf(k.Workspace)), tokens)
	}
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

func (g *Grant) add(p piece) {
	if p.tokens > 0 {
		g.Tokens += p.tokens
		g.pieces = append(g.pieces, p)
	}
}

func tenureOf(h lease.Held) share.Tenure {
	return share.Tenure{Epoch: h.Row.Epoch, Since: h.Since, Full: h.Fresh}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
