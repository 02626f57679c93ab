package edge

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// startMixedSite starts a site with engines of the given builds and two routers that know each other.
func startMixedSite(t *testing.T, builds ...string) (*fake.Site, []*router) {
	t.Helper()
	s := newSite(t, len(builds), 1)
	for i, build := range builds {
		s.Engines[i].Build = build
		s.Register(s.Engines[i], "ready")
	}
	routers := []*router{startRouter(t, testSettings(t, s)), startRouter(t, testSettings(t, s))}
	for _, r := range routers {
		eventually(t, "ready", func() bool {
			_, heard := r.exchange.FirstLive()
			return r.isReady() && heard
		})
		eventually(t, "builds known", func() bool {
			for _, u := range s.Engines {
				if v, ok := r.fleet.View(time.Now(), u.ID); !ok || v.Build != u.Build {
					return false
				}
			}
			return true
		})
	}
	return s, routers
}

// resume returns the call with which a caller takes up a stream after its second event.
func resume(first fake.Call) fake.Call {
	c := newUnsharedCall()
	c.Header = http.Header{fake.HeaderResumes: {first.ID}, "Last-Event-Id": {"2"}}
	return c
}

// buildOf returns the build of the engine that ran a request last; "" if none did.
func buildOf(s *fake.Site, id string) string {
	var last time.Time
	build := ""
	for _, u := range s.Engines {
		for _, run := range u.Runs() {
			if run.ID == id && run.At.After(last) {
				last, build = run.At, u.Build
			}
		}
	}
	return build
}

// A stream goes on only at the build that began it, wherever its caller comes back.
func TestStreamsGoOnAtTheBuildThatBeganThem(t *testing.T) {
	const streams = 12
	for _, c := range []struct {
		name string
		// comeBack returns the router to which the callers come back.
		comeBack func(t *testing.T, s *fake.Site, routers []*router) *router
	}{
		{"the same instance", func(_ *testing.T, _ *fake.Site, routers []*router) *router { return routers[0] }},
		{"another instance", func(_ *testing.T, _ *fake.Site, routers []*router) *router { return routers[1] }},
		{"another instance after the first one has ended", func(t *testing.T, _ *fake.Site, routers []*router) *router {
			time.Sleep(time.Second)
			routers[0].stopAndWait(t)
			return routers[1]
		}},
		{"an instance that has restarted", func(t *testing.T, _ *fake.Site, routers []*router) *router {
			time.Sleep(time.Second)
			routers[0].stopAndWait(t)
			r := startRouter(t, routers[0].settings)
			eventually(t, "ready", r.isReady)
			return r
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, routers := startMixedSite(t, "v1", "v1", "v2", "v2")
			var calls []fake.Call
			for range streams {
				call := newUnsharedCall()
				must.Eq(t, events(1, 5), routers[0].send(t, call).Body)
				calls = append(calls, call)
			}
			r := c.comeBack(t, s, routers)
			for _, first := range calls {
				call := resume(first)
				reply := r.send(t, call)
				must.Eq(t, http.StatusOK, reply.Status, must.Sprint(reply.Body))
				must.Eq(t, events(3, 5), reply.Body)
				must.Eq(t, buildOf(s, first.ID), buildOf(s, call.ID))
			}
		})
	}
}

// kill ends a router without notice to its callers and the other routers.
func (r *router) kill() {
	_ = r.socket.Close()
	for _, l := range r.listeners {
		_ = l.Close()
	}
	// Run returns the error of a listener.
	<-r.done
	r.done = nil
}

// lastEvent returns the id of the last complete event; "" if there is none.
func lastEvent(body string) string {
	complete := strings.Split(body, "\n\n")
	if len(complete) < 2 {
		return ""
	}
	id, _, _ := strings.Cut(strings.TrimPrefix(complete[len(complete)-2], "id: "), "\n")
	return id
}

// Most callers whose instance is killed can take up their streams at another one, and none at another build.
func TestStreamsOfAKilledInstanceGoOnElsewhere(t *testing.T) {
	const streams = 24
	s, routers := startMixedSite(t, "v1", "v1", "v2", "v2")
	for _, u := range s.Engines {
		u.Events, u.PerEvent = 50, 50*time.Millisecond
	}
	calls, replies := make([]fake.Call, streams), make([]fake.Response, streams)
	var wg sync.WaitGroup
	for i := range streams {
		calls[i] = newUnsharedCall()
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 75 * time.Millisecond)
			reply, err := fake.Send(context.Background(), routers[0].settings.Listen, calls[i])
			if err == nil {
				replies[i] = reply
			}
		})
	}
	time.Sleep(streams * 75 * time.Millisecond)
	routers[0].kill()
	wg.Wait()
	var taken, goneOn atomic.Int64
	for i, first := range calls {
		last := lastEvent(replies[i].Body)
		if last == "" || replies[i].Complete {
			continue
		}
		taken.Add(1)
		wg.Go(func() {
			call := resume(first)
			call.Header.Set("Last-Event-Id", last)
			reply, err := fake.Send(context.Background(), routers[1].settings.Listen, call)
			if err != nil || reply.Status != http.StatusOK || !reply.Complete {
				return
			}
			goneOn.Add(1)
			if began, wentOn := buildOf(s, first.ID), buildOf(s, call.ID); began != wentOn {
				t.Errorf("began at build %s, went on at %s", began, wentOn)
			}
		})
	}
	wg.Wait()
	t.Logf("%d of %d went on", goneOn.Load(), taken.Load())
	must.GreaterEq(t, streams/2, taken.Load())
	must.GreaterEq(t, taken.Load()/2, goneOn.Load())
}

// A stream whose upstream breaks off goes on at another upstream of its build, and ends if there is none.
func TestBrokenStreamsDoNotGoOnAtAnotherBuild(t *testing.T) {
	const streams = 8
	for _, c := range []struct {
		name     string
		builds   []string
		complete bool
	}{
		{"another upstream of the build", []string{"v1", "v2", "v2", "v1"}, true},
		{"none", []string{"v1", "v2", "v2"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, routers := startMixedSite(t, c.builds...)
			s.Engines[0].SetFaults(fake.Faults{CutAfter: 2})
			for range streams {
				call := newUnsharedCall()
				for _, u := range s.Engines[1:] {
					routers[0].fleet.SetSwitching(u.ID, time.Now().Add(50*time.Millisecond))
				}
				reply := routers[0].send(t, call)
				began := false
				for _, run := range s.Engines[0].Runs() {
					began = began || run.ID == call.ID
				}
				if began {
					must.Eq(t, "v1", buildOf(s, call.ID))
					must.Eq(t, c.complete, reply.Complete)
				}
			}
			must.SliceNotEmpty(t, s.Engines[0].Runs())
		})
	}
}

// A stream of an unknown build goes on if only one build serves, and is refused otherwise.
func TestStreamsOfUnknownBuildsAreNotMixed(t *testing.T) {
	_, routers := startMixedSite(t, "v1", "v1")
	reply := routers[0].send(t, resume(fake.Call{ID: "feedfeed"}))
	must.Eq(t, http.StatusOK, reply.Status)
	s, routers := startMixedSite(t, "v1", "v2")
	for range 6 {
		call := resume(fake.Call{ID: "feedfeed"})
		reply := routers[0].send(t, call)
		must.Eq(t, http.StatusServiceUnavailable, reply.Status)
		must.Positive(t, reply.RetryAfter)
		must.Eq(t, "", buildOf(s, call.ID))
	}
}
