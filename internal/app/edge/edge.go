package edge

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/base/meter"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/front/link"
	"github.com/skylarkquay/skylarkquay/internal/front/serve"
	"github.com/skylarkquay/skylarkquay/internal/limit/budget"
	"github.com/skylarkquay/skylarkquay/internal/limit/quota"
	"github.com/skylarkquay/skylarkquay/internal/once/deaths"
	"github.com/skylarkquay/skylarkquay/internal/peer/pulse"
	"github.com/skylarkquay/skylarkquay/internal/peer/share"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/holder"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
	"github.com/skylarkquay/skylarkquay/platform"
)

const (
	// memoryShare is the part of the instance's memory at which the collector works harder.
	memoryShare = 0.6
	// collectAt is the growth of the heap in percent at which memory is collected. Memory is dear on small instances and
	// the heap is a few megabytes.
	collectAt = 50
	// idleMost is longer than the site lets callers reuse idle connections, so that they close first.
	idleMost = 2 * time.Minute
	// headerMost bounds a request's header before the document's own limit is applied.
	headerMost = 64 << 10
	// keyMargin is subtracted from the bound on withdrawn keys; it covers the way to the upstream.
	keyMargin = 400 * time.Millisecond
	// weightsMargin is subtracted from the bound on superseded weights; it covers the age of the announcement and the wait
	// in an engine's queue, since the bound counts to a request's first token.
	weightsMargin = 2500 * time.Millisecond
	// readyAge is the age of the document up to which the instance says that it is ready.
	readyAge = 2500 * time.Millisecond
	// hearTime is how long a new instance listens to the others before it says that it is ready, so that it knows what
	// workspaces have used of their rates.
	hearTime = 300 * time.Millisecond
)

// Edge is one router on the platform.
type Edge struct {
	settings    Settings
	path        string
	log         logr.Logger
	dropped     func() int64
	incarnation int64
	store       *platform.Store
	engines     *platform.Engines
	feed        *policy.Feed
	fleet       *fleet.Fleet
	pool        *link.Pool
	quota       *quota.Keeper
	budget      *budget.Budget
	deaths      *deaths.Book
	holders     *holder.Tracker
	handler     *serve.Handler
	exchange    *pulse.Exchange
	roll        *rollout
	counters    *meter.Reporter
	metrics     tally.Scope
	closer      func() error
	socket      *net.UDPConn
	listeners   []net.Listener
	// newer holds the address of an instance that knows a newer document.
	newer chan string
	// document is the row of the document in force.
	document atomic.Pointer[platform.Row]
	circle   *share.Circle
	list     *list
	// following tells that this instance has a question for changes of the operators' rows with the store.
	following atomic.Bool
	// joined is when the instance had met the others, in nanoseconds of the clock that counts suspensions; zero before.
	joined atomic.Int64
	// asksKept tells that this instance asks the stores of kept KV cache.
	asksKept atomic.Bool
}

// New opens the instance's addresses.
func New(s Settings, path string, log logr.Logger, dropped func() int64) (*Edge, error) {
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryShare))
	e := &Edge{
		settings: s, path: path, log: log.WithValues("instance", s.Name), dropped: dropped, incarnation: time.Now().UnixNano(),
		feed: policy.NewFeed(), fleet: fleet.New(), quota: quota.NewKeeper(), deaths: deaths.NewBook(), holders: holder.NewTracker(),
		counters: meter.NewReporter(), newer: make(chan string, 1), circle: share.NewCircle(share.Order(s.size(), s.Peer)), list: newList(),
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Prefix: "skylarkquay", Reporter: e.counters}, time.Second)
	e.metrics, e.closer = scope, closer.Close
	e.store = platform.NewStore(s.Store, func(call string) { e.count("store_calls", call) })
	e.engines = platform.NewEngines(func(call string) { e.count("engine_calls", call) })
	e.pool = link.NewPool(e.connections, func() { scope.Counter("connections").Inc(1) })
	e.budget = budget.New(budget.Bounds{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: seconds(s.RetryWindow)}, 1)
	e.handler = &serve.Handler{
		Settings: serve.Settings{
			Zone: s.Zone, KeyAge: millis(s.Revocation) - keyMargin, WeightsAge: millis(s.Weights) - weightsMargin,
		},
		Dialect: platform.Dialect{}, Feed: e.feed, Fleet: e.fleet, Pool: e.pool, Quota: e.quota, Budget: e.budget,
		Holders: e.holders, Crashers: e.deaths, Costs: place.DefaultCosts(), Log: e.log, Metrics: scope, Boot: clock.SinceBoot,
	}
	e.handler.Others = func() (int, time.Duration) { return e.exchange.Count() - 1, e.exchange.Delay() / 2 }
	e.roll = newRollout(e)
	if err := e.open(); err != nil {
		return nil, err
	}
	e.exchange = pulse.New(pulse.Settings{
		Conn: e.socket, Node: e.node(), Incarnation: e.incarnation, Clock: clock.SinceBoot, Source: e, Sink: e, Log: e.log,
	})
	return e, nil
}

// node is this instance as others address it.
func (e *Edge) node() pulse.Node {
	return pulse.Node{Name: e.settings.Peer, Zone: e.settings.Zone, Size: e.settings.size()}
}

