package soak

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// echo answers what it gets.
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
		// passes tells that an answer comes while the mode is in force, survives that it comes afterwards.
		passes, survives bool
	}{
		{sound, true, true}, {slow, true, true}, {cutThere, false, true}, {cutBack, false, true}, {silent, false, true}, {reset, false, false},
	} {
		t.Run(string(c.mode), func(t *testing.T) {
			p, err := newProxy("127.0.0.1:0", echo(t))
			must.NoError(t, err)
			t.Cleanup(p.close)
			conn, err := net.Dial("tcp4", p.address())
			must.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			say := func(text string) error {
				_, err := conn.Write([]byte(text))
				return err
			}
			hear := func(n int, most time.Duration) (string, error) {
				must.NoError(t, conn.SetReadDeadline(time.Now().Add(most)))
				b := make([]byte, n)
				_, err := io.ReadFull(conn, b)
				return string(b), err
			}
			must.NoError(t, say("one"))
			got, err := hear(3, 10*time.Second)
			must.NoError(t, err)
			must.Eq(t, "one", got)
			p.set(c.mode)
			// After a reset nothing can be written, which is what is asked below.
			_ = say("two")
			if c.passes {
				_, err = hear(3, 10*time.Second)
				must.NoError(t, err)
				return
			}
			_, err = hear(3, 200*time.Millisecond)
			must.Error(t, err)
			p.set(sound)
			got, err = hear(3, 10*time.Second)
			if !c.survives {
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
