package relay

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

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
		must.ErrorIs(t, err, errFraming, must.Sprint(head))
	}
}

func TestCutHead(t *testing.T) {
	const head = "HTTP/1.0 200 OK\r\nA: b\r\n"
	for n := range len(head) + len("\r") {
		_, whole := cutHead([]byte((head + "\r\n")[:n]))
		must.False(t, whole)
	}
	got, whole := cutHead([]byte(head + "\r\nTransfer-Encoding: chunked\r\n\r\n"))
	must.True(t, whole)
	must.Eq(t, head, string(got))
	must.False(t, isWronglyFramed(got))
	must.False(t, isWronglyFramed([]byte(strings.Replace(head, "A", "Transfer-Encoding", 1)[len("HTTP/1.0"):])))
	must.True(t, isWronglyFramed([]byte(strings.Replace(head, "A", "Transfer-Encoding", 1))))
}
