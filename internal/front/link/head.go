package link

import (
	"net"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

// unlimited is the value of headLimiter.remaining while a body is read.
const unlimited = -1

// headLimiter bounds what is read while the head of a response is expected, because net/http reads a head of any length.
type headLimiter struct {
	net.Conn
	// remaining is how many more bytes may be read, or unlimited.
	remaining int
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.remaining == unlimited {
		return l.Conn.Read(p)
	}
	if l.remaining == 0 {
		return 0, bound.ErrTooLong
	}
	n, err := l.Conn.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
