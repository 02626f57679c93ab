// Package count counts what the builds of a service answer, while its traffic is moved from one to another.
package count

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/roll/shift"
)

const (
	// maxRoutes bounds the routes of a service that are counted apart; others are counted as otherRoutes.
	maxRoutes   = 16
	otherRoutes = "*"
	// maxServices bounds the services whose moves are counted at the same time.
	maxServices = 16
)

// Report is what one or several instances have counted since an order.
type Report struct {
	Service string `json:"s"`
	// Started tells the orders of a service apart: the store's clock, in milliseconds, when the order's record began.
	Started int64 `json:"b"`
	// Step is the latest step of the record that was acknowledged, Acked the number of instances that did.
	Step  int64 `json:"p,omitempty"`
	Acked int   `json:"a,omitempty"`
	// Arrived counts the requests that were sent to any upstream of the service, Exposed those sent to the new build.
	Arrived int64 `json:"n,omitempty"`
	Exposed int64 `json:"x,omitempty"`
	// Old and New count the answers by route.
	Old map[string]shift.Tally `json:"o,omitempty"`
	New map[string]shift.Tally `json:"w,omitempty"`
}

// Plus returns the sum of two reports on a service. Of reports on different orders the later one stands.
func (r Report) Plus(o Report) Report {
	switch {
	case o.Started > r.Started:
		return o
	case o.Started < r.Started:
		return r
	case o.Step > r.Step:
		r.Step, r.Acked = o.Step, o.Acked
	case o.Step == r.Step:
		r.Acked += o.Acked
	}
	r.Arrived += o.Arrived
	r.Exposed += o.Exposed
	r.Old, r.New = plus(r.Old, o.Old), plus(r.New, o.New)
	return r
}

// Unacknowledged returns the report without its acknowledgement, which holds for a short time only.
func (r Report) Unacknowledged() Report {
	r.Step, r.Acked = 0, 0
	return r
}

// plus returns the sum by route without changing either map.
func plus(a, b map[string]shift.Tally) map[string]shift.Tally {
	if len(b) == 0 {
		return a
	}
	sum := maps.Clone(a)
	if sum == nil {
		sum = make(map[string]shift.Tally, len(b))
	}
	for _, route := range slices.Sorted(maps.Keys(b)) {
		key := bounded(sum, route)
		sum[key] = sum[key].Plus(b[route])
	}
	return sum
}

// bounded returns the key under which a route is counted.
func bounded(tallies map[string]shift.Tally, route string) string {
	if _, ok := tallies[route]; ok || len(tallies) < maxRoutes {
		return route
	}
	return otherRoutes
}

// Add returns the reports with others added, by service, without changing either. Acknowledged reports whether the others are recent
// enough for their acknowledgements.
func Add(reports, others []Report, acknowledged bool) []Report {
	if len(others) == 0 {
		return reports
	}
	sum := slices.Clone(reports)
	for _, o := range others {
		if !acknowledged {
			o = o.Unacknowledged()
		}
		i := slices.IndexFunc(sum, func(r Report) bool { return r.Service == o.Service })
		switch {
		case i >= 0:
			sum[i] = sum[i].Plus(o)
		case len(sum) < maxServices:
			sum = append(sum, o)
		}
	}
	return sum
}

// Counter counts what this instance sends and what is answered. It is safe for concurrent use.
type Counter struct {
	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	report Report
	to     string
}

// NewCounter returns a counter that counts nothing.
func NewCounter() *Counter { return &Counter{services: make(map[string]*service)} }

// Begin counts for an order, from zero unless it does already.
func (c *Counter) Begin(name, to string, started int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[name]
	if ok && s.report.Started == started && s.to == to || !ok && len(c.services) >= maxServices {
		return
	}
	c.services[name] = &service{report: Report{Service: name, Started: started}, to: to}
}

// End stops counting for a service.
func (c *Counter) End(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.services, name)
}

// Sent counts a request that is sent to a build.
func (c *Counter) Sent(name, build string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[name]
	if !ok {
		return
	}
	s.report.Arrived++
	if build == s.to {
		s.report.Exposed++
	}
}

// Answered counts a good answer of a build.
func (c *Counter) Answered(name, build, route string, took time.Duration, slow bool) {
	c.change(name, build, route, func(t *shift.Tally) { t.Answer(took, slow) })
}

// Failed counts a failure of a build.
func (c *Counter) Failed(name, build, route string) {
	c.change(name, build, route, (*shift.Tally).Fail)
}

func (c *Counter) change(name, build, route string, count func(*shift.Tally)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[name]
	if !ok {
		return
	}
	side := &s.report.Old
	if build == s.to {
		side = &s.report.New
	}
	if *side == nil {
		*side = make(map[string]shift.Tally)
	}
	key := bounded(*side, route)
	t := (*side)[key]
	count(&t)
	(*side)[key] = t
}

// Reports returns what was counted, by service in order.
func (c *Counter) Reports() []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Report
	for _, s := range c.services {
		r := s.report
		r.Old, r.New = maps.Clone(r.Old), maps.Clone(r.New)
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Report) int { return strings.Compare(a.Service, b.Service) })
	return out
}