func (e *Edge) count(name, call string) {
	e.metrics.Tagged(map[string]string{"call": call}).Counter(name).Inc(1)
}

func (e *Edge) open() error {
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

// connections returns the most connections that this instance may have to an upstream: its part of what the upstream
// takes from all, of which a fifth is left for health checks and late closing.
func (e *Edge) connections(address string) int {
	doc := e.feed.Document()
	if doc == nil {
		return 0
	}
	service := doc.Services[e.fleet.ServiceAt(address)]
	if service == nil || service.MaxConns == 0 {
		return 0
	}
	return max(2, service.MaxConns*4/5/e.exchange.Count())
}

// Run serves until the context ends, then stops in order.
func (e *Edge) Run(ctx context.Context) error {
	e.log.Info("edge: started", "zone", e.settings.Zone, "listen", e.settings.Listen, "store", e.settings.Store)
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	var parts sync.WaitGroup
	start := func(part func(context.Context)) { parts.Go(func() { part(work) }) }
	for _, part := range []func(context.Context){
		e.followOperators, e.followList, e.join, e.exchange.Run, e.watchKeptStores, e.keep, e.watchSettings, e.copyDocuments, e.roll.run,
	} {
		start(part)
	}
	parts.Go(e.exchange.Listen)
	failed := make(chan error, len(e.listeners))
	front := &http.Server{Handler: e.handler, IdleTimeout: idleMost, MaxHeaderBytes: headerMost}
	ready := &http.Server{Handler: http.HandlerFunc(e.ready), IdleTimeout: idleMost}
	metrics := &http.Server{Handler: e.operators(), IdleTimeout: idleMost}
	peers := &http.Server{Handler: e.peers(), IdleTimeout: idleMost}
	servers := []*http.Server{front, ready, metrics, peers}
	for i, s := range servers {
		go func() { failed <- s.Serve(e.listeners[i]) }()
	}
	var err error
	select {
	case <-ctx.Done():
		e.stop(front)
	case err = <-failed:
		err = oops.Wrapf(err, "server ended")
	}
	cancel()
	for _, s := range servers {
		_ = s.Close()
	}
	_ = e.socket.Close()
	parts.Wait()
	e.log.Info("edge: stopped", "dropped_lines", e.dropped())
	_ = e.closer()
	return err
}

const (
	// noticeTime is how long an instance that is not ready still takes connections; the balancer asks once a second and
	// passes an instance over after two misses.
	noticeTime = 2300 * time.Millisecond
	// graceMargin is left of the grace period for the end of the process.
	graceMargin = 400 * time.Millisecond
)

// stop says that the instance is not ready, lets open requests finish and closes idle connections.
func (e *Edge) stop(front *http.Server) {
	began := time.Now()
	e.handler.Draining.Store(true)
	e.log.Info("edge: stopping", "open", e.handler.Open.Load())
	e.exchange.Now()
	time.Sleep(min(noticeTime, seconds(e.settings.Grace)/2))
	left := seconds(e.settings.Grace) - graceMargin - time.Since(began)
	ctx, cancel := context.WithTimeout(context.Background(), max(0, left))
	defer cancel()
	if err := front.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		e.log.Info("edge: server did not shut down cleanly", "error", err.Error())
	}
	e.exchange.Send()
}

// ready answers the balancer.
func (e *Edge) ready(w http.ResponseWriter, _ *http.Request) {
	now := clock.SinceBoot()
	age, known := e.feed.Age(now)
	joined := time.Duration(e.joined.Load())
	if e.handler.Draining.Load() || joined == 0 || now-joined < hearTime || !known || e.feed.Document() == nil || !e.fleet.Listed() || age > readyAge {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Edge) operators() http.Handler {
	m := mux.NewRouter()
	m.Handle("/metrics", e.counters)
	return m
}

// keep does what must be done from time to time.
func (e *Edge) keep(ctx context.Context) {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		e.pool.Sweep(now)
		e.quota.Cover(e.exchange.Cover())
		for _, id := range e.fleet.Expire(now) {
			e.log.Info("list: upstream did not come back with the store", "upstream", id)
		}
		e.metrics.Gauge("open").Update(float64(e.handler.Open.Load()))
		e.metrics.Gauge("dropped_lines").Update(float64(e.dropped()))
	}
}

// watchSettings notes a change of the settings file. Addresses stay until the next start; the other settings of a
// running process do not change on the platform.
func (e *Edge) watchSettings(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		s, err := Load(e.path)
		if err != nil {
			e.log.Info("edge: changed settings are not good, the former stay", "error", err.Error())
			continue
		}
		e.log.Info("edge: settings read again", "changed", s != e.settings)
	}
}

// wake asks an instance for its newer document.
func (e *Edge) wake(from string) {
	select {
	case e.newer <- from:
	default:
	}
}

// limits puts the document's rates in force.
func (e *Edge) limits(doc *policy.Document) {
	limits := make(map[string]quota.Limit, len(doc.Workspaces))
	for _, w := range doc.Workspaces {
		rate := w.Rate
		if math.IsNaN(rate) || rate < 0 {
			rate = 0
		}
		limits[w.Name] = quota.Limit{Rate: rate, Burst: w.Burst}
	}
	e.quota.Set(clock.SinceBoot(), limits)
}
