package main

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// gate is the address of an upstream, with a short queue of new connections. While the queue is full, the host drops the packets that
// open further ones; they are sent again a second later.
type gate struct {
	address  string
	target   string
	listener net.Listener
	mu       sync.Mutex
	// open is closed while connections are taken from the queue.
	open chan struct{}
}

// newGate listens on a free loopback address and forwards to target.
func newGate(target string) (*gate, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "gate")
	defer func() { _ = file.Close() }()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	open := make(chan struct{})
	close(open)
	g := &gate{address: l.Addr().String(), target: target, listener: l, open: open}
	go g.accept()
	return g, nil
}

// fillDelay is the time in which a connection has arrived in the queue.
const fillDelay = 5 * time.Millisecond

// fill stops taking connections from the queue and fills it.
func (g *gate) fill() error {
	g.mu.Lock()
	g.open = make(chan struct{})
	g.mu.Unlock()
	// The accepting goroutine takes one connection before it waits, and the queue holds one.
	for range 2 {
		c, err := net.DialTimeout("tcp4", g.address, time.Second)
		if err != nil {
			return err
		}
		defer func() { _ = c.Close() }()
		time.Sleep(fillDelay)
	}
	return nil
}

// empty takes connections from the queue again.
func (g *gate) empty() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
}

func (g *gate) accept() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		g.mu.Lock()
		open := g.open
		g.mu.Unlock()
		<-open
		go g.forward(c)
	}
}

// forward connects to the target and copies both directions. Each side ends as the other one does.
func (g *gate) forward(c net.Conn) {
	t, err := net.Dial("tcp4", g.target)
	if err != nil {
		reset(c)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { copyUntilEnd(t, c) })
	both.Go(func() { copyUntilEnd(c, t) })
	both.Wait()
	_ = c.Close()
	_ = t.Close()
}

// copyUntilEnd copies one direction. The end of the connection, or a reset, is passed on.
func copyUntilEnd(to, from net.Conn) {
	if _, err := io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from}); err != nil {
		reset(to)
		reset(from)
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (g *gate) close() { _ = g.listener.Close() }
