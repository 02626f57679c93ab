package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy handles connections.
type mode string

const (
	// passThrough forwards everything.
	passThrough mode = "sound"
	// slow delays everything by slowDelay.
	slow mode = "slow"
	// reset resets open and new connections.
	reset mode = "reset"
	// stallForward holds data to the target back, stallBackward data from it, stallBoth both.
	stallForward  mode = "cut there"
	stallBackward mode = "cut back"
	stallBoth     mode = "silent"
)

// slowDelay is added to each chunk. It is close to the delay at which routers skip an upstream.
const slowDelay = 150 * time.Millisecond

// proxy forwards TCP connections over loopback. Data held back is delivered once the mode allows it, as after TCP
// retransmissions on a real network.
type proxy struct {
	target string

	mu       sync.Mutex
	listener net.Listener
	mode     mode
	changed  chan struct{}
	// conns holds the open connections and whether the proxy has accepted them.
	conns map[net.Conn]bool
	// killed reports whether the proxy behaves as a target whose process has ended.
	killed bool
	closed bool
	wg     sync.WaitGroup
}

// newProxy listens on address and forwards to target.
func newProxy(addr, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, mode: passThrough, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	p.wg.Go(func() { p.accept(l) })
	return p, nil
}

func (p *proxy) addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// kill ends the listener and all connections as the kernel does when a process ends: with FIN. It returns false if that has been done
// already.
func (p *proxy) kill() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed || p.closed {
		return false
	}
	p.killed = true
	_ = p.listener.Close()
	// The connections to the target are closed by the goroutines that copy.
	for c, accepted := range p.conns {
		if accepted {
			_ = c.Close()
		}
	}
	return true
}

// revive listens at an address after kill.
func (p *proxy) revive(addr string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	if p.closed {
		return l.Close()
	}
	p.listener, p.killed = l, false
	p.wg.Go(func() { p.accept(l) })
	return nil
}

// setMode changes the mode; reset also resets all open connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == reset {
		for c := range p.conns {
			abort(c)
		}
	}
}

// setFault changes the mode and returns the function that restores passThrough.
func (p *proxy) setFault(m mode) (remove func() error) {
	p.setMode(m)
	return noError(func() { p.setMode(passThrough) })
}

// abort closes a connection so that the peer receives a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// If this fails, the connection is closed with FIN, which is acceptable.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	for c := range p.conns {
		abort(c)
	}
	_ = p.listener.Close()
	p.mu.Unlock()
	p.wg.Wait()
}

// track adds a connection. It ends it and returns false if the proxy is closed or killed or resets connections.
func (p *proxy) track(c net.Conn, accepted bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed || p.mode == reset:
		abort(c)
		return false
	case p.killed:
		_ = c.Close()
		return false
	}
	p.conns[c] = accepted
	return true
}

func (p *proxy) closeConn(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		if p.track(c, true) {
			p.wg.Go(func() { p.relay(c) })
		}
	}
}

// relay connects an accepted connection to the target.
func (p *proxy) relay(c net.Conn) {
	defer p.closeConn(c)
	if !p.waitOpen(stallForward) {
		return
	}
	target, err := net.Dial("tcp4", p.target)
	if err != nil {
		abort(c)
		return
	}
	if !p.track(target, false) {
		return
	}
	defer p.closeConn(target)
	var both sync.WaitGroup
	both.Go(func() { p.copy(target, c, stallForward) })
	both.Go(func() { p.copy(c, target, stallBackward) })
	both.Wait()
}

// copy forwards one direction until it ends. It waits while the mode is stalling.
func (p *proxy) copy(to, from net.Conn, stalling mode) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !p.waitOpen(stalling) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				abort(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if tcp, ok := to.(*net.TCPConn); ok {
				// The error is ignored because the connection may be closed already.
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			abort(to)
			return
		}
	}
}

// waitOpen waits until the mode lets a direction pass. It returns false if the proxy is closed.
func (p *proxy) waitOpen(stalling mode) bool {
	for {
		p.mu.Lock()
		m, changed, closed := p.mode, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case m == slow:
			time.Sleep(slowDelay)
			return true
		case m != stallBoth && m != stalling:
			return true
		}
		<-changed
	}
}
