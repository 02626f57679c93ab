// Package link sends requests to upstreams over pooled connections. It never sends a request twice and reports whether
// an upstream may have received it.
package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/base/socket"
	"github.com/skylarkquay/skylarkquay/internal/front/detour"
)

const (
	// dialTimeout limits connection setup. Zones are a few milliseconds apart. A lost SYN costs a second, so trying
	// another upstream is faster.
	dialTimeout = 400 * time.Millisecond
	// examineTimeout limits the check why a connection has broken off, which may take another instance.
	examineTimeout = 250 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection fails. Sound upstreams may be silent for a
	// second or so.
	unackedTimeout = 2 * time.Second
	// defaultIdleTimeout applies if the upstream sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from an upstream's Keep-Alive timeout.
	idleMargin = 700 * time.Millisecond
	// maxFreshIdle is the idle time up to which a connection may carry a request that must not run twice.
	maxFreshIdle = time.Second
	// maxResponses limits the responses read for one request, including those to earlier requests.
	maxResponses = 3
	// maxStrayBytes limits how much of the body of a skipped response is read.
	maxStrayBytes = 1 << 20
	// maxInlineBytes is the body size up to which a request is written before its response is read.
	maxInlineBytes = 4 << 10
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// UnsentError reports that nothing was sent to the upstream.
type UnsentError struct{ Err error }

// Error implements error.
func (e *UnsentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// ErrConnLimit is returned when this instance has reached its connection limit for the upstream.
var ErrConnLimit = errors.New("all connections to the upstream are taken")

// ErrStray is returned when the upstream sent only responses to other requests.
var ErrStray = errors.New("answers of other requests came instead")

// NotSent reports whether err proves that no byte reached the upstream.
func NotSent(err error) bool {
	var u *UnsentError
	return errors.As(err, &u)
}

// RelayedError reports that a connection through another instance failed, which may be due to that instance.
type RelayedError struct{ Err error }

// Error implements error.
func (e *RelayedError) Error() string { return "through another instance: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RelayedError) Unwrap() error { return e.Err }

// Relayed reports whether err is that of a connection through another instance.
func Relayed(err error) bool {
	var r *RelayedError
	return errors.As(err, &r)
}

// Request is a request to an upstream.
type Request struct {
	// Upstream is the upstream's ID, and Born its incarnation.
	Upstream string
	Born     int64
	Address  string
	Method   string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a response with these headers belongs to this request.
	Matches func(http.Header) bool
	// FreshConn requires a new connection or one idle for at most maxFreshIdle, because the request must not run twice.
	FreshConn bool
	// NewConn requires a new connection. A request that was sent to the upstream before has the same ID, so that on another connection
	// an earlier response, written once more, would pass for that to this send.
	NewConn bool
	// Prepare is called when there is a connection, right before the first byte is written, and returns the header to send instead of
	// Header. If it returns an error, nothing is sent and Send returns the error in an UnsentError. Nil if there is nothing to check.
	Prepare func(now time.Time) (http.Header, error)
}

type conn struct {
	net.Conn
	watch   *idleWatch
	head    *bound.HeadConn
	address string
	reader  *bufio.Reader
	// relayed reports whether the connection passes through another instance. It carries one request.
	relayed  bool
	lastUsed time.Time
	// idleTimeout is how long the connection may stay idle.
	idleTimeout time.Duration
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	idle  map[string][]*conn
	open  map[string]int
	limit func(address string) int
	// onOpen is called for each new connection.
	onOpen     func()
	idleLimits idleLimits
	dialer     Dialer
	// Memory is the budget of the heads of responses; nil bounds their length only. It is set before the first request.
	Memory *bound.Budget
}

// Dialer connects to upstreams.
type Dialer interface {
	// Dial connects to an upstream within a timeout.
	Dial(ctx context.Context, t detour.Target, timeout time.Duration) (net.Conn, error)
	// Examine finds out why a connection to an upstream has broken off.
	Examine(ctx context.Context, t detour.Target, timeout time.Duration) detour.Finding
	// Broken reports whether this instance has no path of its own to an upstream.
	Broken(now time.Time, address string) bool
}

// NewPool returns a pool. limit returns the maximum number of connections to an address; zero means no limit.
func NewPool(dialer Dialer, limit func(address string) int, onOpen func()) *Pool {
	return &Pool{idle: make(map[string][]*conn), open: make(map[string]int), limit: limit, onOpen: onOpen, dialer: dialer}
}

// DialTCP connects to an upstream over TCP.
func DialTCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: socket.UserTimeout(unackedTimeout), KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return socket.ReportResets(c), nil
}

// Response is an upstream's response.
type Response struct {
	Status int
	Header http.Header
	// Body fails with io.ErrUnexpectedEOF or a network error if the response is incomplete.
	Body io.Reader
	// ConnectedAt is when the request had a connection.
	ConnectedAt time.Time
	pool        *Pool
	conn        *conn
	raw         *http.Response
	stop        func() bool
	sent        <-chan error
	reused      bool
}

// Send sends a request and returns the head of the response. The context covers the whole exchange, including the
// body. When it ends, reads and writes on the connection fail.
func (p *Pool) Send(ctx context.Context, now time.Time, r Request) (*Response, error) {
	c, reused, err := p.acquire(ctx, now, r)
	if err != nil {
		return nil, &UnsentError{err}
	}
	if r.Prepare != nil {
		if r.Header, err = r.Prepare(time.Now()); err != nil {
			p.discard(c)
			return nil, &UnsentError{err}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	connectedAt := time.Now()
	sent := write(c, r)
	resp, err := p.read(c, r)
	if err != nil {
		stop()
		if reused && droppedByPeer(err) {
			p.idleLimits.record(now, r.Address, now.Sub(c.lastUsed))
		}
		p.discard(c)
		if c.relayed {
			err = &RelayedError{err}
		}
		return nil, fmt.Errorf("no answer: %w", err)
	}
	resp.ConnectedAt = connectedAt
	resp.stop = stop
	resp.sent = sent
	resp.reused = reused
	return resp, nil
}

// write sends the request. A long body is sent concurrently, because the response may arrive before it is sent.
func write(c *conn, r Request) <-chan error {
	var b strings.Builder
	b.Grow(1 << 10)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// Writing to a strings.Builder does not fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	done := make(chan error, 1)
	if len(r.Body) <= maxInlineBytes {
		_, err := c.Write(append([]byte(b.String()), r.Body...))
		done <- err
		return done
	}
	go func() {
		_, err := socket.WriteBuffers(c.Conn, net.Buffers{[]byte(b.String()), r.Body})
		done <- err
	}()
	return done
}

// read returns the first response that belongs to the request and skips late responses to earlier ones.
func (p *Pool) read(c *conn, r Request) (*Response, error) {
	if err := c.expectHead(); err != nil {
		return nil, err
	}
	for range maxResponses {
		raw, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, withoutQuotes(err)
		}
		if err := checkFraming(raw, c.head.Old()); err != nil {
			return nil, err
		}
		if raw.StatusCode < http.StatusOK {
			continue
		}
		c.head.End()
		if r.Matches(raw.Header) {
			return &Response{Status: raw.StatusCode, Header: raw.Header, Body: quietBody{bound.CheckTrailer(raw)}, pool: p, conn: c, raw: raw}, nil
		}
		if raw.Close {
			return nil, ErrStray
		}
		if _, err := io.Copy(io.Discard, bound.Reader(raw.Body, maxStrayBytes)); err != nil {
			return nil, err
		}
		if err := c.expectHead(); err != nil {
			return nil, err
		}
	}
	return nil, ErrStray
}

// expectHead prepares for the head of the next response, whose beginning may be in the read buffer.
func (c *conn) expectHead() error {
	// Peek does not read what is buffered.
	read, _ := c.reader.Peek(c.reader.Buffered())
	return c.head.Expect(read)
}

// Relayed reports whether the connection passes through another instance.
func (r *Response) Relayed() bool { return r.conn.relayed }

// Reused reports whether the request was sent on a pooled connection.
func (r *Response) Reused() bool { return r.reused }

// Framing is what marks the end of a response's body.
type Framing string

const (
	// ByLength: the head states the length.
	ByLength Framing = "length"
	// ByChunks: the last chunk marks the end.
	ByChunks Framing = "chunks"
	// ByConnection: the body ends with its connection. That cannot be told from a connection that was closed early.
	ByConnection Framing = "connection"
)

// Framing returns what marks the end of the body.
func (r *Response) Framing() Framing {
	switch {
	case len(r.raw.TransferEncoding) > 0:
		return ByChunks
	case r.raw.ContentLength >= 0 || r.raw.Body == http.NoBody:
		return ByLength
	default:
		return ByConnection
	}
}

// Done returns the connection to the pool after the body has been read to EOF.
func (r *Response) Done(now time.Time) {
	r.conn.watch.onIdle = nil
	r.conn.head.Release()
	if !r.stop() || r.raw.Close || r.conn.relayed || r.conn.reader.Buffered() > 0 || !written(r.sent) {
		r.pool.discard(r.conn)
		return
	}
	if err := r.conn.SetDeadline(time.Time{}); err != nil {
		r.pool.discard(r.conn)
		return
	}
	r.conn.idleTimeout = keepAliveTimeout(r.Header)
	r.conn.lastUsed = now
	r.pool.putIdle(r.conn)
}

// written reports whether the whole request has been sent.
func written(sent <-chan error) bool {
	select {
	case err := <-sent:
		return err == nil
	default:
		return false
	}
}

// SetReadTimeout limits the wait for the next bytes, unless the context has ended.
func (r *Response) SetReadTimeout(ctx context.Context, timeout time.Duration) {
	setReadTimeout(ctx, r.conn, timeout)
}

// Abort closes the connection, which makes the upstream stop its work.
func (r *Response) Abort() {
	r.stop()
	r.pool.discard(r.conn)
}

// keepAliveTimeout returns how long a connection may stay idle, given the response's Keep-Alive header.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return max(0, min(defaultIdleTimeout, time.Duration(seconds)*time.Second-idleMargin))
		}
	}
	return defaultIdleTimeout
}

