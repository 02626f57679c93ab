package edge

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"reflect"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/base/meter"
	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/front/detour"
	"github.com/skylarkquay/skylarkquay/internal/front/link"
	"github.com/skylarkquay/skylarkquay/internal/front/serve"
	"github.com/skylarkquay/skylarkquay/internal/front/whole"
	"github.com/skylarkquay/skylarkquay/internal/limit/budget"
	"github.com/skylarkquay/skylarkquay/internal/limit/hold"
	"github.com/skylarkquay/skylarkquay/internal/limit/quota"
	"github.com/skylarkquay/skylarkquay/internal/once/fatal"
	"github.com/skylarkquay/skylarkquay/internal/peer/gossip"
	"github.com/skylarkquay/skylarkquay/internal/peer/outage"
	"github.com/skylarkquay/skylarkquay/internal/peer/rank"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/holder"
	"github.com/skylarkquay/skylarkquay/internal/route/learn"
	"github.com/skylarkquay/skylarkquay/internal/route/origin"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
	"github.com/skylarkquay/skylarkquay/platform"
)

const (
	// memoryLimitFraction is the fraction of the instance's memory that is set as the garbage collector's soft limit.
	memoryLimitFraction = 0.6
	// bufferMemoryDivisor is the divisor of the instance's memory that gives the memory for the heads and bodies of responses that are
	// read, heldMemoryDivisor that of the memory for callers, which bounds it on small machines.
	bufferMemoryDivisor = 8
	heldMemoryDivisor   = 4
	// gcPercent is the heap growth in percent that starts a garbage collection. It is low because memory is scarce on small
	// instances and the heap is a few megabytes.
	gcPercent = 50
	// idleTimeout is longer than the time for which callers at the site may reuse idle connections, so that callers close
	// them first.
	idleTimeout = 2 * time.Minute
	// readHeaderTimeout bounds the time in which a request's header arrives.
	readHeaderTimeout = 15 * time.Second
	// maxHeaderBytes bounds a request's header before the limit of the routing document is applied.
	maxHeaderBytes = 64 << 10
	// revocationMargin is subtracted from the revocation limit; it covers the network delay to the upstream.
	revocationMargin = 400 * time.Millisecond
	// weightsMargin is subtracted from the limit on superseded weights; it covers the age of the announcement and the time until an
	// engine has dropped an attempt that is taken back.
	weightsMargin = 1000 * time.Millisecond
	// maxReadyAge is the age of the routing document up to which the instance reports that it is ready.
	maxReadyAge = 2500 * time.Millisecond
	// gossipWarmup is how long a new instance receives messages of the others before it reports that it is ready, so that
	// it has received what workspaces used of their rates.
	gossipWarmup = 300 * time.Millisecond
)

// Edge is one router instance on the users' platform.
type Edge struct {
	settings     Settings
	settingsPath string
	// hup receives SIGHUP; nil if the process does not handle it.
	hup          <-chan os.Signal
	log          logr.Logger
	droppedLines func() int64
	incarnation  int64
	store        *platform.Store
	engines      *platform.Engines
	replica      *policy.Replica
	fleet        *fleet.Fleet
	pool         *link.Pool
	dialer       *detour.Dialer
	relay        *detour.Relay
	quota        *quota.Limiter
	budget       *budget.Budget
	crashes      *fatal.Tracker
	parts        *fatal.PartTracker
	holders      *holder.Tracker
	learner      *learn.Tracker
	// learnedAt is when the paces of upstreams that others reported were last added.
	learnedAt    time.Time
	origins      *origin.Tracker
	history      buildHistory
	startedAt    time.Time
	handler      *serve.Handler
	exchange     *gossip.Exchange
	rollout      *rollout
	decider      *decider
	counters     *meter.Reporter
	metrics      tally.Scope
	closeMetrics func() error
	socket       *net.UDPConn
	listeners    []net.Listener
	callers      *callerConns
	// account counts what the process holds for callers.
	account *hold.Account
	// newerDocument queues the address of an instance that has a newer routing document.
	newerDocument chan string
	// documentRow is the row of the routing document in force.
	documentRow atomic.Pointer[platform.Row]
	// ranks order the instances for tasks that one does on behalf of all.
	ranks *rank.Tracker
	list  *listState
	// lastListReport is the latest report of the list by another instance.
	lastListReport atomic.Pointer[listReport]
	// outages knows whether the store was away for all instances. servedMu keeps what the fleet knows of it in step.
	outages  *outage.Tracker
	servedMu sync.Mutex
	// epochs holds the store's epoch. registerAgain makes the instance write its row again after a restore.
	epochs        epochTracker
	registerAgain chan struct{}
	// restoreRead is the latest epoch whose restore followOperators has read or recorded in the store.
	restoreRead int64
	// following reports whether this instance reads changes of the operators' rows from the store.
	following atomic.Bool
	// joined is when this instance joined the others, in nanoseconds of clock.SinceBoot; zero before.
	joined     atomic.Int64
	storeClock storeClock
	// kvStorePoller reports whether this instance polls the KV stores.
	kvStorePoller atomic.Bool
}

