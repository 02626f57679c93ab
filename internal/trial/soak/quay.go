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

// quayRouter is a router process on the product's own interface.
type quayRouter struct {
	*process
	listen, peer, admin string
}

// quaySite is a site of routers on the product's own interface. Its stand-ins are processes too.
type quaySite struct {
	bin, folder  string
	storeAddr    string
	routers      []*quayRouter
	engines      []*process
	services     []*process
	engineAddrs  []string
	serviceAddrs []string
	keys         map[string]string
	processes    []*process
	http         http.Client
}

// quayRates are the workspaces' rates and bursts in tokens: one is ample, one is far below the load.
var quayRates = map[string][2]int{"ample": {10_000_000, 50_000_000}, "narrow": {2000, 8000}}

const (
	// keyPrefix starts all keys, so that leaked keys can be searched for.
	keyPrefix = "sq-secret"
	// initialSections is the number of sections of the first document.
	initialSections = 7
)

func newQuaySite(bin, folder string, size Size) (*quaySite, error) {
	q := &quaySite{bin: bin, folder: folder, keys: make(map[string]string), http: http.Client{Timeout: 5 * time.Second}}
	if err := q.start(size); err != nil {
		q.close()
		return nil, err
	}
	return q, nil
}

// startProgram starts one program.
func (q *quaySite) startProgram(name, program string, args ...string) (*process, error) {
	p, err := newProcess(q.folder, name, append([]string{filepath.Join(q.bin, program)}, args...)...)
	if err != nil {
		return nil, err
	}
	q.processes = append(q.processes, p)
	return p, nil
}

// startServer starts a stand-in on a free address.
func (q *quaySite) startServer(name string, args ...string) (*process, string, error) {
	addr, err := site.FreeAddress()
	if err != nil {
		return nil, "", err
	}
	p, err := q.startProgram(name, "skylarkstand", append(args, "--listen", addr)...)
	return p, addr, err
}

func (q *quaySite) start(size Size) error {
	var err error
	if _, q.storeAddr, err = q.startServer("platform", "platform"); err != nil {
		return err
	}
	for i := range size.Engines {
		p, addr, err := q.startServer(fmt.Sprint("engine-", i), "engine", "--per-token", "5us", "--per-event", "3ms")
		if err != nil {
			return err
		}
		q.engines, q.engineAddrs = append(q.engines, p), append(q.engineAddrs, addr)
	}
	for i := range size.Services {
		p, addr, err := q.startServer(fmt.Sprint("service-", i), "plain")
		if err != nil {
			return err
		}
		q.services, q.serviceAddrs = append(q.services, p), append(q.serviceAddrs, addr)
	}
	if err := q.waitReady("http://" + q.storeAddr + "/instances"); err != nil {
		return err
	}
	var list roster.Listing
	for i := range size.Routers {
		r, err := q.startRouter(i)
		if err != nil {
			return err
		}
		q.routers = append(q.routers, r)
		list.Instances = append(list.Instances, roster.Entry{Address: r.peer, Zone: zoneOf(i), State: roster.Live})
	}
	if err := q.put("http://"+q.storeAddr+"/instances", list); err != nil {
		return err
	}
	for _, r := range q.routers {
		if err := q.waitReady("http://" + r.admin + "/readyz"); err != nil {
			return err
		}
	}
	return q.configure()
}

func (q *quaySite) startRouter(i int) (*quayRouter, error) {
	addrs, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	url := "http://" + q.storeAddr
	p, err := q.startProgram(fmt.Sprint("router-", i), "skylarkquay", "run", "--listen", addrs[0], "--peer", addrs[1], "--admin", addrs[2],
		"--zone", zoneOf(i), "--table-url", url, "--object-url", url, "--roster-url", url, "--drain-notice", "500ms", "--first-token", "3s")
	return &quayRouter{process: p, listen: addrs[0], peer: addrs[1], admin: addrs[2]}, err
}

func (q *quaySite) close() {
	for _, p := range q.processes {
		p.close()
	}
}

