package edge

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/front/detour"
	"github.com/skylarkquay/skylarkquay/internal/front/link"
	"github.com/skylarkquay/skylarkquay/internal/roll/shift"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// slowDial makes the next connections to some addresses slow, one to each: something happens before they are made.
type slowDial struct {
	mu     sync.Mutex
	during func(address string) bool
}

// set sets what happens while a connection is made. It returns whether that was the connection it was meant for; it is not called again
// then.
func (d *slowDial) set(during func(address string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.during = during
}

func (d *slowDial) dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d.mu.Lock()
	if d.during != nil && d.during(address) {
		d.during = nil
	}
	d.mu.Unlock()
	return link.DialTCP(ctx, address, timeout)
}

// moment is something that happens between the placement of a request and its arrival at the upstream.
type moment struct {
	name string
	// happens makes it so and known to the router.
	happens func(s *fake.Site, r *router, u *fake.Upstream)
}

// relist changes what the store lists of an upstream, and what the router knows of it. The list is not read again while a connection is
// made.
func relist(r *router, u *fake.Upstream, change func(e *fleet.Entry)) {
	if v, ok := r.fleet.View(time.Now(), u.ID); ok {
		change(&v.Entry)
		r.fleet.Put(v.Entry)
	}
}

// moments are what bars an upstream.
var moments = []moment{
	{"announces its stop", func(_ *fake.Site, r *router, u *fake.Upstream) {
		r.fleet.MarkLeaving(time.Now(), fleet.Departure{ID: u.ID, Born: 1 + u.Incarnation}, true)
	}},
	{"listed as draining", func(s *fake.Site, r *router, u *fake.Upstream) {
		s.Register(u, "draining")
		relist(r, u, func(e *fleet.Entry) { e.State = fleet.Draining })
	}},
	{"leaves the list", func(s *fake.Site, r *router, u *fake.Upstream) {
		s.Deregister(u)
		r.fleet.Drop(time.Now(), u.ID)
	}},
	{"refuses with Retry-After", func(_ *fake.Site, r *router, u *fake.Upstream) {
		r.fleet.PauseUntil(time.Now(), u.ID, 1+u.Incarnation, time.Now().Add(10*time.Second))
	}},
	{"starts again with another build", func(s *fake.Site, r *router, u *fake.Upstream) {
		u.Incarnation, u.Build = u.Incarnation+1, "v2"
		s.Register(u, "ready")
		relist(r, u, func(e *fleet.Entry) { e.Born, e.Build = e.Born+1, u.Build })
	}},
}

// atAddress returns the upstream at an address, or nil.
func atAddress(s *fake.Site, upstreams []*fake.Upstream, address string) *fake.Upstream {
	for _, u := range upstreams {
		if s.Address(u) == address {
			return u
		}
	}
	return nil
}

// callsFor are the calls that each moment is tested with.
var callsFor = []struct {
	name string
	call func() fake.Call
	of   func(*fake.Site) []*fake.Upstream
}{
	{"booking", newBookCall, func(s *fake.Site) []*fake.Upstream { return s.Jobs }},
	{"stream", func() fake.Call { return newPromptCall(fake.QuotePath + "1") }, func(s *fake.Site) []*fake.Upstream { return s.Engines }},
}

// Guards against requests that reach an upstream that was barred after they were placed there, while the connection was made.
func TestUpstreamBarredWhileAConnectionIsMadeGetsNoRequest(t *testing.T) {
	for _, m := range moments {
		for _, c := range callsFor {
			for _, second := range []bool{false, true} {
				name := m.name + " " + c.name
				if second {
					name += " second attempt"
				}
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					s := newSite(t, 3, 3)
					d := &slowDial{}
					r := startRouterOn(t, testSettings(t, s), d.dial)
					eventually(t, "ready", r.isReady)
					var first, barred *fake.Upstream
					d.set(func(address string) bool {
						u := atAddress(s, c.of(s), address)
						switch {
						case u == nil:
							return false
						case second && first == nil:
							first = u
							u.SetFaults(fake.Faults{Shed: true})
							return false
						case u == first:
							return false
						}
						barred = u
						m.happens(s, r, u)
						return true
					})
					reply := r.send(t, c.call())
					must.Eq(t, http.StatusOK, reply.Status)
					must.NotNil(t, barred)
					must.Zero(t, barred.Requests())
				})
			}
		}
	}
}

