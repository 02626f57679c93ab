package edge

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// The sizes of chunks were forwarded as a part of an HTTP/1.0 answer.
func TestAnswersOfAnotherVersionAreMalformed(t *testing.T) {
	for name, call := range map[string]fake.Call{"book": newCall(http.MethodPost, fake.BookPath+"1"), "stream": newPromptCall(fake.BriefPath + "1")} {
		for _, line := range []string{"HTTP/1.0 200 OK", "HTTP/2.0 200 OK"} {
			for framing, rest := range map[string]string{
				"chunks":            "Transfer-Encoding: chunked\r\n\r\n15\r\n" + events(1, 1) + "\r\n0\r\n\r\n",
				"chunks and length": "Transfer-Encoding: chunked\r\nContent-Length: 32\r\n\r\n15\r\n" + events(1, 1) + "\r\n0\r\n\r\n",
				"neither":           "\r\n" + events(1, 1),
				"length":            "Content-Length: 21\r\n\r\n" + events(1, 1),
			} {
				t.Run(name+" "+line+" "+framing, func(t *testing.T) {
					t.Parallel()
					s := &script{first: fake.Answer{Bytes: fake.SignedHead(line) + rest, End: fake.CloseConn}}
					reply := startScriptedSite(t, s).send(t, call)
					if line == "HTTP/1.0 200 OK" && (framing == "neither" || framing == "length") {
						must.Eq(t, http.StatusOK, reply.Status)
						must.Eq(t, events(1, 1), reply.Body)
						must.True(t, reply.Complete)
						return
					}
					must.Eq(t, http.StatusBadGateway, reply.Status, must.Sprint(reply.Body))
					must.StrNotContains(t, reply.Body, "token")
				})
			}
		}
	}
}
