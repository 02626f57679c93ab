package detour

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/socket"
)

var start = time.Unix(1000, 0)

func TestSuspectAfterTwoUpstreamsFail(t *testing.T) {
	p := NewPaths()
	p.Failed(start, "a", false)
	p.Failed(start, "a", false)
	must.False(t, p.Suspect(start))
	must.False(t, p.Broken(start, "a"))
	p.Failed(start.Add(time.Second), "b", false)
	must.True(t, p.Suspect(start.Add(time.Second)))
	must.False(t, p.Suspect(start.Add(time.Second+failureTTL)))
	p.detach(start.Add(time.Second))
	must.True(t, p.Detached())
	must.True(t, p.Broken(start.Add(time.Second), "c"))
	p.Connected(start.Add(2*time.Second), "c")
	must.False(t, p.Suspect(start.Add(2*time.Second)))
	must.False(t, p.Detached())
	must.False(t, p.Broken(start.Add(2*time.Second), "a"))
	p.detach(start.Add(time.Second))
	must.False(t, p.Detached())
}

// An instance whose connections to two upstreams failed because these have ended is not detached, and stays so no longer than its
// path is broken.
func TestEndedUpstreamsDoNotDetach(t *testing.T) {
	upstream := startUpstream(t, func(c *net.TCPConn) { _ = c.Close() })
	var cut atomic.Bool
	d := newDialer(func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
		if cut.Load() || address != upstream.Address {
			return nil, syscall.ECONNREFUSED
		}
		return dialTCP(ctx, address, timeout)
	})
	upstreams := []string{"a", "b", upstream.Address}
	for _, address := range upstreams[:2] {
		_, err := d.Dial(context.Background(), Target{ID: address, Address: address}, time.Second)
		must.Error(t, err)
	}
	must.True(t, d.Paths.Suspect(time.Now()))
	d.checkPaths(context.Background(), time.Now(), slices.Clone(upstreams))
	must.False(t, d.Paths.Detached())
	cut.Store(true)
	for _, address := range upstreams[:2] {
		_, err := d.Dial(context.Background(), Target{ID: address, Address: address}, time.Second)
		must.Error(t, err)
	}
	d.checkPaths(context.Background(), time.Now(), slices.Clone(upstreams))
	must.True(t, d.Paths.Detached())
	cut.Store(false)
	d.checkPaths(context.Background(), time.Now(), slices.Clone(upstreams))
	must.False(t, d.Paths.Detached())
}

// An upstream that another instance reaches has a broken path; one that no instance reaches has not.
func TestPathIsBrokenOnlyIfAnotherInstanceReachedTheUpstream(t *testing.T) {
	p := NewPaths()
	p.Connected(start, "a")
	p.Failed(start, "b", true)
	p.Failed(start, "c", false)
	p.Connected(start.Add(time.Millisecond), "a")
	must.True(t, p.Broken(start, "b"))
	must.False(t, p.Broken(start, "c"))
	must.Eq(t, []string{"b"}, p.broken(start, []string{"a", "b", "c"}))
	must.SliceEmpty(t, p.broken(start, nil))
	must.False(t, p.Broken(start, "b"))
}

// noPath is the Direct function of an instance without a path.
func noPath(ctx context.Context, _ string, timeout time.Duration) (net.Conn, error) {
	select {
	case <-ctx.Done():
	case <-time.After(timeout):
	}
	return nil, errors.New("no path")
}

func dialTCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: socket.UserTimeout(unackedTimeout)}
	return dialer.DialContext(ctx, "tcp4", address)
}

func newDialer(direct func(context.Context, string, time.Duration) (net.Conn, error), peers ...string) *Dialer {
	return &Dialer{Direct: direct, Paths: NewPaths(), Candidates: func() []string { return peers }, Log: logr.Discard()}
}