// withdrawKey takes the key of acme away, or gives it to another workspace, and makes that known to the router.
func withdrawKey(r *router, to string) {
	doc := *r.replica.Document()
	doc.Revision++
	doc.Keys = maps.Clone(doc.Keys)
	delete(doc.Keys, fake.Key)
	for _, w := range doc.Workspaces {
		if w.Name == to {
			doc.Keys[fake.Key] = w
		}
	}
	r.replica.InstallIfNewer(&doc)
}

// Guards against requests that are sent with a key that was withdrawn while the connection was made.
func TestKeyWithdrawnWhileAConnectionIsMade(t *testing.T) {
	for _, to := range []string{"", "walled"} {
		for _, c := range callsFor {
			t.Run(c.name+" "+to, func(t *testing.T) {
				t.Parallel()
				s := newSite(t, 1, 1)
				d := &slowDial{}
				r := startRouterOn(t, testSettings(t, s), d.dial)
				eventually(t, "ready", r.isReady)
				u := c.of(s)[0]
				d.set(func(address string) bool {
					if address != s.Address(u) {
						return false
					}
					withdrawKey(r, to)
					return true
				})
				must.Eq(t, http.StatusUnauthorized, r.send(t, c.call()).Status)
				must.Zero(t, u.Requests())
			})
		}
	}
}

// Guards against later attempts of a request whose key was withdrawn during an earlier one.
func TestKeyWithdrawnBeforeTheSecondAttempt(t *testing.T) {
	for _, c := range []struct {
		name   string
		call   fake.Call
		of     func(*fake.Site) []*fake.Upstream
		faults fake.Faults
		status int
	}{
		{"plain", newLookCall(), func(s *fake.Site) []*fake.Upstream { return s.Jobs }, fake.Faults{Work: time.Second, Crash: true}, http.StatusBadGateway},
		{"not run", newLookCall(), func(s *fake.Site) []*fake.Upstream { return s.Jobs }, fake.Faults{Work: time.Second, Shed: true}, http.StatusUnauthorized},
		{"stream", newPromptCall(fake.QuotePath + "1"), func(s *fake.Site) []*fake.Upstream { return s.Engines }, fake.Faults{PauseAfter: 1, Pause: time.Second, CutAfter: 2}, http.StatusOK},
		{"silent stream", newPromptCall(fake.QuotePath + "1"), func(s *fake.Site) []*fake.Upstream { return s.Engines }, fake.Faults{PauseAfter: 1, Pause: 2 * time.Second}, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, r := startSite(t, 2, 2)
			upstreams := c.of(s)
			for _, u := range upstreams {
				u.SetFaults(c.faults)
			}
			requests := func() int { return upstreams[0].Requests() + upstreams[1].Requests() }
			replies := make(chan fake.Response, 1)
			go func() { replies <- r.send(t, c.call) }()
			eventually(t, "sent", func() bool { return requests() == 1 })
			withdrawKey(r, "")
			reply := <-replies
			must.Eq(t, c.status, reply.Status)
			must.Eq(t, 1, requests())
			if c.name == "silent stream" {
				// The first attempt goes on.
				must.Eq(t, events(1, 5), reply.Body)
			}
		})
	}
}

// Guards against later attempts when keys were last confirmed too long ago.
func TestKeyNotConfirmedBeforeTheSecondAttempt(t *testing.T) {
	s := newSite(t, 1, 2)
	cfg := testSettings(t, s)
	cfg.Revocation = 2000
	r := startRouter(t, cfg)
	eventually(t, "ready", r.isReady)
	for _, u := range s.Jobs {
		u.SetFaults(fake.Faults{Work: 2500 * time.Millisecond, Crash: true})
	}
	replies := make(chan fake.Response, 1)
	go func() { replies <- r.send(t, newLookCall()) }()
	eventually(t, "sent", func() bool { return s.Jobs[0].Requests()+s.Jobs[1].Requests() == 1 })
	s.Store.SetFault(fake.Busy)
	must.Eq(t, http.StatusBadGateway, (<-replies).Status)
	must.Eq(t, 1, s.Jobs[0].Requests()+s.Jobs[1].Requests())
}

