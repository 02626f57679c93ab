package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/route/picker"
	"github.com/skylarkquay/skylarkquay/internal/route/placer"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
	"github.com/skylarkquay/skylarkquay/internal/trial/trace"
)

const (
	model = "m"
	// Load reports are taken every reportEvery and reach the routers reportLag later.
	reportEvery = 500 * time.Millisecond
	reportLag   = 200 * time.Millisecond
	// firstTokenTarget is the time to first token up to which a request counts as within the target.
	firstTokenTarget = 1900 * time.Millisecond
	// maxQueueTime is the expected queue time above which a request is rejected.
	maxQueueTime = 10 * time.Second
	maxAttempts  = 4
	// retryDelay is the time until a router detects that an engine has crashed.
	retryDelay = 20 * time.Millisecond
)

// event is a callback at a virtual time.
type event struct {
	at time.Time
	// order is the order of scheduling, for events at the same time.
	order int
	do    func(now time.Time)
}

// events is a heap of events, earliest first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// run is the state of one replay.
type run struct {
	trace   trace.Trace
	policy  Policy
	costs   picker.Costs
	random  *rand.Rand
	start   time.Time
	engines map[string]*simEngine
	names   []string
	routers []*router
	pending events
	// order is that of the last scheduled event.
	order int
	// unfinished is the number of requests without an outcome.
	unfinished int
	tally      tally
	buckets    map[string]*bucket
}

// bucket is the token bucket of a workspace at the whole site. Requests that exceed it are not placed.
type bucket struct {
	tokens float64
	last   time.Time
}

// Run replays a trace with a policy.
func Run(t trace.Trace, p Policy) Result {
	r := newRun(t, p)
	r.scheduleTrace()
	for r.unfinished > 0 && len(r.pending) > 0 {
		e := heap.Pop(&r.pending).(event)
		e.do(e.at)
	}
	return r.result()
}

func newRun(t trace.Trace, p Policy) *run {
	perToken := time.Duration(t.Header.TokenMicros * float64(time.Microsecond))
	r := &run{
		trace:      t,
		policy:     p,
		costs:      picker.DefaultCosts(),
		random:     rand.New(rand.NewPCG(11, 13)),
		start:      time.Unix(1_800_000_000, 0),
		engines:    make(map[string]*simEngine),
		unfinished: len(t.Rows),
		tally:      tally{workspaceFirstTokens: make(map[string][]float64), withinTarget: make(map[string]int), withinRate: make(map[string]int)},
		buckets:    make(map[string]*bucket),
	}
	r.costs.PerToken = perToken
	r.costs.CrossZone = time.Duration(t.Header.HopMillis * float64(time.Millisecond))
	upstreams := make(map[string]rules.Upstream)
	for i := range t.Header.Engines {
		name := fmt.Sprintf("e%02d", i)
		zone := t.Header.Zones[i%len(t.Header.Zones)]
		r.names = append(r.names, name)
		r.engines[name] = &simEngine{name: name, zone: zone, perToken: perToken, capacity: t.Header.CachePieces, cache: make(map[prefix.Hash]uint64)}
		upstreams[name] = rules.Upstream{Address: name, Zone: zone, Kind: rules.Engine, Models: []string{model}}
	}
	for i := range t.Header.Routers {
		router := &router{zone: t.Header.Zones[i%len(t.Header.Zones)], fleet: status.NewFleet(perToken)}
		router.fleet.SetUpstreams(upstreams)
		r.routers = append(r.routers, router)
	}
	return r
}

// scheduleTrace schedules the arrivals, load reports and faults of the trace.
func (r *run) scheduleTrace() {
	for _, row := range r.trace.Rows {
		r.schedule(r.start.Add(seconds(row.At)), func(now time.Time) { r.arrive(now, row) })
	}
	for i, router := range r.routers {
		first := r.start.Add(reportEvery * time.Duration(i) / time.Duration(len(r.routers)))
		r.schedule(first, func(now time.Time) { r.collectReports(now, router) })
	}
	for _, f := range r.trace.Header.Faults {
		r.schedule(r.start.Add(seconds(f.At)), func(now time.Time) {
			r.engines[r.names[f.Engine]].crash(now, seconds(f.Seconds))
		})
	}
}

func (r *run) schedule(when time.Time, do func(now time.Time)) {
	r.order++
	heap.Push(&r.pending, event{at: when, order: r.order, do: do})
}

// collectReports takes a load report of each engine, which the router receives after reportLag.
func (r *run) collectReports(now time.Time, router *router) {
	for _, name := range r.names {
		e := r.engines[name]
		if now.Before(e.downUntil) {
			r.schedule(now.Add(reportLag), func(now time.Time) { router.fleet.Failed(now, name) })
			continue
		}
		report := e.report(now)
		r.schedule(now.Add(reportLag), func(time.Time) { router.fleet.LoadReported(now, name, report) })
	}
	r.schedule(now.Add(reportEvery), func(now time.Time) { r.collectReports(now, router) })
}

// request is one request in flight.
type request struct {
	row        trace.Row
	arrived    time.Time
	withinRate bool
	attempts   int
	query      query
}

func (r *run) arrive(now time.Time, row trace.Row) {
	req := &request{row: row, arrived: now, withinRate: r.takeTokens(now, row)}
	if !req.withinRate {
		r.unfinished--
		return
	}
	r.tally.withinRate[row.Workspace]++
	req.query = query{
		workspace: row.Workspace,
		chain:     row.Chain(),
		tokens:    row.Tokens(),
		router:    r.routers[row.Router],
		avoid:     make(map[string]bool),
	}
	if r.policy == Skylarkquay && len(req.query.chain) > 0 {
		// One router places all prompts of a model, and the others query it.
		req.query.router = r.routers[0]
	}
	r.place(now, req)
}

