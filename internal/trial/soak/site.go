package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"gopkg.in/yaml.v3"

	"github.com/skylarkquay/skylarkquay/internal/app/edge"
	"github.com/skylarkquay/skylarkquay/internal/trial/site"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

const (
	streamEvents = 12
	// spareKeys is the number of keys that can be revoked during a run.
	spareKeys = 6
	// readyPollInterval is the balancer's interval between readiness polls; it ejects a router after maxMissedPolls.
	readyPollInterval = 250 * time.Millisecond
	maxMissedPolls    = 2
	// stopGracePeriod is the time between SIGTERM and SIGKILL.
	stopGracePeriod = 5 * time.Second
)

// bounds are those of the users' sites, with limits for the narrow workspace that suit a small site.
var bounds = Bounds{
	SettleTime: 4 * time.Second, Revocation: 5 * time.Second, Apply: 3 * time.Second, StoreOutage: 6 * time.Second,
	Weights: 10 * time.Second, LeaseTerm: 3 * time.Second, AfterFault: 300 * time.Millisecond, Recovery: 6 * time.Second, Drain: 3 * time.Second, CloseRace: 200 * time.Millisecond,
	Overshoot: 0.1, Slack: 4000, Rate: 2000, Burst: 4000, Window: 8 * time.Second,
}

var workspaceByKey = map[string]string{fake.Key: "acme", fake.NarrowKey: "narrow", "": ""}

// ampleKeys are the keys of the ample workspace; all but the first can be revoked.
var ampleKeys = []string{fake.Key}

func init() {
	for i := range spareKeys {
		key := fmt.Sprintf("key-%d-of-acme", i)
		ampleKeys = append(ampleKeys, key)
		workspaceByKey[key] = "acme"
	}
}

// edgeRouter is a router process with the proxy between it and the store.
type edgeRouter struct {
	*process
	listen, ready string
	store         *proxy
	missedPolls   int
	healthy       atomic.Bool
}

// edgeSite is a site with routers as processes; stand-ins and the proxies before them run in this process.
type edgeSite struct {
	*fake.Site
	History
	folder string
	// program is the router, and earlier the one that runs until each is started again; empty for none.
	program, earlier string
	routers          []*edgeRouter
	storeProxies     []*proxy
	upstreamProxies  map[string]*proxy
	mu               sync.Mutex
	// weights is the latest announced version.
	weights int64
	// draining holds the upstreams that announced a drain.
	draining map[string]bool
	// injectErr joins the errors of faults that could not be removed.
	injectErr error
	lastID    atomic.Int64
	seed      uint64
}

// Size is the size of a site.
type Size struct {
	Routers, Engines, Services, Callers int
}

// newEdgeSite starts the stand-ins and routers.
func newEdgeSite(settings Settings) (*edgeSite, error) {
	standIns, err := fake.NewSite(settings.Size.Engines, settings.Size.Services)
	if err != nil {
		return nil, err
	}
	s := &edgeSite{
		Site: standIns, folder: settings.Folder, upstreamProxies: make(map[string]*proxy), draining: make(map[string]bool), weights: 1, seed: settings.Seed,
		program: filepath.Join(settings.Programs, "skylarkedge"), earlier: settings.Earlier,
	}
	if err := s.start(settings.Size.Routers); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *edgeSite) start(routers int) error {
	s.History.Bounds = bounds
	s.NarrowRate, s.NarrowBurst, s.Rate, s.Burst = bounds.Rate, bounds.Burst, 1e7, 1e7
	s.Keys = slices.Clone(ampleKeys)
	for _, u := range s.Upstreams() {
		u.Events, u.PerEvent = streamEvents, 8*time.Millisecond
		p, err := newProxy("127.0.0.1:0", s.Address(u))
		if err != nil {
			return err
		}
		s.upstreamProxies[u.ID] = p
		s.RegisterAt(u, p.addr())
	}
	s.PublishDocument()
	for i := range routers {
		r, err := s.newRouter(i)
		if err != nil {
			return err
		}
		s.routers = append(s.routers, r)
	}
	return nil
}

