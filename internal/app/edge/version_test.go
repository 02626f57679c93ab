package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/front/link"
	"github.com/skylarkquay/skylarkquay/platform"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// superseded is a site whose engine keeps requests in its queue for longer than superseded weights may start them, and ignores orders.
type superseded struct {
	site   *fake.Site
	router *router
	// limit is how long superseded weights may start requests.
	limit time.Duration
}

// startSuperseded starts the site. The second engine is not listed. If relayed is set, another instance connects for the router.
func startSuperseded(t *testing.T, relayed bool) superseded {
	t.Helper()
	s := superseded{site: newSite(t, 2, 1), limit: 4 * time.Second}
	s.site.Timeout = 10000
	s.site.PublishDocument()
	s.site.Deregister(s.site.Engines[1])
	s.site.Engines[0].SetFaults(fake.Faults{Queue: s.limit + 500*time.Millisecond, IgnoreOrders: true})
	p := newPath()
	s.router = s.startRouter(t, p.dial)
	if relayed {
		s.startRouter(t, link.DialTCP)
		eventually(t, "attached", func() bool { return len(s.router.exchange.Attached()) == 1 })
		p.set(cutHang)
	}
	return s
}

func (s superseded) startRouter(t *testing.T, dial platform.Dial) *router {
	t.Helper()
	cfg := testSettings(t, s.site)
	cfg.Weights = s.limit.Milliseconds()
	r := startRouterOn(t, cfg, dial)
	eventually(t, "ready", r.isReady)
	return r
}

// announce announces version 2, which the second engine has, and returns when.
func (s superseded) announce(t *testing.T) time.Time {
	t.Helper()
	now := time.Now()
	s.site.PublishWeights(2)
	eventually(t, "announced", func() bool { return s.router.replica.Weights(fake.Model).Version == 2 })
	return now
}

func (s superseded) addEngine() {
	s.site.Engines[1].SetVersion(2)
	s.site.Register(s.site.Engines[1], "ready")
}

// checkStarts checks that no request started on version 1 after the limit.
func (s superseded) checkStarts(t *testing.T, announced time.Time) {
	t.Helper()
	time.Sleep(time.Until(announced.Add(s.limit + time.Second)))
	for _, run := range s.site.Engines[0].Runs() {
		must.LessEq(t, s.limit, run.At.Sub(announced), must.Sprint(run.Path))
	}
}

// Guards against requests that wait in an engine's queue until its weights may no longer start them.
func TestQueuedRequestDoesNotStartOnSupersededWeights(t *testing.T) {
	for _, c := range []struct {
		name string
		path string
		// before reports whether the version is announced before the request is sent.
		before  bool
		relayed bool
		status  int
	}{
		{"resumable, announced before", fake.QuotePath, true, false, http.StatusOK},
		{"resumable, announced while it waits", fake.QuotePath, false, false, http.StatusOK},
		{"not resumable, announced before", fake.BriefPath, true, false, http.StatusBadGateway},
		{"not resumable, announced while it waits", fake.BriefPath, false, false, http.StatusBadGateway},
		{"through another instance", fake.QuotePath, true, true, http.StatusOK},
		{"through another instance, announced while it waits", fake.BriefPath, false, true, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startSuperseded(t, c.relayed)
			var announced time.Time
			if c.before {
				announced = s.announce(t)
			}
			call := newPromptCall(c.path + "1")
			call.Deadline = s.site.Timeout
			replies := make(chan fake.Response, 1)
			go func() { replies <- s.router.send(t, call) }()
			eventually(t, "queued", func() bool { return s.site.Engines[0].Requests() == 1 })
			if !c.before {
				announced = s.announce(t)
			}
			s.addEngine()
			s.checkStarts(t, announced)
			reply := <-replies
			must.Eq(t, c.status, reply.Status)
			if c.status == http.StatusOK {
				must.Eq(t, events(1, 5), reply.Body)
			}
		})
	}
}
