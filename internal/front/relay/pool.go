// Package relay forwards calls to upstreams: connections, headers, bodies and event streams.
package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/base/socket"
)

const (
	dialTimeout       = time.Second
	keepAliveInterval = 5 * time.Second
	// idleConnTimeout is short, so that few requests use a connection that broke while it was idle. A new connection costs
	// one round trip.
	idleConnTimeout     = time.Second
	maxIdleConnsPerHost = 64
	// defaultMemoryBytes is the budget of a pool that is given none.
	defaultMemoryBytes = 64 << 20
	// maxResponseBytes bounds a response that is held as a whole, responseDivisor its part of the budget.
	maxResponseBytes = 16 << 20
	responseDivisor  = 4
)

// DialError is a failure to connect: nothing has been sent to the upstream.
type DialError struct {
	Err error
}

// Error implements error.
func (e *DialError) Error() string { return "dial: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// NotSent reports whether err guarantees that no byte reached the upstream.
func NotSent(err error) bool {
	var d *DialError
	return errors.As(err, &d)
}

// Dial connects to an upstream.
type Dial func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

// DialTCP connects to an upstream over TCP.
func DialTCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2,
	}}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return socket.ReportResets(c), nil
}

// Pool holds one connection pool for each upstream address.
type Pool struct {
	// Memory is the budget of the responses that are held in memory, in whole or in part.
	Memory *bound.Budget
	// responseBytes is the largest response that is held as a whole.
	responseBytes int64
	dial          Dial
	mu            sync.Mutex
	transports    map[string]*http.Transport
	unpooled      *http.Transport
}

// NewPool returns an empty pool that connects by the given function.
func NewPool(dial Dial) *Pool {
	p := &Pool{dial: dial, transports: make(map[string]*http.Transport)}
	p.SetMemory(defaultMemoryBytes)
	p.unpooled = p.newTransport()
	p.unpooled.DisableKeepAlives = true
	return p
}

// SetMemory sets the memory of the responses that are held, in whole or in part. It is called before the first request.
func (p *Pool) SetMemory(bytes int64) {
	p.Memory = bound.NewBudget(bytes)
	p.responseBytes = min(maxResponseBytes, bytes/responseDivisor)
}

// ReadWhole reads the body of a response as one event.
func (p *Pool) ReadWhole(res *http.Response) (Event, error) {
	if res.ContentLength > p.responseBytes {
		return Event{}, bound.ErrTooLong
	}
	buffer := p.Memory.Buffer(p.responseBytes)
	if _, err := buffer.ReadFrom(res.Body); err != nil {
		buffer.Release()
		return Event{}, err
	}
	return Event{Data: buffer.Bytes(), buffer: buffer}, nil
}

func (p *Pool) newTransport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			c, err := p.dial(ctx, address, dialTimeout)
			if err != nil {
				return nil, &DialError{Err: err}
			}
			return bound.NewAnswerConn(c, p.Memory), nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		// Bytes that are no answer may come without end.
		MaxResponseHeaderBytes: bound.MaxHeaderBytes,
	}
}

// Do sends a request over a pooled connection. It follows no redirect.
func (p *Pool) Do(req *http.Request) (*http.Response, error) {
	return p.send(p.transport(req.URL.Host), req)
}

// DoOnce sends a request over a new connection, so that the transport does not retry it and it is not lost on a broken
// idle connection.
func (p *Pool) DoOnce(req *http.Request) (*http.Response, error) {
	req.GetBody = nil
	return p.send(p.unpooled, req)
}

// send sends a request. The body of the response ends with io.EOF only if the upstream is known to have ended it.
func (p *Pool) send(t *http.Transport, req *http.Request) (*http.Response, error) {
	res, err := bound.Checked(t, req)
	if err == nil && endsWithConnection(req, res) {
		res.Body = &closedBody{ReadCloser: res.Body, ctx: req.Context(), address: req.URL.Host, dial: p.dial}
	}
	return res, err
}

// CloseIdle closes the idle connections to an address, after one of its connections has stopped responding.
func (p *Pool) CloseIdle(address string) {
	p.transport(address).CloseIdleConnections()
}

func (p *Pool) transport(address string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.transports[address]
	if !ok {
		t = p.newTransport()
		p.transports[address] = t
	}
	return t
}

// Retain removes the pools of all addresses except those given.
func (p *Pool) Retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, t := range p.transports {
		if !addresses[address] {
			t.CloseIdleConnections()
			delete(p.transports, address)
		}
	}
}
