package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"golang.org/x/sys/unix"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/base/socket"
	"github.com/skylarkquay/skylarkquay/internal/front/detour"
)

// upstream is a test server that counts its connections and requests.
type upstream struct {
	address  string
	conns    atomic.Int64
	requests atomic.Int64
}

// startUpstream starts an upstream that calls serve for each request and closes the connection when serve returns false.
func startUpstream(t *testing.T, serve func(n int64, r *http.Request, c net.Conn) bool) *upstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	u := &upstream{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					if !serve(u.requests.Add(1), r, c) {
						return
					}
				}
			}()
		}
	}()
	return u
}

// respondWith starts an upstream that sends the responses in order and then repeats the last one. "" closes the connection.
func respondWith(t *testing.T, responses ...string) *upstream {
	return startUpstream(t, func(n int64, _ *http.Request, c net.Conn) bool {
		response := responses[min(int(n), len(responses))-1]
		if response == "" {
			return false
		}
		_, err := io.WriteString(c, response)
		return err == nil
	})
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newTestPool(limit int) *Pool {
	dialer := &detour.Dialer{Direct: DialTCP, Candidates: func() []string { return nil }, Paths: detour.NewPaths(), Log: logr.Discard()}
	return NewPool(dialer, func(string) int { return limit }, func() {})
}

func request(u *upstream, id string) Request {
	return Request{
		Address: u.address, Method: http.MethodPost, Target: "/a?b=c", Host: "host.example", Header: http.Header{"Id": {id}},
		Body: []byte("body"), Matches: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func roundTrip(t *testing.T, p *Pool, r Request) (string, error) {
	t.Helper()
	resp, err := p.Send(context.Background(), time.Now(), r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		resp.Abort()
		return string(body), err
	}
	resp.Done(time.Now())
	return string(body), nil
}

func TestConnectionsAreReused(t *testing.T) {
	u := respondWith(t, response("1", "one"), response("2", "two"))
	p := newTestPool(0)
	for i, want := range []string{"one", "two"} {
		got, err := roundTrip(t, p, request(u, fmt.Sprint(i+1)))
		must.NoError(t, err)
		must.Eq(t, want, got)
	}
	must.Eq(t, 1, u.conns.Load())
}

func TestRequestIsSentUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	u := startUpstream(t, func(_ int64, r *http.Request, c net.Conn) bool {
		got <- r
		_, err := io.WriteString(c, response("1", ""))
		return err == nil
	})
	_, err := roundTrip(t, newTestPool(0), request(u, "1"))
	must.NoError(t, err)
	r := <-got
	must.Eq(t, "/a?b=c", r.RequestURI)
	must.Eq(t, "host.example", r.Host)
	must.Eq(t, 4, r.ContentLength)
}

// An extra response to an earlier request arrives before the expected one.
func TestStrayResponsesAreSkipped(t *testing.T) {
	u := respondWith(t, response("1", "one"), response("1", "again")+response("2", "two"))
	p := newTestPool(0)
	_, err := roundTrip(t, p, request(u, "1"))
	must.NoError(t, err)
	got, err := roundTrip(t, p, request(u, "2"))
	must.NoError(t, err)
	must.Eq(t, "two", got)
}

func TestOnlyStrayResponsesFail(t *testing.T) {
	u := respondWith(t, strings.Repeat(response("other", "x"), maxResponses))
	_, err := roundTrip(t, newTestPool(0), request(u, "1"))
	must.ErrorIs(t, err, ErrStray)
	must.False(t, NotSent(err))
}

// Bytes after a response belong to no request, so the connection is not reused.
func TestConnectionWithExtraBytesIsClosed(t *testing.T) {
	u := respondWith(t, response("1", "one")+"garbage", response("2", "two"))
	p := newTestPool(0)
	_, err := roundTrip(t, p, request(u, "1"))
	must.NoError(t, err)
	_, err = roundTrip(t, p, request(u, "2"))
	must.NoError(t, err)
	must.Eq(t, 2, u.conns.Load())
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	_, err = roundTrip(t, newTestPool(0), request(&upstream{address: l.Addr().String()}, "1"))
	must.True(t, NotSent(err))
}

// The pool does not retry a request that failed because its pooled connection was closed.
func TestNothingIsSentTwice(t *testing.T) {
	u := respondWith(t, response("1", "one"), "", response("2", "two"))
	p := newTestPool(0)
	_, err := roundTrip(t, p, request(u, "1"))
	must.NoError(t, err)
	_, err = roundTrip(t, p, request(u, "2"))
	must.Error(t, err)
	must.False(t, NotSent(err))
	must.Eq(t, 2, u.requests.Load())
}

func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	u := startUpstream(t, func(n int64, _ *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, response(fmt.Sprint(n), "x"))
		return err == nil && n > 1
	})
	p := newTestPool(0)
	_, err := roundTrip(t, p, request(u, "1"))
	must.NoError(t, err)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond), wait.BoolFunc(func() bool {
		return !usable(p.idle[u.address][0])
	})))
	_, err = roundTrip(t, p, request(u, "2"))
	must.NoError(t, err)
	must.Eq(t, 2, u.conns.Load())
}

