package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// script answers the first request with the given bytes, and later ones with what remains of a whole answer.
type script struct {
	mu sync.Mutex
	// first is the answer to the first request.
	first fake.Answer
	// body is the body of a whole answer to a look-up.
	body string
	sent int
}

func (s *script) answer(r *http.Request) fake.Answer {
	if r.Header.Get(fake.HeaderID) == "" {
		return fake.Answer{Bytes: "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent++; s.sent == 1 {
		return s.first
	}
	body := s.body
	if r.Header.Get("X-Model") != "" {
		last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if err != nil {
			last = 0
		}
		body = events(last+1, 5)
	}
	return fake.Answer{Bytes: fake.SignedHead("HTTP/1.1 200 OK") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)}
}

// sends returns the number of requests that callers' requests led to.
func (s *script) sends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// startScriptedSite starts a site whose two engines and two plain services follow one script.
func startScriptedSite(t *testing.T, s *script) *router {
	t.Helper()
	site := newSite(t, 2, 2)
	for _, u := range site.Upstreams() {
		scripted, err := fake.NewScriptedUpstream(s.answer)
		must.NoError(t, err)
		t.Cleanup(scripted.Close)
		site.RegisterAt(u, scripted.Address())
	}
	r := startRouter(t, testSettings(t, site))
	eventually(t, "ready", r.isReady)
	return r
}

// openHead is the head of a signed answer without a length or chunks.
var openHead = fake.SignedHead("HTTP/1.1 200 OK") + "\r\n"

// inChunks returns an answer whose body is sent in one chunk.
func inChunks(body string) string {
	return fake.SignedHead("HTTP/1.1 200 OK") + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// withLength returns an answer whose body has a length.
func withLength(body string) string {
	return fake.SignedHead("HTTP/1.1 200 OK") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// errorHead is the head of an unsigned error response.
const errorHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n"

// checkBrokenAfter checks that a stream whose upstream has sent the given bytes goes on at another upstream after some events, or ends
// after them without looking complete.
func checkBrokenAfter(t *testing.T, bytes string, last int) {
	t.Helper()
	for _, path := range []string{fake.QuotePath, fake.BriefPath} {
		s := &script{first: fake.Answer{Bytes: bytes, End: fake.CloseConn}}
		r := startScriptedSite(t, s)
		reply := r.send(t, newPromptCall(path+"1"))
		if path == fake.QuotePath {
			must.Eq(t, events(1, 5), reply.Body)
			must.True(t, reply.Complete)
			must.Eq(t, 2, s.sends())
			continue
		}
		must.Eq(t, events(1, last), reply.Body)
		must.False(t, reply.Complete)
		must.Eq(t, 1, s.sends())
	}
}

// framings make answers of a body, with each way to show where it ends and with none.
var framings = map[string]func(body string) string{
	"chunks": inChunks, "length": withLength, "neither": func(body string) string { return openHead + body },
}

// The head of a late response was forwarded as an event of a stream without a length, which then counted as complete.
func TestLateResponseIsNoEvent(t *testing.T) {
	second := fake.SignedHead("HTTP/1.1 200 OK")
	for name, late := range map[string]string{
		"error":                   errorHead + "Content-Length: 0\r\n\r\n",
		"error with a body":       errorHead + "Content-Length: 6\r\n\r\nfailed",
		"error with an event":     errorHead + "\r\nid: 4\ndata: token 4\n\n",
		"second answer":           second + "\r\n" + events(1, 5),
		"second answer in chunks": second + "Transfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n0\r\n\r\n",
		"cut head":                second[:40],
		"interim":                 "HTTP/1.1 100 Continue\r\n\r\n" + openHead + events(4, 5),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkBrokenAfter(t, openHead+events(1, 3)+late, 3)
		})
	}
}

// The text of an error within a stream was forwarded as an event.
func TestTextIsNoEvent(t *testing.T) {
	for name, answer := range framings {
		for _, text := range []string{"internal error", "internal error\n\n", "\n\n{\"error\":\"out of memory\"}\n"} {
			t.Run(fmt.Sprintf("%s, %q", name, text), func(t *testing.T) {
				t.Parallel()
				checkBrokenAfter(t, answer(events(1, 3)+text+events(4, 5)), 3)
			})
		}
	}
}

