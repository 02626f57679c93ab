// Package relay forwards calls to upstreams: connections, headers, bodies and event streams.
package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	keepAlive   = 5 * time.Second
	// idleConn is short, so that few requests meet a connection that has gone silent while nobody used it; a new one
	// costs one round trip.
	idleConn = time.Second
	maxIdle  = 64
)

// DialError says that no connection was made, so that nothing can have reached the upstream.
type DialError struct {
	Err error
}

// Error implements error.
func (e *DialError) Error() string { return "dial: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// NotSent tells whether err proves that no byte reached the upstream.
func NotSent(err error) bool {
	var d *DialError
	return errors.As(err, &d)
}

// Pool holds one connection pool for each upstream address.
type Pool struct {
	mu         sync.Mutex
	transports map[string]*http.Transport
	single     *http.Transport
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	single := newTransport()
	single.DisableKeepAlives = true
	return &Pool{transports: make(map[string]*http.Transport), single: single}
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 2,
	}}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, &DialError{Err: err}
			}
			return c, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleConn,
	}
}

// Do sends a request over a pooled connection. It follows no redirect.
func (p *Pool) Do(req *http.Request) (*http.Response, error) {
	return p.transport(req.URL.Host).RoundTrip(req)
}

// DoOnce sends a request over a new connection, so that it is neither sent again by the transport nor lost on a
// connection that has gone silent.
func (p *Pool) DoOnce(req *http.Request) (*http.Response, error) {
	req.GetBody = nil
	return p.single.RoundTrip(req)
}

// Distrust closes the idle connections to an address after one has gone silent.
func (p *Pool) Distrust(address string) {
	p.transport(address).CloseIdleConnections()
}

func (p *Pool) transport(address string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.transports[address]
	if !ok {
		t = newTransport()
		p.transports[address] = t
	}
	return t
}

// Keep drops the pools of addresses that are no longer permitted.
func (p *Pool) Keep(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, t := range p.transports {
		if !addresses[address] {
			t.CloseIdleConnections()
			delete(p.transports, address)
		}
	}
}