func TestConnectionsAreLimited(t *testing.T) {
	u := respondWith(t, response("1", "one"))
	p := newTestPool(1)
	resp, err := p.Send(context.Background(), time.Now(), request(u, "1"))
	must.NoError(t, err)
	_, err = p.Send(context.Background(), time.Now(), request(u, "1"))
	must.ErrorIs(t, err, ErrConnLimit)
	must.True(t, NotSent(err))
	resp.Abort()
	_, err = roundTrip(t, p, request(u, "1"))
	must.NoError(t, err)
}

// A response without a length is complete when its connection closes. Reading the body fails when the connection is reset
// or the context ends.
func TestTruncatedResponsesFail(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nall"
	u := startUpstream(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, whole)
		return false
	})
	got, err := roundTrip(t, newTestPool(0), request(u, "1"))
	must.NoError(t, err)
	must.Eq(t, "all", got)

	u = startUpstream(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, whole)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
	_, err = roundTrip(t, newTestPool(0), request(u, "1"))
	must.Error(t, err)

	u = respondWith(t, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall\r\n", "")
	p := newTestPool(0)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := p.Send(ctx, time.Now(), request(u, "1"))
	must.NoError(t, err)
	cancel()
	_, err = io.ReadAll(resp.Body)
	must.Error(t, err)
	resp.Abort()
}

// An upstream responds before it has read a long body and reads the rest later. The rest of the body must not mix with
// the next request.
func TestEarlyResponsesDoNotMixBodies(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	bodies := make(chan string, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, response(r.Header.Get("Id"), "early"))
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return
					}
					bodies <- string(body)
				}
			}()
		}
	}()
	p := newTestPool(0)
	for _, id := range []string{"1", "2"} {
		r := request(&upstream{address: l.Addr().String()}, id)
		r.Body = []byte(strings.Repeat(id, 1<<20))
		got, err := roundTrip(t, p, r)
		must.NoError(t, err)
		must.Eq(t, "early", got)
	}
	for range 2 {
		body := <-bodies
		must.Eq(t, strings.Repeat(body[:1], len(body)), body)
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	for _, c := range []struct {
		header string
		want   time.Duration
	}{
		{"", defaultIdleTimeout}, {"timeout=2, max=5", 2*time.Second - idleMargin}, {"timeout=0", 0}, {"timeout=x", defaultIdleTimeout},
		{"max=5, Timeout=60", defaultIdleTimeout},
	} {
		must.Eq(t, c.want, keepAliveTimeout(http.Header{"Keep-Alive": {c.header}}))
	}
}

func TestRequestsThatMustRunOnceUseFreshConnections(t *testing.T) {
	u := respondWith(t, response("1", "one"), response("2", "two"))
	p := newTestPool(0)
	_, err := roundTrip(t, p, request(u, "1"))
	must.NoError(t, err)
	r := request(u, "2")
	r.FreshConn = true
	resp, err := p.Send(context.Background(), time.Now().Add(maxFreshIdle+time.Second), r)
	must.NoError(t, err)
	must.False(t, resp.Reused())
	resp.Abort()
}

// An upstream drops connections after some idle time and resets them at the next request. The pool learns that time.
func TestDroppedConnectionsLimitIdleTime(t *testing.T) {
	u := startUpstream(t, func(n int64, _ *http.Request, c net.Conn) bool {
		if n == 2 {
			must.NoError(t, c.(*net.TCPConn).SetLinger(0))
			return false
		}
		_, err := io.WriteString(c, response("1", ""))
		return err == nil
	})
	p := newTestPool(0)
	now := time.Now()
	send := func(at time.Time, freshConn bool) error {
		r := request(u, "1")
		r.FreshConn = freshConn
		resp, err := p.Send(context.Background(), at, r)
		if err == nil {
			resp.Done(at)
		}
		return err
	}
	must.NoError(t, send(now, false))
	must.Error(t, send(now.Add(400*time.Millisecond), false))
	must.NoError(t, send(now.Add(500*time.Millisecond), true))
	conns := u.conns.Load()
	must.NoError(t, send(now.Add(700*time.Millisecond), true))
	must.Eq(t, conns, u.conns.Load(), must.Sprint("reused after 200 ms idle"))
	must.NoError(t, send(now.Add(1050*time.Millisecond), true))
	must.Eq(t, conns+1, u.conns.Load(), must.Sprint("not reused after 350 ms idle"))
	// The learned limit expires.
	must.NoError(t, send(now.Add(12*time.Second), false))
	conns = u.conns.Load()
	must.NoError(t, send(now.Add(12900*time.Millisecond), false))
	must.Eq(t, conns, u.conns.Load())
}

