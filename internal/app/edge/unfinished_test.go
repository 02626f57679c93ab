package edge

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// A comment or retry delay of the upstream that takes up a stream counted as the event that another one had begun, or as the next event.
func TestCommentOfResumptionIsNoEvent(t *testing.T) {
	const half = "id: 3\ndata: tok"
	for _, c := range []struct {
		name, half, second string
	}{
		{"comment, no event", half, ": resumed\n\n"},
		{"retry delay, no event", half, "retry: 1000\n\n"},
		{"comment, skipped event", "", ": resumed\n\n" + events(4, 5)},
		{"retry delay, skipped event", "", "retry: 1000\n\n" + events(4, 5)},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, r := startSite(t, 2, 1)
			registerScripted(t, s, s.Engines[1], func(*http.Request) fake.Answer {
				return fake.Answer{Bytes: chunkedHead + chunk(c.second) + "0\r\n\r\n"}
			})
			scriptedEngine(t, s, r, fake.Answer{Bytes: chunkedHead + chunk(events(1, 2)+c.half), End: fake.CloseConn})
			reply := r.send(t, newPromptCall(fake.QuotePath+"1"))
			must.StrNotContains(t, reply.Body, "id: 4")
			must.False(t, reply.Complete, must.Sprint(reply.Body))
		})
	}
}

// An event that a late response or the next event had cut off was not missed when the stream was taken up without it.
func TestCutEventIsMissedByResumption(t *testing.T) {
	for _, c := range []struct{ name, head, rest string }{
		{"late response", unboundedHead, "id: 3\ndata: tok" + openHead},
		{"two ids", unboundedHead, "id: 3\ndata: tok" + "id: 4\nid: 5\ndata: token 5\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, r := startSite(t, 2, 1)
			registerScripted(t, s, s.Engines[1], func(*http.Request) fake.Answer { return fake.Answer{Bytes: chunkedHead + "0\r\n\r\n"} })
			scriptedEngine(t, s, r, fake.Answer{Bytes: c.head + events(1, 2) + c.rest, End: fake.CloseConn})
			reply := r.send(t, newPromptCall(fake.QuotePath+"1"))
			must.Eq(t, events(1, 2), reply.Body)
			must.False(t, reply.Complete)
		})
	}
}

// A stream whose caller has every event ended as incomplete, because an upstream had broken off within an event that it repeated.
func TestRepeatedUnfinishedEventIsNotMissing(t *testing.T) {
	s, r := startSite(t, 2, 1)
	first := r.send(t, newPromptCall(fake.QuotePath+"1"))
	must.True(t, first.Complete)
	registerScripted(t, s, s.Engines[1], func(*http.Request) fake.Answer { return fake.Answer{Bytes: chunkedHead + "0\r\n\r\n"} })
	scriptedEngine(t, s, r, fake.Answer{Bytes: chunkedHead + chunk(events(1, 3)+"id: 4\ndata: tok"), End: fake.CloseConn})
	c := newPromptCall(fake.QuotePath + "1")
	c.Header = http.Header{fake.HeaderResumes: {first.ID}, "Last-Event-Id": {"5"}}
	reply := r.send(t, c)
	must.Eq(t, http.StatusOK, reply.Status, must.Sprint(reply.Body))
	must.Eq(t, "", reply.Body)
	must.True(t, reply.Complete)
}

// Events without ids were sent once more by the upstream that took the stream up from its start.
func TestStreamWithoutIDsIsNotSentTwice(t *testing.T) {
	s, r := startSite(t, 2, 1)
	registerScripted(t, s, s.Engines[1], func(*http.Request) fake.Answer {
		return fake.Answer{Bytes: chunkedHead + chunk("data: a\n\ndata: b\n\ndata: c\n\n") + "0\r\n\r\n"}
	})
	scriptedEngine(t, s, r, fake.Answer{Bytes: chunkedHead + chunk("data: a\n\ndata: b\n\n"), End: fake.CloseConn})
	reply := r.send(t, newPromptCall(fake.QuotePath+"1"))
	must.Eq(t, "data: a\n\ndata: b\n\n", reply.Body)
	must.False(t, reply.Complete)
}

// A caller that takes a stream up itself got events once more, or ones without ids, because nothing compared them with those that it has.
func TestCallersTakeUpGetsNewEventsOnly(t *testing.T) {
	for _, c := range []struct {
		name, sent, body string
		status           int
	}{
		{"repeated events", events(1, 5), events(3, 5), http.StatusOK},
		{"no ids", "data: token 3\n\n", "upstream_failed: no upstream may take the request\n", http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, r := startSite(t, 1, 1)
			first := r.send(t, newPromptCall(fake.QuotePath+"1"))
			must.True(t, first.Complete)
			scriptedEngine(t, s, r, fake.Answer{Bytes: chunkedHead + chunk(c.sent) + "0\r\n\r\n"})
			call := newPromptCall(fake.QuotePath + "1")
			call.Header = http.Header{fake.HeaderResumes: {first.ID}, "Last-Event-Id": {"2"}}
			reply := r.send(t, call)
			must.Eq(t, c.body, reply.Body)
			must.Eq(t, c.status, reply.Status)
		})
	}
}