// New returns an instance that listens on its addresses. The settings were read from path; droppedLines returns the number
// of log lines that were dropped.
func New(s Settings, path string, log logr.Logger, droppedLines func() int64) (*Edge, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryLimitFraction))
	e := &Edge{
		settings: s, settingsPath: path, log: log.WithValues("instance", s.Name), droppedLines: droppedLines, incarnation: newIncarnation(),
		replica: policy.NewReplica(), fleet: fleet.New(), quota: quota.NewLimiter(), crashes: fatal.NewTracker(), parts: fatal.NewPartTracker(),
		holders: holder.NewTracker(), learner: newLearner(), origins: origin.NewTracker(), startedAt: time.Now(), counters: meter.NewReporter(), newerDocument: make(chan string, 1),
		ranks: rank.NewTracker(rank.SortKey(s.size(), s.Peer)), list: newListState(), callers: newCallerConns(),
		outages: outage.NewTracker(time.Duration(outageHeartbeats * float64(s.heartbeat()))),
		epochs:  epochTracker{current: unknownEpoch}, registerAgain: make(chan struct{}, 1),
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Prefix: "skylarkquay", Reporter: e.counters}, time.Second)
	e.metrics, e.closeMetrics = scope, closer.Close
	e.store = platform.NewStore(s.Store, func(call string) { e.countCall("store_calls", call) }, func(epoch int64) { e.observeEpoch(epoch, "store") })
	e.fleet.SetSelf(s.Peer)
	e.dialer, e.relay = e.newDialer()
	e.engines = platform.NewEngines(e.dialEngine, func(call string) { e.countCall("engine_calls", call) })
	limits := hold.LimitsFor(s.MemoryMB<<20, s.descriptors())
	memory := bound.NewBudget(min(s.MemoryMB<<20/bufferMemoryDivisor, limits.Bytes/heldMemoryDivisor))
	e.pool = link.NewPool(e.dialer, e.maxConnections, func() { scope.Counter("connections").Inc(1) })
	e.pool.Memory, e.dialer.Memory = memory, memory
	e.budget = budget.New(budget.Bounds{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: seconds(s.RetryWindow)}, 1)
	e.account = hold.NewAccount(limits, e.log, func(r hold.Reason) {
		scope.Tagged(map[string]string{"reason": string(r)}).Counter("connections_cut").Inc(1)
	})
	e.handler = &serve.Handler{
		Settings: serve.Settings{
			Zone: s.Zone, MaxKeyAge: millis(s.Revocation) - revocationMargin,
			SupersededLimit: millis(s.Weights) - weightsMargin,
		},
		Dialect: platform.Dialect{}, Feed: e.replica, Fleet: e.fleet, Pool: e.pool, Quota: e.quota, Budget: e.budget,
		Holders: e.holders, CrashCounter: e.crashes, Parts: e.parts, Costs: place.DefaultCosts(), Learner: e.learner, Log: e.log, Metrics: scope, Boot: clock.SinceBoot,
		Memory: memory, Stop: serve.NewStop(),
	}
	e.replica.AssumedAge = e.handler.Settings.SupersededLimit
	if platform.SharesRoom(s.Terms) {
		e.handler.Shares = serve.NewServiceShares()
	}
	e.handler.Origins = e
	e.handler.Peers = func() (int, time.Duration) { return e.exchange.Count() - 1, e.exchange.PropagationDelay() / 2 }
	e.handler.SendReport = func() { e.exchange.TriggerSend() }
	e.rollout = newRollout(e)
	e.decider = newDecider(e)
	e.handler.Shifts = e.decider
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.exchange = gossip.New(gossip.Settings{
		Conn: e.socket, Instance: e.self(), Incarnation: e.incarnation, Clock: clock.SinceBoot, Source: e, Sink: e, Log: e.log,
	})
	return e, nil
}

// newIncarnation returns a number that no other start of the instance has. It is random, because the time of day may jump back.
func newIncarnation() int64 { return 1<<62 | rand.Int64N(1<<62) }

// self returns this instance as its peers address it.
func (e *Edge) self() gossip.Instance {
	return gossip.Instance{Address: e.settings.Peer, Zone: e.settings.Zone, Size: e.settings.size()}
}

