// Package link sends requests to upstreams over kept connections. It never sends a request twice and tells whether an
// upstream may have seen it.
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

	"github.com/skylarkquay/skylarkquay/internal/base/socket"
)

const (
	// dialTimeout bounds a new connection. Zones are a few milliseconds apart; a lost opening packet costs a second,
	// and another upstream is the better try then.
	dialTimeout = 400 * time.Millisecond
	// unackedMost is how long sent bytes may stay without acknowledgement before a connection counts as silent.
	unackedMost = 1500 * time.Millisecond
	// idleDefault is how long a connection is kept when the upstream names no time.
	idleDefault = 4 * time.Second
	// idleMargin is subtracted from the time that an upstream names.
	idleMargin = 700 * time.Millisecond
	// freshMost is how long a connection for requests that must not run twice may have been idle.
	freshMost = time.Second
	// strayMost bounds the answers to earlier requests that are read over.
	strayMost = 3
	// strayBytes bounds the body of such an answer.
	strayBytes = 1 << 20
	// inlineBytes is the body size up to which a request is written before its answer is awaited.
	inlineBytes = 4 << 10
	// readBuffer is the buffer of one connection.
	readBuffer = 4 << 10
)

// UnsentError says that nothing reached the upstream.
type UnsentError struct{ Err error }

// Error implements error.
func (e *UnsentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// ErrBusy says that the upstream has as many connections from this instance as it may have.
var ErrBusy = errors.New("all connections to the upstream are taken")

// ErrStray says that the upstream sent only answers to other requests.
var ErrStray = errors.New("answers of other requests came instead")

// NotSent tells whether err proves that no byte reached the upstream.
func NotSent(err error) bool {
	var u *UnsentError
	return errors.As(err, &u)
}

// Request is one message to an upstream.
type Request struct {
	Address string
	Method  string
	// Target is the path with its query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches tells whether an answer belongs to this request.
	Matches func(http.Header) bool
	// Once asks for a connection that was used lately or is new.
	Once bool
}

type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	used    time.Time
	// idle is how long the upstream keeps the connection.
	idle time.Duration
}

// Pool keeps connections by address. It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	idle  map[string][]*conn
	open  map[string]int
	limit func(address string) int
	// opened is called for each new connection.
	opened func()
	rest   rest
}

// NewPool returns a pool. Limit gives the most connections to an address, zero for no bound.
func NewPool(limit func(address string) int, opened func()) *Pool {
	return &Pool{idle: make(map[string][]*conn), open: make(map[string]int), limit: limit, opened: opened}
}

// Reply is an upstream's answer.
type Reply struct {
	Status int
	Header http.Header
	// Body fails with io.ErrUnexpectedEOF or a network error when the answer is not whole.
	Body   io.Reader
	pool   *Pool
	conn   *conn
	raw    *http.Response
	stop   func() bool
	sent   <-chan error
	reused bool
}

