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
	// onIdle returns how long to go on waiting, or zero to fail the read; nil if the connection is not watched.
	onIdle func() time.Duration
}

// Read implements io.Reader.
func (w *idleWatch) Read(p []byte) (int, error) {
	if w.onIdle == nil {
		return w.Conn.Read(p)
	}
	for timeout := w.timeout; ; {
		setReadTimeout(w.ctx, w.Conn, timeout)
		n, err := w.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || w.ctx.Err() != nil {
			return n, err
		}
		if timeout = w.onIdle(); timeout <= 0 {
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

// WatchIdle calls onIdle when a read of the body has waited for the timeout. OnIdle returns how long the read waits before the
// next call; if it returns zero, the read fails.
func (r *Response) WatchIdle(ctx context.Context, timeout time.Duration, onIdle func() time.Duration) {
	r.conn.watch.ctx, r.conn.watch.timeout, r.conn.watch.onIdle = ctx, timeout, onIdle
}