func (e *Edge) countCall(name, call string) {
	e.metrics.Tagged(map[string]string{"call": call}).Counter(name).Inc(1)
}

func (e *Edge) listen() error {
	addr, err := net.ResolveUDPAddr("udp4", e.settings.Peer)
	if err != nil {
		return oops.Wrapf(err, "peer address")
	}
	if e.socket, err = net.ListenUDP("udp4", addr); err != nil {
		return oops.Wrapf(err, "peer address")
	}
	for _, address := range []string{e.settings.Listen, e.settings.Ready, e.settings.Metrics, e.settings.Peer} {
		l, err := net.Listen("tcp4", address)
		if err != nil {
			return oops.Wrapf(err, "listen on %s", address)
		}
		e.listeners = append(e.listeners, l)
	}
	return nil
}

// maxConnections returns the maximum number of connections of this instance to an upstream, or 0 for no limit. It is an
// equal share of the upstream's limit, less a fifth for health checks and connections that close late.
func (e *Edge) maxConnections(address string) int {
	doc := e.replica.Document()
	if doc == nil {
		return 0
	}
	service := doc.Services[e.fleet.ServiceAt(address)]
	if service == nil || service.MaxConns == 0 {
		return 0
	}
	return max(2, service.MaxConns*4/5/e.exchange.Count())
}

// Run serves until the context ends, then shuts down gracefully.
func (e *Edge) Run(ctx context.Context) error {
	e.log.Info("edge: started", "zone", e.settings.Zone, "listen", e.settings.Listen, "store", e.settings.Store)
	loopCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var loops sync.WaitGroup
	start := func(loop func(context.Context)) { loops.Go(func() { loop(loopCtx) }) }
	for _, loop := range []func(context.Context){
		e.followOperators, e.followList, e.join, e.exchange.Run, e.pollKVStores, e.maintain, e.watchSettings, e.copyDocuments, e.rollout.run,
		e.keepBlocks, e.copyCrashes, e.keepOrigins, e.checkPaths, e.decider.run,
	} {
		start(loop)
	}
	loops.Go(e.exchange.Listen)
	serveErrs := make(chan error, len(e.listeners))
	servers := []*http.Server{
		{Handler: e.handler}, {Handler: http.HandlerFunc(e.handleReady)}, {Handler: e.metricsHandler()}, {Handler: e.peerHandler()},
	}
	front := servers[0]
	front.ConnState = e.callers.observe
	listeners := slices.Clone(e.listeners)
	listeners[0] = callerListener{e.account.Listener(whole.Listener(front, e.listeners[0]), e.handler.WriteShortage)}
	baseContext := front.ConnContext
	front.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return requestContext(baseContext(ctx, c), c) }
	for i, s := range servers {
		s.IdleTimeout, s.ReadHeaderTimeout, s.MaxHeaderBytes = idleTimeout, readHeaderTimeout, maxHeaderBytes
		go func() { serveErrs <- s.Serve(listeners[i]) }()
	}
	var err error
	select {
	case <-ctx.Done():
		e.shutdown(time.Now())
	case err = <-serveErrs:
		err = oops.Wrapf(err, "HTTP server failed")
	}
	cancel()
	for _, s := range servers {
		_ = s.Close()
	}
	_ = e.socket.Close()
	loops.Wait()
	e.log.Info("edge: stopped", "dropped_lines", e.droppedLines())
	_ = e.closeMetrics()
	return err
}

const (
	// drainNotice is how long an instance that reports not ready still accepts connections; the load balancer polls once a
	// second and removes an instance after two failed polls.
	drainNotice = 2300 * time.Millisecond
	// shutdownMargin is the part of the grace period that is reserved for the process exit.
	shutdownMargin = 400 * time.Millisecond
)

