package edge

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// An event that was cut within its first line was not missed when the stream was taken up without it.
func TestEventCutInItsFirstLineIsMissed(t *testing.T) {
	s, r := startSite(t, 2, 1)
	registerScripted(t, s, s.Engines[1], func(*http.Request) fake.Answer { return fake.Answer{Bytes: chunkedHead + "0\r\n\r\n"} })
	scriptedEngine(t, s, r, fake.Answer{Bytes: unboundedHead + events(1, 2) + "idHTTP/1.1 500 Internal Server Error\r\n\r\n", End: fake.CloseConn})
	reply := r.send(t, newPromptCall(fake.QuotePath+"1"))
	must.Eq(t, events(1, 2), reply.Body)
	must.False(t, reply.Complete)
}

// The sizes of chunks of a response of HTTP/1.0, which has none, were given out as a part of the body.
func TestChunksOfHTTP10AreNoBody(t *testing.T) {
	s, r := startSite(t, 1, 1)
	head := fake.SignedHead("HTTP/1.0 200 OK") + "Transfer-Encoding: chunked\r\n\r\n"
	scripted := registerScripted(t, s, s.Jobs[0], func(*http.Request) fake.Answer {
		return fake.Answer{Bytes: head + chunk("whole") + "0\r\n\r\n", End: fake.CloseConn}
	})
	eventually(t, "the request reaches the upstream", func() bool {
		reply := r.send(t, newCall(http.MethodPost, fake.BookPath+"1"))
		if len(scripted.Requests()) == 0 {
			return false
		}
		must.StrNotContains(t, reply.Body, "5\r\nwhole")
		return true
	})
}