// Guards against requests through another instance that learns, while it makes the connection, that the upstream must get none from it.
func TestUpstreamBarredWhileAnotherInstanceConnectsGetsNoRequest(t *testing.T) {
	for _, m := range moments {
		for _, c := range callsFor {
			t.Run(m.name+" "+c.name, func(t *testing.T) {
				t.Parallel()
				s := newSite(t, 3, 3)
				p, d := newPath(), &slowDial{}
				r := startRouterOn(t, testSettings(t, s), p.dial)
				other := startRouterOn(t, testSettings(t, s), d.dial)
				t.Cleanup(func() { r.stop(); other.stop() })
				for _, r := range []*router{r, other} {
					eventually(t, "ready", func() bool { return r.isReady() && len(r.exchange.Attached()) == 1 })
				}
				p.set(cutHang)
				var barred *fake.Upstream
				d.set(func(address string) bool {
					u := atAddress(s, c.of(s), address)
					if u == nil {
						return false
					}
					barred = u
					m.happens(s, other, u)
					return true
				})
				must.Eq(t, http.StatusOK, r.send(t, c.call()).Status)
				must.NotNil(t, barred)
				must.Zero(t, barred.Requests())
			})
		}
	}
}

// Guards against a request for one process that another instance passes on to a later one, which that instance alone knows.
func TestAnotherInstanceConnectsToTheNamedProcessOnly(t *testing.T) {
	s, r := startSite(t, 1, 1)
	u := s.Engines[0]
	v, ok := r.fleet.View(time.Now(), u.ID)
	must.True(t, ok)
	target := detour.Target{ID: u.ID, Address: s.Address(u)}
	must.True(t, r.acceptsRelay(time.Now(), target), must.Sprint("an earlier build"))
	target.Born = v.Born
	must.True(t, r.acceptsRelay(time.Now(), target))
	target.Born++
	must.False(t, r.acceptsRelay(time.Now(), target))
}

// Guards against requests to a build that was put on trial, or given up, while the connection to one of its upstreams was made.
func TestBuildThatMayNotRunRequestsAnyMoreGetsNone(t *testing.T) {
	for _, phase := range []shift.Phase{"", shift.RolledBack} {
		for _, call := range []fake.Call{newBookCall(), newLookCall()} {
			t.Run(string(phase)+call.Path, func(t *testing.T) {
				t.Parallel()
				s := newSite(t, 1, 2)
				s.Jobs[1].Build = "v2"
				s.Register(s.Jobs[1], "ready")
				d := &slowDial{}
				r := startRouterOn(t, testSettings(t, s), d.dial)
				eventually(t, "ready", r.isReady)
				var barred *fake.Upstream
				d.set(func(address string) bool {
					if barred = atAddress(s, s.Jobs, address); barred == nil {
						return false
					}
					r.decider.order(shift.Order{Service: fake.JobsService, To: barred.Build, Row: 3})
					if phase != "" {
						r.decider.mu.Lock()
						defer r.decider.mu.Unlock()
						r.decider.adopt(clock.SinceBoot(), shift.Record{Service: fake.JobsService, To: barred.Build, Row: 3, Started: 5, Step: 4, Phase: phase}, "test")
					}
					return true
				})
				must.Eq(t, http.StatusOK, r.send(t, call).Status)
				must.NotNil(t, barred)
				must.Zero(t, barred.Requests())
			})
		}
	}
}

// Guards against requests that a brittle upstream rejects although it has turned away another one while their connection was made.
func TestBrittleUpstreamThatIsFullGetsNoRequestThatWasPlacedBefore(t *testing.T) {
	s := newSite(t, 1, 1)
	u := s.Jobs[0]
	var event atomic.Pointer[func()]
	r := startRouterOn(t, testSettings(t, s), func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
		if f := event.Load(); f != nil && address == s.Address(u) && event.CompareAndSwap(f, nil) {
			(*f)()
		}
		return link.DialTCP(ctx, address, timeout)
	})
	eventually(t, "ready", r.isReady)
	u.SetFaults(fake.Faults{Brittle: 1, Room: 2, Work: 1500 * time.Millisecond})
	var running sync.WaitGroup
	must.Eq(t, http.StatusOK, r.send(t, newDistinctCall()).Status)
	for range 2 {
		running.Go(func() { must.Eq(t, http.StatusOK, r.send(t, newDistinctCall()).Status) })
	}
	eventually(t, "full", func() bool { return u.Requests() == 3 })
	rejected := func() {
		must.Eq(t, http.StatusServiceUnavailable, r.send(t, newDistinctCall()).Status)
	}
	event.Store(&rejected)
	must.Eq(t, http.StatusServiceUnavailable, r.send(t, newDistinctCall()).Status)
	must.Nil(t, event.Load())
	must.Eq(t, 4, u.Requests())
	must.SliceEmpty(t, u.Crashes())
	running.Wait()
}

