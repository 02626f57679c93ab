package serve

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/limit/fair"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

// ServiceShares holds the shares of workspaces by service. It is safe for concurrent use.
type ServiceShares struct {
	mu       sync.Mutex
	services map[string]*fair.Shares
}

// NewServiceShares returns shares that admit all requests.
func NewServiceShares() *ServiceShares {
	return &ServiceShares{services: make(map[string]*fair.Shares)}
}

func (s *ServiceShares) get(service string) *fair.Shares {
	s.mu.Lock()
	defer s.mu.Unlock()
	shares, ok := s.services[service]
	if !ok {
		shares = fair.NewShares()
		s.services[service] = shares
	}
	return shares
}

// sheds reports whether a request that no upstream has received yet is refused because its service cannot keep up: the workspace is
// beyond its share, or the request would end after its deadline.
func (x *exchange) sheds(now time.Time, choice place.Choice) bool {
	if x.Shares == nil || x.workspace == nil || choice.Version == 0 || x.counts.Sends > 0 || x.begun || x.info.LastEventID != "" {
		return false
	}
	shares := x.Shares.get(x.service)
	objective := longestObjective(x.doc, x.service)
	if shares.Due(now) {
		shares.Update(now, fair.Keep(choice.Cost, objective), x.demands())
	}
	chance := shares.Chance(x.workspace.Name)
	late := choice.Cost > x.deadline.Sub(now)
	if !late && chanceOf(x.info.ID) < chance {
		return false
	}
	x.shed = fault.NewRetryAfter(fault.Overloaded, max(minRetryAfter, choice.Cost-objective), "the service has no room for more of the workspace's requests")
	x.Log.Info("limit: no room", "id", x.info.ID, "service", x.service, "workspace", x.workspace.Name, "share", chance,
		"wait_ms", choice.Cost.Milliseconds(), "objective_ms", objective.Milliseconds(), "late", late)
	x.Metrics.Tagged(map[string]string{"service": x.service}).Counter("shed").Inc(1)
	return true
}

// demands returns what each workspace uses.
func (x *exchange) demands() []fair.Demand {
	rates := x.Quota.Rates(x.Boot())
	demands := make([]fair.Demand, 0, len(x.doc.Workspaces))
	for _, w := range x.doc.Workspaces {
		demands = append(demands, fair.Demand{Workspace: w.Name, Admitted: rates[w.Name], Weight: 1 / float64(1+max(0, w.Priority))})
	}
	return demands
}

// longestObjective returns the longest objective of the routes to a service. Its engines run requests in the order of their priority, so
// that those with shorter objectives wait for less than the queue suggests.
func longestObjective(doc *policy.Document, service string) time.Duration {
	longest := time.Duration(0)
	for _, r := range doc.Routes {
		for _, t := range r.Targets {
			if t.Service == service {
				longest = max(longest, r.Objective)
			}
		}
	}
	return longest
}

// chanceOf returns a number from 0 to 1 for a request.
func chanceOf(id string) float64 {
	const buckets = 1 << 20
	return float64(xxhash.Sum64String(id)%buckets) / buckets
}
