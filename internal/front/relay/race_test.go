package relay

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The kernel may close a killed process' connections a moment before its listener, so that the check found the upstream running.
func TestListenerClosedAfterItsConnections(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1<<12))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		_ = c.Close()
		time.Sleep(3 * time.Millisecond)
		_ = l.Close()
	}()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String(), nil)
	must.NoError(t, err)
	res, err := NewPool(DialTCP).DoOnce(req)
	must.NoError(t, err)
	_, err = io.ReadAll(res.Body)
	_ = res.Body.Close()
	must.ErrorIs(t, err, ErrNoKnownEnd)
}
