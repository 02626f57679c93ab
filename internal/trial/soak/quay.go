package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/fake/plain"
	"github.com/skylarkquay/skylarkquay/internal/front/gate"
	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
	"github.com/skylarkquay/skylarkquay/internal/plat/roster"
	"github.com/skylarkquay/skylarkquay/internal/trial/load"
	"github.com/skylarkquay/skylarkquay/internal/trial/site"
)

// port is one router's addresses on the product's own interface.
type port struct {
	*process
	listen, peer, admin string
}

// quaySite is a site of routers on the product's own interface; its stand-ins are processes too.
type quaySite struct {
	bin, folder string
	store       string
	ports       []*port
	engines     []*process
	services    []*process
	engineAt    []string
	serviceAt   []string
	keys        map[string]string
	all         []*process
	http        http.Client
}

// quayRates are the workspaces' rates and bursts in tokens: one is ample, one is held far below what it sends.
var quayRates = map[string][2]int{"ample": {10_000_000, 50_000_000}, "narrow": {2000, 8000}}

const (
	// secret begins all keys, so that leaks are found.
	secret = "sq-secret"
	// sections is the number of sections that the first document is applied in.
	sections = 7
)

func newQuaySite(bin, folder string, size Size) (*quaySite, error) {
	q := &quaySite{bin: bin, folder: folder, keys: make(map[string]string), http: http.Client{Timeout: 5 * time.Second}}
	if err := q.start(size); err != nil {
		q.close()
		return nil, err
	}
	return q, nil
}

// run starts one program.
func (q *quaySite) run(name, program string, args ...string) (*process, error) {
	p, err := newProcess(q.folder, name, append([]string{filepath.Join(q.bin, program)}, args...)...)
	if err != nil {
		return nil, err
	}
	q.all = append(q.all, p)
	return p, nil
}

// serve starts a program at a free address.
func (q *quaySite) serve(name string, args ...string) (*process, string, error) {
	at, err := site.FreeAddress()
	if err != nil {
		return nil, "", err
	}
	p, err := q.run(name, "skylarkstand", append(args, "--listen", at)...)
	return p, at, err
}

func (q *quaySite) start(size Size) error {
	var err error
	if _, q.store, err = q.serve("platform", "platform"); err != nil {
		return err
	}
	for i := range size.Engines {
		p, at, err := q.serve(fmt.Sprint("engine-", i), "engine", "--per-token", "5us", "--per-event", "3ms")
		if err != nil {
			return err
		}
		q.engines, q.engineAt = append(q.engines, p), append(q.engineAt, at)
	}
	for i := range size.Services {
		p, at, err := q.serve(fmt.Sprint("service-", i), "plain")
		if err != nil {
			return err
		}
		q.services, q.serviceAt = append(q.services, p), append(q.serviceAt, at)
	}
	if err := q.await("http://" + q.store + "/instances"); err != nil {
		return err
	}
	var list roster.Listing
	for i := range size.Routers {
		p, err := q.router(i)
		if err != nil {
			return err
		}
		q.ports = append(q.ports, p)
		list.Instances = append(list.Instances, roster.Entry{Address: p.peer, Zone: zoneOf(i), State: roster.Live})
	}
	if err := q.put("http://"+q.store+"/instances", list); err != nil {
		return err
	}
	for _, p := range q.ports {
		if err := q.await("http://" + p.admin + "/readyz"); err != nil {
			return err
		}
	}
	return q.configure()
}

func (q *quaySite) router(i int) (*port, error) {
	at, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	url := "http://" + q.store
	p, err := q.run(fmt.Sprint("router-", i), "skylarkquay", "run", "--listen", at[0], "--peer", at[1], "--admin", at[2],
		"--zone", zoneOf(i), "--table-url", url, "--object-url", url, "--roster-url", url, "--drain-notice", "500ms", "--first-token", "3s")
	return &port{process: p, listen: at[0], peer: at[1], admin: at[2]}, err
}

func (q *quaySite) close() {
	for _, p := range q.all {
		p.close()
	}
}

