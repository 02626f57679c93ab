package bound

import (
	"bytes"
	"errors"
	"net"
	"sync"
)

// ErrFraming is returned for a response of HTTP/1.0 with chunks, which that version does not have. net/http takes the sizes of the
// chunks for a part of the body.
var ErrFraming = errors.New("the response is of HTTP/1.0 and names a transfer encoding")

const (
	// maxHeadLines bounds the lines of all heads of a response: a short one takes far more memory than its bytes.
	maxHeadLines = 256
	// freeHeadBytes is the longest head that does not count once it has been read.
	freeHeadBytes = 4 << 10
)

// AnswerConn is a connection on which a transport of net/http reads answers. It limits the heads of each, whose limit in net/http starts
// anew after an informational response, and fails with ErrMalformed if one is none, and with ErrFraming if it names an encoding that its
// version does not have.
type AnswerConn struct {
	net.Conn
	mu sync.Mutex
	// head is the beginning of the response, without earlier heads. A long one counts until the next response.
	head *Buffer
	// size and lines are those of the earlier heads of the response, which are informational.
	size, lines int
	// done is set before the first request, when the last head has been read, and when the connection is closed.
	done bool
}

// NewAnswerConn returns a connection whose heads take their memory from a budget.
func NewAnswerConn(c net.Conn, memory *Budget) *AnswerConn {
	return &AnswerConn{Conn: c, head: memory.Buffer(MaxHeaderBytes), done: true}
}

// Begin is called before each request.
func (c *AnswerConn) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Release()
	c.size, c.lines, c.done = 0, 0, false
}

// Close implements net.Conn.
func (c *AnswerConn) Close() error {
	c.mu.Lock()
	c.head.Release()
	c.done = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// Read implements io.Reader.
func (c *AnswerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if limitErr := c.inspect(p[:n]); limitErr != nil {
		return 0, limitErr
	}
	return n, err
}

// inspect takes the next bytes of the response.
func (c *AnswerConn) inspect(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return nil
	}
	if err := c.head.Append(p[:min(len(p), MaxHeaderBytes-c.size-len(c.head.Bytes()))]); err != nil {
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
	if !c.done && c.size+len(c.head.Bytes()) >= MaxHeaderBytes {
		return ErrTooLong
	}
	return nil
}

// inspectHead checks the head that the buffer begins with. It reports whether another one follows.
func (c *AnswerConn) inspectHead() (bool, error) {
	data := c.head.Bytes()
	head, whole := cutHead(data)
	lines := bytes.Count(head, []byte("\n"))
	if c.lines+lines > maxHeadLines {
		return false, ErrTooLong
	}
	if !whole {
		return false, nil
	}
	if err := check(head); err != nil {
		return false, err
	}
	if isWronglyFramed(head) {
		return false, ErrFraming
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
