package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// An upstream that says in any response that it stops gets no more requests, although the list still calls it ready.
func TestLeavingUpstreamsGetNoRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		call func() fake.Call
		of   func(*fake.Site) []*fake.Upstream
	}{
		{"plain", func() fake.Call { return newCall(http.MethodPost, "/book/1") }, func(s *fake.Site) []*fake.Upstream { return s.Jobs }},
		{"stream", func() fake.Call { return newPromptCall("/quote/1") }, func(s *fake.Site) []*fake.Upstream { return s.Engines }},
	} {
		for _, faults := range []fake.Faults{{Leaving: true}, {Leaving: true, Shed: true}, {Leaving: true, Fail: true}} {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				s, r := startSite(t, 2, 2)
				// The prompts have the same prefix and go to the same engine.
				must.Eq(t, http.StatusOK, r.send(t, c.call()).Status)
				leaving, other := c.of(s)[0], c.of(s)[1]
				if leaving.Requests() == 0 {
					leaving, other = other, leaving
				}
				leaving.SetFaults(faults)
				eventually(t, "a response announces it", func() bool { r.send(t, c.call()); return leaving.Requests() > 1 })
				before := leaving.Requests()
				for range 10 {
					must.Eq(t, http.StatusOK, r.send(t, c.call()).Status)
				}
				must.Eq(t, before, leaving.Requests())
				other.SetFaults(fake.Faults{Leaving: true})
				eventually(t, "none is left", func() bool { return r.send(t, c.call()).Status == http.StatusServiceUnavailable })
			})
		}
	}
}

// The other instances learn that an upstream stops.
func TestDeparturesAreReported(t *testing.T) {
	s, r := startSite(t, 1, 1)
	second := startRouter(t, testSettings(t, s))
	eventually(t, "both ready", func() bool { return second.isReady() && second.exchange.Count() == 2 && r.exchange.Count() == 2 })
	s.Jobs[0].SetFaults(fake.Faults{Leaving: true})
	must.Eq(t, http.StatusOK, r.send(t, newCall(http.MethodPost, "/book/1")).Status)
	eventually(t, "known to both", func() bool {
		return second.send(t, newCall(http.MethodPost, "/book/1")).Status == http.StatusServiceUnavailable
	})
	must.LessEq(t, 2, len(s.Jobs[0].Runs()))
}

// An upstream that refuses with a Retry-After gets nothing before that time is over. If all do, callers are refused at once, with the
// time at which the first one accepts requests again.
func TestRefusalsWithRetryAfterPauseAnUpstream(t *testing.T) {
	s, r := startSite(t, 1, 2)
	s.Jobs[0].SetFaults(fake.Faults{Shed: true, RetryAfter: "2.5"})
	s.Jobs[1].SetFaults(fake.Faults{Shed: true, RetryAfter: "60"})
	reply := r.send(t, newCall(http.MethodPost, "/book/1"))
	answeredAt := time.Now()
	must.Eq(t, http.StatusServiceUnavailable, reply.Status)
	must.Between(t, 2*time.Second, reply.RetryAfter, 4*time.Second)
	s.Jobs[0].SetFaults(fake.Faults{})
	for time.Since(answeredAt) < 2*time.Second {
		reply := r.send(t, newCall(http.MethodGet, "/look/1"))
		must.Eq(t, http.StatusServiceUnavailable, reply.Status)
		time.Sleep(100 * time.Millisecond)
	}
	must.Eq(t, 1, s.Jobs[0].Requests())
	must.Eq(t, 1, s.Jobs[1].Requests())
	eventually(t, "served", func() bool { return r.send(t, newCall(http.MethodGet, "/look/1")).Status == http.StatusOK })
	must.GreaterEq(t, 2400*time.Millisecond, time.Since(answeredAt))
	must.Eq(t, 1, s.Jobs[1].Requests())
}
