package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/limit/hold"
)

// callerConns are the open connections of callers.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]bool
}

// callerConn is a connection of a caller. It knows whether a part of a request has arrived that no handler has got yet.
type callerConn struct {
	net.Conn
	mu sync.Mutex
	// state is idle between requests.
	state http.ConnState
	// arriving reports whether bytes have arrived since the latest request.
	arriving bool
	// refused reports whether the request that is arriving has been refused. Nothing else is written then.
	refused bool
}

// Read implements io.Reader.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.arriving = true
	}
	return n, err
}

// Write implements io.Writer.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	refused := c.refused
	c.mu.Unlock()
	if refused {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// CloseWrite ends the response; net/http calls it before it closes a connection with unread bytes.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the connection that was accepted.
func (c *callerConn) NetConn() net.Conn {
	if held, ok := c.Conn.(*hold.Conn); ok {
		return held.NetConn()
	}
	return c.Conn
}

func (c *callerConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.arriving = state, false
}

// isUnused reports whether the connection is idle after a request and nothing of the next one has arrived.
func (c *callerConn) isUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == http.StateIdle && !c.arriving
}

// refuse refuses the request that is arriving, and reports whether there is one.
func (c *callerConn) refuse(now time.Time, write func(io.Writer) error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == http.StateActive || !c.arriving || c.refused {
		return false
	}
	c.refused = true
	// Errors do not matter: the connection is closed soon.
	_ = c.SetWriteDeadline(now.Add(refusalTimeout))
	_ = write(c.Conn)
	_ = c.CloseWrite()
	return true
}

// refusalTimeout bounds the write of a refusal, which fits into the socket's buffer.
const refusalTimeout = 10 * time.Millisecond

func newCallerConns() *callerConns { return &callerConns{open: make(map[*callerConn]bool)} }

// callerListener accepts connections of callers.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, state: http.StateNew}, nil
}

// requestContext returns the context for the requests of a connection, with what the process holds for it.
func requestContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*callerConn); ok {
		return hold.NewContext(ctx, c.Conn)
	}
	return ctx
}

// observe is the server's hook for changes of a connection's state.
func (s *callerConns) observe(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.setState(state)
	if held, ok := c.Conn.(*hold.Conn); ok {
		held.Observe(time.Now(), state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
	}
}

func (s *callerConns) all() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*callerConn, 0, len(s.open))
	for c := range s.open {
		conns = append(conns, c)
	}
	return conns
}

// count returns the number of open connections.
func (s *callerConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// closeUnused closes the connections that are idle after a request.
func (s *callerConns) closeUnused() {
	for _, c := range s.all() {
		if c.isUnused() {
			_ = c.Close()
		}
	}
}

// refuseArriving refuses the requests of which no handler knows yet, and returns their number.
func (s *callerConns) refuseArriving(now time.Time, write func(io.Writer) error) int {
	refused := 0
	for _, c := range s.all() {
		if c.refuse(now, write) {
			refused++
		}
	}
	return refused
}
