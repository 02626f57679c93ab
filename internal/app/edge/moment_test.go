package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/front/link"
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
	{"starts again with another build", func(s *fake.Site, r *router, u *fake.Upstream) {
		u.Incarnation, u.Build = u.Incarnation+1, "v2"
		s.Register(u, "ready")
		relist(r, u, func(e *fleet.Entry) { e.Born, e.Build = e.Born+1, u.Build })
	}},
	{"refuses with Retry-After", func(_ *fake.Site, r *router, u *fake.Upstream) {
		r.fleet.PauseUntil(time.Now(), u.ID, 1+u.Incarnation, time.Now().Add(10*time.Second))
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
