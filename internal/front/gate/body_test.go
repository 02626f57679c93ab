package gate

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/front/caller"
)

const testBodyBytes = 100_000

// serveBodies starts a server that answers with the number of bytes of each body, and returns its address and its callers.
func serveBodies(t *testing.T, limits caller.Limits) (string, *caller.Conns) {
	t.Helper()
	g := NewGate(nil, nil, 1<<16, testBodyBytes)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := g.ReadBody(w, r)
		if err == nil {
			err = g.Reserve(r, int64(len(body)))
		}
		if err != nil {
			fault.Write(w, err)
			return
		}
		_, _ = w.Write(body[:min(len(body), 10)])
	}))
	conns := caller.New(limits, logr.Discard(), tally.NoopScope)
	server.Listener = conns.Listener(server.Config, server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), conns
}

// ask sends raw bytes and returns the response.
func ask(t *testing.T, address, raw string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, raw)
	must.NoError(t, err)
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	must.NoError(t, err)
	if res.StatusCode == http.StatusContinue {
		res, err = http.ReadResponse(r, nil)
		must.NoError(t, err)
	}
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	return res, string(body)
}

func TestBodies(t *testing.T) {
	address, conns := serveBodies(t, caller.Limits{Connections: 100, Bytes: 10 << 20, BodyTimeout: 50 * time.Millisecond, WriteTimeout: time.Minute})
	const head = "POST / HTTP/1.1\r\nHost: x\r\n"
	full, over := strings.Repeat("x", testBodyBytes), strings.Repeat("x", testBodyBytes+1)
	for _, c := range []struct {
		name, raw string
		status    int
		body      string
	}{
		{"no body", head + "\r\n", 200, ""},
		{"length", head + "Content-Length: 5\r\n\r\nhello", 200, "hello"},
		{"length at the limit", head + "Content-Length: 100000\r\n\r\n" + full, 200, "xxxxxxxxxx"},
		{"length over the limit", head + "Content-Length: 100001\r\n\r\n" + over, 413, ""},
		{"length far over the limit, announced only", head + "Content-Length: 99999999999\r\n\r\n", 413, ""},
		{"chunk", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 200, "hello"},
		{"chunk at the limit", head + "Transfer-Encoding: chunked\r\n\r\n186a0\r\n" + full + "\r\n0\r\n\r\n", 200, "xxxxxxxxxx"},
		{"chunk over the limit", head + "Transfer-Encoding: chunked\r\n\r\n186a1\r\n" + over + "\r\n0\r\n\r\n", 413, ""},
		{"chunk of any size, stalled", head + "Transfer-Encoding: chunked\r\n\r\nffffffff\r\nhello", 408, ""},
		{"chunks with extensions and trailers", head + "Trailer: Done\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nhe\r\n3;c\r\nllo\r\n0\r\nDone: yes\r\n\r\n", 200, "hello"},
		{"chunk of a wrong size", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello", 400, ""},
		{"expects to go on", head + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\nhello", 200, "hello"},
		{"expects to go on, over the limit", head + "Expect: 100-continue\r\nContent-Length: 100001\r\n\r\n", 413, ""},
		{"stalled", head + "Content-Length: 5\r\n\r\nhell", 408, ""},
		{"stalled at once", head + "Content-Length: 5\r\n\r\n", 408, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			res, body := ask(t, address, c.raw)
			must.Eq(t, c.status, res.StatusCode, must.Sprint(body))
			if c.status == http.StatusOK {
				must.Eq(t, c.body, body)
				return
			}
			must.Eq(t, string(fault.RanNo), res.Header.Get(fault.HeaderRan))
		})
	}
	must.Eq(t, 0, conns.Taken())
}

// A small body needs nothing from the account, and a large one is refused as not run while those in it go on.
func TestBodiesWithoutRoom(t *testing.T) {
	address, _ := serveBodies(t, caller.Limits{Connections: 100, Bytes: 50_000, BodyTimeout: time.Minute, WriteTimeout: time.Minute})
	res, body := ask(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello")
	must.Eq(t, 200, res.StatusCode)
	must.Eq(t, "hello", body)
	res, _ = ask(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 90000\r\n\r\n"+strings.Repeat("x", 90_000))
	must.Eq(t, 503, res.StatusCode)
	must.Eq(t, "overloaded", res.Header.Get(fault.HeaderKind))
	must.Eq(t, "not run", res.Header.Get(fault.HeaderRan))
	must.Eq(t, "1", res.Header.Get("Retry-After"))
}

// Memory is taken for what has arrived, not for what was announced.
func TestAnnouncedBodyTakesNothing(t *testing.T) {
	address, conns := serveBodies(t, caller.Limits{Connections: 100, Bytes: 50_000, BodyTimeout: 50 * time.Millisecond, WriteTimeout: time.Minute})
	res, _ := ask(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\nhello")
	must.Eq(t, 408, res.StatusCode)
	must.Eq(t, 0, conns.Taken())
}
