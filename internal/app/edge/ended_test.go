package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// scriptedEngine replaces the first engine of a site by one that answers as given. The others get no new streams, but take them up.
func scriptedEngine(t *testing.T, s *fake.Site, r *router, answer fake.Answer) *fake.ScriptedUpstream {
	t.Helper()
	u := registerScripted(t, s, s.Engines[0], func(*http.Request) fake.Answer { return answer })
	eventually(t, "the upstream's address is in force", func() bool { return r.fleet.ServiceAt(u.Address()) != "" })
	for _, other := range s.Engines[1:] {
		r.fleet.SetSwitching(other.ID, time.Now().Add(2*time.Second))
	}
	return u
}

// registerScripted replaces an upstream of a site by one that answers with the given function.
func registerScripted(t *testing.T, s *fake.Site, u *fake.Upstream, answer func(*http.Request) fake.Answer) *fake.ScriptedUpstream {
	t.Helper()
	scripted, err := fake.NewScriptedUpstream(answer)
	must.NoError(t, err)
	t.Cleanup(scripted.Close)
	s.RegisterAt(u, scripted.Address())
	return scripted
}

var (
	unboundedHead = fake.SignedHead("HTTP/1.1 200 OK") + "\r\n"
	chunkedHead   = fake.SignedHead("HTTP/1.1 200 OK") + "Transfer-Encoding: chunked\r\n\r\n"
)

// chunk is one chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// An upstream that is killed closes its connections as at the end of an answer without a length: the part of a stream that it had
// sent was given to the caller as the whole.
func TestStreamOfKilledUpstreamIsIncomplete(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		bytes    string
		end      fake.End
		body     string
		complete bool
	}{
		{"killed, resumable", fake.QuotePath, unboundedHead + events(1, 3), fake.Exit, events(1, 5), true},
		{"killed, not resumable", fake.BriefPath, unboundedHead + events(1, 3), fake.Exit, events(1, 3), false},
		{"killed after the last event, resumable", fake.QuotePath, unboundedHead + events(1, 5), fake.Exit, events(1, 5), false},
		{"reset, resumable", fake.QuotePath, unboundedHead + events(1, 3), fake.ResetConn, events(1, 5), true},
		{"reset, not resumable", fake.BriefPath, unboundedHead + events(1, 3), fake.ResetConn, events(1, 3), false},
		{"ended by the upstream", fake.BriefPath, unboundedHead + events(1, 5), fake.CloseConn, events(1, 5), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, r := startSite(t, 2, 1)
			scriptedEngine(t, s, r, fake.Answer{Bytes: c.bytes, End: c.end})
			reply := r.send(t, newPromptCall(c.path+"1"))
			must.Eq(t, http.StatusOK, reply.Status)
			must.Eq(t, c.body, reply.Body)
			must.Eq(t, c.complete, reply.Complete)
		})
	}
}

// The same with answers that are read to their end before they are forwarded.
func TestResponseOfKilledUpstreamIsNotForwarded(t *testing.T) {
	const whole = "the whole answer"
	for _, c := range []struct {
		name   string
		path   string
		bytes  string
		end    fake.End
		status int
		body   string
	}{
		{"killed, repeatable", fake.LookPath, unboundedHead + whole[:7], fake.Exit, http.StatusOK, "GET "},
		{"killed, not repeatable", fake.BookPath, unboundedHead + whole[:7], fake.Exit, http.StatusBadGateway, ""},
		{"reset, not repeatable", fake.BookPath, unboundedHead + whole[:7], fake.ResetConn, http.StatusBadGateway, ""},
		{"ended by the upstream", fake.BookPath, unboundedHead + whole, fake.CloseConn, http.StatusOK, whole},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, r := startSite(t, 1, 2)
			scripted := registerScripted(t, s, s.Jobs[0], func(*http.Request) fake.Answer { return fake.Answer{Bytes: c.bytes, End: c.end} })
			s.Jobs[1].SetFaults(fake.Faults{Shed: c.path == fake.BookPath})
			eventually(t, "the request reaches the upstream", func() bool {
				method := http.MethodGet
				if c.path == fake.BookPath {
					method = http.MethodPost
				}
				reply := r.send(t, newCall(method, c.path+"1"))
				if len(scripted.Requests()) == 0 {
					return false
				}
				must.Eq(t, c.status, reply.Status, must.Sprint(reply.Body))
				if c.body != "" {
					must.Eq(t, c.body, reply.Body)
				}
				return true
			})
		})
	}
}