func (q *quaySite) await(url string) error {
	return until("answer of "+url, func() bool {
		res, err := q.http.Get(url)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

func (q *quaySite) put(url string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	res, err := q.http.Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

func (q *quaySite) get(url string, into any) error {
	res, err := q.http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	return json.NewDecoder(res.Body).Decode(into)
}

func (q *quaySite) operator(i int) wire.Operator {
	return wire.NewOperatorProtobufClient("http://"+q.ports[i].admin, &q.http)
}

// configure applies the routing document through the operators' service, each section through another router.
func (q *quaySite) configure() error {
	var workspaces, keys, limits, upstreams strings.Builder
	for name, r := range quayRates {
		q.keys[name] = secret + "-of-" + name
		fmt.Fprintf(&workspaces, "%s: {title: %s, weight: 1}\n", name, name)
		fmt.Fprintf(&keys, "%s: {workspace: %s, hash: %s}\n", name, name, gate.HashKey(q.keys[name]))
		fmt.Fprintf(&limits, "%s: {tokens_per_second: %d, burst_tokens: %d}\n", name, r[0], r[1])
	}
	for i, at := range q.engineAt {
		fmt.Fprintf(&upstreams, "runner-%d: {address: '%s', zone: a, kind: engine, models: [quotes]}\n", i, at)
	}
	for i, at := range q.serviceAt {
		fmt.Fprintf(&upstreams, "booking-%d: {address: '%s', zone: b, kind: service, service: booking}\n", i, at)
	}
	for i, e := range [sections][2]string{
		{"workspaces", workspaces.String()},
		{"keys", keys.String()},
		{"rates", limits.String()},
		{"models", "quotes: {weights: v1}\n"},
		{"upstreams", upstreams.String()},
		{"routes", "book: {method: POST, path: /bookings, service: booking, idempotent: false, timeout_millis: 1500}\n"},
		{"site", "policy: {placers: 1, token_micros: 5}\n"},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), startMost)
		_, err := q.operator(i%len(q.ports)).Apply(ctx, &wire.ApplyRequest{Section: e[0], Text: e[1], Edit: e[0], Operator: "soak"})
		cancel()
		if err != nil {
			return oops.Wrapf(err, "apply %s", e[0])
		}
	}
	return until("the document at all routers", func() bool {
		for i := range q.ports {
			if q.revision(i) < sections {
				return false
			}
		}
		return true
	})
}

func (q *quaySite) revision(i int) int64 {
	reply, err := q.operator(i).Status(context.Background(), &wire.StatusRequest{})
	if err != nil {
		return -1
	}
	return reply.Revision
}

// RunOwn plays one seed on the product's own interface.
func RunOwn(ctx context.Context, set Settings) (Result, error) {
	kinds, err := named(quayFaults, func(f quayFault) string { return f.name }, set.Only)
	if err != nil {
		return Result{}, err
	}
	q, err := newQuaySite(set.Programs, set.Folder, set.Size)
	if err != nil {
		return Result{}, err
	}
	defer q.close()
	o := &Observed{}
	length := set.Length + quayTail
	began := time.Now()
	var loads, parts sync.WaitGroup
	var report load.Report
	loads.Go(func() {
		report = load.Run(ctx, quayTraffic(len(q.ports), length), q.target(), load.Options{Speed: 1})
		o.Took = time.Since(began)
	})
	visits := &visits{site: q, answers: make(map[string][]answer)}
	loads.Go(func() { visits.run(ctx, length) })
	watching, stop := context.WithCancel(ctx)
	parts.Go(func() { o.Reverted = q.watchRevisions(watching) })
	plays := quaySchedule(kinds, set.Seed, set.Length, set.Size)
	q.play(ctx, began, plays, set.Log)
	loads.Wait()
	stop()
	parts.Wait()
	o.Answers = visits.answers
	o.Runs, o.Forgotten = q.runs()
	o.Leaked = q.leaks()
	o.Crossed, o.Broken = report.Total.Crossed, report.Total.Broken
	o.NarrowTokens = report.Workspaces["narrow"].AdmittedTokens
	for _, p := range plays {
		o.Breakable = o.Breakable || p.fault.breakable
	}
	for _, p := range q.ports {
		o.Crashed += p.crashes()
	}
	return Result{
		Seed: set.Seed, Interface: "own", Routers: len(q.ports), Calls: report.Total.Sent + len(o.Answers), Served: report.Total.Completed,
		Lost: report.Total.Broken, Runs: len(o.Runs), Broken: JudgeOwn(o), Folder: set.Folder,
		Plays: playsOf(plays),
	}, nil
}

func (q *quaySite) target() load.Target {
	target := load.Target{Keys: q.keys, Model: "quotes"}
	for _, p := range q.ports {
		target.Routers = append(target.Routers, "http://"+p.listen)
	}
	return target
}

// watchRevisions counts the times that a router's revision goes back, until the context ends.
func (q *quaySite) watchRevisions(ctx context.Context) int {
	reverted := 0
	highest := make([]int64, len(q.ports))
	every(ctx, 100*time.Millisecond, func() {
		for i := range q.ports {
			reply, err := q.operator(i).Status(ctx, &wire.StatusRequest{})
			// A router that has just started and is not yet current serves nothing.
			if err != nil || !reply.Current {
				continue
			}
			if reply.Revision < highest[i] {
				reverted++
			}
			highest[i] = max(highest[i], reply.Revision)
		}
	})
	return reverted
}

// leaks counts the values with a key that upstreams have received.
func (q *quaySite) leaks() int {
	n := 0
	for _, at := range slices.Concat(q.engineAt, q.serviceAt) {
		var seen plain.SeenCount
		if q.get("http://"+at+"/seen?text="+url.QueryEscape(secret), &seen) == nil {
			n += seen.Count
		}
	}
	return n
}

// runs returns how often the services ran each booking; forgotten tells that one of them was killed and does not know.
func (q *quaySite) runs() (runs map[string]int, forgotten bool) {
	runs = make(map[string]int)
	for _, at := range q.serviceAt {
		var part map[string]int
		if err := q.get("http://"+at+"/runs", &part); err != nil {
			// What a killed service ran is not known; bookings that ran twice on another one still show.
			forgotten = true
		}
		for body, n := range part {
			runs[body] += n
		}
	}
	return runs, forgotten
}

// play brings the faults about at their times and waits until all have ended.
func (q *quaySite) play(ctx context.Context, began time.Time, plays []staged[quayFault], log logr.Logger) {
	var all sync.WaitGroup
	for _, p := range plays {
		all.Go(func() {
			p.run(ctx, began, log, func() func() error { return p.fault.begin(q, p.Target) })
		})
	}
	all.Wait()
}

// quaySchedule draws faults one after another and overlapping.
func quaySchedule(faults []quayFault, seed uint64, length time.Duration, size Size) []staged[quayFault] {
	draw := rand.New(rand.NewPCG(seed, 1))
	targets := map[place]int{onRouter: size.Routers, onUpstream: size.Engines, onAll: 1}
	var plays []staged[quayFault]
	for at := 2 * sec; at < length; at += time.Duration(draw.ExpFloat64() * float64(2*sec)) {
		f := faults[draw.IntN(len(faults))]
		p := Play{Fault: f.name, Target: draw.IntN(targets[f.where]), At: at, For: sec + time.Duration(draw.Float64()*float64(6*sec))}
		plays = append(plays, staged[quayFault]{p, f})
	}
	return plays
}
