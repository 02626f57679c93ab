package detour

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

const (
	// hedgeDelay is how long a connection may take before another instance is asked for one. Zones are a few milliseconds apart.
	hedgeDelay = 50 * time.Millisecond
	// maxAsked is how many instances are asked for one connection; those that have lost their path too do not know it at first.
	maxAsked = 4
	// askTimeout bounds the response of one instance.
	askTimeout = 300 * time.Millisecond
	// silentPeerTTL is how long an instance that could not be reached is not asked.
	silentPeerTTL = 2 * time.Second
	// unackedTimeout is how long bytes between instances may stay unacknowledged before the connection fails.
	unackedTimeout = 1500 * time.Millisecond
	// Path is the path of the call by which an instance asks another one for a connection.
	Path = "/connect"
)

// Errors of connections.
var (
	// ErrNoPath means that neither this instance nor another one has a path to the upstream. It says nothing about the upstream.
	ErrNoPath = errors.New("no path to the upstream")
	// ErrRefused means that the upstream refuses connections, also those of an instance with a path to others.
	ErrRefused = errors.New("the upstream refuses connections")
	// ErrUnreachable means that another instance could not connect to the upstream either.
	ErrUnreachable = errors.New("another instance could not connect either")
	// errDeclined means that another instance did not try to connect.
	errDeclined = errors.New("another instance declined")
)

// Conn is a connection through another instance. It ends with io.EOF only if the upstream is known to have ended it.
type Conn struct {
	net.Conn
	// Via is the address of that instance.
	Via string
	// reader reads what the upstream sent.
	reader io.Reader
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Dialer connects to upstreams. Its fields are set before the first call.
type Dialer struct {
	// Direct connects without another instance.
	Direct func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)
	// Candidates returns the instances that may have a path to the upstreams, in the order in which they are asked.
	Candidates func() []string
	Paths      *Paths
	// Upstreams returns the addresses of the upstreams that are listed; nil if none is known.
	Upstreams func() []string
	// Memory is the budget of heads; nil bounds their length only.
	Memory *bound.Budget
	Log    logr.Logger
	mu     sync.Mutex
	// silent holds the instances that could not be reached, and when.
	silent map[string]time.Time
	proof  proof
}

// outcome is the end of one attempt to connect.
type outcome struct {
	conn net.Conn
	err  error
	// via is the instance that was asked; "" for a connection of this instance.
	via string
}

// dial is one connection to an upstream that is being made.
type dial struct {
	*Dialer
	target   Target
	timeout  time.Duration
	askUntil context.Context
	// left is the time until the request's deadline; zero if it has none.
	left     time.Duration
	outcomes chan outcome
	pending  int
	// peers are the instances that were not asked yet.
	peers []string
	// direct reports whether this instance tries to connect itself, and directErr is why it failed.
	direct    bool
	directErr error
	// verdict is what another instance found out about the upstream.
	verdict error
}

// Dial connects to an upstream within a timeout. Another instance is asked if the path from this one is broken, or if the
// connection takes long.
func (d *Dialer) Dial(ctx context.Context, t Target, timeout time.Duration) (net.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	askUntil, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c := &dial{Dialer: d, target: t, timeout: timeout, askUntil: askUntil, outcomes: make(chan outcome, 1+maxAsked)}
	if deadline, ok := ctx.Deadline(); ok {
		c.left = time.Until(deadline)
	}
	conn, err := c.run(ctx)
	if c.pending > 0 {
		go c.collect(c.pending, conn != nil)
	}
	return conn, err
}

func (c *dial) run(ctx context.Context) (net.Conn, error) {
	c.direct = !c.Paths.Broken(time.Now(), c.target.Address)
	if c.direct {
		c.pending++
		go func() {
			// The end of the attempt shows whether the path is broken, also if another instance is faster.
			conn, err := c.Direct(context.WithoutCancel(ctx), c.target.Address, c.timeout)
			c.outcomes <- outcome{conn: conn, err: err}
		}()
	}
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	if !c.direct {
		c.ask()
	}
	for c.pending > 0 {
		select {
		case o := <-c.outcomes:
			c.pending--
			if o.err == nil {
				return c.connected(time.Now(), o), nil
			}
			if c.failed(time.Now(), o) {
				c.ask()
			}
		case <-hedge.C:
			c.ask()
			hedge.Reset(hedgeDelay)
		case <-c.askUntil.Done():
			return nil, c.finalError(c.askUntil.Err())
		}
		if errors.Is(c.verdict, ErrRefused) && (!c.direct || c.directErr != nil) {
			break
		}
	}
	return nil, c.finalError(ErrNoPath)
}