// A stream that broke off within an event was taken up at an upstream that sent no event, and ended as if it were complete.
func TestResumptionWithoutTheUnfinishedEventIsIncomplete(t *testing.T) {
	const half = "id: 3\ndata: tok"
	none := fake.Answer{Bytes: chunkedHead + "0\r\n\r\n"}
	for _, c := range []struct {
		name string
		// half is what the first upstream sends of event 3.
		half string
		// second is the answer of the upstream that takes up the stream.
		second   fake.Answer
		body     string
		complete bool
	}{
		{"no event", half, none, events(1, 2), false},
		{"no event after an error's text", half + "\nHTTP/1.1 500 Internal Server Error\r\n\r\n", none, events(1, 2), false},
		{"the events before", half, fake.Answer{Bytes: chunkedHead + chunk(events(1, 2)) + "0\r\n\r\n"}, events(1, 2), false},
		{"the other events", half, fake.Answer{Bytes: chunkedHead + chunk(events(3, 5)) + "0\r\n\r\n"}, events(1, 5), true},
		{"an error", half, fake.Answer{Bytes: fake.SignedHead("HTTP/1.1 500 Internal Server Error") + "Content-Length: 5\r\n\r\nerror"}, events(1, 2), false},
		{"half of a head", half, fake.Answer{Bytes: "HTTP/1.1 200 OK\r\nX-Ser", End: fake.CloseConn}, events(1, 2), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, r := startSite(t, 2, 1)
			registerScripted(t, s, s.Engines[1], func(*http.Request) fake.Answer { return c.second })
			scriptedEngine(t, s, r, fake.Answer{Bytes: chunkedHead + chunk(events(1, 2)+c.half), End: fake.CloseConn})
			reply := r.send(t, newPromptCall(fake.QuotePath+"1"))
			must.Eq(t, c.body, reply.Body)
			must.Eq(t, c.complete, reply.Complete)
		})
	}
}

// A stream was taken up at an upstream that went on behind the next event: the caller missed events without a sign.
func TestResumptionThatSkipsEventsIsIncomplete(t *testing.T) {
	s, r := startSite(t, 2, 1)
	registerScripted(t, s, s.Engines[1], func(*http.Request) fake.Answer {
		return fake.Answer{Bytes: chunkedHead + chunk(events(4, 5)) + "0\r\n\r\n"}
	})
	scriptedEngine(t, s, r, fake.Answer{Bytes: chunkedHead + chunk(events(1, 2)), End: fake.ResetConn})
	reply := r.send(t, newPromptCall(fake.QuotePath+"1"))
	must.Eq(t, events(1, 2), reply.Body)
	must.False(t, reply.Complete)
}

// The same through another instance, which passes on that the connection has ended but not why.
func TestStreamOfKilledUpstreamThroughInstanceIsIncomplete(t *testing.T) {
	for _, c := range []struct {
		name     string
		bytes    string
		end      fake.End
		complete bool
	}{
		{"killed", unboundedHead + events(1, 3), fake.Exit, false},
		{"ended by the upstream", unboundedHead + events(1, 5), fake.CloseConn, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, routers, paths := startCutSite(t, 1, 1, 2)
			u := registerScripted(t, s, s.Engines[0], func(*http.Request) fake.Answer { return fake.Answer{Bytes: c.bytes, End: c.end} })
			for _, r := range routers {
				eventually(t, "the upstream's address is in force", func() bool { return r.fleet.ServiceAt(u.Address()) != "" })
			}
			paths[0].set(cutRefuse)
			reply := routers[0].send(t, newPromptCall(fake.BriefPath+"1"))
			must.SliceLen(t, 1, u.Requests())
			must.Eq(t, http.StatusOK, reply.Status)
			must.Eq(t, c.complete, reply.Complete)
			must.True(t, strings.HasPrefix(events(1, 5), reply.Body))
		})
	}
}

