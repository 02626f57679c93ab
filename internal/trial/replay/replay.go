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
	// reportEvery and reportLag say how old a load report is when it is used.
	reportEvery = 500 * time.Millisecond
	reportLag   = 200 * time.Millisecond
	// target is the time to first token that counts as good service.
	target = 1900 * time.Millisecond
	// patience is the expected wait beyond which a request is refused at once.
	patience    = 10 * time.Second
	maxAttempts = 4
	// retryDelay is the time in which a router notices that an engine has crashed.
	retryDelay = 20 * time.Millisecond
)

// event is something that happens at a virtual time.
type event struct {
	at    time.Time
	order int
	do    func(now time.Time)
}

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

// run is one replay.
type run struct {
	trace   trace.Trace
	policy  Policy
	costs   picker.Costs
	random  *rand.Rand
	start   time.Time
	engines map[string]*fake
	names   []string
	routers []*router
	pending events
	order   int
	left    int
	tally   tally
	buckets map[string]*bucket
}

// bucket is a workspace's whole budget, which tells requests within rate from others.
type bucket struct {
	level float64
	last  time.Time
}

// Run replays a trace under a policy.
func Run(t trace.Trace, p Policy) Result {
	r := newRun(t, p)
	r.schedule()
	for r.left > 0 && len(r.pending) > 0 {
		e := heap.Pop(&r.pending).(event)
		e.do(e.at)
	}
	return r.result()
}

func newRun(t trace.Trace, p Policy) *run {
	perToken := time.Duration(t.Header.TokenMicros * float64(time.Microsecond))
	r := &run{
		trace:   t,
		policy:  p,
		costs:   picker.DefaultCosts(),
		random:  rand.New(rand.NewPCG(11, 13)),
		start:   time.Unix(1_800_000_000, 0),
		engines: make(map[string]*fake),
		left:    len(t.Rows),
		tally:   tally{by: make(map[string][]float64), good: make(map[string]int), within: make(map[string]int)},
		buckets: make(map[string]*bucket),
	}
	r.costs.PerToken = perToken
	r.costs.CrossZone = time.Duration(t.Header.HopMillis * float64(time.Millisecond))
	upstreams := make(map[string]rules.Upstream)
	for i := range t.Header.Engines {
		name := fmt.Sprintf("e%02d", i)
		zone := t.Header.Zones[i%len(t.Header.Zones)]
		r.names = append(r.names, name)
		r.engines[name] = &fake{name: name, zone: zone, perToken: perToken, capacity: t.Header.CachePieces, cache: make(map[prefix.Hash]uint64)}
		upstreams[name] = rules.Upstream{Address: name, Zone: zone, Kind: rules.Engine, Models: []string{model}}
	}
	for i := range t.Header.Routers {
		router := &router{zone: t.Header.Zones[i%len(t.Header.Zones)], fleet: status.NewFleet(perToken)}
		router.fleet.SetUpstreams(upstreams)
		r.routers = append(r.routers, router)
	}
	return r
}

// schedule enters arrivals, load reports and faults.
func (r *run) schedule() {
	for _, row := range r.trace.Rows {
		r.at(r.start.Add(seconds(row.At)), func(now time.Time) { r.arrive(now, row) })
	}
	for i, router := range r.routers {
		first := r.start.Add(reportEvery * time.Duration(i) / time.Duration(len(r.routers)))
		r.at(first, func(now time.Time) { r.reports(now, router) })
	}
	for _, f := range r.trace.Header.Faults {
		r.at(r.start.Add(seconds(f.At)), func(now time.Time) {
			r.engines[r.names[f.Engine]].crash(now, seconds(f.Seconds))
		})
	}
}

func (r *run) at(when time.Time, do func(now time.Time)) {
	r.order++
	heap.Push(&r.pending, event{at: when, order: r.order, do: do})
}

// reports takes the engines' loads, which a router learns after the lag.
func (r *run) reports(now time.Time, router *router) {
	for _, name := range r.names {
		f := r.engines[name]
		if now.Before(f.downUntil) {
			r.at(now.Add(reportLag), func(now time.Time) { router.fleet.Failed(now, name) })
			continue
		}
		report := f.report(now)
		r.at(now.Add(reportLag), func(time.Time) { router.fleet.LoadReported(now, name, report) })
	}
	r.at(now.Add(reportEvery), func(now time.Time) { r.reports(now, router) })
}

// request is one request under way.
type request struct {
	row      trace.Row
	arrived  time.Time
	within   bool
	attempts int
	question question
}

func (r *run) arrive(now time.Time, row trace.Row) {
	q := &request{row: row, arrived: now, within: r.spend(now, row)}
	if !q.within {
		r.left--
		return
	}
	r.tally.within[row.Workspace]++
	q.question = question{
		workspace: row.Workspace,
		chain:     row.Chain(),
		tokens:    row.Tokens(),
		router:    r.routers[row.Router],
		avoid:     make(map[string]bool),
	}
	if r.policy == Ours && len(q.question.chain) > 0 {
		// All routers ask the one that places the model's prompts.
		q.question.router = r.routers[0]
	}
	r.place(now, q)
}

