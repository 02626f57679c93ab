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

// Bytes that are no answer were quoted in the router's error response.
func TestBytesThatAreNoAnswerAreNotQuoted(t *testing.T) {
	for _, bytes := range []string{
		"secretword\r\n\r\n", "HTTP/1.1 secretword\r\n\r\n", "secretword/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nsecretword\r\n\r\n",
		"HTTP/1.1 200 OK\r\n secretword: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: secretword\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: secretword\r\n\r\n",
		fake.SignedHead("HTTP/1.1 200 OK") + "Transfer-Encoding: chunked\r\n\r\n0\r\nsecretword\r\n\r\n",
		fake.SignedHead("HTTP/1.1 200 OK") + "Content-Length: 1\r\nContent-Length: 2\r\nX: secretword\r\n\r\n",
	} {
		t.Run(bytes, func(t *testing.T) {
			t.Parallel()
			s := &script{first: fake.Answer{Bytes: bytes, End: fake.CloseConn}}
			reply := startScriptedSite(t, s).send(t, newCall(http.MethodPost, fake.BookPath+"1"))
			must.Eq(t, http.StatusBadGateway, reply.Status)
			must.StrNotContains(t, reply.Body, "secretword")
		})
	}
}