// takeTokens takes the request's tokens from its workspace's bucket and reports whether the bucket had enough.
func (r *run) takeTokens(now time.Time, row trace.Row) bool {
	rate, ok := r.trace.Header.Rates[row.Workspace]
	if !ok {
		return true
	}
	b, ok := r.buckets[row.Workspace]
	if !ok {
		b = &bucket{tokens: float64(rate.Burst), last: now}
		r.buckets[row.Workspace] = b
	}
	b.tokens = min(float64(rate.Burst), b.tokens+now.Sub(b.last).Seconds()*float64(rate.PerSecond))
	b.last = now
	need := float64(row.Tokens() + row.OutputTokens)
	if b.tokens < need {
		return false
	}
	b.tokens -= need
	return true
}

// place sends a request to the engine that the policy picks, or rejects it.
func (r *run) place(now time.Time, req *request) {
	req.attempts++
	name := r.choose(r.policy, now, req.query)
	e := r.engines[name]
	if name == "" || req.attempts > maxAttempts || max(0, e.busyUntil.Sub(now)) > maxQueueTime {
		r.tally.rejected++
		r.unfinished--
		return
	}
	fleet := req.query.router.fleet
	missing := req.query.tokens
	for _, h := range fleet.Holdings(now, req.query.chain) {
		if h.Name == name {
			missing -= int64(h.Depth) * prefix.PieceTokens
		}
	}
	fleet.RequestSent(now, name, missing)
	if r.policy == Skylarkquay {
		fleet.AddPrefixes(now, name, r.knownIncarnation(fleet, now, name), req.query.chain)
	}
	arrival := now.Add(r.queryDelay() + r.hop(req.query.router.zone, e.zone))
	if arrival.Before(e.downUntil) {
		r.retry(now, req, name)
		return
	}
	best := r.maxCachedTokens(req.query.chain)
	cached, ready := e.accept(arrival, req.query.chain, req.query.tokens)
	incarnation := e.incarnation()
	e.running++
	r.schedule(ready, func(now time.Time) {
		if e.incarnation() != incarnation {
			r.retry(now, req, name)
			return
		}
		r.schedule(now.Add(r.feedbackDelay()), func(now time.Time) { r.recordResponse(now, req, name, incarnation, cached) })
		r.recordFirstToken(now, req, cached, best)
		output := time.Duration(float64(req.row.OutputTokens) * r.trace.Header.EventMillis * float64(time.Millisecond))
		r.schedule(now.Add(output), func(time.Time) {
			if e.incarnation() == incarnation {
				e.running--
			}
		})
	})
}

// knownIncarnation returns the engine's incarnation that the fleet has recorded.
func (r *run) knownIncarnation(fleet *status.Fleet, now time.Time, name string) string {
	v, _ := fleet.Engine(now, name, model)
	return v.Incarnation
}

// queryDelay returns the round trip of a query to the placing router.
func (r *run) queryDelay() time.Duration {
	if r.policy != Skylarkquay {
		return 0
	}
	return 2 * r.costs.CrossZone
}

// feedbackDelay returns the time until the placing router receives the outcome of a response.
func (r *run) feedbackDelay() time.Duration {
	if r.policy != Skylarkquay {
		return 0
	}
	return placer.FlushInterval + r.costs.CrossZone
}

// retry records a failure of the engine and places the request on another one.
func (r *run) retry(now time.Time, req *request, name string) {
	req.query.router.fleet.Failed(now, name)
	req.query.avoid[name] = true
	r.schedule(now.Add(retryDelay), func(now time.Time) { r.place(now, req) })
}

// recordResponse updates the fleet from a response, as the chat handler does.
func (r *run) recordResponse(now time.Time, req *request, name, incarnation string, cached int64) {
	fleet := req.query.router.fleet
	fleet.Succeeded(now, name, incarnation)
	chain := req.query.chain
	if depth := int(cached / prefix.PieceTokens); depth < len(chain) {
		fleet.RemovePrefixes(name, chain[depth:])
	}
	fleet.AddPrefixes(now, name, incarnation, chain)
}

// maxCachedTokens returns the largest number of the chain's tokens that one engine has cached.
func (r *run) maxCachedTokens(chain []prefix.Hash) int64 {
	best := 0
	for _, e := range r.engines {
		best = max(best, e.cachedDepth(chain))
	}
	return int64(best) * prefix.PieceTokens
}

// recordFirstToken adds a served request to the tally.
func (r *run) recordFirstToken(now time.Time, req *request, cached, best int64) {
	r.unfinished--
	elapsed := now.Sub(req.arrived) + r.hop(req.query.router.zone, "")
	r.tally.firstTokens = append(r.tally.firstTokens, elapsed.Seconds())
	r.tally.workspaceFirstTokens[req.row.Workspace] = append(r.tally.workspaceFirstTokens[req.row.Workspace], elapsed.Seconds())
	r.tally.promptTokens += req.query.tokens
	r.tally.cachedTokens += cached
	r.tally.wastedTokens += max(0, best-cached)
	if elapsed <= firstTokenTarget {
		r.tally.withinTarget[req.row.Workspace]++
	}
}

// hop returns the one-way time between two zones.
func (r *run) hop(from, to string) time.Duration {
	if from == to {
		return 0
	}
	return r.costs.CrossZone
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