// zoneOf is the availability zone of a router.
func zoneOf(router int) string { return string("abc"[router%3]) }

// freeAddresses returns n unused loopback addresses.
func freeAddresses(n int) ([]string, error) {
	all := make([]string, n)
	for i := range all {
		var err error
		if all[i], err = site.FreeAddress(); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func (s *edgeSite) newRouter(i int) (*edgeRouter, error) {
	store, err := newProxy("127.0.0.1:0", s.StoreAddr)
	if err != nil {
		return nil, err
	}
	s.storeProxies = append(s.storeProxies, store)
	addrs, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("router-%d", i)
	settings := edge.Settings{
		Name: name, Zone: zoneOf(i), Listen: addrs[0], Ready: addrs[1], Peer: addrs[2], Metrics: addrs[3], Store: store.addr(),
		MemoryMB: 256, Cores: 0.5, Link: 100, Grace: stopGracePeriod.Seconds(), Revocation: bounds.Revocation.Milliseconds(),
		Weights: bounds.Weights.Milliseconds(), Turn: bounds.LeaseTerm.Milliseconds(), RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10, Level: "info",
	}
	text, err := yaml.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.folder, name+".yaml")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return nil, err
	}
	first := s.program
	if s.earlier != "" {
		first = s.earlier
	}
	p, err := newProcess(s.folder, name, first, "run", "--config", path)
	if err != nil {
		return nil, err
	}
	p.replaceProgram(s.program)
	return &edgeRouter{process: p, listen: addrs[0], ready: addrs[1], store: store}, nil
}

// startTimeout is long because hundreds of processes share a few processors.
const startTimeout = 60 * time.Second

// waitUntil polls ready until it returns true or startTimeout has passed.
func waitUntil(what string, ready func() bool) error {
	for start := time.Now(); time.Since(start) < startTimeout; time.Sleep(readyPollInterval / 5) {
		if ready() {
			return nil
		}
	}
	return oops.Errorf("%s: timed out after %s", what, startTimeout)
}

// waitReady waits until all routers are ready.
func (s *edgeSite) waitReady() error {
	return waitUntil(fmt.Sprintf("%d routers ready", len(s.routers)), func() bool {
		s.pollReadiness()
		return !slices.ContainsFunc(s.routers, func(r *edgeRouter) bool { return !r.healthy.Load() })
	})
}

// pollReadiness polls the readiness of each router once.
func (s *edgeSite) pollReadiness() {
	client := http.Client{Timeout: readyPollInterval}
	var wg sync.WaitGroup
	for _, r := range s.routers {
		wg.Go(func() {
			resp, err := client.Get("http://" + r.ready + "/readiness")
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			if ok {
				r.missedPolls = 0
				r.healthy.Store(true)
			} else if r.missedPolls++; r.missedPolls >= maxMissedPolls {
				r.healthy.Store(false)
			}
		})
	}
	wg.Wait()
}

// pickRouter returns a random ready router, or false if there is none.
func (s *edgeSite) pickRouter(rng *rand.Rand) (int, bool) {
	var ready []int
	for i, r := range s.routers {
		if r.healthy.Load() {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return 0, false
	}
	return ready[rng.IntN(len(ready))], true
}

// collect returns a snapshot with the runs and orders of the upstreams and the crashes of the processes.
func (s *edgeSite) collect() *History {
	h := s.Copy()
	for _, u := range s.Upstreams() {
		for _, r := range u.Runs() {
			h.Runs = append(h.Runs, RunRecord{r, u.ID})
		}
		for _, o := range u.Orders() {
			h.Orders = append(h.Orders, OrderRecord{o, u.ID})
		}
	}
	for _, r := range s.routers {
		h.Crashes += r.crashes()
	}
	return h
}

// close stops everything that the site has started.
func (s *edgeSite) close() {
	for _, r := range s.routers {
		r.close()
	}
	for _, p := range s.storeProxies {
		p.close()
	}
	for _, p := range s.upstreamProxies {
		p.close()
	}
	s.Site.Close()
}