// Guards against events that are taken for text: each of these streams is forwarded byte for byte.
func TestEventsOfAllFormsAreForwarded(t *testing.T) {
	for name, body := range map[string]string{
		"change of weights": "id: 1\ndata: a\n\nx-weight-versions: 2\nid: 2\ndata: b\n\n",
		"gaps":              "id: 1\ndata: a\n\nid: 7\ndata: b\ndata: c\n\nid: 30\ndata: d\n\n",
		"comments":          ": start\n\nid: 1\ndata: a\n\n: still here\n\nretry: 100\n\n:\n\nid: 2\ndata: b\n\n",
		"other fields":      "X_field-1: y\r\nevent: token\r\nid:1\r\ndata\r\ndata:\r\n\r\n",
		"without ids":       "data: a\n\ndata: b\n\nid: 1\ndata: c\n\n",
		"heads in the text": "id: 1\ndata: HTTP/1.1 200 OK\ndata: Content-Length: 0\ndata:\n\nid: 2\ndata: HTTP/1.1 500 x\r\n\r\n",
	} {
		for framing, answer := range framings {
			t.Run(name+" "+framing, func(t *testing.T) {
				t.Parallel()
				s := &script{first: fake.Answer{Bytes: answer(body), End: fake.CloseConn}}
				reply := startScriptedSite(t, s).send(t, newPromptCall(fake.BriefPath+"1"))
				must.Eq(t, body, reply.Body)
				must.True(t, reply.Complete)
			})
		}
	}
}

// A request whose upstreams write bytes that are no answer, and run on, is not refused as one that crashes upstreams.
func TestBytesThatAreNoAnswerAreNoCrash(t *testing.T) {
	s := newSite(t, 1, 1)
	scripted, err := fake.NewScriptedUpstream(func(*http.Request) fake.Answer {
		return fake.Answer{Bytes: withLength("internal error\n\n")}
	})
	must.NoError(t, err)
	t.Cleanup(scripted.Close)
	s.RegisterAt(s.Engines[0], scripted.Address())
	r := startRouter(t, testSettings(t, s))
	eventually(t, "ready", r.isReady)
	for i := range maxCrashes + 1 {
		c := newPromptCall(fake.BriefPath + "1")
		c.ID = "thesameprompt"
		must.Eq(t, http.StatusBadGateway, r.send(t, c).Status, must.Sprint(i))
	}
}

// Events without an id, or with one that is not higher than that of the event before, were forwarded or passed over as if the stream
// were sound.
func TestEventOutOfOrderBreaksTheStream(t *testing.T) {
	for name, answer := range framings {
		for _, text := range []string{"event: error\ndata: out of memory\n\n", "id: 3\ndata: token 3\n\n"} {
			t.Run(fmt.Sprintf("%s, %q", name, text), func(t *testing.T) {
				t.Parallel()
				checkBrokenAfter(t, answer(events(1, 3)+text+events(4, 5)), 3)
			})
		}
	}
}

// Events without an id that came from the upstream that took up a stream were forwarded.
func TestEventWithoutIDAfterTakeUpIsNoEvent(t *testing.T) {
	s := &script{first: fake.Answer{Bytes: openHead + events(1, 3) + "id: 4\nda", End: fake.CloseConn}}
	site := newSite(t, 2, 1)
	for _, u := range site.Engines {
		scripted, err := fake.NewScriptedUpstream(func(r *http.Request) fake.Answer {
			if r.Header.Get("Last-Event-Id") != "" {
				return fake.Answer{Bytes: withLength("data: token 4\n\ndata: token 5\n\n")}
			}
			return s.answer(r)
		})
		must.NoError(t, err)
		t.Cleanup(scripted.Close)
		site.RegisterAt(u, scripted.Address())
	}
	r := startRouter(t, testSettings(t, site))
	eventually(t, "ready", r.isReady)
	reply := r.send(t, newPromptCall(fake.QuotePath+"1"))
	must.Eq(t, events(1, 3), reply.Body)
	must.False(t, reply.Complete)
}

// The head of a response within an event that its upstream had not finished was forwarded as a part of the event.
func TestLateResponseWithinAnEventIsNoEvent(t *testing.T) {
	for name, late := range map[string]string{
		"within an event":                   "id: 4\ndata: tok" + openHead + events(4, 5),
		"within an event, after a line":     "id: 4\n" + openHead + events(4, 5),
		"error within an event":             "id: 4\ndata: tok" + fake.SignedHead("HTTP/1.1 500 Internal Server Error") + "\r\n",
		"after the beginning of a new line": "id: 4\ndata: tok\nda" + openHead + events(4, 5),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkBrokenAfter(t, openHead+events(1, 3)+late, 3)
		})
	}
}
