// Package rules defines the routing document that operators edit, its parsing and validation, and changes to it.
package rules

// Section is the name of a section of the routing document; each belongs to one team of operators.
type Section string

// The sections of the routing document.
const (
	Workspaces Section = "workspaces"
	Keys       Section = "keys"
	Rates      Section = "rates"
	Models     Section = "models"
	Upstreams  Section = "upstreams"
	Routes     Section = "routes"
	Site       Section = "site"
)

// Sections lists all sections in the order in which they are printed.
var Sections = []Section{Workspaces, Keys, Rates, Models, Upstreams, Routes, Site}

// Workspace is a customer.
type Workspace struct {
	// Title is shown to operators.
	Title string `yaml:"title" json:"title" validate:"required,max=200"`
	// Weight is the relative share of the workspace when engines are overloaded.
	Weight int `yaml:"weight" json:"weight" validate:"gte=1,lte=1000"`
}

// Key is a caller's API key; only its hash is stored.
type Key struct {
	// Workspace owns the key.
	Workspace string `yaml:"workspace" json:"workspace" validate:"required"`
	// Hash is the SHA-256 of the key in lower-case hexadecimal.
	Hash string `yaml:"hash" json:"hash" validate:"len=64,hexadecimal,lowercase"`
}

// Rate is the rate limit of a workspace over all instances; its name is the workspace's.
type Rate struct {
	// TokensPerSecond is the refill rate.
	TokensPerSecond int64 `yaml:"tokens_per_second" json:"tokens_per_second" validate:"gt=0"`
	// BurstTokens is the burst size.
	BurstTokens int64 `yaml:"burst_tokens" json:"burst_tokens" validate:"gt=0"`
}

// Model is a model that engines serve.
type Model struct {
	// Weights is the current version of the weights.
	Weights string `yaml:"weights" json:"weights" validate:"required"`
}

// UpstreamKind distinguishes engines from plain services.
type UpstreamKind string

// The kinds of upstream.
const (
	Engine  UpstreamKind = "engine"
	Service UpstreamKind = "service"
)

// Upstream is an upstream to which requests may be sent.
type Upstream struct {
	// Address is HOST:PORT, where HOST is an IP address.
	Address string `yaml:"address" json:"address" validate:"hostname_port"`
	// Zone is the availability zone.
	Zone string `yaml:"zone" json:"zone" validate:"required"`
	// Kind is Engine or Service.
	Kind UpstreamKind `yaml:"kind" json:"kind" validate:"oneof=engine service"`
	// Models are the models that an engine may serve; empty for a service.
	Models []string `yaml:"models,omitempty" json:"models,omitempty" validate:"required_if=Kind engine"`
	// Service is the name of the plain service; empty for an engine.
	Service string `yaml:"service,omitempty" json:"service,omitempty" validate:"required_if=Kind service"`
	// Fenced reports whether the upstream rejects commands with an outdated fencing token.
	Fenced bool `yaml:"fenced,omitempty" json:"fenced,omitempty"`
}

// Route sends plain requests to a service.
type Route struct {
	// Method is the HTTP method.
	Method string `yaml:"method" json:"method" validate:"oneof=GET PUT POST DELETE PATCH HEAD"`
	// Path is a path, with {name} for one variable segment.
	Path string `yaml:"path" json:"path" validate:"startswith=/"`
	// Service is the plain service that runs the requests.
	Service string `yaml:"service" json:"service" validate:"required"`
	// Idempotent requests may be sent again after a failure.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// Open requests require no key and belong to no workspace.
	Open bool `yaml:"open,omitempty" json:"open,omitempty"`
	// TimeoutMillis is the timeout of a request.
	TimeoutMillis int `yaml:"timeout_millis" json:"timeout_millis" validate:"gte=10,lte=600000"`
}

// Policy is the only item of the site section; its name is "policy".
type Policy struct {
	// Placers is the number of instances over which the placement of one model's prompts is spread, by workspace.
	Placers int `yaml:"placers" json:"placers" validate:"gte=1,lte=1000"`
	// TokenMicros is an engine's time per prompt token in microseconds.
	TokenMicros int `yaml:"token_micros" json:"token_micros" validate:"gte=1,lte=1000000"`
}

// PolicyName is the name of the policy item.
const PolicyName = "policy"

// Document is one revision of the routing document. It is immutable once built.
type Document struct {
	// Revision grows by one with each accepted edit; 0 is the empty document.
	Revision int64 `json:"revision"`
	// Changed holds the revision at which each section last changed.
	Changed map[Section]int64 `json:"changed"`
	// Digest identifies the content: the XOR of the hashes of all items, in hexadecimal.
	Digest string `json:"digest"`

	Workspaces map[string]Workspace `json:"workspaces"`
	Keys       map[string]Key       `json:"keys"`
	Rates      map[string]Rate      `json:"rates"`
	Models     map[string]Model     `json:"models"`
	Upstreams  map[string]Upstream  `json:"upstreams"`
	Routes     map[string]Route     `json:"routes"`
	Site       map[string]Policy    `json:"site"`

	// workspaceByHash maps a key's hash to its workspace; it is derived from Keys.
	workspaceByHash map[string]string
}

// WorkspaceByHash returns the workspace whose key has a hash.
func (d *Document) WorkspaceByHash(hash string) (string, bool) {
	w, ok := d.workspaceByHash[hash]
	return w, ok
}

// ActivePolicy returns the site's policy, or the default.
func (d *Document) ActivePolicy() Policy {
	if p, ok := d.Site[PolicyName]; ok {
		return p
	}
	return Policy{Placers: 1, TokenMicros: 100}
}
