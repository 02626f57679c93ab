package caller

import (
	"context"
	"net"
	"net/http"
	"time"
)

// past is a deadline that ends reads at once.
var past = time.Unix(1, 0)

// connKey is the context key of a request's connection.
type connKey struct{}

// Of returns the connection of a request, or nil. The methods for requests do nothing on nil.
func Of(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Conn is the connection of a caller.
type Conn struct {
	net.Conn
	conns *Conns

	// The fields below are guarded by the lock of conns.

	state State
	// head and body are the memory of the request's header and body.
	head, body int64
	// wasCut reports whether the caller was cut to make room. Its reads fail, and it takes nothing from the account any more.
	wasCut bool
}

// NetConn returns the connection that is observed.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.arrived(time.Now(), n) {
		// The server answers other errors with status 400.
		return 0, &net.OpError{Op: "read", Err: ErrNoRoom}
	}
	return n, err
}

// arrived counts n bytes of the caller. It returns false if they belong to a header for which there is no room.
func (c *Conn) arrived(now time.Time, n int) bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.state.Last = now
	if c.state.Phase == Idle {
		c.state.Phase = Head
	}
	if c.state.Phase != Head {
		return true
	}
	c.head += headFactor * int64(n)
	return c.take(now)
}

// Grow takes n more bytes for the request's body, or returns ErrNoRoom.
func (c *Conn) Grow(now time.Time, n int64) error {
	if c == nil {
		return nil
	}
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.body += n
	if !c.take(now) {
		c.body -= n
		return ErrNoRoom
	}
	return nil
}

// take takes what the request needs from the account and has not taken, or returns false. The caller holds the lock.
func (c *Conn) take(now time.Time) bool {
	more := c.head + c.body - freeBytes - c.state.Taken
	if more <= 0 {
		return true
	}
	if c.wasCut || !c.conns.makeRoom(now, more) {
		return false
	}
	c.state.Taken += more
	c.conns.taken += more
	return true
}

// Authenticated records that the request has a valid key.
func (c *Conn) Authenticated() {
	if c == nil {
		return
	}
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.state.Known = true
}

// BodyRead records that the handler has read the body.
func (c *Conn) BodyRead(now time.Time) {
	if c != nil {
		c.enter(now, Run)
	}
}

// WasCut reports whether the caller was cut to make room.
func (c *Conn) WasCut() bool {
	if c == nil {
		return false
	}
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.wasCut
}

// BodyTimeout returns the longest silence in a body, or 0 for none.
func (c *Conn) BodyTimeout() time.Duration {
	if c == nil {
		return 0
	}
	return c.conns.limits.BodyTimeout
}

// enter starts a phase.
func (c *Conn) enter(now time.Time, p Phase) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.state.Phase, c.state.Last = p, now
}

// end gives back what the request has taken.
func (c *Conn) end() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.giveBack()
}

// giveBack gives back what has been taken. The caller holds the lock.
func (c *Conn) giveBack() {
	c.conns.taken -= c.state.Taken
	c.state.Taken, c.state.Known, c.head, c.body = 0, false, 0, 0
}

// Write implements net.Conn. It fails when the caller reads nothing for the write timeout.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(written+writePiece, len(p))]
		if err := c.SetWriteDeadline(time.Now().Add(c.conns.limits.WriteTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetReadDeadline implements net.Conn. The deadline of a caller that was cut stays.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.wasCut {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the response; net/http calls it before it closes a connection with unread bytes.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.giveBack()
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

type handler struct{ next http.Handler }

// ServeHTTP implements http.Handler. The read deadline also bounds what the server reads of a body that the handler leaves.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := Of(r.Context())
	if c == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	defer c.end()
	now := time.Now()
	if r.ContentLength == 0 {
		c.enter(now, Run)
	} else {
		c.enter(now, Body)
		// If it fails, the connection is closed.
		_ = c.SetReadDeadline(now.Add(c.BodyTimeout()))
	}
	h.next.ServeHTTP(w, r)
}
