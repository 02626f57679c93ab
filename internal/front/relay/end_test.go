package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// Bodies that ended because their upstream was killed counted as whole.
func TestResponsesThatEndWithTheirConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name   string
		method string
		answer fake.Answer
		whole  bool
	}{
		{"whole", http.MethodGet, fake.Answer{Bytes: head + "\r\nbody", End: fake.CloseConn}, true},
		{"killed", http.MethodGet, fake.Answer{Bytes: head + "\r\nbody", End: fake.Exit}, false},
		{"reset", http.MethodGet, fake.Answer{Bytes: head + "\r\nbody", End: fake.ResetConn}, false},
		{"empty", http.MethodGet, fake.Answer{Bytes: head + "\r\n", End: fake.CloseConn}, false},
		{"HTTP/1.0", http.MethodGet, fake.Answer{Bytes: "HTTP/1.0 200 OK\r\n\r\nbody", End: fake.CloseConn}, true},
		{"HTTP/1.0, killed", http.MethodGet, fake.Answer{Bytes: "HTTP/1.0 200 OK\r\n\r\nbody", End: fake.Exit}, false},
		{"length", http.MethodGet, fake.Answer{Bytes: head + "Content-Length: 4\r\n\r\nbody", End: fake.Exit}, true},
		{"no bytes", http.MethodGet, fake.Answer{Bytes: head + "Content-Length: 0\r\n\r\n", End: fake.Exit}, true},
		{"chunks", http.MethodGet, fake.Answer{Bytes: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", End: fake.Exit}, true},
		{"no content", http.MethodGet, fake.Answer{Bytes: "HTTP/1.1 204 No Content\r\n\r\n", End: fake.Exit}, true},
		{"not modified", http.MethodGet, fake.Answer{Bytes: "HTTP/1.1 304 Not Modified\r\n\r\n", End: fake.Exit}, true},
		{"head only", http.MethodHead, fake.Answer{Bytes: head + "\r\n", End: fake.Exit}, true},
	} {
		for name, do := range map[string]func(*Pool, *http.Request) (*http.Response, error){"pooled": (*Pool).Do, "once": (*Pool).DoOnce} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				u, err := fake.NewScriptedUpstream(func(*http.Request) fake.Answer { return c.answer })
				must.NoError(t, err)
				t.Cleanup(u.Close)
				req, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+u.Address(), nil)
				must.NoError(t, err)
				res, err := do(NewPool(DialTCP), req)
				must.NoError(t, err)
				_, err = io.ReadAll(res.Body)
				_ = res.Body.Close()
				must.Eq(t, c.whole, err == nil, must.Sprint(err))
			})
		}
	}
}

// Guards against parts of answers that count as whole: an upstream answered a long upload at once, without a length, and reset the
// connection, and the write of the upload took the error.
func TestEarlyAnswersThatAreResetHaveNoKnownEnd(t *testing.T) {
	for name, do := range map[string]func(*Pool, *http.Request) (*http.Response, error){"pooled": (*Pool).Do, "once": (*Pool).DoOnce} {
		for _, pause := range []time.Duration{2 * time.Millisecond, 60 * time.Millisecond} {
			t.Run(name+" "+pause.String(), func(t *testing.T) {
				u, err := fake.NewScriptedUpstream(func(*http.Request) fake.Answer {
					return fake.Answer{Bytes: "HTTP/1.1 200 OK\r\n\r\nbody", Pause: pause, End: fake.ResetConn}
				})
				must.NoError(t, err)
				u.Early = true
				t.Cleanup(u.Close)
				pool := NewPool(DialTCP)
				for range 8 {
					req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+u.Address(), strings.NewReader(strings.Repeat("x", 4<<20)))
					must.NoError(t, err)
					res, err := do(pool, req)
					if err != nil {
						continue
					}
					_, err = io.ReadAll(res.Body)
					_ = res.Body.Close()
					must.Error(t, err)
				}
			})
		}
	}
}
