package soak

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// echo starts a server that returns what it receives.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func TestProxyModes(t *testing.T) {
	for _, c := range []struct {
		mode mode
		// delivers reports whether data is returned while the mode is set, resumes whether it is returned afterwards.
		delivers, resumes bool
	}{
		{passThrough, true, true}, {slow, true, true}, {stallForward, false, true}, {stallBackward, false, true}, {stallBoth, false, true}, {reset, false, false},
	} {
		t.Run(string(c.mode), func(t *testing.T) {
			p, err := newProxy("127.0.0.1:0", echo(t))
			must.NoError(t, err)
			t.Cleanup(p.close)
			conn, err := net.Dial("tcp4", p.addr())
			must.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			write := func(text string) error {
				_, err := conn.Write([]byte(text))
				return err
			}
			read := func(n int, timeout time.Duration) (string, error) {
				must.NoError(t, conn.SetReadDeadline(time.Now().Add(timeout)))
				b := make([]byte, n)
				_, err := io.ReadFull(conn, b)
				return string(b), err
			}
			must.NoError(t, write("one"))
			got, err := read(3, 10*time.Second)
			must.NoError(t, err)
			must.Eq(t, "one", got)
			p.setMode(c.mode)
			// After a reset the write may fail; the read below checks that.
			_ = write("two")
			if c.delivers {
				_, err = read(3, 10*time.Second)
				must.NoError(t, err)
				return
			}
			_, err = read(3, 200*time.Millisecond)
			must.Error(t, err)
			p.setMode(passThrough)
			got, err = read(3, 10*time.Second)
			if !c.resumes {
				must.Error(t, err)
				var timeout net.Error
				must.False(t, errors.As(err, &timeout) && timeout.Timeout())
				return
			}
			must.NoError(t, err)
			must.Eq(t, "two", got)
		})
	}
}

// A proxy that is killed looks as a process that has ended: its connections end with FIN and new ones are refused.
func TestProxyKill(t *testing.T) {
	p, err := newProxy("127.0.0.1:0", echo(t))
	must.NoError(t, err)
	t.Cleanup(p.close)
	dial := func() (net.Conn, error) { return net.Dial("tcp4", p.addr()) }
	roundTrip := func(c net.Conn) {
		must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		_, err := c.Write([]byte("one"))
		must.NoError(t, err)
		_, err = io.ReadFull(c, make([]byte, 3))
		must.NoError(t, err)
	}
	conn, err := dial()
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	roundTrip(conn)
	must.True(t, p.kill())
	must.False(t, p.kill())
	_, err = conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	_, err = dial()
	must.ErrorIs(t, err, syscall.ECONNREFUSED)
	for _, addr := range []string{p.addr(), "127.0.0.1:0"} {
		must.NoError(t, p.revive(addr))
		again, err := dial()
		must.NoError(t, err)
		t.Cleanup(func() { _ = again.Close() })
		roundTrip(again)
		must.True(t, p.kill())
	}
}
