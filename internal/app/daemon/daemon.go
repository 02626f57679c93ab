// Package daemon assembles one router: it builds the components, runs their loops and stops them in order.
package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"github.com/skylarkquay/skylarkquay/internal/base/meter"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"

	"github.com/skylarkquay/skylarkquay/internal/conf/feed"
	"github.com/skylarkquay/skylarkquay/internal/conf/ledger"
	"github.com/skylarkquay/skylarkquay/internal/conf/option"
	"github.com/skylarkquay/skylarkquay/internal/front/caller"
	"github.com/skylarkquay/skylarkquay/internal/front/chat"
	"github.com/skylarkquay/skylarkquay/internal/front/detour"
	"github.com/skylarkquay/skylarkquay/internal/front/gate"
	"github.com/skylarkquay/skylarkquay/internal/front/plain"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/limit/admit"
	"github.com/skylarkquay/skylarkquay/internal/limit/share"
	"github.com/skylarkquay/skylarkquay/internal/once/claim"
	"github.com/skylarkquay/skylarkquay/internal/once/crash"
	"github.com/skylarkquay/skylarkquay/internal/peer/lease"
	"github.com/skylarkquay/skylarkquay/internal/peer/member"
	"github.com/skylarkquay/skylarkquay/internal/plat/bucket"
	"github.com/skylarkquay/skylarkquay/internal/plat/roster"
	"github.com/skylarkquay/skylarkquay/internal/plat/table"
	"github.com/skylarkquay/skylarkquay/internal/route/fairq"
	"github.com/skylarkquay/skylarkquay/internal/route/picker"
	"github.com/skylarkquay/skylarkquay/internal/route/placer"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

// Router is one router with all its components.
type Router struct {
	settings option.Settings
	log      logr.Logger
	metrics  tally.Scope
	reporter *meter.Reporter

	table   *table.Dynamo
	ledger  *ledger.Ledger
	roster  *roster.Client
	feed    *feed.Feed
	members *member.Table
	leases  *lease.Manager
	limiter *admit.Limiter
	claims  *claim.Manager
	crashes *crash.Tracker
	fleet   *status.Fleet
	placer  *placer.Placer
	pool    *relay.Pool
	dialer  *detour.Dialer
	relay   *detour.Relay
	queue   *fairq.Queue
	callers *caller.Conns
	gate    *gate.Gate
	chat    *chat.Handler
	plain   *plain.Handler
	peers   *peers

	listeners listeners
	// requests is the context of callers' requests; endRequests cancels it when the router stops.
	requests    context.Context
	endRequests context.CancelCauseFunc
	// started is when the router was built; configured is set once the upstreams of the first document are permitted.
	started    time.Time
	configured atomic.Bool
	// done is closed when the router has stopped.
	done chan struct{}
}

// listeners are the router's listening sockets.
type listeners struct {
	callers net.Listener
	peers   net.Listener
	admin   net.Listener
}

// New builds a router and opens its ports.
func New(s option.Settings, log logr.Logger) (*Router, error) {
	l, err := listen(s)
	if err != nil {
		return nil, err
	}
	reporter := meter.NewReporter()
	metrics, _ := tally.NewRootScope(tally.ScopeOptions{Prefix: "skylarkquay", CachedReporter: nil, Reporter: reporter}, time.Second)
	r := &Router{
		settings:  s,
		log:       log,
		metrics:   metrics,
		reporter:  reporter,
		feed:      feed.New(),
		fleet:     status.NewFleet(picker.DefaultCosts().PerToken),
		crashes:   crash.NewTracker(),
		queue:     fairq.NewQueue(s.MaxInFlight),
		roster:    roster.NewClient(s.RosterURL),
		listeners: l,
		started:   time.Now(),
		done:      make(chan struct{}),
	}
	r.members = member.New(member.Member{
		Address:     s.Peer,
		Zone:        s.Zone,
		Incarnation: fmt.Sprintf("%019d-%s", time.Now().UnixNano(), rand.Text()[:8]),
	})
	r.requests, r.endRequests = context.WithCancelCause(context.Background())
	r.buildDialer()
	r.buildClients()
	r.buildComponents()
	return r, nil
}

func listen(s option.Settings) (listeners, error) {
	var l listeners
	var errs [3]error
	l.callers, errs[0] = net.Listen("tcp", s.Listen)
	l.peers, errs[1] = net.Listen("tcp", s.Peer)
	l.admin, errs[2] = net.Listen("tcp", s.Admin)
	return l, oops.Wrapf(errors.Join(errs[:]...), "open ports")
}

