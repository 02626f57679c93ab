// Package bound limits what is read from other processes. A faulty one may send bytes without end, in the header or the body of
// a response.
package bound

import (
	"errors"
	"io"
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