// startRelay starts an instance that relays, and returns its address.
func startRelay(t *testing.T, r *Relay) string {
	t.Helper()
	if r.Accepts == nil {
		r.Accepts = func(time.Time, Target) bool { return true }
	}
	if r.OnHead == nil {
		r.OnHead = func(_, _ time.Time, _ Target, _ *http.Response) {}
	}
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startUpstream starts a server that calls serve for each connection.
func startUpstream(t *testing.T, serve func(c *net.TCPConn)) Target {
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
			go serve(c.(*net.TCPConn))
		}
	}()
	return Target{ID: "u", Address: l.Addr().String()}
}

// A response through another instance ends as it did at the upstream, and its head is seen there.
func TestRelayedResponseEndsAsItDidAtTheUpstream(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nX-Notice: 1\r\n\r\nbody"
	for name, reset := range map[string]bool{"end": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			upstream := startUpstream(t, func(c *net.TCPConn) {
				request := make([]byte, 7)
				_, _ = io.ReadFull(c, request)
				_, _ = io.WriteString(c, response)
				if reset {
					time.Sleep(50 * time.Millisecond)
					_ = c.SetLinger(0)
				}
				_ = c.Close()
			})
			heads := make(chan *http.Response, 1)
			relay := &Relay{Dialer: newDialer(dialTCP), Max: 1, OnHead: func(_, _ time.Time, _ Target, head *http.Response) { heads <- head }}
			d := newDialer(noPath, startRelay(t, relay))
			conn, err := d.Dial(context.Background(), upstream, time.Second)
			must.NoError(t, err)
			_, err = io.WriteString(conn, "request")
			must.NoError(t, err)
			body, err := io.ReadAll(conn)
			must.Eq(t, response, string(body))
			must.Eq(t, reset, errors.Is(err, syscall.ECONNRESET))
			must.Eq(t, "1", (<-heads).Header.Get("X-Notice"))
			must.NoError(t, conn.Close())
		})
	}
}

// The upstream sees that the caller has left.
func TestCloseReachesTheUpstream(t *testing.T) {
	closed := make(chan error, 1)
	upstream := startUpstream(t, func(c *net.TCPConn) {
		_, err := io.ReadAll(c)
		closed <- err
	})
	d := newDialer(noPath, startRelay(t, &Relay{Dialer: newDialer(dialTCP), Max: 1}))
	conn, err := d.Dial(context.Background(), upstream, time.Second)
	must.NoError(t, err)
	must.NoError(t, conn.Close())
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the upstream is open")
	}
}

// An instance relays as many connections as its bound allows, none while it is detached, and asks no other instance.
func TestRelayDeclines(t *testing.T) {
	accepted := make(chan struct{}, 10)
	upstream := startUpstream(t, func(c *net.TCPConn) {
		accepted <- struct{}{}
		_, _ = io.ReadAll(c)
	})
	other := startRelay(t, &Relay{Dialer: newDialer(dialTCP), Max: 10})
	detached := newDialer(noPath, other)
	detached.Paths.detach(time.Now())
	for name, c := range map[string]struct {
		relay *Relay
		want  error
	}{
		"full":                     {&Relay{Dialer: newDialer(dialTCP), Max: 0}, ErrNoPath},
		"detached":                 {&Relay{Dialer: detached, Max: 10}, ErrNoPath},
		"not accepted":             {&Relay{Dialer: newDialer(dialTCP), Max: 10, Accepts: func(time.Time, Target) bool { return false }}, ErrNoPath},
		"without a path, attached": {&Relay{Dialer: newDialer(noPath, other), Max: 10}, ErrUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDialer(noPath, startRelay(t, c.relay))
			d.Paths.detach(time.Now())
			_, err := d.Dial(context.Background(), upstream, time.Second)
			must.ErrorIs(t, err, c.want)
			must.Zero(t, len(accepted))
			must.Zero(t, c.relay.Open())
		})
	}
}

