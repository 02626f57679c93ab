package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// startScriptedService starts a site whose only plain service gives an answer to each call from now on.
func startScriptedService(t *testing.T, answer fake.Answer) *Site {
	t.Helper()
	var started atomic.Bool
	u, err := fake.NewScriptedUpstream(func(*http.Request) fake.Answer {
		if started.Load() {
			return answer
		}
		return fake.Answer{Bytes: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", End: fake.KeepOpen}
	})
	must.NoError(t, err)
	t.Cleanup(u.Close)
	s := startSite(t, Options{Routers: 1, Engines: 1, Services: 1})
	must.NoError(t, s.Edit(rules.Upstreams, fmt.Sprintf("scripted: {address: '%s', zone: a, kind: service, service: booking}\n", u.Address())))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		res, err := http.Get(s.Routers[0].URL() + "/catalogue")
		if err == nil {
			_ = res.Body.Close()
		}
		return len(u.Requests()) > 0
	})))
	started.Store(true)
	return s
}

// Answers to callers of HTTP/1.0 that were cut ended as complete ones do.
func TestAnswerToCallerOfHTTP10(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
	for _, c := range []struct {
		name   string
		answer fake.Answer
		body   string
		err    error
	}{
		{"complete", fake.Answer{Bytes: head + "4\r\nhalf\r\n0\r\n\r\n", End: fake.KeepOpen}, "halfhalf", nil},
		{"cut", fake.Answer{Bytes: head, End: fake.CloseConn}, "half", syscall.ECONNRESET},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startScriptedService(t, c.answer)
			conn, err := net.Dial("tcp", s.Routers[0].Settings.Listen)
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "GET /catalogue HTTP/1.0\r\n\r\n")
			must.NoError(t, err)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, res.StatusCode)
			must.Eq(t, -1, res.ContentLength)
			body, err := io.ReadAll(res.Body)
			must.Eq(t, c.body, string(body))
			must.ErrorIs(t, err, c.err)
		})
	}
}

// Answers without a length of a service that was killed, or whose answer was empty, counted as whole.
func TestCutAnswerOfService(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
	for name, answer := range map[string]fake.Answer{
		"killed": {Bytes: head + "half", End: fake.Exit},
		"empty":  {Bytes: head, End: fake.CloseConn},
	} {
		t.Run("idempotent, "+name, func(t *testing.T) {
			s := startScriptedService(t, answer)
			res, err := http.Get(s.Routers[0].URL() + "/catalogue")
			if err == nil {
				defer func() { _ = res.Body.Close() }()
				_, err = io.ReadAll(res.Body)
			}
			must.Error(t, err)
		})
		t.Run("once, "+name, func(t *testing.T) {
			s := startScriptedService(t, answer)
			for range 2 {
				res := post(t, s.Routers[0], s.Keys["acme"], "/bookings", bookingBody(1), idempotencyHeader("k"))
				must.Eq(t, http.StatusGatewayTimeout, res.StatusCode)
				text, err := io.ReadAll(res.Body)
				must.NoError(t, err)
				must.False(t, strings.Contains(string(text), "half"))
			}
		})
	}
}