// shutdown reports that the instance is not ready, answers all requests within the grace period and closes idle connections.
func (e *Edge) shutdown(started time.Time) {
	grace := seconds(e.settings.Grace)
	end := started.Add(grace - shutdownMargin)
	e.handler.Draining.Store(true)
	e.handler.Stop.Begin(started, end)
	e.log.Info("edge: stopping", "open", e.handler.OpenRequests.Load(), "grace_ms", grace.Milliseconds())
	e.exchange.TriggerSend()
	time.Sleep(min(drainNotice, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	e.closeConnections(ctx)
	e.exchange.Send()
}

// connCheckInterval is the interval at which a stopping instance closes idle connections.
const connCheckInterval = 50 * time.Millisecond

// closeConnections stops listening and closes connections when they become idle, until none is left, also of those that are relayed
// for other instances, or the context ends. Requests that still arrive on open connections are refused; http.Server.Shutdown would close
// these without an answer.
func (e *Edge) closeConnections(ctx context.Context) {
	e.handler.Closed.Store(true)
	// The listener is not used again, so an error does not matter.
	_ = e.listeners[0].Close()
	for e.callers.count() > 0 || e.relay.Open() > 0 {
		e.callers.closeUnused()
		if e.handler.Stop.Over() {
			e.refuseArriving(time.Now())
		}
		if sleep.For(ctx, connCheckInterval) != nil {
			e.log.Info("edge: connections are still open", "open", e.callers.count(), "requests", e.handler.OpenRequests.Load(), "relayed", e.relay.Open())
			return
		}
	}
}

// refuseArriving refuses the requests of which only a part of the head has arrived. The handler refuses the others.
func (e *Edge) refuseArriving(now time.Time) {
	if n := e.callers.refuseArriving(now, e.handler.WriteRefusal); n > 0 {
		e.log.Info("edge: refused requests that had not arrived", "requests", n)
	}
}

// handleReady responds to the readiness polls of the load balancer.
func (e *Edge) handleReady(w http.ResponseWriter, _ *http.Request) {
	now := clock.SinceBoot()
	age, known := e.replica.ConfirmationAge(now)
	joined := time.Duration(e.joined.Load())
	if e.handler.Draining.Load() || joined == 0 || now-joined < gossipWarmup || !known || e.replica.Document() == nil || !e.fleet.Listed() || age > maxReadyAge {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Edge) metricsHandler() http.Handler {
	m := mux.NewRouter()
	m.Handle("/metrics", e.counters)
	m.HandleFunc(explainPath, e.handleExplain)
	return m
}

// sweepInterval is the interval at which callers are cut that send or read nothing until their deadline.
const sweepInterval = time.Second

// maintain runs the periodic housekeeping.
func (e *Edge) maintain(ctx context.Context) {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	var swept time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		e.pool.Sweep(now)
		e.quota.SetCoverage(e.exchange.Coverage())
		e.fleet.SetInstances(e.exchange.Count(), e.exchange.PropagationDelay())
		for _, id := range e.fleet.Expire(now) {
			e.log.Info("list: upstream not listed again after a store outage, dropped", "upstream", id)
		}
		for _, id := range e.fleet.EndPauses(now) {
			e.log.Info("route: upstream accepts requests again", "upstream", id)
		}
		if now.Sub(swept) >= sweepInterval {
			swept = now
			e.handler.Memory.Trim()
			e.account.Sweep(now)
			for kind, bytes := range e.account.Used() {
				e.metrics.Tagged(map[string]string{"kind": string(kind)}).Gauge("held_bytes").Update(float64(bytes))
			}
			e.metrics.Gauge("caller_connections").Update(float64(e.account.Count()))
		}
		e.handler.ConfirmCrashes(now)
		e.learnFromPeers(now)
		e.checkDetached()
		e.metrics.Gauge("relayed").Update(float64(e.relay.Open()))
		e.metrics.Gauge("open").Update(float64(e.handler.OpenRequests.Load()))
		e.metrics.Gauge("dropped_lines").Update(float64(e.droppedLines()))
	}
}

// watchSettings logs changes of the settings file on SIGHUP. They apply at the next start: addresses need one, and the
// platform does not change the other settings of a running process.
func (e *Edge) watchSettings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.hup:
		}
		s, err := LoadSettings(e.settingsPath)
		if err != nil {
			e.log.Info("edge: invalid settings file, keeping the current settings", "error", err.Error())
			continue
		}
		e.log.Info("edge: settings read again", "changed", !reflect.DeepEqual(s, e.settings))
	}
}

// requestDocument makes copyDocuments fetch the newer document of an instance, unless a fetch is already queued.
func (e *Edge) requestDocument(from string) {
	select {
	case e.newerDocument <- from:
	default:
	}
}

// applyLimits applies the document's rate limits.
func (e *Edge) applyLimits(doc *policy.Document) {
	tolerance := quota.Tolerance{Window: seconds(e.settings.QuotaWindow), Ratio: e.settings.QuotaOvershoot, Slack: e.settings.QuotaSlack}
	limits := make(map[string]quota.Limit, len(doc.Workspaces))
	for _, w := range doc.Workspaces {
		rate := w.Rate
		if math.IsNaN(rate) || rate < 0 {
			rate = 0
		}
		limits[w.Name] = quota.Limit{Rate: rate, Burst: w.Burst, Excess: tolerance.Excess(rate, w.Burst)}
	}
	e.quota.SetLimits(clock.SinceBoot(), limits)
}
