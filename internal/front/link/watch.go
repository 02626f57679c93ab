package link

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// idleWatch calls a function while reads of a connection wait for data. It does so below the decoder of the body, which cannot
// be read any further after an error.
type idleWatch struct {
	net.Conn
	ctx     context.Context
	timeout time.Duration
	// onIdle reports whether to go on waiting; nil if the connection is not watched.
	onIdle func() bool
}

// Read implements io.Reader.
func (w *idleWatch) Read(p []byte) (int, error) {
	if w.onIdle == nil {
		return w.Conn.Read(p)
	}
	for {
		setReadTimeout(w.ctx, w.Conn, w.timeout)
		n, err := w.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || w.ctx.Err() != nil || !w.onIdle() {
			return n, err
		}
	}
}

// setReadTimeout limits the wait for the next bytes, unless the context has ended.
func setReadTimeout(ctx context.Context, c net.Conn, timeout time.Duration) {
	// If the connection is already closed, the next read fails.
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	if ctx.Err() != nil {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// WatchIdle calls onIdle each time that a read of the body has waited for the timeout. The read fails if onIdle returns false.
func (r *Response) WatchIdle(ctx context.Context, timeout time.Duration, onIdle func() bool) {
	r.conn.watch.ctx, r.conn.watch.timeout, r.conn.watch.onIdle = ctx, timeout, onIdle
}