// buildClients builds the clients of the platform's stores.
func (r *Router) buildClients() {
	s := r.settings
	r.table = table.NewDynamo(table.Settings{
		Endpoint: s.TableURL, Region: s.Region, AccessKey: s.AccessKey, SecretKey: s.SecretKey, Name: s.TableName, Timeout: s.StoreTimeout,
	})
	r.table.Observe = func(operation string) {
		r.metrics.Tagged(map[string]string{"operation": operation}).Counter("store_calls").Inc(1)
	}
	objects := bucket.NewS3(bucket.Settings{
		Endpoint: s.ObjectURL, Region: s.Region, AccessKey: s.AccessKey, SecretKey: s.SecretKey, Name: s.Bucket, Timeout: s.StoreTimeout,
	})
	r.ledger = ledger.New(r.table, objects)
}

// buildComponents builds the components that place and serve requests.
func (r *Router) buildComponents() {
	s := r.settings
	self := r.members.Self()
	r.peers = newPeers(r)
	r.leases = lease.NewManager(r.table, r.log, self.Address, self.Incarnation, s.Partitions, r.peers)
	r.limiter = admit.NewLimiter(s.Partitions, share.NewBuckets(), r.leases, r.peers)
	r.claims = claim.NewManager(r.table, self.Address, r.peers.resolve)
	r.callers = r.newCallers()
	r.gate = gate.NewGate(r.feed, r.members.Size, s.HeaderBytes, s.BodyBytes)
	r.placer = placer.NewPlacer(r.fleet, placerMembers{r.members}, r.peers)
	r.chat = &chat.Handler{
		Gate:              r.gate,
		Limiter:           r.limiter,
		Queue:             r.queue,
		Fleet:             r.fleet,
		Pool:              r.pool,
		Placer:            r.placer,
		Crashes:           r.crashes,
		CrashRecorder:     &crashRecorder{router: r},
		Log:               r.log,
		Metrics:           r.metrics.SubScope("chat"),
		Zone:              s.Zone,
		DefaultMaxTokens:  s.MaxTokens,
		FirstTokenTimeout: s.FirstToken,
		TokenIdleTimeout:  s.TokenIdle,
		WriteTimeout:      s.WriteTimeout,
	}
	r.plain = &plain.Handler{
		Gate:    r.gate,
		Queue:   r.queue,
		Fleet:   r.fleet,
		Pool:    r.pool,
		Claims:  r.claims,
		Log:     r.log,
		Metrics: r.metrics.SubScope("plain"),
		Zone:    s.Zone,
	}
}

// exit is how one loop or server of the router ended.
type exit struct {
	name string
	err  error
}

// Run serves until the context ends, then stops gracefully. It returns the first failure of a loop or server, or nil.
func (r *Router) Run(ctx context.Context) error {
	defer close(r.done)
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	servers := r.servers()
	loops := r.loops()
	exits := make(chan exit, len(loops)+len(servers))
	for _, l := range loops {
		go func() { exits <- exit{l.name, l.run(loopCtx)} }()
	}
	for _, s := range servers {
		go func() { exits <- exit{s.name, s.http.Serve(s.listener)} }()
	}
	r.log.Info("router: started", "peer", r.settings.Peer, "callers", r.settings.Listen, "zone", r.settings.Zone)
	var failure error
	exited := 0
	select {
	case <-ctx.Done():
	case e := <-exits:
		exited++
		failure = oops.Wrapf(e.err, "%s", e.name)
	}
	r.shutdown(servers)
	stopLoops()
	for ; exited < cap(exits); exited++ {
		<-exits
	}
	r.log.Info("router: stopped")
	return failure
}

// Done returns a channel that is closed when the router has stopped.
func (r *Router) Done() <-chan struct{} {
	return r.done
}

// Drain starts a planned stop: the router reports itself as not ready and leaving, but continues to serve.
func (r *Router) Drain() {
	if r.members.Self().Leaving {
		return
	}
	r.members.SetLeaving()
	r.log.Info("router: draining")
}

// shutdown drains, stops accepting calls, waits for the open requests and the pending claim writes, and then releases the
// leases. Requests that are still open after DrainTimeout are ended with an error response.
func (r *Router) shutdown(servers []server) {
	r.Drain()
	time.Sleep(r.settings.DrainNotice)
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.DrainTimeout)
	defer cancel()
	for _, s := range servers {
		if s.name == "callers" {
			if err := s.http.Shutdown(ctx); err != nil {
				r.log.Info("router: requests were still open at the end of the drain", "open", r.queue.Running())
				r.answerOpen(s.http)
			}
		}
	}
	r.waitRelayed(ctx)
	r.plain.WaitForWrites()
	r.releaseLeases(ctx)
	for _, s := range servers {
		_ = s.http.Close()
	}
}

// answerTimeout bounds the time in which the requests that are open at the end of the drain get their responses.
const answerTimeout = 500 * time.Millisecond

// answerOpen ends the open requests and waits for their responses.
func (r *Router) answerOpen(callers *http.Server) {
	r.endRequests(gate.ErrStopped())
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	// The connections that are still open then are closed.
	_ = callers.Shutdown(ctx)
}

// server is one of the router's HTTP servers.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener
}

// loop is one background loop of the router.
type loop struct {
	name string
	run  func(ctx context.Context) error
}
