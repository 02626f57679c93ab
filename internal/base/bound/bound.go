// Package bound limits what is read from other processes. A faulty one may send bytes without end, in the header or the body of
// a response.
package bound

import (
	"errors"
	"io"
	"net/http"
)

// MaxHeaderBytes limits the header of a response.
const MaxHeaderBytes = 64 << 10

// ErrTooLong is returned when another process has sent more bytes than the reader accepts.
var ErrTooLong = errors.New("the response exceeds the size limit")

type reader struct {
	next      io.Reader
	remaining int64
}

// Reader returns a reader that fails with ErrTooLong if r has more than limit bytes.
func Reader(r io.Reader, limit int64) io.Reader { return &reader{r, limit} }

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if r.remaining <= 0 {
		var one [1]byte
		n, err := r.next.Read(one[:])
		if n > 0 {
			return 0, ErrTooLong
		}
		return 0, err
	}
	n, err := r.next.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

type body struct {
	io.Reader
	io.Closer
}

type transport struct {
	next  http.RoundTripper
	limit int64
}

// Transport returns a round tripper whose response bodies fail with ErrTooLong after limit bytes. It is for clients that read
// bodies to their end.
func Transport(next http.RoundTripper, limit int64) http.RoundTripper { return &transport{next, limit} }

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = body{Reader(resp.Body, t.limit), resp.Body}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the underlying transport, if it keeps any.
func (t *transport) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
