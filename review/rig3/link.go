package main

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
)

// link is the way from the routers to a runner. While it is cut, it holds back the bytes of open connections and refuses new ones.
type link struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	// healed is closed when the link is not cut.
	healed chan struct{}
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	healed := make(chan struct{})
	close(healed)
	k := &link{address: l.Addr().String(), target: target, listener: l, healed: healed}
	go k.accept(l)
	return k, nil
}

func (k *link) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go k.carry(c.(*net.TCPConn))
	}
}

// cut cuts the link.
func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healed = make(chan struct{})
	_ = k.listener.Close()
}

// heal ends the cut. What was held back arrives.
func (k *link) heal() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	l, err := net.Listen("tcp4", k.address)
	if err != nil {
		return err
	}
	k.listener = l
	go k.accept(l)
	close(k.healed)
	return nil
}

// wait waits until the link is not cut.
func (k *link) wait() {
	k.mu.Lock()
	healed := k.healed
	k.mu.Unlock()
	<-healed
}

// carry copies both directions of a connection. An end is passed on as an end, a reset as a reset.
func (k *link) carry(from *net.TCPConn) {
	conn, err := net.Dial("tcp4", k.target)
	if err != nil {
		// As a port without a listener does.
		_ = from.SetLinger(0)
		_ = from.Close()
		return
	}
	to := conn.(*net.TCPConn)
	go k.copy(to, from)
	k.copy(from, to)
}

func (k *link) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 4<<10)
	for {
		k.wait()
		n, err := from.Read(buffer)
		k.wait()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil && err == nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
			_ = to.SetLinger(0)
			_ = to.Close()
			_ = from.Close()
			return
		}
		_ = to.CloseWrite()
		return
	}
}
