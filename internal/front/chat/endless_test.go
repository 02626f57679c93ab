package chat

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// countingDial counts the bytes that are read from upstreams.
func countingDial(read *atomic.Int64) relay.Dial {
	return func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
		c, err := relay.DialTCP(ctx, address, timeout)
		if err != nil {
			return nil, err
		}
		return &countingConn{c, read}, nil
	}
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// endlessServer answers each request with a text and then bytes without end.
func endlessServer(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		piece := strings.Repeat("x", 32<<10)
		for _, err := io.WriteString(w, text); err == nil; _, err = io.WriteString(w, piece) {
		}
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// The report that is read after a failure had no bound.
func TestReportWithoutEndIsCutOff(t *testing.T) {
	var read atomic.Int64
	h := newHandler()
	h.Pool = relay.NewPool(countingDial(&read))
	a := &attempt{view: status.View{Address: endlessServer(t, `{"incarnation":"`), Incarnation: "one"}}
	must.False(t, h.engineCrashed(t.Context(), a))
	must.LessEq(t, status.MaxReportBytes+bound.MaxHeaderBytes, read.Load())
}

// Each buffered response took up to 16 MB, however many there were.
func TestBufferedResponsesWithoutEndShareABudget(t *testing.T) {
	const budget = 1 << 20
	var read atomic.Int64
	h := newHandler()
	h.Pool = relay.NewPool(countingDial(&read))
	h.Pool.SetMemory(budget)
	address := endlessServer(t, "{")
	const attempts = 20
	errs := make(chan error, attempts)
	for range attempts {
		go func() {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
			if err != nil {
				errs <- err
				return
			}
			a := &attempt{events: make(chan relay.Event)}
			if a.res, err = h.Pool.Do(req); err == nil {
				err = a.read(t.Context(), h.Pool, false)
				_ = a.res.Body.Close()
			}
			errs <- err
		}()
	}
	for range attempts {
		must.ErrorIs(t, <-errs, bound.ErrTooLong)
	}
	must.Eq(t, 0, h.Pool.Memory.Used())
	must.LessEq(t, attempts*(budget+bound.MaxHeaderBytes), read.Load())
}

// One response without end took the whole budget.
func TestBufferedResponseWithoutEndTakesAPartOfTheBudget(t *testing.T) {
	const budget = 4 << 20
	for _, c := range []struct {
		name, head string
		limit      int64
	}{
		{"without length", "HTTP/1.1 200 OK\r\n\r\n{", budget / 4},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n{", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var read atomic.Int64
			pool := relay.NewPool(countingDial(&read))
			pool.SetMemory(budget)
			u, err := fake.NewScriptedUpstream(func(*http.Request) fake.Answer {
				return fake.Answer{Bytes: c.head + strings.Repeat("x", 8<<20), End: fake.KeepOpen}
			})
			must.NoError(t, err)
			t.Cleanup(u.Close)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+u.Address(), nil)
			must.NoError(t, err)
			a := &attempt{events: make(chan relay.Event)}
			a.res, err = pool.Do(req)
			must.NoError(t, err)
			must.ErrorIs(t, a.read(t.Context(), pool, false), bound.ErrTooLong)
			must.NoError(t, a.res.Body.Close())
			must.LessEq(t, c.limit+bound.MaxHeaderBytes, read.Load())
		})
	}
}
