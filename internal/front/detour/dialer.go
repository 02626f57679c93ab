package detour

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/skylarkquay/skylarkquay/internal/base/socket"
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
	// checkInterval is the interval between checks of broken paths.
	checkInterval = 250 * time.Millisecond
	// probeTimeout bounds a connection that checks a path.
	probeTimeout = 150 * time.Millisecond
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

// Conn is a connection through another instance.
type Conn struct {
	net.Conn
	// Via is the address of that instance.
	Via string
}

// Dialer connects to upstreams. Its fields are set before the first call.
type Dialer struct {
	// Direct connects without another instance.
	Direct func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)
	// Candidates returns the instances that may have a path to the upstreams, in the order in which they are asked.
	Candidates func() []string
	Paths      *Paths
	Log        logr.Logger
	mu         sync.Mutex
	// silent holds the instances that could not be reached, and when.
	silent map[string]time.Time
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
		conn, err := askPeer(c.askUntil, peer, c.target, c.left)
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
	return &Conn{Conn: o.conn, Via: o.via}
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

// Finding is why a connection to an upstream may have broken off.
type Finding string

// The findings.
const (
	// Ended means that the upstream refuses connections, so that its process has ended.
	Ended Finding = "ended"
	// Reachable means that this instance can connect to the upstream.
	Reachable Finding = "reachable"
	// Silent means that no instance that was asked can connect to the upstream.
	Silent Finding = "silent"
	// PathBroken means that this instance has no path of its own to the upstream.
	PathBroken Finding = "path broken"
)

// Examine connects to an upstream to find out why a connection to it has broken off. A refusal that only this instance sees shows a
// broken path.
func (d *Dialer) Examine(ctx context.Context, t Target, timeout time.Duration) Finding {
	conn, err := d.Dial(ctx, t, timeout)
	if err == nil {
		_ = conn.Close()
	}
	_, relayed := conn.(*Conn)
	switch {
	case errors.Is(err, ErrRefused), errors.Is(err, syscall.ECONNREFUSED):
		return Ended
	case errors.Is(err, ErrNoPath):
		return PathBroken
	case err != nil:
		return Silent
	case relayed:
		return PathBroken
	default:
		return Reachable
	}
}

// CheckPaths checks, until the context ends, whether broken paths have been restored and whether this instance has lost its path to
// all upstreams. Upstreams returns the addresses of those that are listed.
func (d *Dialer) CheckPaths(ctx context.Context, upstreams func() []string) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.Paths.suspected:
		}
		d.checkPaths(ctx, time.Now(), upstreams())
	}
}

func (d *Dialer) checkPaths(ctx context.Context, now time.Time, upstreams []string) {
	broken := d.Paths.broken(now, upstreams)
	if d.Paths.Suspect(now) || d.Paths.Detached() {
		// The upstreams that failed may have ended. Others show whether it is the path.
		rand.Shuffle(len(upstreams), func(i, j int) { upstreams[i], upstreams[j] = upstreams[j], upstreams[i] })
		sample := upstreams[:min(maxProbes, len(upstreams))]
		if len(sample) > 0 && !d.Probe(ctx, sample) && ctx.Err() == nil {
			d.Paths.detach(now)
		}
	}
	if len(broken) > 0 && !d.Paths.Detached() {
		d.Probe(ctx, broken)
	}
}

// Probe checks whether this instance can connect to upstreams itself, and reports whether it could to any.
func (d *Dialer) Probe(ctx context.Context, addresses []string) bool {
	outcomes := make(chan outcome, len(addresses))
	for _, address := range addresses {
		go func() {
			conn, err := d.Direct(ctx, address, probeTimeout)
			if err == nil {
				_ = conn.Close()
				d.Paths.Connected(time.Now(), address)
			} else if ctx.Err() == nil {
				d.Paths.Failed(time.Now(), address, false)
			}
			outcomes <- outcome{err: err}
		}()
	}
	connected := false
	for range addresses {
		o := <-outcomes
		connected = connected || o.err == nil
	}
	return connected
}

// askPeer asks an instance for a connection to an upstream. Left is the time until the request's deadline, if it has one.
func askPeer(ctx context.Context, peer string, t Target, left time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: askTimeout, Control: socket.UserTimeout(unackedTimeout), KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", peer)
	if err != nil {
		return nil, fmt.Errorf("instance %s: %w", peer, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	err = handshake(conn, peer, t, left)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err == nil {
		err = conn.SetDeadline(time.Time{})
	}
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("instance %s: %w", peer, err)
	}
	return conn, nil
}

func handshake(conn net.Conn, peer string, t Target, left time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(askTimeout)); err != nil {
		return err
	}
	query := url.Values{"id": {t.ID}, "address": {t.Address}, "left": {strconv.FormatInt(left.Milliseconds(), 10)}}
	if _, err := fmt.Fprintf(conn, "POST %s?%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", Path, query.Encode(), peer); err != nil {
		return err
	}
	// The other instance sends nothing after the head before the request has been sent.
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 1<<10), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	return errorOf(resp.StatusCode)
}

// errorOf returns the error that a status of another instance stands for.
func errorOf(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusBadGateway:
		return ErrRefused
	case http.StatusGatewayTimeout:
		return ErrUnreachable
	default:
		return fmt.Errorf("%w: status %d", errDeclined, status)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
