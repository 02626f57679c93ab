package daemon

import (
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gorilla/mux"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/front/admin"
	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
)

// headerSlack lets the server read a header beyond the limit, so that it gets an answer of the closed list.
const headerSlack = 1 << 20

// servers builds the HTTP servers for callers, peers and operators.
func (r *Router) servers() []server {
	s := r.settings
	callers := &http.Server{
		Handler:           r.gate.LimitHeader(r.callerRoutes()),
		ReadHeaderTimeout: s.HeaderTimeout,
		IdleTimeout:       s.IdleTimeout,
		MaxHeaderBytes:    s.HeaderBytes + headerSlack,
	}
	return []server{
		{"callers", callers, r.listeners.callers},
		{"peers", &http.Server{Handler: wire.NewPeerServer(answers{r.peers}), ReadHeaderTimeout: s.HeaderTimeout, IdleTimeout: s.IdleTimeout}, r.listeners.peers},
		{"admin", &http.Server{Handler: r.adminRoutes(), ReadHeaderTimeout: s.HeaderTimeout}, r.listeners.admin},
	}
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
		Leases:        r.keeper,
		Placer:        r.placer,
		OpenRequests:  r.queue.Running,
		StartDrain:    r.Drain,
		Zone:          r.settings.Zone,
		Log:           r.log,
		EditCommitted: r.accepted,
	}))
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("/readyz", r.ready)
	m.Handle("/metrics", r.counters)
	if r.settings.Profiling {
		m.HandleFunc("/debug/pprof/profile", pprof.Profile)
		m.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	}
	return m
}

// ready answers whether the balancer may send requests here.
func (r *Router) ready(w http.ResponseWriter, _ *http.Request) {
	if r.members.Self().Leaving {
		fault.Write(w, fault.New(fault.Draining, "the instance is leaving"))
		return
	}
	if _, err := r.gate.Document(time.Now()); err != nil {
		fault.Write(w, err)
		return
	}
	if !r.prepared(time.Now()) {
		fault.Write(w, fault.New(fault.LimitUnready, "the instance has just started and knows no holder of a partition yet"))
		return
	}
	w.WriteHeader(http.StatusOK)
}

// prepareLimit is how long a started instance waits to know a holder of a partition before it serves what needs none.
const prepareLimit = 5 * time.Second

// prepared tells whether the upstreams of the document are known here and the shares of limits can be reached.
func (r *Router) prepared(now time.Time) bool {
	if !r.watched.Load() {
		return false
	}
	if now.Sub(r.started) > prepareLimit || len(r.keeper.Partitions(now)) > 0 {
		return true
	}
	for _, m := range r.members.Live(now) {
		if len(m.Partitions) > 0 {
			return true
		}
	}
	return false
}