// spend takes the request's tokens from its workspace's whole budget.
func (r *run) spend(now time.Time, row trace.Row) bool {
	rate, ok := r.trace.Header.Rates[row.Workspace]
	if !ok {
		return true
	}
	b, ok := r.buckets[row.Workspace]
	if !ok {
		b = &bucket{level: float64(rate.Burst), last: now}
		r.buckets[row.Workspace] = b
	}
	b.level = min(float64(rate.Burst), b.level+now.Sub(b.last).Seconds()*float64(rate.PerSecond))
	b.last = now
	need := float64(row.Tokens() + row.Output)
	if b.level < need {
		return false
	}
	b.level -= need
	return true
}

// place sends a request to the engine that the policy picks.
func (r *run) place(now time.Time, q *request) {
	q.attempts++
	name := r.choose(r.policy, now, q.question)
	f := r.engines[name]
	if name == "" || q.attempts > maxAttempts || max(0, f.busyUntil.Sub(now)) > patience {
		r.tally.wrongful++
		r.left--
		return
	}
	fleet := q.question.router.fleet
	missing := q.question.tokens
	for _, h := range fleet.Holdings(now, q.question.chain) {
		if h.Name == name {
			missing -= int64(h.Depth) * prefix.PieceTokens
		}
	}
	fleet.RequestSent(now, name, missing)
	if r.policy == Ours {
		fleet.AddPrefixes(now, name, r.known(fleet, now, name), q.question.chain)
	}
	arrival := now.Add(r.askDelay() + r.hop(q.question.router.zone, f.zone))
	if arrival.Before(f.downUntil) {
		r.retry(now, q, name)
		return
	}
	best := r.bestDepth(q.question.chain)
	cached, ready := f.accept(arrival, q.question.chain, q.question.tokens)
	incarnation := f.incarnation()
	f.running++
	r.at(ready, func(now time.Time) {
		if f.incarnation() != incarnation {
			r.retry(now, q, name)
			return
		}
		r.at(now.Add(r.learnDelay()), func(now time.Time) { r.learn(now, q, name, incarnation, cached) })
		r.count(now, q, cached, best)
		output := time.Duration(float64(q.row.Output) * r.trace.Header.EventMillis * float64(time.Millisecond))
		r.at(now.Add(output), func(time.Time) {
			if f.incarnation() == incarnation {
				f.running--
			}
		})
	})
}

// known returns the engine's incarnation as the placer knows it.
func (r *run) known(fleet *status.Fleet, now time.Time, name string) string {
	v, _ := fleet.Engine(now, name, model)
	return v.Incarnation
}

// askDelay is the time to ask the placer and get its answer.
func (r *run) askDelay() time.Duration {
	if r.policy != Ours {
		return 0
	}
	return 2 * r.costs.CrossZone
}

// learnDelay is the time until the placer hears of an answer.
func (r *run) learnDelay() time.Duration {
	if r.policy != Ours {
		return 0
	}
	return placer.FlushInterval + r.costs.CrossZone
}

// retry tries another engine after a failure.
func (r *run) retry(now time.Time, q *request, name string) {
	q.question.router.fleet.Failed(now, name)
	q.question.avoid[name] = true
	r.at(now.Add(retryDelay), func(now time.Time) { r.place(now, q) })
}

// learn records what the answer tells the router, as the chat handler does.
func (r *run) learn(now time.Time, q *request, name, incarnation string, cached int64) {
	fleet := q.question.router.fleet
	fleet.Succeeded(now, name, incarnation)
	chain := q.question.chain
	if depth := int(cached / prefix.PieceTokens); depth < len(chain) {
		fleet.RemovePrefixes(name, chain[depth:])
	}
	fleet.AddPrefixes(now, name, incarnation, chain)
}

func (r *run) bestDepth(chain []prefix.Hash) int64 {
	best := 0
	for _, f := range r.engines {
		best = max(best, f.depth(chain))
	}
	return int64(best) * prefix.PieceTokens
}

func (r *run) count(now time.Time, q *request, cached, best int64) {
	r.left--
	took := now.Sub(q.arrived) + r.hop(q.question.router.zone, "")
	r.tally.times = append(r.tally.times, took.Seconds())
	r.tally.by[q.row.Workspace] = append(r.tally.by[q.row.Workspace], took.Seconds())
	r.tally.prompt += q.question.tokens
	r.tally.cached += cached
	r.tally.wasted += max(0, best-cached)
	if took <= target {
		r.tally.good[q.row.Workspace]++
	}
}

func (r *run) hop(a, b string) time.Duration {
	if a == b {
		return 0
	}
	return r.costs.CrossZone
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
