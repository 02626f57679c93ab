package socket

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	part = "part of an answer"
	// uploadBytes is more than the kernel holds of what the other side does not read.
	uploadBytes = 16 << 20
)

// connect returns a connection to a server that calls serve for it.
func connect(t *testing.T, serve func(c *net.TCPConn)) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		serve(c.(*net.TCPConn))
	}()
	c, err := net.Dial("tcp4", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// readWhile reads all of a connection while a long write is under way.
func readWhile(c net.Conn) (string, error) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		// It fails when the other side ends the connection.
		_, _ = c.Write(make([]byte, uploadBytes))
	}()
	text, err := io.ReadAll(c)
	_ = c.Close()
	<-written
	return string(text), err
}

// Guards against parts of answers that look whole: the write of a long request took the error of the reset, so that the read ended with
// io.EOF.
func TestResetDuringAWriteIsNoEnd(t *testing.T) {
	for _, pause := range []time.Duration{0, 2 * time.Millisecond, 60 * time.Millisecond} {
		for range 20 {
			text, err := readWhile(ReportResets(connect(t, func(c *net.TCPConn) {
				_, _ = c.Read(make([]byte, 1))
				_, _ = io.WriteString(c, part)
				time.Sleep(pause)
				_ = c.SetLinger(0)
				_ = c.Close()
			})))
			must.Error(t, err, must.Sprint(text))
		}
	}
}

// An answer that ends soundly before its request was read is whole, whether or not the other side reads on.
func TestEndDuringAWrite(t *testing.T) {
	for _, reads := range []bool{true, false} {
		closed := make(chan struct{})
		text, err := readWhile(ReportResets(connect(t, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, part)
			_ = c.CloseWrite()
			if reads {
				_, _ = io.Copy(io.Discard, c)
			}
			<-closed
			_ = c.Close()
		})))
		close(closed)
		must.NoError(t, err)
		must.Eq(t, part, text)
	}
}

func TestWrappedConnections(t *testing.T) {
	raw := connect(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	c := ReportResets(raw)
	must.Eq(t, c, ReportResets(c))
	tcp, ok := TCP(c)
	must.True(t, ok)
	must.True(t, raw.(*net.TCPConn) == tcp)
	_, ok = TCP(nil)
	must.False(t, ok)
}
