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
	// earlyTries is how often each answer is tried: which call of the kernel gets the error of a reset is a matter of moments.
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