// A refusal counts as the end of the upstream only where an instance that reaches others sees it too.
func TestExamineWithBrokenPath(t *testing.T) {
	refuse := func(context.Context, string, time.Duration) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	upstream := startUpstream(t, func(c *net.TCPConn) { _ = c.Close() })
	must.Eq(t, PathBroken, newDialer(refuse, startRelay(t, &Relay{Dialer: newDialer(dialTCP), Max: 1})).Examine(context.Background(), upstream, time.Second))
	must.Eq(t, Silent, newDialer(refuse, startRelay(t, &Relay{Dialer: newDialer(refuse), Max: 1})).Examine(context.Background(), upstream, time.Second))
	another := startUpstream(t, func(c *net.TCPConn) { _ = c.Close() })
	attached := newDialer(refuseOnly(upstream.Address))
	attached.Upstreams = func() []string { return []string{upstream.Address, another.Address} }
	must.Eq(t, Ended, newDialer(refuse, startRelay(t, &Relay{Dialer: attached, Max: 1})).Examine(context.Background(), upstream, time.Second))
	// Connections that were made before the path broke show nothing.
	cut := newDialer(refuse)
	cut.Paths.Connected(time.Now(), another.Address)
	cut.Upstreams = attached.Upstreams
	must.Eq(t, Silent, newDialer(refuse, startRelay(t, &Relay{Dialer: cut, Max: 1})).Examine(context.Background(), upstream, time.Second))
}

// refuseOnly returns the Direct function of an instance with a path, while the upstream at an address has ended.
func refuseOnly(ended string) func(context.Context, string, time.Duration) (net.Conn, error) {
	return func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
		if address == ended {
			return nil, syscall.ECONNREFUSED
		}
		return dialTCP(ctx, address, timeout)
	}
}

// Guards against crashes that are not counted on a quiet site (ReviewCaseQuiet): no instance had connected to an upstream recently, so
// that a refused connection could be due to a broken path.
func TestExamineOnAQuietSite(t *testing.T) {
	ended, another := "127.0.0.1:1", startUpstream(t, func(c *net.TCPConn) { _ = c.Close() })
	target := Target{ID: "u", Address: ended}
	upstreams := func() []string { return []string{ended, another.Address} }
	refuse := func(context.Context, string, time.Duration) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	dialer := func(direct func(context.Context, string, time.Duration) (net.Conn, error), peers ...string) *Dialer {
		d := newDialer(direct, peers...)
		d.Upstreams = upstreams
		return d
	}
	cut := startRelay(t, &Relay{Dialer: dialer(refuse), Max: 1})
	attached := startRelay(t, &Relay{Dialer: dialer(refuseOnly(ended)), Max: 1})
	for name, c := range map[string]struct {
		d    *Dialer
		want Finding
	}{
		"all attached":                      {dialer(refuseOnly(ended), attached), Ended},
		"the other one is cut":              {dialer(refuseOnly(ended), cut), Ended},
		"this one is cut":                   {dialer(refuse, attached), Ended},
		"both are cut":                      {dialer(refuse, cut), Silent},
		"alone":                             {dialer(refuseOnly(ended)), Ended},
		"alone and cut":                     {dialer(refuse), Silent},
		"an earlier build, which is silent": {dialer(refuseOnly(ended), startUpstream(t, unreachable).Address), Ended},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, c.want, c.d.Examine(context.Background(), target, time.Second))
		})
	}
}

// unreachable answers as an instance of an earlier build that could not connect to an upstream.
func unreachable(c *net.TCPConn) {
	_, _ = c.Read(make([]byte, 1<<10))
	_, _ = io.WriteString(c, "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n")
	_ = c.Close()
}

// writtenBeforeClose is more than the kernel holds of what a reader has not read.
const writtenBeforeClose = 16 << 20

// An instance that answers with a head without end was read until the timeout.
func TestAnswersOfInstancesWithoutEndAreCutOff(t *testing.T) {
	written := make(chan int64, 1)
	peer := startUpstream(t, func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		n, _ := io.Copy(c, endless{})
		written <- n
	})
	d := newDialer(noPath, peer.Address)
	_, err := d.Dial(context.Background(), Target{ID: "a", Address: "a"}, time.Second)
	must.Error(t, err)
	must.Less(t, int64(writtenBeforeClose), <-written)
}

// endless is a head without an end.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
