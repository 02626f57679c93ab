// Package plain serves calls to the plain services beside the engines, by the routes of the routing document.
package plain

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/front/gate"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/once/claim"
	"github.com/skylarkquay/skylarkquay/internal/route/fairq"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

// Headers between callers, router and plain services.
const (
	// HeaderWorkspace tells a service for whom a keyed call runs.
	HeaderWorkspace = "X-Workspace"
	// HeaderIdempotency is the caller's name for a call that must run at most once.
	HeaderIdempotency = "Idempotency-Key"
	// HeaderReplayed marks an answer that was kept from the first run.
	HeaderReplayed = "Idempotency-Replayed"
)

const maxAttempts = 3

// Handler serves plain calls.
type Handler struct {
	Gate    *gate.Gate
	Queue   *fairq.Queue
	Fleet   *status.Fleet
	Pool    *relay.Pool
	Desk    *claim.Desk
	Log     logr.Logger
	Metrics tally.Scope
	Zone    string

	matcher atomic.Pointer[matcher]
	// pending counts the claims whose answers are still being stored.
	pending sync.WaitGroup
}

// matcher finds the route of a call in one revision of the document.
type matcher struct {
	revision int64
	router   *mux.Router
}

// call is one call on its way to a service.
type call struct {
	id     string
	name   string
	route  rules.Route
	caller gate.Caller
	weight int
	body   []byte
	method string
	path   string
	query  url.Values
	header http.Header
}

// ServeHTTP handles one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	doc, err := h.Gate.Document(time.Now())
	if err != nil {
		h.refuse(w, "", err)
		return
	}
	name, ok := h.match(doc, r)
	if !ok {
		h.refuse(w, "", fault.New(fault.UnknownRoute, "no route for %s %s", r.Method, r.URL.Path))
		return
	}
	c := &call{id: rand.Text(), name: name, route: doc.Routes[name], weight: 1, method: r.Method, path: r.URL.EscapedPath(), query: r.URL.Query(), header: r.Header}
	ctx := r.Context()
	if !c.route.Open {
		var leave func()
		ctx, c.caller, leave, err = h.Gate.Enter(r, time.Now())
		if err != nil {
			h.refuse(w, "", err)
			return
		}
		defer leave()
		c.weight = doc.Workspaces[c.caller.Workspace].Weight
	} else {
		// The key of a call on an open route is not looked at, but it must not be forwarded either.
		c.caller.Key = gate.KeyOf(r)
	}
	if c.body, err = h.Gate.Body(w, r); err != nil {
		h.refuse(w, c.caller.Workspace, err)
		return
	}
	h.run(ctx, w, c)
}

func (h *Handler) run(ctx context.Context, w http.ResponseWriter, c *call) {
	if err := h.Queue.Acquire(ctx, c.caller.Workspace, c.weight, 1); err != nil {
		h.refuse(w, c.caller.Workspace, err)
		return
	}
	defer func() { h.Queue.Release(time.Now()) }()
	timeout := time.Duration(c.route.TimeoutMillis) * time.Millisecond
	if c.route.Idempotent {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		h.repeatable(ctx, w, c)
		return
	}
	// A call that may not be repeated runs to its end, also when the caller leaves, so that its outcome is kept.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	h.once(ctx, w, c)
}

// match finds the route's name.
func (h *Handler) match(doc *rules.Document, r *http.Request) (string, bool) {
	m := h.matcher.Load()
	if m == nil || m.revision != doc.Revision {
		m = newMatcher(doc)
		h.matcher.Store(m)
	}
	var found mux.RouteMatch
	if !m.router.Match(r, &found) || found.Route == nil {
		return "", false
	}
	return found.Route.GetName(), true
}

func newMatcher(doc *rules.Document) *matcher {
	router := mux.NewRouter()
	for name, route := range doc.Routes {
		router.Path(route.Path).Methods(route.Method).Name(name).Handler(http.NotFoundHandler())
	}
	return &matcher{revision: doc.Revision, router: router}
}

// repeatable sends an idempotent call, and sends it again to another upstream after a failure.
func (h *Handler) repeatable(ctx context.Context, w http.ResponseWriter, c *call) {
	tried := make(map[string]bool)
	ran := false
	var last error
	for range maxAttempts {
		v, ok := h.choose(c, tried)
		if !ok {
			break
		}
		tried[v.Name] = true
		res, err := h.send(ctx, w, c, v, h.Pool.Do)
		if err == nil {
			h.Fleet.Succeeded(time.Now(), v.Name, "")
			h.copyAnswer(w, res)
			return
		}
		ran = ran || !relay.NotSent(err)
		last = err
		if ctx.Err() != nil {
			h.Pool.Distrust(v.Address)
		}
		h.Fleet.Failed(time.Now(), v.Name)
		h.Log.Info("route: upstream failed", "request", c.id, "route", c.name, "upstream", v.Name, "reason", err.Error())
		if ctx.Err() != nil {
			break
		}
	}
	if !ran {
		h.refuse(w, c.caller.Workspace, fault.New(fault.NoUpstream, "no upstream of service %s takes the call", c.route.Service))
		return
	}
	h.refuse(w, c.caller.Workspace, fault.New(fault.UpstreamFailed, "the call failed: %s", last.Error()))
}

// choose picks the least loaded upstream that was not tried, nearest first among equals.
func (h *Handler) choose(c *call, tried map[string]bool) (status.View, bool) {
	var best status.View
	found := false
	for _, v := range h.Fleet.Services(time.Now(), c.route.Service) {
		if tried[v.Name] {
			continue
		}
		if !found || h.better(v, best) {
			best = v
			found = true
		}
	}
	if found {
		h.Log.Info("route: chose upstream", "request", c.id, "route", c.name, "workspace", c.caller.Workspace, "upstream", best.Name, "running", best.Running)
	}
	return best, found
}

func (h *Handler) better(a, b status.View) bool {
	if a.Ejected != b.Ejected {
		return b.Ejected
	}
	if a.Running != b.Running {
		return a.Running < b.Running
	}
	return a.Zone == h.Zone && b.Zone != h.Zone
}

// send makes one request to one upstream.
func (h *Handler) send(ctx context.Context, w http.ResponseWriter, c *call, v status.View, do func(*http.Request) (*http.Response, error)) (*http.Response, error) {
	req, err := newRequest(httptrace.WithClientTrace(ctx, early(w)), c, v.Address)
	if err != nil {
		return nil, err
	}
	h.Fleet.RequestSent(time.Now(), v.Name, 0)
	return do(req)
}

// early passes informational answers on to the caller.
func early(w http.ResponseWriter) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
		if code != http.StatusEarlyHints {
			return nil
		}
		for name, values := range header {
			for _, v := range values {
				w.Header().Add(name, v)
			}
		}
		w.WriteHeader(code)
		for name := range header {
			w.Header().Del(name)
		}
		return nil
	}}
}

func (h *Handler) refuse(w http.ResponseWriter, workspace string, err error) {
	e := fault.From(err)
	h.Log.Info("route: refused call", "workspace", workspace, "kind", e.Kind, "reason", e.Message)
	h.Metrics.Tagged(map[string]string{"kind": string(e.Kind)}).Counter("refused").Inc(1)
	fault.Write(w, e)
}

// Wait returns when no answer is waiting to be stored.
func (h *Handler) Wait() {
	h.pending.Wait()
}
