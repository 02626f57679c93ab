package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats connections.
type mode string

// The modes of a proxy.
const (
	// sound passes everything on.
	sound mode = "sound"
	// slow passes everything on late.
	slow mode = "slow"
	// reset resets open and new connections.
	reset mode = "reset"
	// cutThere holds back what goes to the target, cutBack what comes from it, silent both.
	cutThere mode = "cut there"
	cutBack  mode = "cut back"
	silent   mode = "silent"
)

// lateness is what a slow proxy adds to each piece; it is near the time in which routers pass an upstream over.
const lateness = 150 * time.Millisecond

// proxy passes TCP connections over loopback on. What it holds back is delivered when the mode allows it again, as by a
// network that sends again what was lost.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    mode
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
	ends    sync.WaitGroup
}

// newProxy listens on a free loopback port before a target.
func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, mode: sound, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	p.ends.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set puts a mode in force.
func (p *proxy) set(m mode) {
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

// play puts a mode in force and returns what ends it.
func (p *proxy) play(m mode) (end func() error) {
	p.set(m)
	return ending(func() { p.set(sound) })
}

// abort closes a connection so that the other end gets a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without it the connection ends in order, which is no worse.
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
	p.mu.Unlock()
	_ = p.listener.Close()
	p.ends.Wait()
}

// hold adds a connection; false when the mode or the end of the proxy forbids it.
func (p *proxy) hold(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == reset {
		abort(c)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) drop(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		if p.hold(c) {
			p.ends.Go(func() { p.join(c) })
		}
	}
}

// join connects an accepted connection with the target.
func (p *proxy) join(c net.Conn) {
	defer p.drop(c)
	if !p.pass(cutThere) {
		return
	}
	target, err := net.Dial("tcp4", p.target)
	if err != nil {
		abort(c)
		return
	}
	if !p.hold(target) {
		return
	}
	defer p.drop(target)
	var both sync.WaitGroup
	both.Go(func() { p.copy(target, c, cutThere) })
	both.Go(func() { p.copy(c, target, cutBack) })
	both.Wait()
}

// copy passes one direction on until it ends.
func (p *proxy) copy(to, from net.Conn, held mode) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !p.pass(held) {
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
				// A connection that is closed already needs no end.
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			abort(to)
			return
		}
	}
}

// pass waits until a direction is open; false when the proxy has ended.
func (p *proxy) pass(held mode) bool {
	for {
		p.mu.Lock()
		m, changed, closed := p.mode, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case m == slow:
			time.Sleep(lateness)
			return true
		case m != silent && m != held:
			return true
		}
		<-changed
	}
}
