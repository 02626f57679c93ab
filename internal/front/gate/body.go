package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/front/caller"
)

const (
	// firstBodyBytes is the size of a body's buffer before its first byte has arrived.
	firstBodyBytes = 512
	// drainTimeout is the time in which the rest of a refused body is read, so that its caller sees the refusal.
	drainTimeout = time.Second
)

// ReadBody reads the request body up to the size limit. It takes memory as bytes arrive, whatever length is announced.
func (g *Gate) ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	conn := caller.Of(r.Context())
	control := http.NewResponseController(w)
	if r.ContentLength > g.maxBodyBytes {
		_ = control.SetReadDeadline(time.Now().Add(drainTimeout))
		return nil, g.errTooLarge()
	}
	unlink := endReadAtStop(w, r)
	body, err := g.readBody(r, conn, control)
	if !unlink() && isStopped(r.Context()) {
		return nil, context.Cause(r.Context())
	}
	if err != nil {
		_ = control.SetReadDeadline(time.Now().Add(drainTimeout))
		return nil, bodyFault(conn, err)
	}
	_ = control.SetReadDeadline(time.Time{})
	conn.BodyRead(time.Now())
	return body, nil
}

// readBody reads the body. Each silence of the caller has a deadline, not the whole of the body.
func (g *Gate) readBody(r *http.Request, conn *caller.Conn, control *http.ResponseController) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := g.grow(conn, body)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		if timeout := conn.BodyTimeout(); timeout > 0 {
			_ = control.SetReadDeadline(time.Now().Add(timeout))
			if r.Context().Err() != nil {
				return nil, context.Cause(r.Context())
			}
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > g.maxBodyBytes {
			return nil, g.errTooLarge()
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns the body in a larger buffer. The largest has one byte beyond the limit, which shows a body that exceeds it.
func (g *Gate) grow(conn *caller.Conn, body []byte) ([]byte, error) {
	size := min(max(firstBodyBytes, 2*int64(cap(body))), g.maxBodyBytes+1)
	if err := conn.Grow(time.Now(), size-int64(cap(body))); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}

func (g *Gate) errTooLarge() error {
	return fault.New(fault.BodyTooLarge, "the body is larger than %d bytes", g.maxBodyBytes)
}

// bodyFault returns the fault for an error of a read. None of these requests has been sent to an upstream.
func bodyFault(conn *caller.Conn, err error) error {
	var known *fault.Error
	switch {
	case errors.As(err, &known):
		return err
	case errors.Is(err, caller.ErrNoRoom), conn.WasCut():
		return errNoRoom()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.New(fault.BodyTimeout, "the rest of the body did not arrive in time")
	default:
		return fault.New(fault.BadRequest, "the body could not be read: %s", err.Error())
	}
}

// Reserve takes memory for the copies that a handler makes of the body, until the request ends.
func (g *Gate) Reserve(r *http.Request, n int64) error {
	if err := caller.Of(r.Context()).Grow(time.Now(), n); err != nil {
		return errNoRoom()
	}
	return nil
}

func errNoRoom() error {
	return fault.New(fault.Overloaded, "the instance has no memory left for the request")
}
