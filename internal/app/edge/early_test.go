package edge

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

const (
	// longBody is more than the kernel holds of what an upstream does not read.
	longBody = 4 << 20
	// earlyTries is the number of requests to each upstream: whether a read or a write gets the error of a reset is not determined.
	earlyTries = 8
)

// Guards against parts of answers that are given to the caller as whole (MIXED): an upstream answered a long upload at once, without a
// length, and reset the connection; the write of the upload took the error, so that the answer seemed to have ended.
func TestEarlyAnswersThatAreResetAreIncomplete(t *testing.T) {
	for name, c := range map[string]struct {
		call func() fake.Call
		head string
	}{
		"book":             {newBookCall, fake.SignedHead("HTTP/1.1 200 OK") + "\r\n"},
		"book of HTTP/1.0": {newBookCall, fake.SignedHead("HTTP/1.0 200 OK") + "\r\n"},
		"stream":           {func() fake.Call { return newPromptCall(fake.BriefPath + "1") }, fake.SignedHead("HTTP/1.1 200 OK") + "\r\n"},
	} {
		for way, relayed := range map[string]bool{"direct": false, "through another instance": true} {
			t.Run(name+" "+way, func(t *testing.T) {
				t.Parallel()
				s, routers, paths := startCutSite(t, 1, 1, 2)
				var tries atomic.Int64
				for _, u := range s.Upstreams() {
					answerEarly(t, s, u, routers, func(*http.Request) fake.Answer {
						pause := []time.Duration{2 * time.Millisecond, 60 * time.Millisecond}[tries.Add(1)%2]
						return fake.Answer{Bytes: c.head + events(1, 5), Pause: pause, End: fake.ResetConn}
					})
				}
				if relayed {
					paths[0].set(cutRefuse)
				}
				for range earlyTries {
					call := c.call()
					call.Body = strings.Repeat("x", longBody)
					call.Deadline = 2000
					reply := routers[0].send(t, call)
					must.False(t, reply.Status == http.StatusOK && reply.Complete)
				}
				must.Positive(t, tries.Load())
			})
		}
	}
}

// answerEarly replaces an upstream by one that answers uploads before it has read them, and waits until the routers know it.
func answerEarly(t *testing.T, s *fake.Site, u *fake.Upstream, routers []*router, answer func(*http.Request) fake.Answer) {
	t.Helper()
	scripted := registerScripted(t, s, u, answer)
	scripted.Early = true
	s.MaxBody = 8 << 20
	s.PublishDocument()
	for _, r := range routers {
		eventually(t, "the document and the address are in force", func() bool {
			return r.replica.Document().Limits.BodyBytes == s.MaxBody && r.fleet.ServiceAt(scripted.Address()) != ""
		})
	}
}

// An answer that ends soundly before the upstream has read the upload is whole.
func TestEarlyAnswersThatEndAreComplete(t *testing.T) {
	s, r := startSite(t, 1, 1)
	answerEarly(t, s, s.Jobs[0], []*router{r}, func(*http.Request) fake.Answer {
		return fake.Answer{Bytes: fake.SignedHead("HTTP/1.1 200 OK") + "Content-Length: 4\r\n\r\ndone", Pause: time.Millisecond, End: fake.ResetConn}
	})
	call := newBookCall()
	call.Body = strings.Repeat("x", longBody)
	reply := r.send(t, call)
	must.Eq(t, http.StatusOK, reply.Status)
	must.Eq(t, "done", reply.Body)
}

// Guards against answers whose heads are none (MIXED): what net/http makes of a blank in a name or before the status was passed on, a length
// or chunks not understood as such among them.
func TestSpoiltHeadsAreNoAnswers(t *testing.T) {
	const ok, framing = "HTTP/1.1 200 OK", "Content-Length: 21\r\n\r\n"
	for name, head := range map[string]string{
		"status 000":                  fake.SignedHead("HTTP/1.1 000 OK") + framing,
		"status 099":                  fake.SignedHead("HTTP/1.1 099 OK") + framing,
		"status +20":                  fake.SignedHead("HTTP/1.1 +20 OK") + framing,
		"status of four digits":       fake.SignedHead("HTTP/1.1 2000 OK") + framing,
		"two blanks before status":    fake.SignedHead("HTTP/1.1  200 OK") + framing,
		"control byte in the reason":  fake.SignedHead("HTTP/1.1 200 O\x01K") + framing,
		"blank in a name":             fake.SignedHead(ok) + "X Foo: a\r\n" + framing,
		"blank before the colon":      fake.SignedHead(ok) + "X-Foo : a\r\n" + framing,
		"tab in a name":               fake.SignedHead(ok) + "X\tFoo: a\r\n" + framing,
		"control byte in a name":      fake.SignedHead(ok) + "X\x01Foo: a\r\n" + framing,
		"blank before a name":         fake.SignedHead(ok) + " X-Foo: a\r\n" + framing,
		"no name":                     fake.SignedHead(ok) + ": a\r\n" + framing,
		"blank after the length":      fake.SignedHead(ok) + "Content-Length : 5\r\n\r\n",
		"blank before the length":     fake.SignedHead(ok) + " Content-Length: 5\r\n\r\n",
		"blank after the encoding":    fake.SignedHead(ok) + "Transfer-Encoding : chunked\r\n\r\n15\r\n",
		"blank in a name, HTTP/1.0":   fake.SignedHead("HTTP/1.0 200 OK") + "X Foo: a\r\n" + framing,
		"blank in an interim answer":  "HTTP/1.1 103 Early Hints\r\nX Foo: a\r\n\r\n" + fake.SignedHead(ok) + framing,
		"status 000 after an interim": "HTTP/1.1 103 Early Hints\r\n\r\n" + fake.SignedHead("HTTP/1.1 000 OK") + framing,
	} {
		checkSpoilt(t, name, head+events(1, 1))
	}
	chunks := fake.SignedHead(ok) + "Transfer-Encoding: chunked\r\n\r\n15\r\n" + events(1, 1) + "\r\n0\r\n"
	checkSpoilt(t, "blank in a name of the trailer", chunks+"X Foo: a\r\n\r\n")
	checkSpoilt(t, "blank after a name of the trailer", chunks+"X-Foo : a\r\n\r\n")
}

// checkSpoilt checks that an answer is not given to callers.
func checkSpoilt(t *testing.T, name, bytes string) {
	t.Helper()
	for route, call := range map[string]fake.Call{"book": newCall(http.MethodPost, fake.BookPath+"1"), "stream": newPromptCall(fake.BriefPath + "1")} {
		t.Run(name+", "+route, func(t *testing.T) {
			t.Parallel()
			s := &script{first: fake.Answer{Bytes: bytes, End: fake.CloseConn}}
			reply := startScriptedSite(t, s).send(t, call)
			must.False(t, reply.Status == http.StatusOK && reply.Complete, must.Sprint(reply.Body))
		})
	}
}
