package relay

import (
	"bytes"
	"errors"
	"net"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

// errFraming is returned for a response of HTTP/1.0 with chunks, which that version does not have. net/http takes the sizes of the
// chunks for a part of the body.
var errFraming = errors.New("the response is of HTTP/1.0 and names a transfer encoding")

// headConn is a connection to an upstream that fails with errFraming if the first response names an encoding that its version does
// not have.
type headConn struct {
	net.Conn
	head []byte
	// done is set when the whole head has been read.
	done bool
}

// Read implements io.Reader.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.done {
		return n, err
	}
	c.head = append(c.head, p[:min(n, bound.MaxHeaderBytes-len(c.head))]...)
	head, whole := cutHead(c.head)
	if !whole && len(c.head) < bound.MaxHeaderBytes {
		return n, err
	}
	c.head, c.done = nil, true
	if isWronglyFramed(head) {
		return 0, errFraming
	}
	return n, err
}

// cutHead returns the head at the beginning of b without the empty line that ends it. It reports whether that line is there.
func cutHead(b []byte) ([]byte, bool) {
	for at := 0; ; {
		length := bytes.IndexByte(b[at:], '\n')
		if length < 0 {
			return b, false
		}
		if at > 0 && len(bytes.TrimRight(b[at:at+length], "\r")) == 0 {
			return b[:at], true
		}
		at += length + 1
	}
}

// isWronglyFramed reports whether a head is of HTTP/1.0 and names a transfer encoding.
func isWronglyFramed(head []byte) bool {
	if !bytes.HasPrefix(head, []byte("HTTP/1.0")) {
		return false
	}
	for line := range bytes.Lines(head) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return true
		}
	}
	return false
}
