package daemon

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gorilla/mux"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/front/admin"
	"github.com/skylarkquay/skylarkquay/internal/front/detour"
	"github.com/skylarkquay/skylarkquay/internal/front/gate"
	"github.com/skylarkquay/skylarkquay/internal/front/whole"
	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
)

// headerSlackBytes lets the server read a header beyond the limit, so that the gate rejects it with one of fault's kinds.
const headerSlackBytes = 32 << 10

// servers builds the HTTP servers for callers, peers and operators.
func (r *Router) servers() []server {
	s := r.settings
	callers := &http.Server{
		Handler:           r.gate.LimitHeader(r.callerRoutes()),
		ReadHeaderTimeout: s.HeaderTimeout,
		IdleTimeout:       s.IdleTimeout,
		MaxHeaderBytes:    s.HeaderBytes + headerSlackBytes,
		BaseContext:       func(net.Listener) context.Context { return gate.WithStop(r.requests) },
	}
	return []server{
		{"callers", callers, r.callers.Listener(callers, whole.Listener(callers, r.listeners.callers))},
		{"peers", &http.Server{Handler: r.peerRoutes(), ReadHeaderTimeout: s.HeaderTimeout, IdleTimeout: s.IdleTimeout}, r.listeners.peers},
		{"admin", &http.Server{Handler: r.adminRoutes(), ReadHeaderTimeout: s.HeaderTimeout}, r.listeners.admin},
	}
}

// peerRoutes serves the calls of other instances, and connects to upstreams for those that cannot.
func (r *Router) peerRoutes() http.Handler {
	m := mux.NewRouter()
	m.Handle(detour.Path, r.relay).Methods(http.MethodPost)
	m.PathPrefix("/").Handler(wire.NewPeerServer(peerServer{r.peers}))
	return m
}

// callerRoutes sends language calls to the engines and everything else to the plain services.
func (r *Router) callerRoutes() http.Handler {
	m := mux.NewRouter()
	m.Handle("/v1/chat/completions", r.chat).Methods(http.MethodPost)
	m.Handle("/v1/completions", r.chat).Methods(http.MethodPost)
	m.HandleFunc("/v1/models", r.chat.Models).Methods(http.MethodGet)
	m.NotFoundHandler = r.plain
	m.MethodNotAllowedHandler = r.plain
	return m
}

func (r *Router) adminRoutes() http.Handler {
	m := mux.NewRouter()
	m.PathPrefix(wire.OperatorPathPrefix).Handler(wire.NewOperatorServer(&admin.Operator{
		Feed:          r.feed,
		Ledger:        r.ledger,
		Members:       r.members,
		Leases:        r.leases,
		Placer:        r.placer,
		OpenRequests:  r.queue.Running,
		StartDrain:    r.Drain,
		Zone:          r.settings.Zone,
		Log:           r.log,
		EditCommitted: r.applyCommitted,
	}))
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("/readyz", r.readyz)
	m.Handle("/metrics", r.reporter)
	if r.settings.Profiling {
		m.HandleFunc("/debug/pprof/profile", pprof.Profile)
		m.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	}
	return m
}

// readyz reports whether the load balancer may send requests to this instance.
func (r *Router) readyz(w http.ResponseWriter, _ *http.Request) {
	if r.members.Self().Leaving {
		fault.Write(w, fault.New(fault.Draining, "the instance is leaving"))
		return
	}
	if _, err := r.gate.Document(time.Now()); err != nil {
		fault.Write(w, err)
		return
	}
	if !r.initialized(time.Now()) {
		fault.Write(w, fault.New(fault.LimitUnready, "the instance has just started and knows no holder of a partition yet"))
		return
	}
	w.WriteHeader(http.StatusOK)
}

// initTimeout bounds how long the instance reports itself as not ready because it knows no holder of a partition. After it,
// the instance serves the requests that need none.
const initTimeout = 5 * time.Second

// initialized reports whether the document's upstreams are permitted and a holder of rate-limit shares is known.
func (r *Router) initialized(now time.Time) bool {
	if !r.configured.Load() {
		return false
	}
	if now.Sub(r.started) > initTimeout || len(r.leases.Partitions(now)) > 0 {
		return true
	}
	for _, m := range r.members.Live(now) {
		if len(m.Partitions) > 0 {
			return true
		}
	}
	return false
}
