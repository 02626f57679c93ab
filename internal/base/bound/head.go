package bound

import (
	"bytes"
	"net"
)

const (
	// byteCost is the memory that a byte of a head takes while it is read and parsed, and lineCost that of a header line besides.
	byteCost = 4
	lineCost = 160
	// freeHeadCost is the memory that each head may take without taking it from the budget.
	freeHeadCost = 8 << 10
	// statusAt is the position of the status in a status line.
	statusAt = len("HTTP/1.1 ")
	// keptLineBytes is how much of a line is kept, enough for the status.
	keptLineBytes = statusAt + 1
)

// OldProtocol begins the status line of a response of HTTP/1.0.
const OldProtocol = "HTTP/1.0"

// HeadConn is a connection that fails with ErrTooLong if the head of a response has more than MaxHeaderBytes, together with those of
// the informational responses before it, or takes more memory than its budget has, and with ErrMalformed if it is none. net/http reads a
// head of any length.
type HeadConn struct {
	net.Conn
	memory *Budget
	// reading reports whether a head is being read, of which remaining bytes may follow.
	reading   bool
	remaining int
	// failed is set for good when a read has failed: readers of heads ignore some errors and read on, without the bytes before.
	failed error
	// cost is the memory of the head, taken what comes from the budget.
	cost, taken int64
	// line is the beginning of the current line, lineBytes its length, and lines the number of lines before it in the response.
	line      []byte
	lineBytes int
	lines     int
	// informational reports whether the head is that of an informational response.
	informational bool
	syntax        headSyntax
	// old holds what was read if it begins as a head of HTTP/1.0, and maybe the beginning of its body.
	old []byte
}

// NewHeadConn returns a connection that expects no head yet. Memory may be nil, which bounds the length only.
func NewHeadConn(c net.Conn, memory *Budget) *HeadConn { return &HeadConn{Conn: c, memory: memory} }

// Expect prepares for the head of a response, which may begin with bytes that have been read already.
func (c *HeadConn) Expect(read []byte) error {
	c.Release()
	c.reading, c.remaining, c.cost, c.old = true, MaxHeaderBytes, 0, nil
	c.line, c.lineBytes, c.lines, c.informational, c.syntax = c.line[:0], 0, 0, false, headSyntax{}
	return c.count(read)
}

// End ends the head. Its memory stays counted until it is released.
func (c *HeadConn) End() { c.reading = false }

// Release returns the memory of the head to the budget.
func (c *HeadConn) Release() {
	if c.taken > 0 {
		c.memory.used.Add(-c.taken)
		c.taken = 0
	}
}

// Old returns what was read since Expect if the response is of HTTP/1.0.
func (c *HeadConn) Old() []byte { return c.old }

// Read implements io.Reader.
func (c *HeadConn) Read(p []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	if !c.reading {
		return c.Conn.Read(p)
	}
	if c.remaining <= 0 {
		c.failed = ErrTooLong
		return 0, ErrTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	if c.failed = c.count(p[:n]); c.failed != nil {
		return 0, c.failed
	}
	return n, err
}

// count counts bytes that have been read, up to the end of the head.
func (c *HeadConn) count(p []byte) error {
	if len(c.old) > 0 || c.lines == 0 && c.lineBytes == 0 && bytes.HasPrefix(p, []byte(OldProtocol)) {
		c.old = append(c.old, p...)
	}
	c.remaining -= len(p)
	for len(p) > 0 && c.reading {
		end := bytes.IndexByte(p, '\n') + 1
		part := p[:end]
		if end == 0 {
			part = p
		}
		p = p[len(part):]
		for _, b := range part {
			if err := c.syntax.next(b); err != nil {
				return err
			}
		}
		c.cost += int64(len(part)) * byteCost
		c.lineBytes += len(part)
		c.line = append(c.line, part[:min(len(part), keptLineBytes-len(c.line))]...)
		if end > 0 {
			c.endLine()
		}
	}
	return c.take()
}

// endLine ends the current line, and the head if the line is empty.
func (c *HeadConn) endLine() {
	c.cost += lineCost
	empty := c.lineBytes == len("\n") || c.lineBytes == len("\r\n") && c.line[0] == '\r'
	switch {
	case c.lines == 0:
		c.informational = len(c.line) == keptLineBytes && c.line[statusAt] == '1'
		c.lines++
	case empty && c.informational:
		c.lines, c.syntax = 0, headSyntax{}
	case empty:
		c.reading = false
	default:
		c.lines++
	}
	c.line, c.lineBytes = c.line[:0], 0
}

// take takes the memory of the head from the budget.
func (c *HeadConn) take() error {
	more := c.cost - freeHeadCost - c.taken
	if c.memory == nil || more <= 0 {
		return nil
	}
	if !c.memory.take(more) {
		return ErrTooLong
	}
	c.taken += more
	return nil
}
