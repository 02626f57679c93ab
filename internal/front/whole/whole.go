// Package whole shows callers of HTTP/1.0 whether a response is whole. It may have neither a length nor chunks, so that the end of
// its connection is all that ends it, and the kernel closes the connections of a killed process as if the response were whole.
package whole

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/skylarkquay/skylarkquay/internal/base/socket"
)

// Listener returns a listener for the server, and makes the server reset the connections of responses that are not whole. It is
// called before the server serves. Connections may be wrapped once more if the wrapper has a method NetConn.
func Listener(s *http.Server, l net.Listener) net.Listener {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok {
			c = wrapper.NetConn()
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.Handler = handler{s.Handler}
	return listener{l}
}

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &conn{TCPConn: tcp}, nil
	}
	return c, err
}

// connKey is the context key of a request's connection.
type connKey struct{}

// conn is the connection of a caller.
type conn struct {
	*net.TCPConn
	// handled reports whether the handler of a response to HTTP/1.0 has returned. The server may not have sent all that it wrote.
	handled atomic.Bool
}

// Close implements net.Conn. The server calls it after it has sent the whole response, or when the handler has panicked.
func (c *conn) Close() error {
	if c.handled.Load() {
		// If it fails, the close resets the connection.
		_ = socket.ResetOnClose(c.TCPConn, false)
	}
	return c.TCPConn.Close()
}

// begin makes the end of the connection a reset, which includes the end of this process.
func (c *conn) begin() {
	c.handled.Store(false)
	// If it fails, the caller has gone.
	_ = socket.ResetOnClose(c.TCPConn, true)
}

type handler struct{ next http.Handler }

// ServeHTTP implements http.Handler. A handler that panics leaves the response incomplete.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || r.ProtoAtLeast(1, 1) {
		h.next.ServeHTTP(w, r)
		return
	}
	c.begin()
	h.next.ServeHTTP(w, r)
	c.handled.Store(true)
}
