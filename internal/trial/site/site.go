// Package site builds a whole site in one process: platform, engines, plain services and routers, on loopback.
package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/app/daemon"
	"github.com/skylarkquay/skylarkquay/internal/conf/ledger"
	"github.com/skylarkquay/skylarkquay/internal/conf/option"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/fake/engine"
	"github.com/skylarkquay/skylarkquay/internal/fake/plain"
	"github.com/skylarkquay/skylarkquay/internal/fake/store"
	"github.com/skylarkquay/skylarkquay/internal/front/gate"
	"github.com/skylarkquay/skylarkquay/internal/plat/roster"
)

// Plan says what to build.
type Plan struct {
	Routers  int
	Engines  int
	Services int
	// Rates are the workspaces with their rates.
	Rates map[string]rules.Rate
	// Engine are the engines' speeds; zero takes fast ones.
	Engine engine.Settings
	// Adjust changes a router's settings before it starts.
	Adjust func(*option.Settings)
	Log    logr.Logger
}

const (
	// Model is the model that all engines serve.
	Model   = "quotes"
	weights = "v1"
	zones   = "abcd"
)

// Site is a running site.
type Site struct {
	Platform *store.Server
	Engines  []*engine.Server
	Services []*plain.Server
	Routers  []*Node
	// Keys holds one key for each workspace.
	Keys map[string]string

	plan     Plan
	ledger   *ledger.Ledger
	listing  roster.Listing
	platform string
	ups      []upstream
	servers  []*http.Server
}

// Node is one router of the site.
type Node struct {
	Settings option.Settings
	stop     context.CancelFunc
	end      chan error
}

// upstream is an upstream's name and place.
type upstream struct {
	name    string
	address string
	service bool
}

// Start builds and starts a site; it returns once every router is ready.
func Start(p Plan) (*Site, error) {
	if p.Engine.Weights == nil {
		p.Engine.Weights = map[string]string{Model: weights}
	}
	if p.Engine.CachePieces == 0 {
		p.Engine.CachePieces = 200
	}
	s := &Site{Platform: store.NewServer(), Keys: make(map[string]string), plan: p}
	var err error
	if s.platform, err = s.serve(s.Platform.Handler()); err != nil {
		return nil, err
	}
	s.ledger = ledger.New(s.Platform.Table, shelf{})
	if err := s.addUpstreams(); err != nil {
		return nil, err
	}
	if err := s.configure(); err != nil {
		return nil, err
	}
	for range p.Routers {
		if err := s.AddRouter(); err != nil {
			return nil, err
		}
	}
	return s, s.WaitReady()
}

// serve starts an HTTP server on a free port and returns its address.
func (s *Site) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, ConnContext: engine.ConnContext}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *Site) addUpstreams() error {
	for i := range s.plan.Engines {
		e := engine.NewServer(s.plan.Engine)
		address, err := s.serve(e.Handler())
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, e)
		s.ups = append(s.ups, upstream{name: fmt.Sprintf("runner-%02d", i), address: address})
	}
	for i := range s.plan.Services {
		p := plain.NewServer()
		address, err := s.serve(p.Handler())
		if err != nil {
			return err
		}
		s.Services = append(s.Services, p)
		s.ups = append(s.ups, upstream{name: fmt.Sprintf("booking-%02d", i), address: address, service: true})
	}
	return nil
}

// configure commits the routing document.
func (s *Site) configure() error {
	var workspaces, keys, rates, upstreams strings.Builder
	for name, r := range s.plan.Rates {
		key := "sq-key-of-" + name
		s.Keys[name] = key
		fmt.Fprintf(&workspaces, "%s: {title: %s, weight: 1}\n", name, name)
		fmt.Fprintf(&keys, "%s: {workspace: %s, hash: %s}\n", name, name, gate.HashKey(key))
		fmt.Fprintf(&rates, "%s: {tokens_per_second: %d, burst_tokens: %d}\n", name, r.TokensPerSecond, r.BurstTokens)
	}
	for i, u := range s.ups {
		zone := zones[i%len(zones)]
		if u.service {
			fmt.Fprintf(&upstreams, "%s: {address: '%s', zone: %c, kind: service, service: booking}\n", u.name, u.address, zone)
		} else {
			fmt.Fprintf(&upstreams, "%s: {address: '%s', zone: %c, kind: engine, models: [%s]}\n", u.name, u.address, zone, Model)
		}
	}
	edits := []struct {
		section rules.Section
		text    string
	}{
		{rules.Workspaces, workspaces.String()},
		{rules.Keys, keys.String()},
		{rules.Rates, rates.String()},
		{rules.Models, fmt.Sprintf("%s: {weights: %s}\n", Model, weights)},
		{rules.Upstreams, upstreams.String()},
	}
	if s.plan.Services > 0 {
		edits = append(edits, struct {
			section rules.Section
			text    string
		}{rules.Routes, routes})
	}
	for _, e := range edits {
		if err := s.Edit(e.section, e.text); err != nil {
			return err
		}
	}
	return nil
}