// Examine finds out why a connection to an upstream has broken off.
func (p *Pool) Examine(ctx context.Context, t detour.Target) detour.Finding {
	return p.dialer.Examine(ctx, t, examineTimeout)
}

// Broken reports whether this instance has no path of its own to an upstream.
func (p *Pool) Broken(now time.Time, address string) bool { return p.dialer.Broken(now, address) }

func (p *Pool) acquire(ctx context.Context, now time.Time, r Request) (*conn, bool, error) {
	if p.dialer.Broken(now, r.Address) {
		p.CloseIdle(r.Address)
	}
	for !r.NewConn {
		c := p.popIdle(now, r)
		if c == nil {
			break
		}
		if usable(c) {
			return c, true, nil
		}
		p.discard(c)
	}
	if !p.reserve(r.Address, p.limit(r.Address)) {
		return nil, false, ErrConnLimit
	}
	raw, err := p.dialer.Dial(ctx, detour.Target{ID: r.Upstream, Address: r.Address, Born: r.Born}, dialTimeout)
	if err != nil {
		p.release(r.Address)
		return nil, false, err
	}
	p.onOpen()
	return newConn(raw, r.Address, p.Memory), false, nil
}

// newConn returns a connection that has not carried a request.
func newConn(raw net.Conn, address string, memory *bound.Budget) *conn {
	watch := &idleWatch{Conn: raw}
	head := bound.NewHeadConn(watch, memory)
	_, relayed := raw.(*detour.Conn)
	return &conn{Conn: raw, relayed: relayed, watch: watch, head: head, address: address, reader: bufio.NewReaderSize(head, readBufferBytes)}
}