func TestSweep(t *testing.T) {
	u := respondWith(t, response("1", "one"))
	p := newTestPool(0)
	_, err := roundTrip(t, p, request(u, "1"))
	must.NoError(t, err)
	p.Sweep(time.Now())
	must.MapLen(t, 1, p.idle)
	p.Sweep(time.Now().Add(defaultIdleTimeout + time.Second))
	must.MapEmpty(t, p.idle)
	must.MapEmpty(t, p.open)
}

func TestUnsentErrorWraps(t *testing.T) {
	cause := errors.New("cause")
	must.ErrorIs(t, &UnsentError{cause}, cause)
}

// The body of a late response to another request may look like a response to this one.
func TestBodyOfAStrayResponseIsNotTakenForAResponse(t *testing.T) {
	u := respondWith(t, response("other", strings.Repeat("x", maxStrayBytes)+response("1", "forged")))
	_, err := roundTrip(t, newTestPool(0), request(u, "1"))
	must.ErrorIs(t, err, bound.ErrTooLong)
	must.False(t, NotSent(err))
}

// The limit on the head does not apply to the body, and is renewed for each response of a connection.
func TestHeadIsLimitedAndBodyIsNot(t *testing.T) {
	long := strings.Repeat("b", 2*bound.MaxHeaderBytes)
	u := respondWith(t, response("1", long))
	p := newTestPool(0)
	for range 3 {
		got, err := roundTrip(t, p, request(u, "1"))
		must.NoError(t, err)
		must.Eq(t, long, got)
	}
	must.Eq(t, 1, u.conns.Load())
	u = respondWith(t, "HTTP/1.1 200 OK\r\nId: 1\r\nX: "+strings.Repeat("h", bound.MaxHeaderBytes)+"\r\n\r\n")
	_, err := roundTrip(t, p, request(u, "1"))
	must.ErrorIs(t, err, bound.ErrTooLong)
}

// Connections to upstreams outlast a second of silence. TCP_USER_TIMEOUT also ends keep-alive probes, so there are none.
func TestSocketOptionsOutlastSilence(t *testing.T) {
	u := respondWith(t, response("1", "x"))
	c, err := DialTCP(context.Background(), u.address, time.Second)
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	tcp, ok := socket.TCP(c)
	must.True(t, ok)
	raw, err := tcp.SyscallConn()
	must.NoError(t, err)
	var userTimeout, keepAlive int
	var errTimeout, errKeepAlive error
	must.NoError(t, raw.Control(func(fd uintptr) {
		userTimeout, errTimeout = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		keepAlive, errKeepAlive = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
	}))
	must.NoError(t, errTimeout)
	must.NoError(t, errKeepAlive)
	must.GreaterEq(t, 2000, userTimeout)
	must.Zero(t, keepAlive)
}

// A request that may no longer be sent once there is a connection leaves nothing on it and nothing behind.
func TestRequestThatIsNotPreparedIsNotSent(t *testing.T) {
	barred := errors.New("barred")
	for _, reused := range []bool{false, true} {
		u := respondWith(t, response("1", "a"), response("2", "b"))
		p := newTestPool(1)
		if reused {
			_, err := roundTrip(t, p, request(u, "1"))
			must.NoError(t, err)
		}
		before := u.requests.Load()
		r := request(u, "x")
		r.Prepare = func(time.Time) (http.Header, error) { return nil, barred }
		_, err := roundTrip(t, p, r)
		must.ErrorIs(t, err, barred)
		must.True(t, NotSent(err))
		must.Eq(t, before, u.requests.Load())
		// The connection does not count any more.
		r = request(u, fmt.Sprint(before+1))
		header := r.Header
		r.Header = nil
		r.Prepare = func(time.Time) (http.Header, error) { return header, nil }
		_, err = roundTrip(t, p, r)
		must.NoError(t, err)
		must.Eq(t, before+1, u.requests.Load())
	}
}
