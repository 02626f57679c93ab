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
	// events is the number of events of a stream.
	events = 12
	// spareKeys is the number of keys that can be withdrawn during a run.
	spareKeys = 6
	// askReady is the pause of the balancer between questions to a router; it takes a router out after two misses.
	askReady = 250 * time.Millisecond
	misses   = 2
	// grace is the time between the signal to stop and the kill.
	grace = 5 * time.Second
)

// bounds are those of the users' sites, with a narrow workspace that fits a small site.
var bounds = Bounds{
	Contact: 4 * time.Second, Revocation: 5 * time.Second, Apply: 3 * time.Second, Stretch: 6 * time.Second,
	Weights: 10 * time.Second, Turn: 3 * time.Second, Thaw: 300 * time.Millisecond, Recovery: 6 * time.Second, Drain: 3 * time.Second, Loss: 200 * time.Millisecond,
	Overshoot: 0.1, Slack: 4000, Rate: 2000, Burst: 4000, Window: 8 * time.Second,
}

// workspaces are the workspaces by key.
var workspaces = map[string]string{fake.Key: "acme", fake.NarrowKey: "narrow", "": ""}

// keys are the keys of the ample workspace; all but the first can be withdrawn.
var keys = []string{fake.Key}

func init() {
	for i := range spareKeys {
		key := fmt.Sprintf("key-%d-of-acme", i)
		keys = append(keys, key)
		workspaces[key] = "acme"
	}
}

// node is one router's process with the proxy between it and the store.
type node struct {
	*process
	listen, ready string
	store         *proxy
	missed        int
	up            atomic.Bool
}

// edgeSite is a whole site: routers as processes, stand-ins of store and upstreams in this process, proxies between.
type edgeSite struct {
	*fake.Site
	Ledger
	folder  string
	nodes   []*node
	before  []*proxy
	proxies map[string]*proxy
	mu      sync.Mutex
	// weights is the newest announced version.
	weights int64
	// leaving are the upstreams that gave notice.
	leaving map[string]bool
	// failure is what the soak itself could not do.
	failure error
	ids     atomic.Int64
	seed    uint64
}

// Size says how large a site is.
type Size struct {
	Routers, Engines, Services, Callers int
}

// newEdgeSite starts the stand-ins and routers; the program is the router's, the folder gets settings and logs.
func newEdgeSite(program, folder string, size Size, seed uint64) (*edgeSite, error) {
	standing, err := fake.NewSite(size.Engines, size.Services)
	if err != nil {
		return nil, err
	}
	s := &edgeSite{Site: standing, folder: folder, proxies: make(map[string]*proxy), leaving: make(map[string]bool), weights: 1, seed: seed}
	if err := s.start(program, size.Routers); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *edgeSite) start(program string, routers int) error {
	s.Ledger.Bounds = bounds
	s.NarrowRate, s.NarrowBurst, s.Rate, s.Burst = bounds.Rate, bounds.Burst, 1e7, 1e7
	s.Keys = slices.Clone(keys)
	for _, u := range s.Upstreams() {
		u.Events, u.PerEvent = events, 8*time.Millisecond
		p, err := newProxy("127.0.0.1:0", s.Address(u))
		if err != nil {
			return err
		}
		s.proxies[u.ID] = p
		s.RegisterAt(u, p.address())
	}
	s.PublishDocument()
	for i := range routers {
		n, err := s.newNode(program, i)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	return nil
}

// zoneOf is the availability zone of a router.
func zoneOf(router int) string { return string("abc"[router%3]) }

// freeAddresses returns loopback addresses that nobody listens on.
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

func (s *edgeSite) newNode(program string, i int) (*node, error) {
	store, err := newProxy("127.0.0.1:0", s.StoreAddr)
	if err != nil {
		return nil, err
	}
	s.before = append(s.before, store)
	at, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("router-%d", i)
	settings := edge.Settings{
		Name: name, Zone: zoneOf(i), Listen: at[0], Ready: at[1], Peer: at[2], Metrics: at[3], Store: store.address(),
		MemoryMB: 256, Cores: 0.5, Link: 100, GracePeriod: grace.Seconds(), RevocationLimit: bounds.Revocation.Milliseconds(),
		SupersededLimit: bounds.Weights.Milliseconds(), LeaseTerm: bounds.Turn.Milliseconds(), RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10, Level: "info",
	}
	text, err := yaml.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.folder, name+".yaml")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return nil, err
	}
	p, err := newProcess(s.folder, name, program, "run", "--config", path)
	if err != nil {
		return nil, err
	}
	return &node{process: p, listen: at[0], ready: at[1], store: store}, nil
}

// startMost bounds the start of a site; hundreds of processes share a few processors.
const startMost = 60 * time.Second

// until waits for what comes with the start of a site.
func until(what string, ready func() bool) error {
	for begin := time.Now(); time.Since(begin) < startMost; time.Sleep(askReady / 5) {
		if ready() {
			return nil
		}
	}
	return oops.Errorf("%s not within %s", what, startMost)
}

// await waits until all routers are ready.
func (s *edgeSite) await() error {
	return until(fmt.Sprintf("%d routers ready", len(s.nodes)), func() bool {
		s.balance()
		return !slices.ContainsFunc(s.nodes, func(n *node) bool { return !n.up.Load() })
	})
}

// balance asks each router once whether it is ready.
func (s *edgeSite) balance() {
	client := http.Client{Timeout: askReady}
	var all sync.WaitGroup
	for _, n := range s.nodes {
		all.Go(func() {
			resp, err := client.Get("http://" + n.ready + "/readiness")
			good := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			if good {
				n.missed = 0
				n.up.Store(true)
			} else if n.missed++; n.missed >= misses {
				n.up.Store(false)
			}
		})
	}
	all.Wait()
}

// pick returns a router that is ready; false when there is none.
func (s *edgeSite) pick(draw *rand.Rand) (int, bool) {
	var ready []int
	for i, n := range s.nodes {
		if n.up.Load() {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return 0, false
	}
	return ready[draw.IntN(len(ready))], true
}

// collect takes into the ledger what upstreams and processes have seen.
func (s *edgeSite) collect() *Ledger {
	l := s.Copy()
	for _, u := range s.Upstreams() {
		for _, r := range u.Runs() {
			l.Ran = append(l.Ran, Ran{r, u.ID})
		}
		for _, o := range u.Orders() {
			l.Turns = append(l.Turns, Turn{o, u.ID})
		}
	}
	for _, n := range s.nodes {
		l.Crashed += n.crashes()
	}
	return l
}

// close ends all that the site has started.
func (s *edgeSite) close() {
	for _, n := range s.nodes {
		n.close()
	}
	for _, p := range s.before {
		p.close()
	}
	for _, p := range s.proxies {
		p.close()
	}
	s.Site.Close()
}
