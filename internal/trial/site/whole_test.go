package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// startScriptedService starts a site whose only plain service gives an answer to each call.
func startScriptedService(t *testing.T, answer fake.Answer) *Site {
	t.Helper()
	u, err := fake.NewScriptedUpstream(func(*http.Request) fake.Answer { return answer })
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
