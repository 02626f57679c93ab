package edge

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

const (
	// limitGrace is how long after an upstream first named a limit its requests are not judged.
	limitGrace = 3 * time.Second
	// limitWindow is the time in which an upstream may get limitExcess times its limit and limitSlack requests.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
)

// mostInWindow returns the largest number of arrivals in any window that begins at or after a time.
func mostInWindow(arrivals []time.Time, from time.Time, window time.Duration) int {
	most := 0
	for i, first := range arrivals {
		if first.Before(from) {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func newLookCall() fake.Call { return newCall(http.MethodGet, "/look/1") }

// newUnsharedCall returns a call whose prompt shares no part with others.
func newUnsharedCall() fake.Call {
	c := newPromptCall("/quote/1")
	c.Parts = [2]string{"a" + c.ID, "b" + c.ID}
	return c
}

// startRouters starts that many routers of a site that know each other.
func startRouters(t *testing.T, s *fake.Site, count int) []*router {
	t.Helper()
	var routers []*router
	for range count {
		settings := testSettings(t, s)
		settings.RetryRatio = 1
		routers = append(routers, startRouter(t, settings))
	}
	for _, r := range routers {
		eventually(t, "ready", func() bool { return r.isReady() && r.exchange.Count() == count })
	}
	return routers
}

// callAll sends calls through each router, 50 ms after the response to the last one, and returns how many were served, refused and
// failed.
func callAll(t *testing.T, routers []*router, during time.Duration, call func() fake.Call) (served, refused, failed int64) {
	var ok, no, bad atomic.Int64
	var wg sync.WaitGroup
	for _, r := range routers {
		wg.Go(func() {
			for until := time.Now().Add(during); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				switch reply := r.send(t, call()); reply.Status {
				case http.StatusOK:
					ok.Add(1)
				case http.StatusServiceUnavailable:
					no.Add(1)
				default:
					bad.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return ok.Load(), no.Load(), bad.Load()
}

// All instances together keep to the limit that an upstream names in its responses.
func TestInstancesTogetherKeepTheLimitOfAnUpstream(t *testing.T) {
	const limit = 1
	for _, c := range []struct {
		name string
		call func() fake.Call
		of   func(*fake.Site) []*fake.Upstream
	}{
		{"plain", newLookCall, func(s *fake.Site) []*fake.Upstream { return s.Jobs }},
		{"stream", newUnsharedCall, func(s *fake.Site) []*fake.Upstream { return s.Engines }},
	} {
		for _, unlimited := range []int{0, 1} {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				s := newSite(t, 2, 2)
				routers := startRouters(t, s, 5)
				upstreams := c.of(s)
				limited := upstreams[:len(upstreams)-unlimited]
				for _, u := range limited {
					u.SetFaults(fake.Faults{Limit: "1"})
				}
				started := time.Now()
				served, refused, failed := callAll(t, routers, limitGrace+limitWindow+time.Second, c.call)
				for _, u := range limited {
					got := mostInWindow(u.Arrivals(), started.Add(limitGrace), limitWindow)
					must.LessEq(t, int(limit*limitExcess*limitWindow.Seconds())+limitSlack, got)
					if unlimited == 0 {
						must.Positive(t, got)
					}
				}
				if unlimited > 0 {
					must.Zero(t, refused)
				}
				must.Positive(t, served)
				must.Zero(t, failed)
			})
		}
	}
}

// Retries, streams that go on elsewhere and the second attempt on silence count against the limit like first requests.
func TestLaterSendsKeepTheLimitOfAnUpstream(t *testing.T) {
	for _, c := range []struct {
		name string
		// other are the faults of the upstream without a limit.
		other fake.Faults
		call  func() fake.Call
		of    func(*fake.Site) []*fake.Upstream
	}{
		{"retries", fake.Faults{Fail: true}, newLookCall, func(s *fake.Site) []*fake.Upstream { return s.Jobs }},
		{"resumed streams", fake.Faults{CutAfter: 2}, newUnsharedCall, func(s *fake.Site) []*fake.Upstream { return s.Engines }},
		{"silence", fake.Faults{PauseAfter: 2, Pause: 2500 * time.Millisecond}, newUnsharedCall, func(s *fake.Site) []*fake.Upstream { return s.Engines }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2, 2)
			routers := startRouters(t, s, 5)
			limited, other := c.of(s)[0], c.of(s)[1]
			limited.SetFaults(fake.Faults{Limit: "1"})
			other.SetFaults(c.other)
			started := time.Now()
			callAll(t, routers, limitGrace+limitWindow+time.Second, c.call)
			got := mostInWindow(limited.Arrivals(), started.Add(limitGrace), limitWindow)
			must.LessEq(t, int(limitExcess*limitWindow.Seconds())+limitSlack, got)
			must.Positive(t, got)
		})
	}
}
