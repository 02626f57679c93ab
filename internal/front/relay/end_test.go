package relay

import (
	"io"
	"net/http"
	"testing"

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
