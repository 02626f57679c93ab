package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/front/detour"
)

func TestFraming(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for _, c := range []struct {
		name, method, response string
		want                   Framing
	}{
		{"length", http.MethodPost, response("1", "abc"), ByLength},
		{"no content", http.MethodPost, head + "Content-Length: 0\r\n\r\n", ByLength},
		{"chunks", http.MethodPost, head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ByChunks},
		{"neither", http.MethodPost, head + "\r\n", ByConnection},
		{"neither, to HEAD", http.MethodHead, head + "\r\n", ByLength},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := request(respondWith(t, c.response), "1")
			r.Method = c.method
			resp, err := newTestPool(0).Send(context.Background(), time.Now(), r)
			must.NoError(t, err)
			must.Eq(t, c.want, resp.Framing())
			resp.Abort()
		})
	}
}

// A chunked body can be read on after its connection was idle, and the connection is used again afterwards.
func TestWatchIdle(t *testing.T) {
	goOn := make(chan struct{})
	u := startUpstream(t, func(n int64, _ *http.Request, c net.Conn) bool {
		if n > 1 {
			_, err := io.WriteString(c, response("1", "next"))
			return err == nil
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfi"); err != nil {
			return false
		}
		<-goOn
		_, err := io.WriteString(c, "rst\r\n0\r\n\r\n")
		return err == nil
	})
	p := newTestPool(0)
	resp, err := p.Send(context.Background(), time.Now(), request(u, "1"))
	must.NoError(t, err)
	idle := 0
	resp.WatchIdle(context.Background(), 10*time.Millisecond, func() time.Duration {
		if idle++; idle == 3 {
			close(goOn)
			return time.Minute
		}
		return time.Millisecond
	})
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "first", string(body))
	must.Eq(t, 3, idle)
	resp.Done(time.Now())
	text, err := roundTrip(t, p, request(u, "1"))
	must.NoError(t, err)
	must.Eq(t, "next", text)
	must.Eq(t, 1, u.conns.Load())
}

func TestWatchIdleFailsTheRead(t *testing.T) {
	u := startUpstream(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
		return err == nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	for _, onIdle := range []func() time.Duration{
		func() time.Duration { return 0 },
		func() time.Duration { cancel(); return time.Minute },
	} {
		resp, err := newTestPool(0).Send(ctx, time.Now(), request(u, "1"))
		must.NoError(t, err)
		resp.WatchIdle(ctx, time.Millisecond, onIdle)
		_, err = io.ReadAll(resp.Body)
		must.ErrorIs(t, err, os.ErrDeadlineExceeded)
		resp.Abort()
	}
}

// Only a refused connection shows that the process of an upstream has ended.
func TestExamine(t *testing.T) {
	u := respondWith(t, response("1", strings.Repeat("x", 10)))
	p := newTestPool(0)
	must.Eq(t, detour.Reachable, p.Examine(context.Background(), detour.Target{Address: u.address}))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	must.Eq(t, detour.Ended, p.Examine(context.Background(), detour.Target{Address: l.Addr().String()}))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	must.Eq(t, detour.Silent, p.Examine(ctx, detour.Target{Address: l.Addr().String()}))
}
