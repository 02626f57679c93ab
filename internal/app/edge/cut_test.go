package edge

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/front/link"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// cutKind is how the connections of a router to all upstreams fail.
type cutKind string

const (
	noCut cutKind = "none"
	// cutHang makes connections hang, new ones too.
	cutHang cutKind = "hang"
	// cutReset resets connections and makes new ones hang.
	cutReset cutKind = "reset"
	// cutRefuse refuses new connections; the others live on.
	cutRefuse cutKind = "refuse"
)

// path is the network between a router and the upstreams.
type path struct {
	mu    sync.Mutex
	kind  cutKind
	conns map[*pathConn]bool
}

func newPath() *path { return &path{kind: noCut, conns: make(map[*pathConn]bool)} }

func (p *path) set(kind cutKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kind = kind
	if kind != cutReset {
		return
	}
	for c := range p.conns {
		c.reset.Store(true)
		_ = c.Conn.Close()
	}
}

func (p *path) current() cutKind {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kind
}

func (p *path) dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	switch p.current() {
	case cutRefuse:
		return nil, syscall.ECONNREFUSED
	case cutHang, cutReset:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(timeout):
			return nil, os.ErrDeadlineExceeded
		}
	}
	raw, err := link.DialTCP(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	c := &pathConn{Conn: raw, path: p}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	return c, nil
}

// pathConn is a connection over a path. While it hangs, written bytes are lost and bytes that arrive are held back.
type pathConn struct {
	net.Conn
	path     *path
	reset    atomic.Bool
	closed   atomic.Bool
	deadline atomic.Pointer[time.Time]
	held     []byte
}

// Write implements io.Writer.
func (c *pathConn) Write(b []byte) (int, error) {
	if c.path.current() == cutHang {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read implements io.Reader.
func (c *pathConn) Read(b []byte) (int, error) {
	if len(c.held) == 0 {
		n, err := c.Conn.Read(b)
		if c.reset.Load() {
			return 0, syscall.ECONNRESET
		}
		if err != nil {
			return n, err
		}
		c.held = append(c.held, b[:n]...)
	}
	for c.path.current() == cutHang {
		if at := c.deadline.Load(); c.closed.Load() || at != nil && !at.IsZero() && !time.Now().Before(*at) {
			return 0, os.ErrDeadlineExceeded
		}
		time.Sleep(time.Millisecond)
	}
	n := copy(b, c.held)
	c.held = c.held[n:]
	return n, nil
}

// Close implements io.Closer.
func (c *pathConn) Close() error {
	c.closed.Store(true)
	c.path.mu.Lock()
	delete(c.path.conns, c)
	c.path.mu.Unlock()
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *pathConn) SetDeadline(at time.Time) error {
	c.deadline.Store(&at)
	return c.Conn.SetDeadline(at)
}

// SetReadDeadline implements net.Conn.
func (c *pathConn) SetReadDeadline(at time.Time) error {
	c.deadline.Store(&at)
	return c.Conn.SetReadDeadline(at)
}

// startCutSite starts a site with routers that know each other, and the path of each to the upstreams.
func startCutSite(t *testing.T, engines, jobs, count int) (*fake.Site, []*router, []*path) {
	t.Helper()
	s := newSite(t, engines, jobs)
	var routers []*router
	var paths []*path
	for range count {
		p := newPath()
		settings := testSettings(t, s)
		settings.RetryRatio = 1
		paths = append(paths, p)
		routers = append(routers, startRouterOn(t, settings, p.dial))
	}
	t.Cleanup(func() {
		// They stop at the same time.
		for _, r := range routers {
			r.stop()
		}
	})
	for _, r := range routers {
		eventually(t, "ready", func() bool { return r.isReady() && r.exchange.Count() == count })
	}
	return s, routers, paths
}

// contactTimeout is how long after the beginning of a cut first tries are not judged.
const contactTimeout = 3 * time.Second

func newBookCall() fake.Call {
	c := newCall(http.MethodPost, fake.BookPath+"1")
	c.Deadline = 1000
	return c
}

func newShortLookCall() fake.Call {
	c := newLookCall()
	c.Deadline = 1000
	return c
}

// Callers of instances without a path to any upstream are served two thirds as often as those of the others.
func TestInstancesWithoutUpstreamsServeTheirCallers(t *testing.T) {
	for _, kind := range []cutKind{cutHang, cutReset, cutRefuse} {
		for name, call := range map[string]func() fake.Call{"book": newBookCall, "look": newShortLookCall, "stream": newUnsharedCall} {
			t.Run(string(kind)+" "+name, func(t *testing.T) {
				t.Parallel()
				_, routers, paths := startCutSite(t, 4, 3, 5)
				callAll(t, routers, time.Second, call)
				for _, p := range paths[:3] {
					p.set(kind)
				}
				callAll(t, routers, contactTimeout, call)
				served, refused, failed := callAll(t, routers[:3], 2*time.Second, call)
				others, othersRefused, othersFailed := callAll(t, routers[3:], time.Second, call)
				all := served + refused + failed
				allOthers := others + othersRefused + othersFailed
				must.Positive(t, all)
				must.GreaterEq(t, 2.0/3*float64(others)/float64(allOthers), float64(served)/float64(all), must.Sprintf("%d of %d", served, all))
				must.LessEq(t, 10+all/50, refused+failed)
			})
		}
	}
}

// The reports of instances without a path to any upstream do not keep the others away from the upstreams.
func TestInstancesWithoutUpstreamsDoNotMisleadOthers(t *testing.T) {
	s, routers, paths := startCutSite(t, 4, 3, 5)
	for _, p := range paths[:3] {
		p.set(cutHang)
	}
	callAll(t, routers[:3], contactTimeout, newUnsharedCall)
	for _, u := range s.Engines {
		v, ok := routers[4].fleet.View(time.Now(), u.ID)
		must.True(t, ok)
		must.True(t, v.Healthy(), must.Sprintf("%s: failure rate %g", u.ID, v.FailureRate))
	}
}