// popIdle returns the most recently used connection, or nil.
func (p *Pool) popIdle(now time.Time, r Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[r.Address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	idle := now.Sub(c.lastUsed)
	if idle > p.idleLimits.maxIdle(now, r.Address, c.idleTimeout, false) {
		// The others have been idle for even longer.
		for _, old := range conns {
			_ = old.Close()
			p.open[r.Address]--
		}
		delete(p.idle, r.Address)
		return nil
	}
	if r.FreshConn && idle > p.idleLimits.maxIdle(now, r.Address, c.idleTimeout, true) {
		return nil
	}
	p.idle[r.Address] = conns[:len(conns)-1]
	return c
}

// usable reports whether an idle connection is open and has no unread bytes.
func usable(c *conn) bool {
	tcp, ok := socket.TCP(c.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// reserve counts one more connection, or returns false if that would exceed the limit. Zero means no limit.
func (p *Pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.open[address] >= limit {
		return false
	}
	p.open[address]++
	return true
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

func (p *Pool) discard(c *conn) {
	// The connection is discarded whether or not closing it succeeds.
	_ = c.Close()
	c.head.Release()
	p.release(c.address)
}

// Sweep closes connections that have exceeded their idle timeout.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		live := conns[:0]
		for _, c := range conns {
			if now.Sub(c.lastUsed) <= c.idleTimeout {
				live = append(live, c)
				continue
			}
			_ = c.Close()
			p.open[address]--
		}
		p.idle[address] = live
		if len(live) == 0 {
			delete(p.idle, address)
		}
		if p.open[address] <= 0 {
			delete(p.open, address)
		}
	}
}

// CloseIdle closes the idle connections to an address, for example when another upstream may have taken over
// the address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		p.discard(c)
	}
}
