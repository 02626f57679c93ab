// Package plain serves calls to the plain services, by the routes of the routing document.
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
	// HeaderWorkspace carries the workspace of an authenticated call to a service.
	HeaderWorkspace = "X-Workspace"
	// HeaderIdempotencyKey is the caller's idempotency key of a call that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks a response that was stored when the call first ran.
	HeaderReplayed = "Idempotency-Replayed"
)

const maxAttempts = 3

// Handler serves calls to plain services.
type Handler struct {
	Gate    *gate.Gate
	Queue   *fairq.Queue
	Fleet   *status.Fleet
	Pool    *relay.Pool
	Claims  *claim.Manager
	Log     logr.Logger
	Metrics tally.Scope
	Zone    string

	matcher atomic.Pointer[matcher]
	// pending counts the writes to the claim store that are in progress.
	pending sync.WaitGroup
}

// matcher matches calls to the routes of one revision of the document.
type matcher struct {
	revision int64
	router   *mux.Router
}

// call is one call to a service.
type call struct {
	id          string
	routeName   string
	route       rules.Route
	caller      gate.Caller
	queueWeight int
	body        []byte
	method      string
	path        string
	query       url.Values
	header      http.Header
}

// ServeHTTP implements http.Handler.
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
	c := &call{id: rand.Text(), routeName: name, route: doc.Routes[name], queueWeight: 1, method: r.Method, path: r.URL.EscapedPath(), query: r.URL.Query(), header: r.Header}
	ctx := r.Context()
	if !c.route.Open {
		var release func()
		ctx, c.caller, release, err = h.Gate.Authenticate(r, time.Now())
		if err != nil {
			h.refuse(w, "", err)
			return
		}
		defer release()
		c.queueWeight = doc.Workspaces[c.caller.Workspace].Weight
	} else {
		// The key of a call on an open route is not checked, but it must not be forwarded either.
		c.caller.Key = gate.KeyOf(r)
	}
	if c.body, err = h.Gate.ReadBody(w, r); err != nil {
		h.refuse(w, c.caller.Workspace, err)
		return
	}
	h.run(ctx, w, c)
}

func (h *Handler) run(ctx context.Context, w http.ResponseWriter, c *call) {
	if err := h.Queue.Acquire(ctx, c.caller.Workspace, c.queueWeight, 1); err != nil {
		h.refuse(w, c.caller.Workspace, gate.StopFault(ctx, false, err))
		return
	}
	defer func() { h.Queue.Release(time.Now()) }()
	timeout := time.Duration(c.route.TimeoutMillis) * time.Millisecond
	if c.route.Idempotent {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		h.serveIdempotent(ctx, w, c)
		return
	}
	// A call that is not idempotent runs to completion, also when the caller disconnects, so that its outcome is stored.
	ctx, cancel := gate.OnceContext(ctx, timeout)
	defer cancel()
	h.serveOnce(ctx, w, c)
}

// match returns the name of the route that matches r.
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

// serveIdempotent sends an idempotent call, and retries on another upstream after a failure.
func (h *Handler) serveIdempotent(ctx context.Context, w http.ResponseWriter, c *call) {
	tried := make(map[string]bool)
	mayHaveRun := false
	var lastErr error
	for range maxAttempts {
		v, ok := h.choose(c, tried)
		if !ok {
			break
		}
		tried[v.Name] = true
		res, err := h.send(ctx, w, c, v, h.Pool.Do)
		if err == nil {
			h.Fleet.Succeeded(time.Now(), v.Name, "")
			h.copyResponse(w, res)
			return
		}
		mayHaveRun = mayHaveRun || !relay.NotSent(err)
		lastErr = err
		if ctx.Err() != nil {
			h.Pool.CloseIdle(v.Address)
		}
		h.Fleet.Failed(time.Now(), v.Name)
		h.Log.Info("route: upstream failed", "request", c.id, "route", c.routeName, "upstream", v.Name, "reason", err.Error())
		if ctx.Err() != nil {
			break
		}
	}
	if !mayHaveRun {
		h.refuse(w, c.caller.Workspace, gate.StopFault(ctx, false, fault.New(fault.NoUpstream, "no upstream of service %s takes the call", c.route.Service)))
		return
	}
	h.refuse(w, c.caller.Workspace, gate.StopFault(ctx, true, fault.New(fault.UpstreamFailed, "the call failed: %s", lastErr.Error())))
}

// choose returns the least loaded upstream that was not tried. It takes an ejected one only when there is no other, and
// prefers this zone among equals.
func (h *Handler) choose(c *call, tried map[string]bool) (status.View, bool) {
	var best status.View
	found := false
	for _, v := range h.Fleet.Services(time.Now(), c.route.Service) {
		if tried[v.Name] {
			continue
		}
		if !found || h.preferred(v, best) {
			best = v
			found = true
		}
	}
	if found {
		h.Log.Info("route: chose upstream", "request", c.id, "route", c.routeName, "workspace", c.caller.Workspace, "upstream", best.Name, "running", best.Running)
	}
	return best, found
}

// preferred reports whether a is a better choice than b.
func (h *Handler) preferred(a, b status.View) bool {
	if a.Ejected != b.Ejected {
		return b.Ejected
	}
	if a.Running != b.Running {
		return a.Running < b.Running
	}
	return a.Zone == h.Zone && b.Zone != h.Zone
}

// send sends a call to one upstream.
func (h *Handler) send(ctx context.Context, w http.ResponseWriter, c *call, v status.View, do func(*http.Request) (*http.Response, error)) (*http.Response, error) {
	req, err := newRequest(httptrace.WithClientTrace(ctx, forwardEarlyHints(w)), c, v.Address)
	if err != nil {
		return nil, err
	}
	h.Fleet.RequestSent(time.Now(), v.Name, 0)
	return do(req)
}

// forwardEarlyHints forwards 103 Early Hints responses to the caller.
func forwardEarlyHints(w http.ResponseWriter) *httptrace.ClientTrace {
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

// WaitForWrites waits until all pending writes to the claim store have ended.
func (h *Handler) WaitForWrites() {
	h.pending.Wait()
}
