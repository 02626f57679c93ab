package hold

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// pieceBytes is how much is written at once, so that a caller that reads slowly is not taken for one that reads nothing.
	pieceBytes = 64 << 10
	// unreadTimeout is how long a caller may read nothing of a response.
	unreadTimeout = 10 * time.Second
	// refusalTimeout bounds the write of a refusal, which fits into the socket's buffer.
	refusalTimeout = 10 * time.Millisecond
	// headBytes is the length of a head that ConnBytes covers, and headFactor the memory of each further byte while the head is parsed.
	headBytes  = 4 << 10
	headFactor = 2
)

// Conn is a connection of a caller that an account counts.
type Conn struct {
	net.Conn
	account *Account
	refuse  func(io.Writer) error

	// index is the position in the account, or -1; held is the memory in use and cut why it ends, if it does. The account guards them.
	index int
	held  int64
	cut   Reason
	// head is the part of held for the request's head.
	head int64

	mu       sync.Mutex
	phase    Phase
	known    bool
	owner    string
	since    time.Time
	progress time.Time
	moved    int64
	// stall is how long a body may make no progress.
	stall time.Duration
}

type listener struct {
	net.Listener
	account *Account
	refuse  func(io.Writer) error
}

// Listener returns a listener whose connections an account counts and bounds. refuse writes the response to a request of which no handler
// knows yet.
func (a *Account) Listener(l net.Listener, refuse func(io.Writer) error) net.Listener {
	return &listener{l, a, refuse}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &Conn{Conn: conn, account: l.account, refuse: l.refuse, index: -1, phase: Head, since: now, progress: now}
		if host, _, err := net.SplitHostPort(conn.RemoteAddr().String()); err == nil {
			c.owner = host
		}
		if l.account.admit(now, c) {
			return c, nil
		}
		c.writeRefusal(now)
		_ = conn.Close()
	}
}

// NetConn returns the connection that is counted.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := time.Now()
		if head := c.received(now, int64(n)); head > headBytes {
			c.account.noteHead(now, c, (head-headBytes)*headFactor)
		}
	}
	return n, err
}

// received counts received bytes and returns the length of the head so far, or 0 outside of one.
func (c *Conn) received(now time.Time, n int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == Idle {
		c.phase, c.since, c.moved = Head, now, 0
	}
	if c.phase != Sending {
		c.progress, c.moved = now, c.moved+n
	}
	if c.phase == Head {
		return c.moved
	}
	return 0
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	before := c.Begin(time.Now(), Sending)
	total := 0
	for {
		n, err := c.Conn.Write(p[total:min(len(p), total+pieceBytes)])
		total += n
		if err != nil || total == len(p) {
			c.Begin(time.Now(), before)
			return total, err
		}
		c.advance(time.Now(), int64(n))
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.account.remove(c)
	return c.Conn.Close()
}

// Begin begins a phase and returns the one before.
func (c *Conn) Begin(now time.Time, p Phase) Phase {
	if c == nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.phase
	c.phase, c.since, c.progress, c.moved = p, now, now, 0
	return before
}

// Observe is the hook for changes of the connection's state.
func (c *Conn) Observe(now time.Time, state http.ConnState) {
	switch state {
	case http.StateActive:
		c.Begin(now, Running)
	case http.StateIdle:
		c.Begin(now, Idle)
		c.account.releaseHead(c)
	case http.StateClosed, http.StateHijacked:
		c.account.remove(c)
	}
}

// Identify sets whose request is read, and whether its key is known.
func (c *Conn) Identify(owner string, known bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = known
	if owner != "" {
		c.owner = owner
	}
}

func (c *Conn) touch(now time.Time) { c.advance(now, 0) }

func (c *Conn) advance(now time.Time, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress, c.moved = now, c.moved+n
}

// snapshot returns what is held for the connection. The account is locked.
func (c *Conn) snapshot() Held {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Held{
		Phase: c.phase, Known: c.known, Owner: c.owner, Bytes: c.held, Since: c.since, Progress: c.progress, Moved: c.moved, Cut: c.cut != "",
	}
}

// limit returns how long the present phase may make no progress, or 0 if another part bounds it.
func (c *Conn) limit() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case Body:
		return c.stall
	case Sending:
		return unreadTimeout
	default:
		return 0
	}
}

// interrupt ends what the connection does. The handler of a request answers once its read has failed.
func (c *Conn) interrupt(now time.Time, p Phase) {
	switch p {
	case Body:
		_ = c.SetReadDeadline(time.Unix(1, 0))
	case Sending:
		_ = c.SetDeadline(time.Unix(1, 0))
	case Head:
		c.writeRefusal(now)
		_ = c.Conn.Close()
	default:
		_ = c.Conn.Close()
	}
}

// writeRefusal writes the response to a request that no handler will get. Errors do not matter: the connection is closed.
func (c *Conn) writeRefusal(now time.Time) {
	_ = c.SetWriteDeadline(now.Add(refusalTimeout))
	if c.refuse != nil {
		_ = c.refuse(c.Conn)
	}
	_ = c.CloseWrite()
}

// CutReason returns why the connection is cut, or "" if it is not.
func (c *Conn) CutReason() Reason {
	if c == nil {
		return ""
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.cut
}

type connKey struct{}

// NewContext returns a context for the requests of a connection. Wrappers of a counted connection have a method NetConn.
func NewContext(ctx context.Context, conn net.Conn) context.Context {
	for {
		if c, ok := conn.(*Conn); ok {
			return context.WithValue(ctx, connKey{}, c)
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return ctx
		}
		conn = wrapper.NetConn()
	}
}

// FromContext returns the connection of a request, or nil if none is counted.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