// ask asks the next instance, if there is one.
func (c *dial) ask() {
	if c.peers == nil {
		c.peers = c.askable(time.Now())
	}
	if len(c.peers) == 0 {
		return
	}
	peer := c.peers[0]
	c.peers = c.peers[1:]
	c.pending++
	go func() {
		conn, err := askPeer(c.askUntil, peer, c.target, c.left, c.Memory)
		c.outcomes <- outcome{conn: conn, err: err, via: peer}
	}()
}

// askable returns the instances to ask, at most maxAsked. The slice is not nil.
func (c *dial) askable(now time.Time) []string {
	candidates := c.Candidates()
	c.mu.Lock()
	defer c.mu.Unlock()
	peers := make([]string, 0, maxAsked)
	for _, peer := range candidates {
		if at, ok := c.silent[peer]; ok && now.Sub(at) < silentPeerTTL {
			continue
		}
		if peers = append(peers, peer); len(peers) == maxAsked {
			break
		}
	}
	return peers
}

// connected records a connection and returns it.
func (c *dial) connected(now time.Time, o outcome) net.Conn {
	if o.via == "" {
		c.Paths.Connected(now, c.target.Address)
		return o.conn
	}
	if c.direct {
		// A connection of this instance that is made later revokes it.
		c.Paths.Failed(now, c.target.Address, true)
	}
	c.Log.Info("detour: connected through another instance", "upstream", c.target.ID, "via", o.via, "detached", c.Paths.Detached(),
		"error", errorText(c.directErr))
	return o.conn
}

// failed records a failed attempt and reports whether another instance is to be asked.
func (c *dial) failed(now time.Time, o outcome) bool {
	switch {
	case o.via == "":
		c.directErr = o.err
		c.Paths.Failed(now, c.target.Address, false)
		return true
	case errors.Is(o.err, ErrRefused):
		c.verdict = ErrRefused
		return false
	case errors.Is(o.err, ErrUnreachable):
		if c.verdict == nil {
			c.verdict = ErrUnreachable
		}
	case !errors.Is(o.err, errDeclined) && c.askUntil.Err() == nil:
		c.peerSilent(now, o.via)
	}
	return true
}

// finalError returns why no connection was made.
func (c *dial) finalError(err error) error {
	switch {
	case errors.Is(c.verdict, ErrUnreachable) && c.directErr != nil:
		return fmt.Errorf("%w: %w", c.verdict, c.directErr)
	case c.verdict != nil:
		return c.verdict
	case c.Paths.Detached():
		return ErrNoPath
	case c.directErr != nil:
		return c.directErr
	default:
		return err
	}
}

// collect waits for the attempts that were not needed. Reached reports whether a connection was made.
func (c *dial) collect(pending int, reached bool) {
	for range pending {
		o := <-c.outcomes
		now := time.Now()
		switch {
		case o.via != "":
		case o.err == nil:
			c.Paths.Connected(now, c.target.Address)
		default:
			c.Paths.Failed(now, c.target.Address, reached)
		}
		if o.conn != nil {
			_ = o.conn.Close()
		}
	}
}

// Broken reports whether this instance has no path of its own to an upstream.
func (d *Dialer) Broken(now time.Time, address string) bool { return d.Paths.Broken(now, address) }

// peerSilent records that an instance could not be reached.
func (d *Dialer) peerSilent(now time.Time, peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.silent == nil {
		d.silent = make(map[string]time.Time)
	}
	for address, at := range d.silent {
		if now.Sub(at) >= silentPeerTTL {
			delete(d.silent, address)
		}
	}
	d.silent[peer] = now
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
