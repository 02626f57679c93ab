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
		eventually(t, "ready", func() bool { return r.isReady() && len(r.exchange.Attached()) == count-1 })
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
		t.Run(string(kind), func(t *testing.T) {
			for name, call := range map[string]func() fake.Call{"book": newBookCall, "look": newShortLookCall, "stream": newUnsharedCall} {
				t.Run(name, func(t *testing.T) {
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
		})
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

// Requests that must not run twice run at most once while paths break and recover, and those that are refused do not run.
func TestRepeatedCutsKeepPromises(t *testing.T) {
	s, routers, paths := startCutSite(t, 1, 3, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var cuts sync.WaitGroup
	for i, p := range paths[:3] {
		cuts.Go(func() {
			for _, kind := range []cutKind{cutHang, cutRefuse, cutReset, cutHang, cutReset, cutRefuse} {
				p.set(kind)
				time.Sleep(time.Duration(300+200*i) * time.Millisecond)
				p.set(noCut)
				time.Sleep(time.Duration(100+100*i) * time.Millisecond)
			}
		})
	}
	var mu sync.Mutex
	statuses := make(map[string]int)
	var callers sync.WaitGroup
	for _, r := range routers {
		callers.Go(func() {
			for ctx.Err() == nil {
				call := newBookCall()
				status := r.send(t, call).Status
				mu.Lock()
				statuses[call.ID] = status
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	cuts.Wait()
	cancel()
	callers.Wait()
	runs := make(map[string]int)
	for _, u := range s.Jobs {
		for _, run := range u.Runs() {
			runs[run.ID]++
		}
	}
	counts := make(map[int]int)
	for id, status := range statuses {
		counts[status]++
		must.LessEq(t, 1, runs[id])
		switch status {
		case http.StatusOK:
			must.Eq(t, 1, runs[id])
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			must.Zero(t, runs[id])
		}
	}
	t.Logf("statuses %v", counts)
	must.GreaterEq(t, len(statuses)*2/3, counts[http.StatusOK])
}

// Requests are refused at once when no instance has a path.
func TestNoInstanceHasAPath(t *testing.T) {
	_, routers, paths := startCutSite(t, 3, 3, 3)
	for _, p := range paths {
		p.set(cutHang)
	}
	callAll(t, routers, time.Second, newShortLookCall)
	for _, r := range routers {
		started := time.Now()
		reply := r.send(t, newShortLookCall())
		must.Eq(t, http.StatusServiceUnavailable, reply.Status)
		must.Positive(t, reply.RetryAfter)
		must.Less(t, 300*time.Millisecond, time.Since(started))
	}
	paths[2].set(noCut)
	eventually(t, "served through the instance whose path is back", func() bool {
		return routers[0].send(t, newShortLookCall()).Status == http.StatusOK
	})
}

// The instance that gives orders to engines passes that on when it loses its path to them.
func TestOrdersPassToAnInstanceWithAPath(t *testing.T) {
	s, routers, paths := startCutSite(t, 4, 1, 3)
	s.PublishWeights(2)
	eventually(t, "loaded", func() bool { return s.Engines[0].Version() == 2 && s.Engines[3].Version() == 2 })
	leader := -1
	for i, r := range routers {
		if len(s.Engines[0].Orders()) > 0 && s.Engines[0].Orders()[0].Holder == r.settings.Peer {
			leader = i
		}
	}
	must.GreaterEq(t, 0, leader)
	paths[leader].set(cutHang)
	callAll(t, routers[leader:leader+1], time.Second, newShortLookCall)
	s.PublishWeights(3)
	eventually(t, "loaded by another instance", func() bool { return s.Engines[0].Version() == 3 && s.Engines[3].Version() == 3 })
	for _, u := range s.Engines {
		orders := u.Orders()
		must.NotEq(t, routers[leader].settings.Peer, orders[len(orders)-1].Holder)
	}
}

// What an upstream says to a relayed request holds for the instance through which it came.
func TestRelayingInstanceKeepsPausesOfUpstreams(t *testing.T) {
	s, routers, paths := startCutSite(t, 2, 1, 2)
	paths[0].set(cutHang)
	s.Jobs[0].SetFaults(fake.Faults{Shed: true, RetryAfter: "5"})
	must.Eq(t, http.StatusServiceUnavailable, routers[0].send(t, newShortLookCall()).Status)
	for _, r := range routers {
		v, ok := r.fleet.View(time.Now(), s.Jobs[0].ID)
		must.True(t, ok)
		must.False(t, v.RetryAt.IsZero())
	}
	must.Eq(t, http.StatusServiceUnavailable, routers[1].send(t, newShortLookCall()).Status)
	must.Eq(t, 1, s.Jobs[0].Requests())
}