// The same with an upstream that has replaced a silent one.
func TestStreamOfKilledReplacementIsIncomplete(t *testing.T) {
	s := newSite(t, 2, 1)
	s.Engines[0].SetFaults(fake.Faults{PauseAfter: 2, Pause: time.Minute})
	u := registerScripted(t, s, s.Engines[1], func(*http.Request) fake.Answer {
		return fake.Answer{Bytes: unboundedHead + events(3, 4), End: fake.Exit}
	})
	r := startRouter(t, testSettings(t, s))
	eventually(t, "ready", r.isReady)
	r.fleet.SetSwitching(s.Engines[1].ID, time.Now().Add(time.Second))
	reply := r.send(t, newPromptCall(fake.QuotePath+"1"))
	must.SliceLen(t, 1, u.Requests())
	must.Eq(t, events(1, 4), reply.Body)
	must.False(t, reply.Complete)
}

// A stream that broke off between events was taken up at an upstream that sent no event, and ended as if it were complete. So did a
// stream without any event.
func TestStreamWithoutFurtherEventsIsIncomplete(t *testing.T) {
	empty := map[string]string{
		"chunks": chunkedHead + "0\r\n\r\n", "length": fake.SignedHead("HTTP/1.1 200 OK") + "Content-Length: 0\r\n\r\n",
		"comment": chunkedHead + chunk(": resumed\n\n") + "0\r\n\r\n",
	}
	for name, bytes := range empty {
		t.Run("resumed, "+name, func(t *testing.T) {
			s, r := startSite(t, 2, 1)
			registerScripted(t, s, s.Engines[1], func(*http.Request) fake.Answer { return fake.Answer{Bytes: bytes} })
			scriptedEngine(t, s, r, fake.Answer{Bytes: chunkedHead + chunk(events(1, 2)), End: fake.ResetConn})
			reply := r.send(t, newPromptCall(fake.QuotePath+"1"))
			must.True(t, strings.HasPrefix(reply.Body, events(1, 2)))
			must.False(t, reply.Complete)
		})
		t.Run("from its start, "+name, func(t *testing.T) {
			s, r := startSite(t, 1, 1)
			scriptedEngine(t, s, r, fake.Answer{Bytes: bytes})
			reply := r.send(t, newPromptCall(fake.BriefPath+"1"))
			must.False(t, reply.Complete && reply.Status == http.StatusOK, must.Sprint(reply.Body))
		})
		t.Run("taken up by the caller, "+name, func(t *testing.T) {
			s, r := startSite(t, 2, 1)
			first := r.send(t, newPromptCall(fake.QuotePath+"1"))
			must.True(t, first.Complete)
			scriptedEngine(t, s, r, fake.Answer{Bytes: bytes})
			c := newPromptCall(fake.QuotePath + "1")
			c.Header = http.Header{fake.HeaderResumes: {first.ID}, "Last-Event-Id": {"5"}}
			reply := r.send(t, c)
			must.Eq(t, http.StatusOK, reply.Status, must.Sprint(reply.Body))
			must.True(t, reply.Complete)
		})
	}
}

// Callers were refused as if their request crashed upstreams, after it had ended with upstreams that stopped as planned.
func TestEndsOfLeavingUpstreamsAreNoCrashes(t *testing.T) {
	s, r := startSite(t, 1, 1)
	head := fake.SignedHead("HTTP/1.1 200 OK") + fake.HeaderLeaving + ": 1\r\n\r\n"
	for range maxCrashes + 1 {
		scriptedEngine(t, s, r, fake.Answer{Bytes: head + events(1, 5), End: fake.Exit})
		c := newPromptCall(fake.BriefPath + "1")
		c.ID = "thesameprompt"
		must.Eq(t, http.StatusOK, r.send(t, c).Status)
		s.Engines[0].Incarnation++
	}
}