// Guards against upstreams that are told more time than is left, since a part of it went into the connection.
func TestUpstreamIsToldTheTimeThatIsLeftWhenThereIsAConnection(t *testing.T) {
	const slow = 200 * time.Millisecond
	for _, c := range callsFor {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 1)
			d := &slowDial{}
			r := startRouterOn(t, testSettings(t, s), d.dial)
			eventually(t, "ready", r.isReady)
			u := c.of(s)[0]
			d.set(func(address string) bool {
				if address != s.Address(u) {
					return false
				}
				time.Sleep(slow)
				return true
			})
			call := c.call()
			must.Eq(t, http.StatusOK, r.send(t, call).Status)
			left, err := strconv.ParseInt(u.Runs()[0].Header.Get(fake.HeaderDeadline), 10, 64)
			must.NoError(t, err)
			must.LessEq(t, call.Deadline-slow.Milliseconds(), left)
		})
	}
}

// Guards against requests that are sent although this instance began, while their connection was made, a stop that they do not fit in.
func TestStopThatBeginsWhileAConnectionIsMade(t *testing.T) {
	for _, c := range callsFor {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 1)
			d := &slowDial{}
			r := startRouterOn(t, testSettings(t, s), d.dial)
			eventually(t, "ready", r.isReady)
			u := c.of(s)[0]
			d.set(func(address string) bool {
				if address != s.Address(u) {
					return false
				}
				// The requests have 500 ms or more to go.
				r.handler.Stop.Begin(time.Now(), time.Now().Add(600*time.Millisecond))
				return true
			})
			reply := r.send(t, c.call())
			must.Eq(t, http.StatusServiceUnavailable, reply.Status)
			must.Positive(t, reply.RetryAfter)
			must.Zero(t, u.Requests())
		})
	}
}

// Guards against bookings that reach an upstream after their caller has left: those that have not run yet.
func TestBookingWhoseCallerLeftBeforeAnAttemptIsNotSent(t *testing.T) {
	for _, second := range []bool{false, true} {
		t.Run(fmt.Sprintf("second attempt %t", second), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 2)
			d := &slowDial{}
			r := startRouterOn(t, testSettings(t, s), d.dial)
			eventually(t, "ready", r.isReady)
			requests := func() int { return s.Jobs[0].Requests() + s.Jobs[1].Requests() }
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			want := 0
			if second {
				want = 1
				for _, u := range s.Jobs {
					u.SetFaults(fake.Faults{Shed: true, Work: time.Second})
				}
			} else {
				d.set(func(address string) bool {
					if atAddress(s, s.Jobs, address) == nil {
						return false
					}
					leave()
					time.Sleep(200 * time.Millisecond)
					return true
				})
			}
			ended := make(chan error, 1)
			call := newBookCall()
			call.Deadline = 5000
			go func() {
				_, err := fake.Send(ctx, r.settings.Listen, call)
				ended <- err
			}()
			if second {
				eventually(t, "sent", func() bool { return requests() == 1 })
				leave()
			}
			must.Error(t, <-ended)
			eventually(t, "ended", func() bool { return r.handler.OpenRequests.Load() == 0 })
			must.Eq(t, want, requests())
		})
	}
}

// Guards against requests to weights of which this instance learns, while the connection is made, that they were superseded long ago.
func TestWeightsFoundToBeSupersededWhileAConnectionIsMade(t *testing.T) {
	for _, path := range []string{fake.QuotePath, fake.BriefPath} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 1)
			d := &slowDial{}
			r := startRouterOn(t, testSettings(t, s), d.dial)
			eventually(t, "ready", r.isReady)
			u := s.Engines[0]
			d.set(func(address string) bool {
				if address != s.Address(u) {
					return false
				}
				boot := clock.SinceBoot()
				r.replica.AddAnnouncement(boot, policy.Weights{Model: fake.Model, Version: 2, FirstSeen: boot - 10*time.Second, Observed: true})
				return true
			})
			must.Eq(t, http.StatusServiceUnavailable, r.send(t, newPromptCall(path+"1")).Status)
			must.Zero(t, u.Requests())
		})
	}
}
