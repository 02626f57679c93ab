package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	routerOptions "github.com/skylarkquay/skylarkquay/internal/conf/option"
	"github.com/skylarkquay/skylarkquay/internal/fake/engine"
	"github.com/skylarkquay/skylarkquay/internal/fake/plain"
	"github.com/skylarkquay/skylarkquay/internal/front/detour"
)

// startHanging starts a site whose upstreams do not answer, with one router that waits for open requests for half a second.
func startHanging(t *testing.T, inFlight int) *Site {
	t.Helper()
	s := startSite(t, Options{Routers: 1, Engines: 1, Services: 1, Adjust: func(o *routerOptions.Settings) {
		o.FirstToken, o.TokenIdle, o.DrainTimeout, o.MaxInFlight = 10*time.Second, 10*time.Second, 500*time.Millisecond, inFlight
	}})
	s.Engines[0].SetFaults(engine.Faults{Hang: true})
	s.Services[0].SetFaults(plain.Faults{Hang: true})
	return s
}

// writeRaw writes the first bytes of a request to a new connection, and returns that.
func writeRaw(t *testing.T, s *Site, method, path, body string, length int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Routers[0].Settings.Listen)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", method, path, s.Keys["acme"], length, body)
	must.NoError(t, err)
	return conn
}

// checkFault checks that the answer on a connection is a fault of a kind.
func checkFault(t *testing.T, conn net.Conn, kind fault.Kind) {
	t.Helper()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err, must.Sprint(kind))
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	must.Eq(t, string(kind), res.Header.Get(fault.HeaderKind), must.Sprint(string(body)))
	must.Eq(t, string(fault.ResponseFor(kind).Ran), res.Header.Get(fault.HeaderRan))
}

const (
	chatPath   = "/v1/chat/completions"
	chatBody   = `{"model":"quotes","max_tokens":5,"messages":[]}`
	streamBody = `{"model":"quotes","stream":true,"max_tokens":5,"messages":[]}`
)

// Requests that were open at the end of the drain were cut without an answer.
func TestRequestsOpenAtTheEndOfTheDrainAreAnswered(t *testing.T) {
	for name, c := range map[string]struct{ method, path, body string }{
		"buffered":   {http.MethodPost, chatPath, chatBody},
		"stream":     {http.MethodPost, chatPath, streamBody},
		"booking":    {http.MethodPost, "/bookings", bookingBody(1)},
		"idempotent": {http.MethodGet, "/catalogue", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startHanging(t, 100)
			conn := writeRaw(t, s, c.method, c.path, c.body, len(c.body))
			eventually(t, "the request runs", func() bool { return s.Engines[0].Running() == 1 || len(s.Services[0].Received()) > 0 })
			go s.Routers[0].cancel()
			checkFault(t, conn, fault.OutcomeUnknown)
		})
	}
}

// Requests that had not been sent at the end of the drain were cut without an answer.
func TestUnsentRequestsAtTheEndOfTheDrainAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		path, body string
		length     int
	}{
		"queued chat":       {chatPath, chatBody, len(chatBody)},
		"queued booking":    {"/bookings", bookingBody(2), len(bookingBody(2))},
		"body of a chat":    {chatPath, chatBody[:10], len(chatBody)},
		"body of a booking": {"/bookings", "{", 20},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startHanging(t, 1)
			if strings.HasPrefix(name, "queued") {
				writeRaw(t, s, http.MethodPost, "/bookings", bookingBody(1), len(bookingBody(1)))
				eventually(t, "the other request runs", func() bool { return runCount(s, bookingBody(1)) == 1 })
			}
			conn := writeRaw(t, s, http.MethodPost, c.path, c.body, c.length)
			time.Sleep(100 * time.Millisecond)
			go s.Routers[0].cancel()
			checkFault(t, conn, fault.Draining)
			must.Zero(t, runCount(s, bookingBody(2)))
		})
	}
}

// A router that was about to stop connected to upstreams for other routers, whose requests its end then cut.
func TestDrainingRouterRelaysNothingNew(t *testing.T) {
	s := startHanging(t, 100)
	writeRaw(t, s, http.MethodPost, "/bookings", bookingBody(1), len(bookingBody(1)))
	eventually(t, "the request runs", func() bool { return runCount(s, bookingBody(1)) == 1 })
	r := s.Routers[0]
	connect := func() int {
		conn, err := net.Dial("tcp", r.Settings.Peer)
		must.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST %s?address=%s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", detour.Path, s.upstreams[0].address)
		must.NoError(t, err)
		res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
		must.NoError(t, err)
		return res.StatusCode
	}
	must.Eq(t, http.StatusOK, connect())
	go r.cancel()
	eventually(t, "the router is not ready", func() bool { return !r.Ready() })
	must.Eq(t, http.StatusServiceUnavailable, connect())
}
