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

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// upstream answers each request on a connection with the next of its texts; "" closes the connection instead.
type upstream struct {
	address string
	opened  atomic.Int64
	asked   atomic.Int64
}

func listen(t *testing.T, serve func(n int64, r *http.Request, c net.Conn) bool) *upstream {
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
			u.opened.Add(1)
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
					if !serve(u.asked.Add(1), r, c) {
						return
					}
				}
			}()
		}
	}()
	return u
}

// answering sends fixed texts in turn.
func answering(t *testing.T, texts ...string) *upstream {
	return listen(t, func(n int64, _ *http.Request, c net.Conn) bool {
		text := texts[min(int(n), len(texts))-1]
		if text == "" {
			return false
		}
		_, err := io.WriteString(c, text)
		return err == nil
	})
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func pool(limit int) *Pool {
	return NewPool(func(string) int { return limit }, func() {})
}

func request(u *upstream, id string) Request {
	return Request{
		Address: u.address, Method: http.MethodPost, Target: "/a?b=c", Host: "host.example", Header: http.Header{"Id": {id}},
		Body: []byte("body"), Matches: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func exchange(t *testing.T, p *Pool, r Request) (string, error) {
	t.Helper()
	reply, err := p.Send(context.Background(), time.Now(), r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		reply.Abort()
		return string(body), err
	}
	reply.Done(time.Now())
	return string(body), nil
}

func TestConnectionsAreKept(t *testing.T) {
	u := answering(t, answer("1", "one"), answer("2", "two"))
	p := pool(0)
	for i, want := range []string{"one", "two"} {
		got, err := exchange(t, p, request(u, fmt.Sprint(i+1)))
		must.NoError(t, err)
		must.Eq(t, want, got)
	}
	must.Eq(t, 1, u.opened.Load())
}

func TestTheRequestGoesAsItIs(t *testing.T) {
	got := make(chan *http.Request, 1)
	u := listen(t, func(_ int64, r *http.Request, c net.Conn) bool {
		got <- r
		_, err := io.WriteString(c, answer("1", ""))
		return err == nil
	})
	_, err := exchange(t, pool(0), request(u, "1"))
	must.NoError(t, err)
	r := <-got
	must.Eq(t, "/a?b=c", r.RequestURI)
	must.Eq(t, "host.example", r.Host)
	must.Eq(t, 4, r.ContentLength)
}

// An extra answer to an earlier request comes where the next one is expected.
func TestStrayAnswersAreReadOver(t *testing.T) {
	u := answering(t, answer("1", "one"), answer("1", "again")+answer("2", "two"))
	p := pool(0)
	_, err := exchange(t, p, request(u, "1"))
	must.NoError(t, err)
	got, err := exchange(t, p, request(u, "2"))
	must.NoError(t, err)
	must.Eq(t, "two", got)
}

func TestOnlyStrayAnswers(t *testing.T) {
	u := answering(t, strings.Repeat(answer("other", "x"), strayMost))
	_, err := exchange(t, pool(0), request(u, "1"))
	must.ErrorIs(t, err, ErrStray)
	must.False(t, NotSent(err))
}

// Bytes behind an answer belong to no request, so that the connection is not used again.
func TestAConnectionWithExtraBytesIsClosed(t *testing.T) {
	u := answering(t, answer("1", "one")+"garbage", answer("2", "two"))
	p := pool(0)
	_, err := exchange(t, p, request(u, "1"))
	must.NoError(t, err)
	_, err = exchange(t, p, request(u, "2"))
	must.NoError(t, err)
	must.Eq(t, 2, u.opened.Load())
}

func TestARefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	_, err = exchange(t, pool(0), request(&upstream{address: l.Addr().String()}, "1"))
	must.True(t, NotSent(err))
}

// A request that met the end of a kept connection is never sent again by the pool.
func TestNothingIsSentTwice(t *testing.T) {
	u := answering(t, answer("1", "one"), "", answer("2", "two"))
	p := pool(0)
	_, err := exchange(t, p, request(u, "1"))
	must.NoError(t, err)
	_, err = exchange(t, p, request(u, "2"))
	must.Error(t, err)
	must.False(t, NotSent(err))
	must.Eq(t, 2, u.asked.Load())
}

func TestAConnectionThatClosedWhileIdleIsNotUsed(t *testing.T) {
	u := listen(t, func(n int64, _ *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, answer(fmt.Sprint(n), "x"))
		return err == nil && n > 1
	})
	p := pool(0)
	_, err := exchange(t, p, request(u, "1"))
	must.NoError(t, err)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond), wait.BoolFunc(func() bool {
		return !quiet(p.idle[u.address][0])
	})))
	_, err = exchange(t, p, request(u, "2"))
	must.NoError(t, err)
	must.Eq(t, 2, u.opened.Load())
}

