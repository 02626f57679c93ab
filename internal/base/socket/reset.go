package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// resetConn is the connection that ReportResets returns.
type resetConn struct {
	net.Conn
	mu sync.Mutex
	// writing is the number of writes that have not returned; idle is closed when there is none left.
	writing int
	idle    chan struct{}
	// failed is the error of a write, other than a timeout.
	failed error
}

// ReportResets returns a connection whose reads end with io.EOF only if the other side has closed it. The kernel hands out the reset of a
// connection once: if a write takes it, reads end as if the connection had been closed.
func ReportResets(c net.Conn) net.Conn {
	if wrapped, ok := c.(*resetConn); ok {
		return wrapped
	}
	return &resetConn{Conn: c}
}

// NetConn returns the underlying connection.
func (c *resetConn) NetConn() net.Conn { return c.Conn }

// Write implements io.Writer.
func (c *resetConn) Write(p []byte) (int, error) {
	c.begin()
	n, err := c.Conn.Write(p)
	c.end(err)
	return n, err
}

// WriteBuffers writes buffers with as few calls of the kernel as the connection allows.
func WriteBuffers(c net.Conn, buffers net.Buffers) (int64, error) {
	wrapped, ok := c.(*resetConn)
	if !ok {
		return buffers.WriteTo(c)
	}
	wrapped.begin()
	n, err := buffers.WriteTo(wrapped.Conn)
	wrapped.end(err)
	return n, err
}

func (c *resetConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing++; c.idle == nil {
		c.idle = make(chan struct{})
	}
}

// end records the end of a write.
func (c *resetConn) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.failed == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failed = err
	}
	if c.writing--; c.writing == 0 {
		close(c.idle)
		c.idle = nil
	}
}

// Read implements io.Reader.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns io.EOF, or the error of a write if that is why reads have ended. It ends a write that still waits: the other side
// reads no more of it.
func (c *resetConn) endError() error {
	c.mu.Lock()
	idle := c.idle
	c.mu.Unlock()
	if idle != nil {
		if err := c.SetWriteDeadline(time.Now()); err != nil {
			return err
		}
		<-idle
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return c.failed
	}
	return io.EOF
}

// TCP returns the TCP connection that a connection is or wraps.
func TCP(c net.Conn) (*net.TCPConn, bool) {
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapper.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	return tcp, ok
}
