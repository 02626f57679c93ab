package serve

import (
	"net/http"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

// Explanation says where a request would go now.
type Explanation struct {
	Route     string `json:"route"`
	Service   string `json:"service"`
	Workspace string `json:"workspace,omitempty"`
	// Objective and Timeout are in milliseconds.
	Objective int64 `json:"objective"`
	Timeout   int64 `json:"timeout"`
	// Learned reports whether the costs are learned.
	Learned bool `json:"learned"`
	// Share is the part of the workspace's requests that the service has room for.
	Share float64 `json:"share"`
	// Candidates are the upstreams that may run the request, best first, and then the others.
	Candidates []ExplainedUpstream `json:"candidates"`
}

// ExplainedUpstream is an upstream in an explanation. Times are in milliseconds.
type ExplainedUpstream struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Build   string `json:"build,omitempty"`
	Weights int64  `json:"weights,omitempty"`
	// Out says why the upstream may not run the request.
	Out string `json:"out,omitempty"`
	// Cost is the expected wait, of which Wait is due to other requests, Memory to a full KV cache and Read to the prompt.
	Cost   int64 `json:"cost"`
	Wait   int64 `json:"wait"`
	Memory int64 `json:"memory"`
	Read   int64 `json:"read"`
	// Running requests with Pending tokens to read and Held ones in the KV cache are in progress.
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
	Pending int64 `json:"pending"`
	Held    int64 `json:"held"`
	// Depth is the number of the prompt's shared parts that are assumed to be held.
	Depth   int     `json:"depth"`
	Pace    float64 `json:"pace,omitempty"`
	Ejected bool    `json:"ejected,omitempty"`
	Failing float64 `json:"failing,omitempty"`
}

// Explain returns where a request would go now, without sending it or charging its workspace. The request has no body.
func (h *Handler) Explain(now time.Time, r *http.Request) (Explanation, error) {
	x := &exchange{Handler: h, r: r, started: now, avoid: make(map[string]bool), chains: make(map[int64][]uint64)}
	if x.doc = h.Feed.Document(); x.doc == nil {
		return Explanation{}, fault.New(fault.NotCurrent, "this instance has no routing document yet")
	}
	var err error
	if x.info, err = x.Dialect.ParseRequest(r); err != nil {
		return Explanation{}, fault.New(fault.BadRequest, "%s", err)
	}
	if !x.identify() {
		return Explanation{}, fault.New(fault.UnknownRoute, "no route matches host and path, or the key is unknown")
	}
	x.workspace = x.doc.Keys[x.info.Key]
	x.service = x.route.ServiceFor(x.info.streamID())
	if err := x.bindBuild(r.Context()); err != nil {
		return Explanation{}, err
	}
	q := x.query(now)
	builds, _ := x.Shifts.Builds(x.service, q.Seed, x.build, false)
	e := Explanation{
		Route: x.route.Name, Service: x.service, Objective: x.route.Objective.Milliseconds(), Timeout: x.timeout().Milliseconds(),
		Learned: q.Learned != nil, Share: 1,
	}
	for _, c := range place.Explain(q, builds.Of(h.Fleet.Views(now, x.service)), h.Costs) {
		e.Candidates = append(e.Candidates, explained(c))
	}
	if x.workspace == nil {
		return e, nil
	}
	e.Workspace = x.workspace.Name
	if h.Shares != nil && len(e.Candidates) > 0 && q.Model != "" {
		e.Share = h.Shares.get(x.service).Chance(x.workspace.Name)
	}
	return e, nil
}

func explained(c place.Candidate) ExplainedUpstream {
	return ExplainedUpstream{
		ID: c.ID, Zone: c.Zone, Build: c.Build, Weights: c.Version, Out: c.Out, Cost: c.Cost.Milliseconds(), Wait: c.Wait.Milliseconds(),
		Memory: c.Memory.Milliseconds(), Read: c.Read.Milliseconds(), Running: c.Running, Slots: c.Slots, Pending: c.PendingTokens, Held: c.Held,
		Depth: c.Depth, Pace: c.Pace, Ejected: c.Ejected, Failing: c.FailureRate,
	}
}