func (q *quaySite) waitReady(url string) error {
	return waitUntil("response from "+url, func() bool {
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
	return wire.NewOperatorProtobufClient("http://"+q.routers[i].admin, &q.http)
}

// configure applies the routing document through the operators' service, each section through a different router.
func (q *quaySite) configure() error {
	var workspaces, keys, limits, upstreams strings.Builder
	for name, r := range quayRates {
		q.keys[name] = keyPrefix + "-of-" + name
		fmt.Fprintf(&workspaces, "%s: {title: %s, weight: 1}\n", name, name)
		fmt.Fprintf(&keys, "%s: {workspace: %s, hash: %s}\n", name, name, gate.HashKey(q.keys[name]))
		fmt.Fprintf(&limits, "%s: {tokens_per_second: %d, burst_tokens: %d}\n", name, r[0], r[1])
	}
	for i, addr := range q.engineAddrs {
		fmt.Fprintf(&upstreams, "runner-%d: {address: '%s', zone: a, kind: engine, models: [quotes]}\n", i, addr)
	}
	for i, addr := range q.serviceAddrs {
		fmt.Fprintf(&upstreams, "booking-%d: {address: '%s', zone: b, kind: service, service: booking}\n", i, addr)
	}
	for i, e := range [initialSections][2]string{
		{"workspaces", workspaces.String()},
		{"keys", keys.String()},
		{"rates", limits.String()},
		{"models", "quotes: {weights: v1}\n"},
		{"upstreams", upstreams.String()},
		{"routes", "book: {method: POST, path: /bookings, service: booking, idempotent: false, timeout_millis: 1500}\n"},
		{"site", "policy: {placers: 1, token_micros: 5}\n"},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
		_, err := q.operator(i%len(q.routers)).Apply(ctx, &wire.ApplyRequest{Section: e[0], Text: e[1], Edit: e[0], Operator: "soak"})
		cancel()
		if err != nil {
			return oops.Wrapf(err, "apply %s", e[0])
		}
	}
	return waitUntil("document applied on all routers", func() bool {
		for i := range q.routers {
			if q.revision(i) < initialSections {
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

// RunQuay runs one seed on the product's own interface.
func RunQuay(ctx context.Context, settings Settings) (Result, error) {
	kinds, err := selectFaults(quayFaults, func(f quayFault) string { return f.name }, settings.OnlyFault)
	if err != nil {
		return Result{}, err
	}
	q, err := newQuaySite(settings.Programs, settings.Folder, settings.Size)
	if err != nil {
		return Result{}, err
	}
	defer q.close()
	h := &QuayHistory{}
	length := settings.Length + quayExtraCallTime
	start := time.Now()
	var traffic, background sync.WaitGroup
	var report load.Report
	traffic.Go(func() {
		report = load.Run(ctx, quayTraffic(len(q.routers), length), q.loadTarget(), load.Options{Speed: 1})
		h.Duration = time.Since(start)
	})
	bookings := &bookingClient{site: q, responses: make(map[string][]response)}
	traffic.Go(func() { bookings.run(ctx, length) })
	watching, stop := context.WithCancel(ctx)
	background.Go(func() { h.RevertedRevisions = q.countReverts(watching) })
	injections := quaySchedule(kinds, settings.Seed, settings.Length, settings.Size)
	q.injectFaults(ctx, start, injections, settings.Log)
	traffic.Wait()
	stop()
	background.Wait()
	h.Responses = bookings.responses
	h.Runs, h.RunsUnknown = q.bookingRuns()
	h.LeakedKeys = q.countLeakedKeys()
	h.CrossedResponses, h.CutStreams = report.Total.Crossed, report.Total.Broken
	h.NarrowTokens = report.Workspaces["narrow"].AdmittedTokens
	for _, p := range injections {
		h.StreamsMayBreak = h.StreamsMayBreak || p.fault.breaksStreams
	}
	for _, r := range q.routers {
		h.Crashes += r.crashes()
	}
	return Result{
		Seed: settings.Seed, Interface: "own", Routers: len(q.routers), Calls: report.Total.Sent + len(h.Responses), Served: report.Total.Completed,
		Lost: report.Total.Broken, Runs: len(h.Runs), Violations: CheckQuay(h), Folder: settings.Folder,
		Injections: injectionsOf(injections),
	}, nil
}

func (q *quaySite) loadTarget() load.Target {
	target := load.Target{Keys: q.keys, Model: "quotes"}
	for _, r := range q.routers {
		target.Routers = append(target.Routers, "http://"+r.listen)
	}
	return target
}

// countReverts counts how often a router's revision decreases, until the context ends.
func (q *quaySite) countReverts(ctx context.Context) int {
	reverted := 0
	highest := make([]int64, len(q.routers))
	runEvery(ctx, 100*time.Millisecond, func() {
		for i := range q.routers {
			reply, err := q.operator(i).Status(ctx, &wire.StatusRequest{})
			// A router that has just started serves nothing until it is current.
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

// countLeakedKeys counts the values received by upstreams that contain a key.
func (q *quaySite) countLeakedKeys() int {
	n := 0
	for _, addr := range slices.Concat(q.engineAddrs, q.serviceAddrs) {
		var seen plain.SeenCount
		if q.get("http://"+addr+"/seen?text="+url.QueryEscape(keyPrefix), &seen) == nil {
			n += seen.Count
		}
	}
	return n
}

// bookingRuns returns how often the services ran each booking; unknown reports that one was killed and its count is missing.
func (q *quaySite) bookingRuns() (runs map[string]int, unknown bool) {
	runs = make(map[string]int)
	for _, addr := range q.serviceAddrs {
		var part map[string]int
		if err := q.get("http://"+addr+"/runs", &part); err != nil {
			// The runs of a killed service are unknown; bookings that ran twice on another one are still found.
			unknown = true
		}
		for body, n := range part {
			runs[body] += n
		}
	}
	return runs, unknown
}

// injectFaults injects the faults at their times and waits until all are removed.
func (q *quaySite) injectFaults(ctx context.Context, start time.Time, injections []scheduled[quayFault], log logr.Logger) {
	var wg sync.WaitGroup
	for _, p := range injections {
		wg.Go(func() {
			p.run(ctx, start, log, func() func() error { return p.fault.inject(q, p.Target) })
		})
	}
	wg.Wait()
}

// quaySchedule derives overlapping fault injections from a seed.
func quaySchedule(faults []quayFault, seed uint64, length time.Duration, size Size) []scheduled[quayFault] {
	rng := rand.New(rand.NewPCG(seed, 1))
	targets := map[scope]int{onRouter: size.Routers, onUpstream: size.Engines, onAll: 1}
	var injections []scheduled[quayFault]
	for at := 2 * sec; at < length; at += time.Duration(rng.ExpFloat64() * float64(2*sec)) {
		f := faults[rng.IntN(len(faults))]
		p := Injection{Fault: f.name, Target: rng.IntN(targets[f.scope]), At: at, For: sec + time.Duration(rng.Float64()*float64(6*sec))}
		injections = append(injections, scheduled[quayFault]{p, f})
	}
	return injections
}
