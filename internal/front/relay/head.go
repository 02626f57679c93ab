package relay

import (
	"bytes"
	"errors"
	"net"
	"sync"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

// errFraming is returned for a response of HTTP/1.0 with chunks, which that version does not have. net/http takes the sizes of the
// chunks for a part of the body.
var errFraming = errors.New("the response is of HTTP/1.0 and names a transfer encoding")

const (
	// maxHeadLines bounds the lines of all heads of a response: a short one takes far more memory than its bytes.
	maxHeadLines = 256
	// freeHeadBytes is the longest head that does not count once it has been read.
	freeHeadBytes = 4 << 10
)

// headConn is a connection to an upstream that limits the heads of each response. The limit of net/http starts anew after an
// informational response. It fails with errFraming if a response names an encoding that its version does not have.
type headConn struct {
	net.Conn
	mu sync.Mutex
	// head is the beginning of the response, without earlier heads. A long one counts until the next response.
	head *bound.Buffer
	// size and lines are those of the earlier heads of the response, which are informational.
	size, lines int
	// done is set when the last head has been read, or the connection is closed.
	done bool
}

func newHeadConn(c net.Conn, memory *bound.Budget) *headConn {
	return &headConn{Conn: c, head: memory.Buffer(bound.MaxHeaderBytes)}
}

// begin is called before each request.
func (c *headConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Release()
	c.size, c.lines, c.done = 0, 0, false
}

// Close implements net.Conn.
func (c *headConn) Close() error {
	c.mu.Lock()
	c.head.Release()
	c.done = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// Read implements io.Reader.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if limitErr := c.inspect(p[:n]); limitErr != nil {
		return 0, limitErr
	}
	return n, err
}

// inspect takes the next bytes of the response.
func (c *headConn) inspect(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return nil
	}
	if err := c.head.Append(p[:min(len(p), bound.MaxHeaderBytes-c.size-len(c.head.Bytes()))]); err != nil {
		return err
	}
	if bytes.IndexByte(p, '\n') >= 0 {
		for next := true; next; {
			var err error
			if next, err = c.inspectHead(); err != nil {
				return err
			}
		}
	}
	if !c.done && c.size+len(c.head.Bytes()) >= bound.MaxHeaderBytes {
		return bound.ErrTooLong
	}
	return nil
}

// inspectHead checks the head that the buffer begins with. It reports whether another one follows.
func (c *headConn) inspectHead() (bool, error) {
	data := c.head.Bytes()
	head, whole := cutHead(data)
	lines := bytes.Count(head, []byte("\n"))
	if c.lines+lines > maxHeadLines {
		return false, bound.ErrTooLong
	}
	if !whole {
		return false, nil
	}
	if isWronglyFramed(head) {
		return false, errFraming
	}
	if !isInformational(head) {
		c.done = true
		if len(head) <= freeHeadBytes {
			c.head.Release()
		}
		return false, nil
	}
	end := len(head) + bytes.IndexByte(data[len(head):], '\n') + 1
	c.size += end
	c.lines += lines
	rest := bytes.Clone(data[end:])
	c.head.Reset()
	return len(rest) > 0, c.head.Append(rest)
}

// isInformational reports whether another head of the same response follows.
func isInformational(head []byte) bool {
	_, status, _ := bytes.Cut(head, []byte(" "))
	status = bytes.TrimLeft(status, " ")
	return bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
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