// Send sends a request and returns the answer's head. The context bounds the whole exchange: its end closes the
// connection.
func (p *Pool) Send(ctx context.Context, now time.Time, r Request) (*Reply, error) {
	c, reused, err := p.take(ctx, now, r)
	if err != nil {
		return nil, &UnsentError{err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	sent := write(c, r)
	reply, err := p.read(c, r)
	if err != nil {
		stop()
		if reused && forgotten(err) {
			p.rest.learn(now, r.Address, now.Sub(c.used))
		}
		p.discard(c)
		return nil, fmt.Errorf("no answer: %w", err)
	}
	reply.stop = stop
	reply.sent = sent
	reply.reused = reused
	return reply, nil
}

// write sends the message; a long body is sent while the answer is awaited, because it may come first.
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
	if len(r.Body) <= inlineBytes {
		_, err := c.Write(append([]byte(b.String()), r.Body...))
		done <- err
		return done
	}
	go func() {
		buffers := net.Buffers{[]byte(b.String()), r.Body}
		_, err := buffers.WriteTo(c.Conn)
		done <- err
	}()
	return done
}

// read returns the first answer that belongs to the request. Late answers to earlier requests are read over.
func (p *Pool) read(c *conn, r Request) (*Reply, error) {
	for range strayMost {
		raw, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if raw.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches(raw.Header) {
			return &Reply{Status: raw.StatusCode, Header: raw.Header, Body: raw.Body, pool: p, conn: c, raw: raw}, nil
		}
		if raw.Close {
			return nil, ErrStray
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(raw.Body, strayBytes)); err != nil {
			return nil, err
		}
	}
	return nil, ErrStray
}

// Reused tells whether the request went over a kept connection.
func (r *Reply) Reused() bool { return r.reused }

// Done gives the connection back after the body was read to its end.
func (r *Reply) Done(now time.Time) {
	if !r.stop() || r.raw.Close || r.conn.reader.Buffered() > 0 || !written(r.sent) {
		r.pool.discard(r.conn)
		return
	}
	if err := r.conn.SetDeadline(time.Time{}); err != nil {
		r.pool.discard(r.conn)
		return
	}
	r.conn.idle = idleFor(r.Header)
	r.conn.used = now
	r.pool.put(r.conn)
}

// written tells whether the whole request has been sent.
func written(sent <-chan error) bool {
	select {
	case err := <-sent:
		return err == nil
	default:
		return false
	}
}

// Silence bounds the wait for the next bytes, unless the context has ended.
func (r *Reply) Silence(ctx context.Context, most time.Duration) {
	// A connection that is closed already fails at the next read.
	_ = r.conn.SetReadDeadline(time.Now().Add(most))
	if ctx.Err() != nil {
		_ = r.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Abort closes the connection, which ends the upstream's work.
func (r *Reply) Abort() {
	r.stop()
	r.pool.discard(r.conn)
}

// idleFor returns how long a connection may be kept by the answer's Keep-Alive header.
func idleFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return max(0, min(idleDefault, time.Duration(seconds)*time.Second-idleMargin))
		}
	}
	return idleDefault
}

func (p *Pool) take(ctx context.Context, now time.Time, r Request) (*conn, bool, error) {
	for {
		c := p.pop(now, r)
		if c == nil {
			break
		}
		if quiet(c) {
			return c, true, nil
		}
		p.discard(c)
	}
	if limit := p.limit(r.Address); limit > 0 && !p.reserve(r.Address, limit) {
		return nil, false, ErrBusy
	} else if limit <= 0 {
		p.reserve(r.Address, 1<<30)
	}
	dialer := net.Dialer{Timeout: dialTimeout, Control: socket.UserTimeout(unackedMost), KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp4", r.Address)
	if err != nil {
		p.release(r.Address)
		return nil, false, err
	}
	p.opened()
	return &conn{Conn: raw, address: r.Address, reader: bufio.NewReaderSize(raw, readBuffer)}, false, nil
}

// pop returns the connection that was used last, or nil.
func (p *Pool) pop(now time.Time, r Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[r.Address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	unused := now.Sub(c.used)
	if unused > p.rest.most(now, r.Address, c.idle, false) {
		// The others were used even earlier.
		for _, old := range kept {
			_ = old.Close()
			p.open[r.Address]--
		}
		delete(p.idle, r.Address)
		return nil
	}
	if r.Once && unused > p.rest.most(now, r.Address, c.idle, true) {
		return nil
	}
	p.idle[r.Address] = kept[:len(kept)-1]
	return c
}

// quiet tells whether an idle connection is open and nothing has come on it.
func quiet(c *conn) bool {
	tcp, ok := c.Conn.(*net.TCPConn)
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

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

func (p *Pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address] >= limit {
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
	// The connection is given up whether or not closing it succeeds.
	_ = c.Close()
	p.release(c.address)
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, kept := range p.idle {
		live := kept[:0]
		for _, c := range kept {
			if now.Sub(c.used) <= c.idle {
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

// Forget closes the idle connections to an address, for example when it may serve another upstream now.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	kept := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range kept {
		p.discard(c)
	}
}
