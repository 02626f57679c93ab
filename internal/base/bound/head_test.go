package bound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// textConn is a connection that brings a text.
type textConn struct {
	net.Conn
	io.Reader
}

// Read implements io.Reader.
func (c textConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

func newTextConn(text string, memory *Budget) *HeadConn {
	return NewHeadConn(textConn{Reader: strings.NewReader(text)}, memory)
}

const okLine = "HTTP/1.1 200 OK\r\n"

func TestHeadsWithoutEndFail(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\n\r\n"
	for name, text := range map[string]string{
		"no line":                     "HTTP/1.1 200 " + strings.Repeat("x", 2*MaxHeaderBytes),
		"one line":                    okLine + strings.Repeat("x", 2*MaxHeaderBytes),
		"lines":                       okLine + strings.Repeat("A: b\r\n", MaxHeaderBytes),
		"informational":               strings.Repeat(interim, MaxHeaderBytes),
		"lines after informational":   interim + okLine + strings.Repeat("A: b\r\n", MaxHeaderBytes),
		"informational with a line":   interim + "HTTP/1.1 103 X\r\n" + strings.Repeat("x", 2*MaxHeaderBytes),
		"lines of an earlier version": "HTTP/1.0 200 OK\r\n" + strings.Repeat("A: b\r\n", MaxHeaderBytes),
	} {
		t.Run(name, func(t *testing.T) {
			c := newTextConn(text, nil)
			must.NoError(t, c.Expect(nil))
			data, err := io.ReadAll(c)
			must.ErrorIs(t, err, ErrTooLong)
			must.Eq(t, MaxHeaderBytes, len(data))
		})
	}
}

// Heads that are read together take no more memory than their budget has, and all of it is given back.
func TestHeadsTakeTheirMemoryFromTheBudget(t *testing.T) {
	memory := NewBudget(1 << 20)
	var conns []*HeadConn
	whole := 0
	for range 50 {
		c := newTextConn(okLine+strings.Repeat("A:\r\n", 1000)+"\r\n", memory)
		must.NoError(t, c.Expect(nil))
		_, err := http.ReadResponse(bufio.NewReader(c), nil)
		must.LessEq(t, int64(1<<20), memory.Used())
		if err == nil {
			whole++
		}
		conns = append(conns, c)
	}
	must.Positive(t, whole)
	must.Less(t, 50, whole)
	short := newTextConn(okLine+strings.Repeat("A: b\r\n", 20)+"\r\n", memory)
	must.NoError(t, short.Expect(nil))
	_, err := http.ReadResponse(bufio.NewReader(short), nil)
	must.NoError(t, err)
	for _, c := range conns {
		c.Release()
	}
	must.Eq(t, 0, memory.Used())
}

// The head ends where net/http says, however its bytes arrive; what follows costs nothing.
func TestBodiesCostNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var head strings.Builder
		for range rapid.IntRange(0, 2).Draw(t, "informational") {
			head.WriteString("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
		}
		head.WriteString(okLine)
		for range rapid.IntRange(0, 9).Draw(t, "lines") {
			head.WriteString(rapid.SampledFrom([]string{"A: b\r\n", "B:\n", "C: \td\r\n"}).Draw(t, "line"))
		}
		head.WriteString(rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end"))
		body := strings.Repeat("\n", rapid.IntRange(0, 3*MaxHeaderBytes).Draw(t, "body"))
		var r io.Reader = strings.NewReader(head.String() + body)
		if rapid.Bool().Draw(t, "slowly") {
			r = iotest.OneByteReader(r)
		}
		c := NewHeadConn(textConn{Reader: r}, NewBudget(1<<20))
		read := rapid.IntRange(0, head.Len()).Draw(t, "read")
		first := make([]byte, read)
		_, err := io.ReadFull(r, first)
		must.NoError(t, err)
		must.NoError(t, c.Expect(first))
		rest, err := io.ReadAll(c)
		must.NoError(t, err)
		must.Eq(t, head.Len()+len(body), read+len(rest))
		must.LessEq(t, int64(head.Len())*byteCost+int64(strings.Count(head.String(), "\n"))*lineCost, c.cost)
	})
}

// Readers of heads ignore errors while they look ahead. What follows a head that failed was taken for a part of it, without a bound.
func TestHeadThatFailsIsNotReadAnyFurther(t *testing.T) {
	memory := NewBudget(1 << 20)
	c := newTextConn(okLine+strings.Repeat("A:\r\n", 10_000)+"\r\n"+strings.Repeat("x", 1<<20), memory)
	must.NoError(t, c.Expect(nil))
	must.True(t, memory.take(1<<20))
	buffer := make([]byte, 4<<10)
	_, err := c.Read(buffer)
	must.ErrorIs(t, err, ErrTooLong)
	memory.used.Store(0)
	for range 100 {
		n, err := c.Read(buffer)
		must.Zero(t, n)
		must.ErrorIs(t, err, ErrTooLong)
	}
}
