// Package policy holds the routing document in the form that request handling uses.
package policy

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind determines whether a request may be sent again after a failure.
type Kind string

// The kinds of requests.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
	Streaming     Kind = "streaming"
)

// Target is one service of a route with its share of the traffic.
type Target struct {
	Service string
	// Weight is positive.
	Weight int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the whole request; zero means no bound.
	Timeout time.Duration
	// Objective is the target time to the response, or to the first event of a stream.
	Objective time.Duration
	// GapObjective is the target for the longest pause between events; zero for routes that do not stream.
	GapObjective time.Duration
	// Attempts is the maximum number of upstreams that may run one request, at least 1.
	Attempts int
	// Priority is 0 for the most urgent.
	Priority int
	// Open routes require no key.
	Open bool
	// Language routes carry prompts.
	Language bool
	// Resumable streams may continue on another upstream.
	Resumable bool
	// Targets is never empty.
	Targets []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// ServiceFor returns the service for a request, chosen by the hash of the request ID in proportion to the weights.
func (r *Route) ServiceFor(id string) string {
	total := uint64(0)
	for _, t := range r.Targets {
		total += uint64(t.Weight)
	}
	point := xxhash.Sum64String(id) % total
	for _, t := range r.Targets {
		if point < uint64(t.Weight) {
			return t.Service
		}
		point -= uint64(t.Weight)
	}
	return r.Targets[0].Service
}

// Engine describes the engines of a service.
type Engine struct {
	// Slots is the maximum number of requests in one batch.
	Slots int
	// CacheTokens is the KV cache capacity of one engine in tokens.
	CacheTokens int64
	// Models are the names of the models that the engines serve.
	Models []string
}

// Service is a group of upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections to one upstream from all instances together; zero means no bound.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
	// StoreAddress is set for a KV store, which serves no requests.
	StoreAddress string
	// StoreZone is the availability zone of the KV store.
	StoreZone string
}

// Workspace is a customer.
type Workspace struct {
	Name string
	// Priority is 0 for the most urgent and takes precedence over that of the route.
	Priority int
	// Isolated workspaces share no cached prefixes with others.
	Isolated bool
	// ByTokens reports whether Rate counts tokens instead of requests.
	ByTokens bool
	// PlainTokens is the cost of a request without a prompt when Rate counts tokens.
	PlainTokens int64
	// Rate is in tokens or requests per second over all instances; zero means no limit.
	Rate float64
	// Burst is in tokens or requests.
	Burst float64
}

// Cost returns how much of the rate a request with these numbers of prompt and output tokens uses.
func (w *Workspace) Cost(prompt, output int64) float64 {
	if !w.ByTokens {
		return 1
	}
	if prompt+output > 0 {
		return float64(prompt + output)
	}
	return float64(w.PlainTokens)
}

// Limits bound the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one revision of the routing document. It is immutable after Index.
type Document struct {
	Revision   int64
	Routes     []*Route
	Services   map[string]*Service
	Workspaces []*Workspace
	// Keys maps each key to its workspace. It is empty when no route requires a key.
	Keys   map[string]*Workspace
	Limits Limits
	byHost map[string][]*Route
}

// Index prepares the document for Match.
func (d *Document) Index() {
	d.byHost = make(map[string][]*Route)
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		d.byHost[host] = append(d.byHost[host], r)
	}
	for _, routes := range d.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// Match returns the route of a host with the longest prefix of a path, or nil.
func (d *Document) Match(host, path string) *Route {
	for _, r := range d.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// KVStores returns the addresses of the KV stores, sorted by service name.
func (d *Document) KVStores() []string {
	var stores []*Service
	for _, s := range d.Services {
		if s.StoreAddress != "" {
			stores = append(stores, s)
		}
	}
	slices.SortFunc(stores, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	addresses := make([]string, 0, len(stores))
	for _, s := range stores {
		addresses = append(addresses, s.StoreAddress)
	}
	return addresses
}

// ServiceOfModel returns the name of the service whose engines run a model, or "".
func (d *Document) ServiceOfModel(model string) string {
	for _, s := range d.Services {
		if s.Engine != nil && slices.Contains(s.Engine.Models, model) {
			return s.Name
		}
	}
	return ""
}