func TestConnectionsAreBounded(t *testing.T) {
	u := answering(t, answer("1", "one"))
	p := pool(1)
	reply, err := p.Send(context.Background(), time.Now(), request(u, "1"))
	must.NoError(t, err)
	_, err = p.Send(context.Background(), time.Now(), request(u, "1"))
	must.ErrorIs(t, err, ErrBusy)
	must.True(t, NotSent(err))
	reply.Abort()
	_, err = exchange(t, p, request(u, "1"))
	must.NoError(t, err)
}

// An answer without a length ends with its connection; one that breaks off is not whole.
func TestCutAnswersAreNotWhole(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nall"
	u := listen(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, whole)
		return false
	})
	got, err := exchange(t, pool(0), request(u, "1"))
	must.NoError(t, err)
	must.Eq(t, "all", got)

	u = listen(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, whole)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
	_, err = exchange(t, pool(0), request(u, "1"))
	must.Error(t, err)

	u = answering(t, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall\r\n", "")
	p := pool(0)
	ctx, cancel := context.WithCancel(context.Background())
	reply, err := p.Send(ctx, time.Now(), request(u, "1"))
	must.NoError(t, err)
	cancel()
	_, err = io.ReadAll(reply.Body)
	must.Error(t, err)
	reply.Abort()
}

// An upstream answers before it has read a long body and reads on later: the rest of the body still goes there.
func TestEarlyAnswersDoNotMixBodies(t *testing.T) {
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
					_, _ = io.WriteString(c, answer(r.Header.Get("Id"), "early"))
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return
					}
					bodies <- string(body)
				}
			}()
		}
	}()
	p := pool(0)
	for _, id := range []string{"1", "2"} {
		r := request(&upstream{address: l.Addr().String()}, id)
		r.Body = []byte(strings.Repeat(id, 1<<20))
		got, err := exchange(t, p, r)
		must.NoError(t, err)
		must.Eq(t, "early", got)
	}
	for range 2 {
		body := <-bodies
		must.Eq(t, strings.Repeat(body[:1], len(body)), body)
	}
}

func TestIdleFor(t *testing.T) {
	for _, c := range []struct {
		header string
		want   time.Duration
	}{
		{"", idleDefault}, {"timeout=2, max=5", 2*time.Second - idleMargin}, {"timeout=0", 0}, {"timeout=x", idleDefault},
		{"max=5, Timeout=60", idleDefault},
	} {
		must.Eq(t, c.want, idleFor(http.Header{"Keep-Alive": {c.header}}))
	}
}

func TestRequestsThatMustRunOnceUseFreshConnections(t *testing.T) {
	u := answering(t, answer("1", "one"), answer("2", "two"))
	p := pool(0)
	_, err := exchange(t, p, request(u, "1"))
	must.NoError(t, err)
	r := request(u, "2")
	r.Once = true
	reply, err := p.Send(context.Background(), time.Now().Add(freshMost+time.Second), r)
	must.NoError(t, err)
	must.False(t, reply.Reused())
	reply.Abort()
}

// An upstream forgets connections that rested some time and resets them at the next request: the pool learns the time.
func TestForgottenConnectionsTeachAnIdleTime(t *testing.T) {
	u := listen(t, func(n int64, _ *http.Request, c net.Conn) bool {
		if n == 2 {
			must.NoError(t, c.(*net.TCPConn).SetLinger(0))
			return false
		}
		_, err := io.WriteString(c, answer("1", ""))
		return err == nil
	})
	p := pool(0)
	now := time.Now()
	send := func(at time.Time, once bool) error {
		r := request(u, "1")
		r.Once = once
		reply, err := p.Send(context.Background(), at, r)
		if err == nil {
			reply.Done(at)
		}
		return err
	}
	must.NoError(t, send(now, false))
	must.Error(t, send(now.Add(400*time.Millisecond), false))
	must.NoError(t, send(now.Add(500*time.Millisecond), true))
	opened := u.opened.Load()
	must.NoError(t, send(now.Add(700*time.Millisecond), true))
	must.Eq(t, opened, u.opened.Load(), must.Sprint("200 ms of rest are safe"))
	must.NoError(t, send(now.Add(1050*time.Millisecond), true))
	must.Eq(t, opened+1, u.opened.Load(), must.Sprint("350 ms are not"))
	// The time is forgotten again.
	must.NoError(t, send(now.Add(12*time.Second), false))
	opened = u.opened.Load()
	must.NoError(t, send(now.Add(12900*time.Millisecond), false))
	must.Eq(t, opened, u.opened.Load())
}

func TestSweep(t *testing.T) {
	u := answering(t, answer("1", "one"))
	p := pool(0)
	_, err := exchange(t, p, request(u, "1"))
	must.NoError(t, err)
	p.Sweep(time.Now())
	must.MapLen(t, 1, p.idle)
	p.Sweep(time.Now().Add(idleDefault + time.Second))
	must.MapEmpty(t, p.idle)
	must.MapEmpty(t, p.open)
}

func TestUnsentErrorWraps(t *testing.T) {
	cause := errors.New("cause")
	must.ErrorIs(t, &UnsentError{cause}, cause)
}
