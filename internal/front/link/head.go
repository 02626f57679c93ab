package link

import (
	"bytes"
	"net"
	"net/http"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

// unlimited is the value of headLimiter.remaining while a body is read.
const unlimited = -1

// headLimiter bounds what is read while the head of a response is expected, because net/http reads a head of any length. It keeps a head
// of HTTP/1.0, from which net/http drops the transfer encoding.
type headLimiter struct {
	net.Conn
	// remaining is how many more bytes may be read, or unlimited.
	remaining int
	// old holds what was read if it begins as a head of HTTP/1.0, and maybe the beginning of its body.
	old []byte
}

// expectHead prepares for the next head.
func (l *headLimiter) expectHead() { l.remaining, l.old = bound.MaxHeaderBytes, nil }

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
	if len(l.old) > 0 || bytes.HasPrefix(p[:n], []byte(oldProtocol)) {
		l.old = append(l.old, p[:n]...)
	}
	return n, err
}

const (
	protocol    = "HTTP/1.1"
	oldProtocol = "HTTP/1.0"
)

// checkFraming returns ErrMalformed if it is not certain where the body of a response begins and ends. HTTP/1.0 has no chunks: what
// looks like them may be a part of the body or not.
func (l *headLimiter) checkFraming(r *http.Response) error {
	switch {
	case r.Proto == protocol:
		return nil
	case r.Proto != oldProtocol || len(l.old) == 0:
		return ErrMalformed
	}
	for line := range bytes.Lines(l.old) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return ErrMalformed
		}
	}
	return nil
}