const routes = `
book: {method: POST, path: /bookings, service: booking, idempotent: false, timeout_millis: 2000}
order: {method: GET, path: "/orders/{id}", service: booking, idempotent: true, timeout_millis: 2000}
catalogue: {method: GET, path: /catalogue, service: booking, idempotent: true, open: true, timeout_millis: 2000}
`

// Edit replaces a section of the routing document, past the routers.
func (s *Site) Edit(section rules.Section, text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	doc, err := s.ledger.Load(ctx, rules.Empty())
	if err != nil {
		return err
	}
	_, err = s.ledger.Commit(ctx, time.Now(), doc, ledger.Edit{
		ID:       fmt.Sprintf("%s-%d", section, doc.Revision),
		Section:  section,
		Text:     text,
		Base:     doc.Changed[section],
		Operator: "site",
	})
	return err
}

// AddRouter starts one more router.
func (s *Site) AddRouter() error {
	n := &Node{Settings: option.Defaults()}
	for _, address := range []*string{&n.Settings.Listen, &n.Settings.Peer, &n.Settings.Admin} {
		var err error
		if *address, err = FreeAddress(); err != nil {
			return err
		}
	}
	url := "http://" + s.platform
	n.Settings.TableURL = url
	n.Settings.ObjectURL = url
	n.Settings.RosterURL = url
	n.Settings.Zone = string(zones[len(s.Routers)%len(zones)])
	n.Settings.DrainNotice = 100 * time.Millisecond
	if s.plan.Adjust != nil {
		s.plan.Adjust(&n.Settings)
	}
	s.Routers = append(s.Routers, n)
	s.listing.Instances = append(s.listing.Instances, roster.Entry{Address: n.Settings.Peer, Zone: n.Settings.Zone, State: roster.Live})
	s.Platform.SetListing(s.listing)
	return s.run(n)
}

// run starts a router's process part.
func (s *Site) run(n *Node) error {
	r, err := daemon.New(n.Settings, s.plan.Log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.end = make(chan error, 1)
	go func() { n.end <- r.Run(ctx) }()
	return nil
}

// Restart stops a router gracefully and starts it again at the same addresses.
func (s *Site) Restart(n *Node) error {
	n.Stop()
	return s.run(n)
}

// Stop begins a router's planned stop and returns when it has ended.
func (n *Node) Stop() {
	n.stop()
	<-n.end
}

// URL returns the address for callers.
func (n *Node) URL() string {
	return "http://" + n.Settings.Listen
}

// LeaveUpstream puts an upstream on the platform's list as leaving.
func (s *Site) LeaveUpstream(index int) {
	s.listing.Upstreams = append(s.listing.Upstreams, roster.Entry{Address: s.ups[index].address, Zone: "a", State: roster.Leaving})
	s.Platform.SetListing(s.listing)
}

const (
	readyLimit = 20 * time.Second
	readyPause = 20 * time.Millisecond
)

// WaitReady returns once every router is ready.
func (s *Site) WaitReady() error {
	deadline := time.Now().Add(readyLimit)
	for _, n := range s.Routers {
		for !n.Ready() {
			if time.Now().After(deadline) {
				return oops.Errorf("router %s is not ready", n.Settings.Listen)
			}
			time.Sleep(readyPause)
		}
	}
	return nil
}

// Ready tells whether a router says that it is ready.
func (n *Node) Ready() bool {
	res, err := http.Get("http://" + n.Settings.Admin + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Close stops everything.
func (s *Site) Close() {
	for _, n := range s.Routers {
		n.Stop()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// shelf is an empty object store; the site's own edits need no snapshots.
type shelf struct{}

// Get implements ledger.Objects.
func (shelf) Get(context.Context, string) ([]byte, bool, error) { return nil, false, nil }

// Put implements ledger.Objects.
func (shelf) Put(context.Context, string, []byte) error { return nil }
