package serve

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/limit/hold"
)

const (
	// defaultBodyBytes is the limit of a body if the document has none.
	defaultBodyBytes = 4 << 20
	// maxDiscardBytes is how much of the body of a refused request is read, so that its connection can be used again.
	maxDiscardBytes = 64 << 10
	// lingerTimeout is how long a refused request is read on, so that its caller reads the response before the connection is reset.
	lingerTimeout = 500 * time.Millisecond
)

// readBody reads the body of a request whose route and key are known. That of another one is discarded.
func (x *exchange) readBody() error {
	if x.r.Body == nil || x.r.ContentLength == 0 {
		return nil
	}
	limit := x.doc.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		x.unread = true
		return fault.New(fault.BodyTooLarge, "the body is longer than %d bytes", limit)
	}
	if !x.identify() {
		x.discardBody(time.Now())
		return nil
	}
	reader := http.MaxBytesReader(x.w, x.r.Body, limit)
	inTime := x.refuseAtStop()
	var err error
	x.body, err = x.grant.ReadBody(x.r.Context(), time.Now(), reader, x.r.ContentLength, x.bodyTimeout())
	x.unread = err != nil
	if !inTime() {
		return fault.NewRetryAfter(fault.Draining, retryAfterDraining, "the instance stops before the body has arrived")
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return fault.New(fault.BodyTooLarge, "the body is longer than %d bytes", limit)
	case errors.Is(err, hold.ErrShort) && x.conn.CutReason() == hold.Overdue:
		return fault.New(fault.BodyTimeout, "nothing of the body arrived for %s", x.bodyTimeout())
	case errors.Is(err, hold.ErrShort):
		return fault.New(fault.Overloaded, "no memory for the body now")
	case err != nil:
		return fault.New(fault.BadRequest, "the body could not be read: %s", err)
	}
	if x.r.ContentLength > 0 {
		// net/http detects that the caller disconnects only after the body has been read to EOF.
		_, _ = x.r.Body.Read(make([]byte, 1))
	}
	return nil
}

// identify looks for the route and the key before the body is read, and reports whether they are known.
func (x *exchange) identify() bool {
	x.route = x.doc.Match(x.r.Host, x.r.URL.EscapedPath())
	if x.route == nil {
		return false
	}
	if x.route.Open || len(x.doc.Workspaces) == 0 {
		x.conn.Identify("", true)
		return true
	}
	workspace := x.doc.Keys[x.info.Key]
	if workspace == nil {
		return false
	}
	x.conn.Identify(workspace.Name, true)
	return true
}

// bodyTimeout is how long nothing of the body may arrive.
func (x *exchange) bodyTimeout() time.Duration {
	if x.route.Timeout > 0 {
		return x.route.Timeout
	}
	return defaultTimeout
}

// discardBody reads a short body of a request that will be refused.
func (x *exchange) discardBody(now time.Time) {
	x.conn.Identify("", false)
	defer x.conn.Begin(now, x.conn.Begin(now, hold.Body))
	control := http.NewResponseController(x.w)
	// If it fails, the connection has gone.
	_ = control.SetReadDeadline(now.Add(lingerTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(x.r.Body, maxDiscardBytes+1))
	if err != nil || n > maxDiscardBytes {
		x.unread = true
		return
	}
	x.discarded = true
	_ = control.SetReadDeadline(time.Time{})
}

// endUnread makes the response the last one on its connection if the body has not been read. A little is read on.
func (x *exchange) endUnread(now time.Time) {
	if !x.unread {
		return
	}
	x.grant.Release()
	x.body = nil
	x.w.Header().Set("Connection", "close")
	x.conn.Identify("", false)
	x.conn.Begin(now, hold.Body)
	// If it fails, the connection has gone.
	_ = http.NewResponseController(x.w).SetReadDeadline(now.Add(lingerTimeout))
}
