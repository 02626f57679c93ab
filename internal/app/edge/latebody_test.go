package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// A late response was forwarded as a part of a buffered answer without a length.
func TestLateResponseIsNoPartOfABody(t *testing.T) {
	whole := openHead + "whole"
	other := strings.Replace(openHead, fake.IDMark, "another", 1)
	for name, bytes := range map[string]string{
		"the same answer":     whole + whole,
		"another answer":      whole + other + "other",
		"without a body":      openHead + openHead,
		"with a length":       whole + withLength("whole"),
		"in chunks":           whole + inChunks("whole"),
		"cut in the body":     whole + openHead + "who",
		"cut after the id":    whole + openHead[:len("HTTP/1.1 200 OK\r\nX-Attempt-Identifier: {id}")],
		"cut after the line":  whole + "HTTP/1.1 200 OK\r\n",
		"cut in a header":     whole + "HTTP/1.1 200 OK\r\nX-Att",
		"error":               whole + fake.SignedHead("HTTP/1.1 500 Internal Server Error") + "\r\nfailed",
		"bare error":          whole + "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfailed",
		"unsigned error":      whole + "HTTP/1.1 503 Full\r\n" + fake.HeaderID + ": other\r\n" + fake.HeaderNotRun + ": 1\r\n\r\n",
		"interim":             whole + "HTTP/1.1 100 Continue\r\n\r\n" + whole,
		"only interim":        whole + "HTTP/1.1 103 Early Hints\r\n\r\n",
		"after an error":      strings.Replace(whole, "200 OK", "404 Not Found", 1) + whole,
		"lines end with LF":   whole + strings.ReplaceAll(whole, "\r\n", "\n"),
		"after a false start": openHead + "HTTP/1.1 HTTP/1.1 200 \r\n\r\n" + whole,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, call := range []fake.Call{newLookCall(), newCall(http.MethodPost, fake.BookPath+"1")} {
				s := &script{first: fake.Answer{Bytes: bytes, End: fake.CloseConn}, body: "whole"}
				r := startScriptedSite(t, s)
				reply := r.send(t, call)
				if call.Path != fake.BookPath+"1" {
					must.Eq(t, http.StatusOK, reply.Status)
					must.Eq(t, "whole", reply.Body)
					must.Eq(t, 2, s.sends())
					continue
				}
				must.Eq(t, http.StatusBadGateway, reply.Status)
				must.False(t, reply.Signed)
				must.StrNotContains(t, reply.Body, "whole")
				must.Eq(t, 1, s.sends())
			}
		})
	}
}

// Guards against bodies that are taken for late responses: each of these is forwarded byte for byte.
func TestBodiesOfAllFormsAreForwarded(t *testing.T) {
	for name, bytes := range map[string]string{
		"names the protocol": openHead + "HTTP/1.1",
		"a status line":      openHead + "the server said HTTP/1.1 200 OK",
		"a quoted head":      openHead + "HTTP/1.1 200 OK\nContent-Length: 5\n\nwhole",
		"no header lines":    openHead + "HTTP/1.1 200 OK\r\n{\"a\": 1}\r\n\r\n",
		"text of an id":      openHead + fake.HeaderID + ": 1\r\nHTTP/1.1 200\r\n\r\n",
		"a length":           withLength("HTTP/1.1 200 OK\r\n" + fake.HeaderID + ": 1\r\n\r\n"),
		"chunks":             inChunks("HTTP/1.1 200 OK\r\n" + fake.HeaderID + ": 1\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &script{first: fake.Answer{Bytes: bytes, End: fake.CloseConn}}
			reply := startScriptedSite(t, s).send(t, newCall(http.MethodPost, fake.BookPath+"1"))
			must.Eq(t, http.StatusOK, reply.Status)
			if strings.HasPrefix(bytes, openHead) {
				must.Eq(t, strings.TrimPrefix(bytes, openHead), reply.Body)
			}
			must.True(t, reply.Signed)
		})
	}
}

// A success without a length whose connection closed after the head was answered as a complete, empty one.
func TestSuccessWithoutLengthOrBodyIsBroken(t *testing.T) {
	for _, call := range []fake.Call{newLookCall(), newCall(http.MethodPost, fake.BookPath+"1")} {
		s := &script{first: fake.Answer{Bytes: fake.SignedHead("HTTP/1.1 200 OK") + "Connection: close\r\n\r\n", End: fake.CloseConn}, body: "whole"}
		reply := startScriptedSite(t, s).send(t, call)
		if call.Path == fake.BookPath+"1" {
			must.Eq(t, http.StatusBadGateway, reply.Status)
			must.Eq(t, 1, s.sends())
			continue
		}
		must.Eq(t, http.StatusOK, reply.Status)
		must.Eq(t, "whole", reply.Body)
	}
}

// Guards against answers without a body that are taken for broken ones.
func TestAnswersThatShowThatTheyAreEmpty(t *testing.T) {
	for name, bytes := range map[string]string{
		"no content":   fake.SignedHead("HTTP/1.1 204 No Content") + "\r\n",
		"length":       withLength(""),
		"chunks":       fake.SignedHead("HTTP/1.1 200 OK") + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"not found":    fake.SignedHead("HTTP/1.1 404 Not Found") + "Connection: close\r\n\r\n",
		"not modified": fake.SignedHead("HTTP/1.1 304 Not Modified") + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &script{first: fake.Answer{Bytes: bytes, End: fake.CloseConn}}
			reply := startScriptedSite(t, s).send(t, newCall(http.MethodPost, fake.BookPath+"1"))
			must.StrContains(t, bytes, fmt.Sprintf("HTTP/1.1 %d ", reply.Status))
			must.Eq(t, "", reply.Body)
			must.True(t, reply.Signed)
		})
	}
}
