package place

import (
	"cmp"
	"maps"
	"slices"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

// Candidate is an upstream as a placement sees it.
type Candidate struct {
	// Choice holds the figures of the upstream if it may run the request, else its state only.
	Choice
	// Out says why the upstream may not run the request; "" if it may.
	Out string
}

// Explain returns all upstreams: those that may run the request in the order in which they would be chosen if the ones before were
// gone, then the others by ID.
func Explain(q Query, views []fleet.View, costs Costs) []Candidate {
	candidates := make([]Candidate, 0, len(views))
	var others []Candidate
	for i := range views {
		if reason := q.reasonOut(&views[i]); reason != "" {
			others = append(others, Candidate{Choice{View: views[i]}, reason})
		}
	}
	q.Avoid = maps.Clone(q.Avoid)
	if q.Avoid == nil {
		q.Avoid = make(map[string]bool)
	}
	for {
		choice, ok := Choose(q, views, costs)
		if !ok {
			break
		}
		q.Avoid[choice.ID] = true
		candidates = append(candidates, Candidate{Choice: choice})
	}
	for i := range views {
		if v := &views[i]; q.eligible(v) {
			others = append(others, Candidate{Choice{View: *v}, "is expected to begin after its weights may no longer start requests"})
		}
	}
	slices.SortFunc(others, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	return append(candidates, others...)
}

// reasonOut returns why an upstream may not run the request, or "" if it is eligible.
func (q *Query) reasonOut(v *fleet.View) string {
	switch {
	case q.eligible(v):
		return ""
	case v.State != fleet.Ready:
		return "is " + string(v.State)
	case !v.RetryAt.IsZero():
		return "asked for no requests for a time"
	case v.Limited:
		return "its limit leaves this instance none"
	case q.Avoid[v.ID]:
		return "has received the request"
	case q.Build != nil && v.Build != *q.Build:
		return "is of another build than the stream"
	case q.Model != "" && v.Weights[q.Model] == 0:
		return "does not run the model"
	default:
		return "runs superseded weights"
	}
}
