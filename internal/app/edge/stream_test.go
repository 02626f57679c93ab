package edge

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// maxCrashes is the number of crashes from which a request is refused.
const maxCrashes = 3

// startPausedSite starts a site whose first engine pauses each stream after two events. New requests go to that engine; the
// others have the given faults.
func startPausedSite(t *testing.T, engines int, pause time.Duration, others fake.Faults, change func(*Settings)) (*fake.Site, *router) {
	t.Helper()
	s := newSite(t, engines, 1)
	cfg := testSettings(t, s)
	change(&cfg)
	r := startRouter(t, cfg)
	eventually(t, "ready", r.isReady)
	s.Engines[0].SetFaults(fake.Faults{PauseAfter: 2, Pause: pause})
	for _, u := range s.Engines[1:] {
		u.SetFaults(others)
		r.fleet.SetSwitching(u.ID, time.Now().Add(time.Second))
	}
	return s, r
}

// A resumable stream was cut when its upstream paused and no other upstream could take over.
func TestPausedUpstreamKeepsItsStreamWithoutReplacement(t *testing.T) {
	const pause = 1600 * time.Millisecond
	for _, c := range []struct {
		name    string
		engines int
		others  fake.Faults
		// spent uses up the retry budget.
		spent bool
	}{
		{name: "no other upstream", engines: 1},
		{name: "other upstreams decline", engines: 3, others: fake.Faults{Shed: true}},
		{name: "other upstreams fail", engines: 3, others: fake.Faults{Fail: true}},
		{name: "other upstreams do not respond", engines: 3, others: fake.Faults{Hang: true}},
		{name: "other upstreams end before the first event", engines: 3, others: fake.Faults{NoLength: true, NoEvents: true}},
		{name: "no retry left", engines: 2, spent: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			_, r := startPausedSite(t, c.engines, pause, c.others, func(cfg *Settings) {
				if c.spent {
					cfg.RetryRatio, cfg.RetrySlack = 0, 0
				}
			})
			if c.spent {
				must.True(t, r.budget.Spend(time.Now(), "engines"))
			}
			reply := r.send(t, newPromptCall(fake.QuotePath+"1"))
			must.Eq(t, http.StatusOK, reply.Status)
			must.True(t, reply.Complete, must.Sprint(reply.Body))
			must.Eq(t, events(1, 5), reply.Body)
		})
	}
}

// A stream whose upstream stays silent moves to an upstream that accepts it.
func TestSilentUpstreamIsReplaced(t *testing.T) {
	s, r := startPausedSite(t, 2, time.Minute, fake.Faults{}, func(*Settings) {})
	reply := r.send(t, newPromptCall(fake.QuotePath+"1"))
	must.True(t, reply.Complete, must.Sprint(reply.Body))
	must.Eq(t, events(1, 5), reply.Body)
	must.SliceLen(t, 1, s.Engines[1].Runs())
	must.Eq(t, "2", s.Engines[1].Runs()[0].LastEvent)
}

// A stream that was resumed at an upstream that returns an error ended as if it were complete.
func TestErrorAfterResumeCutsTheStream(t *testing.T) {
	for name, faults := range map[string]fake.Faults{"failure": {Fail: true}, "client error": {Deny: true}} {
		t.Run(name, func(t *testing.T) {
			s, r := startSite(t, 2, 1)
			s.Engines[0].SetFaults(fake.Faults{CutAfter: 2})
			s.Engines[1].SetFaults(faults)
			r.fleet.SetSwitching(s.Engines[1].ID, time.Now().Add(time.Second))
			reply := r.send(t, newPromptCall(fake.QuotePath+"1"))
			must.Eq(t, events(1, 2), reply.Body)
			must.False(t, reply.Complete)
		})
	}
}

// A response without a length or chunks ends with its connection, which is also how an upstream that crashes ends it.
func TestStreamWithoutLength(t *testing.T) {
	for _, c := range []struct {
		name     string
		faults   fake.Faults
		body     string
		complete bool
	}{
		{"complete", fake.Faults{NoLength: true}, events(1, 5), true},
		{"paused", fake.Faults{NoLength: true, PauseAfter: 2, Pause: 1600 * time.Millisecond}, events(1, 5), true},
		{"cut within an event", fake.Faults{NoLength: true, CutAfter: 2}, events(1, 2), false},
	} {
		for _, path := range []string{fake.QuotePath, fake.BriefPath} {
			t.Run(c.name+path, func(t *testing.T) {
				s, r := startSite(t, 1, 1)
				s.Engines[0].SetFaults(c.faults)
				reply := r.send(t, newPromptCall(path+"1"))
				must.Eq(t, c.body, reply.Body)
				must.Eq(t, c.complete, reply.Complete)
			})
		}
	}
}

// A stream without a length whose connection ended before the first event was answered as a complete, empty one.
func TestStreamWithoutLengthOrEventsIsBroken(t *testing.T) {
	s, r := startSite(t, 1, 1)
	s.Engines[0].SetFaults(fake.Faults{NoLength: true, NoEvents: true})
	reply := r.send(t, newPromptCall(fake.BriefPath+"1"))
	must.Eq(t, http.StatusBadGateway, reply.Status)
}

// Callers that resumed a stream without further events were refused after three times, as if their request crashed upstreams.
func TestEmptyResumptionIsNoCrash(t *testing.T) {
	s, r := startSite(t, 1, 1)
	s.Engines[0].SetFaults(fake.Faults{NoLength: true, NoEvents: true})
	for range maxCrashes + 1 {
		c := newPromptCall(fake.QuotePath + "1")
		c.ID, c.Header = "thesameprompt", http.Header{"Last-Event-Id": {"5"}}
		must.Eq(t, http.StatusBadGateway, r.send(t, c).Status)
	}
}

// brokenWriter is a response that the caller does not read.
type brokenWriter struct{ http.ResponseWriter }

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// Streams whose callers disconnected counted as running at their upstream for good.
func TestStreamsOfDisconnectedCallersAreNotCountedAsRunning(t *testing.T) {
	s, r := startSite(t, 1, 1)
	for range 3 {
		req, err := newPromptCall(fake.QuotePath+"1").NewRequest(context.Background(), r.settings.Listen)
		must.NoError(t, err)
		req.RequestURI = fake.QuotePath + "1"
		func() {
			defer func() { must.Eq(t, any(http.ErrAbortHandler), recover()) }()
			r.handler.ServeHTTP(brokenWriter{httptest.NewRecorder()}, req)
		}()
	}
	must.Eq(t, 0, r.fleet.Loads(time.Now())[s.Engines[0].ID].Running)
}
