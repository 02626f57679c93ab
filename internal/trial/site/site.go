// Package site runs a platform, engines, plain services and routers in one process on loopback, for tests and demos.
package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
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
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/plat/roster"
)

// Options configure a site.
type Options struct {
	Routers  int
	Engines  int
	Services int
	// Rates maps workspaces to their rates.
	Rates map[string]rules.Rate
	// Engine configures all engines; zero values select a fast engine.
	Engine engine.Settings
	// Adjust modifies the settings of each router before it starts.
	Adjust func(*option.Settings)
	// Direct, if set, returns the function by which a router connects to upstreams itself.
	Direct func(router int) relay.Dial
	Log    logr.Logger
}

const (
	// Model is the name of the model that all engines serve.
	Model   = "quotes"
	weights = "v1"
	zones   = "abcd"
)

// Site is a running site.
type Site struct {
	Platform *store.Server
	Engines  []*engine.Server
	Services []*plain.Server
	Routers  []*Router
	// Keys maps each workspace to its API key.
	Keys map[string]string

	options         Options
	ledger          *ledger.Ledger
	listing         roster.Listing
	platformAddress string
	upstreams       []upstream
	servers         []*http.Server
}

// Router is one router of the site.
type Router struct {
	Settings option.Settings
	cancel   context.CancelFunc
	done     chan error
}

// upstream is an engine or a plain service of the site.
type upstream struct {
	name    string
	address string
	service bool
}

// Start starts a site and waits until every router is ready.
func Start(o Options) (*Site, error) {
	if o.Engine.Weights == nil {
		o.Engine.Weights = map[string]string{Model: weights}
	}
	if o.Engine.CachePieces == 0 {
		o.Engine.CachePieces = 200
	}
	s := &Site{Platform: store.NewServer(), Keys: make(map[string]string), options: o}
	var err error
	if s.platformAddress, err = s.serve(s.Platform.Handler()); err != nil {
		return nil, err
	}
	s.ledger = ledger.New(s.Platform.Table, emptyObjects{})
	if err := s.addUpstreams(); err != nil {
		return nil, err
	}
	if err := s.commitDocument(); err != nil {
		return nil, err
	}
	for range o.Routers {
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

// addUpstreams starts the engines and the plain services.
func (s *Site) addUpstreams() error {
	for i := range s.options.Engines {
		e := engine.NewServer(s.options.Engine)
		address, err := s.serve(e.Handler())
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, e)
		s.upstreams = append(s.upstreams, upstream{name: fmt.Sprintf("runner-%02d", i), address: address})
	}
	for i := range s.options.Services {
		p := plain.NewServer()
		address, err := s.serve(p.Handler())
		if err != nil {
			return err
		}
		s.Services = append(s.Services, p)
		s.upstreams = append(s.upstreams, upstream{name: fmt.Sprintf("booking-%02d", i), address: address, service: true})
	}
	return nil
}

// commitDocument commits the routing document, one section per edit.
func (s *Site) commitDocument() error {
	var workspaces, keys, rates, upstreams strings.Builder
	for name, r := range s.options.Rates {
		key := "sq-key-of-" + name
		s.Keys[name] = key
		fmt.Fprintf(&workspaces, "%s: {title: %s, weight: 1}\n", name, name)
		fmt.Fprintf(&keys, "%s: {workspace: %s, hash: %s}\n", name, name, gate.HashKey(key))
		fmt.Fprintf(&rates, "%s: {tokens_per_second: %d, burst_tokens: %d}\n", name, r.TokensPerSecond, r.BurstTokens)
	}
	for i, u := range s.upstreams {
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
	if s.options.Services > 0 {
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

// Edit replaces a section of the routing document directly in the store.
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

// AddRouter starts another router and adds it to the platform's list.
func (s *Site) AddRouter() error {
	r := &Router{Settings: option.Defaults()}
	for _, address := range []*string{&r.Settings.Listen, &r.Settings.Peer, &r.Settings.Admin} {
		var err error
		if *address, err = FreeAddress(); err != nil {
			return err
		}
	}
	url := "http://" + s.platformAddress
	r.Settings.TableURL = url
	r.Settings.ObjectURL = url
	r.Settings.RosterURL = url
	r.Settings.Zone = string(zones[len(s.Routers)%len(zones)])
	r.Settings.DrainNotice = 100 * time.Millisecond
	if s.options.Adjust != nil {
		s.options.Adjust(&r.Settings)
	}
	s.Routers = append(s.Routers, r)
	s.listing.Instances = append(s.listing.Instances, roster.Entry{Address: r.Settings.Peer, Zone: r.Settings.Zone, State: roster.Live})
	s.Platform.SetListing(s.listing)
	return s.startRouter(r)
}

// startRouter runs the daemon of a router.
func (s *Site) startRouter(r *Router) error {
	d, err := daemon.New(r.Settings, s.options.Log)
	if err != nil {
		return err
	}
	if s.options.Direct != nil {
		d.SetDirect(s.options.Direct(slices.Index(s.Routers, r)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.done = make(chan error, 1)
	go func() { r.done <- d.Run(ctx) }()
	return nil
}

// Restart stops a router gracefully and starts it again on the same addresses.
func (s *Site) Restart(r *Router) error {
	r.Stop()
	return s.startRouter(r)
}

// Stop stops a router gracefully and waits until it has ended.
func (r *Router) Stop() {
	r.cancel()
	<-r.done
}

// URL returns the base URL for callers.
func (r *Router) URL() string {
	return "http://" + r.Settings.Listen
}

// MarkLeaving adds an upstream to the platform's list with the state leaving.
func (s *Site) MarkLeaving(index int) {
	s.listing.Upstreams = append(s.listing.Upstreams, roster.Entry{Address: s.upstreams[index].address, Zone: "a", State: roster.Leaving})
	s.Platform.SetListing(s.listing)
}

const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// WaitReady waits until every router is ready. It fails after readyTimeout.
func (s *Site) WaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, r := range s.Routers {
		for !r.Ready() {
			if time.Now().After(deadline) {
				return oops.Errorf("timed out waiting for router %s to become ready", r.Settings.Listen)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// Ready reports whether the readiness check of a router succeeds.
func (r *Router) Ready() bool {
	res, err := http.Get("http://" + r.Settings.Admin + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Close stops the routers, then the servers of the platform and the upstreams.
func (s *Site) Close() {
	for _, r := range s.Routers {
		r.Stop()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// emptyObjects is an object store without objects; Edit needs no snapshots.
type emptyObjects struct{}

// Get implements ledger.Objects.
func (emptyObjects) Get(context.Context, string) ([]byte, bool, error) { return nil, false, nil }

// Put implements ledger.Objects.
func (emptyObjects) Put(context.Context, string, []byte) error { return nil }
