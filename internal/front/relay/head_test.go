package relay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// The sizes of the chunks counted as a part of the body.
func TestChunksOfHTTP10AreRejected(t *testing.T) {
	const chunks = "4\r\nbody\r\n0\r\n\r\n"
	for _, head := range []string{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nX-Other: 1\r\ntransfer-encoding:chunked\r\n\r\n",
		"HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 16\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		u, err := fake.NewScriptedUpstream(func(*http.Request) fake.Answer { return fake.Answer{Bytes: head + chunks, End: fake.CloseConn} })
		must.NoError(t, err)
		t.Cleanup(u.Close)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+u.Address(), nil)
		must.NoError(t, err)
		res, err := NewPool(DialTCP).DoOnce(req)
		if err == nil {
			_ = res.Body.Close()
		}
		must.ErrorIs(t, err, bound.ErrFraming, must.Sprint(head))
	}
}

// send sends requests over one pool and returns the first error.
func send(t *testing.T, pool *Pool, address string, requests int) error {
	t.Helper()
	for range requests {
		trace := &httptrace.ClientTrace{Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil }}
		req, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodGet, "http://"+address, nil)
		must.NoError(t, err)
		res, err := pool.Do(req)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, res.Body)
		must.NoError(t, err)
		must.NoError(t, res.Body.Close())
	}
	return nil
}

func scripted(t *testing.T, text string, end fake.End) string {
	t.Helper()
	u, err := fake.NewScriptedUpstream(func(*http.Request) fake.Answer { return fake.Answer{Bytes: text, End: end} })
	must.NoError(t, err)
	t.Cleanup(u.Close)
	return u.Address()
}

const emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// net/http limits each informational response, but not their number.
func TestInformationalResponsesWithoutEndAreCutOff(t *testing.T) {
	const hint = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	must.NoError(t, send(t, NewPool(DialTCP), scripted(t, strings.Repeat(hint, 10)+emptyResponse, fake.KeepOpen), 3))
	must.ErrorIs(t, send(t, NewPool(DialTCP), scripted(t, strings.Repeat(hint, 100_000)+emptyResponse, fake.KeepOpen), 1), bound.ErrTooLong)
	long := "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 10_000) + "\r\n\r\n"
	must.ErrorIs(t, send(t, NewPool(DialTCP), scripted(t, strings.Repeat(long, 10)+emptyResponse, fake.KeepOpen), 1), bound.ErrTooLong)
}

func TestFramingIsCheckedAfterAnInformationalResponse(t *testing.T) {
	text := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	must.ErrorIs(t, send(t, NewPool(DialTCP), scripted(t, text, fake.CloseConn), 1), bound.ErrFraming)
}

// Only the first response on a connection was looked at.
func TestLaterResponsesOnAConnectionAreChecked(t *testing.T) {
	answers := 0
	u, err := fake.NewScriptedUpstream(func(*http.Request) fake.Answer {
		if answers++; answers == 1 {
			return fake.Answer{Bytes: emptyResponse, End: fake.KeepOpen}
		}
		return fake.Answer{Bytes: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", End: fake.CloseConn}
	})
	must.NoError(t, err)
	t.Cleanup(u.Close)
	pool := NewPool(DialTCP)
	must.NoError(t, send(t, pool, u.Address(), 1))
	must.ErrorIs(t, send(t, pool, u.Address(), 1), bound.ErrFraming)
}

// A head of many short lines takes far more memory than its bytes.
func TestLinesOfAHeadAreLimited(t *testing.T) {
	lines := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "x-%d: y\r\n", i)
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + b.String() + "\r\n"
	}
	must.NoError(t, send(t, NewPool(DialTCP), scripted(t, lines(200), fake.KeepOpen), 2))
	must.ErrorIs(t, send(t, NewPool(DialTCP), scripted(t, lines(5000), fake.KeepOpen), 1), bound.ErrTooLong)
}

// Guards against answers whose heads are none, which net/http accepts.
func TestSpoiltHeadsAreRejected(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1  200 OK\r\n", "HTTP/1.1 200 OK\r\nX Foo: a\r\n", "HTTP/1.1 200 OK\r\nX-Foo : a\r\n",
		"HTTP/1.1 200 OK\r\nX-Foo: a\r\n X-Bar: b\r\n", "HTTP/1.1 103 Early Hints\r\nX Foo: a\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		must.ErrorIs(t, send(t, NewPool(DialTCP), scripted(t, head+"Content-Length: 0\r\n\r\n", fake.CloseConn), 1), bound.ErrMalformed, must.Sprint(head))
	}
}
