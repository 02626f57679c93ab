package bound

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

func TestCutHead(t *testing.T) {
	const head = "HTTP/1.0 200 OK\r\nA: b\r\n"
	for n := range len(head) + len("\r") {
		_, whole := cutHead([]byte((head + "\r\n")[:n]))
		must.False(t, whole)
	}
	got, whole := cutHead([]byte(head + "\r\nTransfer-Encoding: chunked\r\n\r\n"))
	must.True(t, whole)
	must.Eq(t, head, string(got))
	must.False(t, isWronglyFramed(got))
	must.False(t, isWronglyFramed([]byte(strings.Replace(head, "A", "Transfer-Encoding", 1)[len("HTTP/1.0"):])))
	must.True(t, isWronglyFramed([]byte(strings.Replace(head, "A", "Transfer-Encoding", 1))))
}

// errStalled ends the texts of connections that stall.
var errStalled = errors.New("stalled")

// stalledConn reads a text and then stalls.
type stalledConn struct {
	net.Conn
	io.Reader
}

func (c stalledConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }
func (c stalledConn) Close() error               { return nil }

// Each connection held up to 64 KB of a head without end.
func TestUnfinishedHeadsShareABudget(t *testing.T) {
	const size = MaxHeaderBytes - 1000
	memory := NewBudget(1 << 20)
	held := 0
	var conns []*AnswerConn
	for range 200 {
		text := "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", size)
		c := NewAnswerConn(stalledConn{Reader: io.MultiReader(strings.NewReader(text), iotest.ErrReader(errStalled))}, memory)
		c.Begin()
		conns = append(conns, c)
		if _, err := io.Copy(io.Discard, readerOnly{c}); errors.Is(err, errStalled) {
			held++
		} else {
			must.ErrorIs(t, err, ErrTooLong)
		}
	}
	must.Positive(t, held)
	must.LessEq(t, 2*(1<<20)/size, held)
	for _, c := range conns {
		must.NoError(t, c.Close())
	}
	must.Eq(t, 0, memory.Used())
}

type readerOnly struct{ io.Reader }

// Heads that come a byte at a time are found, and their memory is released.
func TestHeadsInPieces(t *testing.T) {
	text := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 30<<10) + "\r\n\r\nbody" + strings.Repeat("\n", 1000)
	memory := NewBudget(1 << 20)
	c := NewAnswerConn(stalledConn{Reader: iotest.OneByteReader(strings.NewReader(text + text))}, memory)
	c.Begin()
	data, err := io.ReadAll(io.LimitReader(c, int64(len(text))))
	must.NoError(t, err)
	must.Eq(t, text, string(data))
	must.Positive(t, memory.Used())
	c.Begin()
	must.Eq(t, 0, memory.Used())
	data, err = io.ReadAll(c)
	must.NoError(t, err)
	must.Eq(t, text, string(data))
	must.NoError(t, c.Close())
	must.Eq(t, 0, memory.Used())
}
