package place

import (
	"cmp"
	"slices"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

// Builds says which builds of a service's upstreams may run a request. The zero value allows all.
type Builds struct {
	// Only is the only build that may run the request; "" for any.
	Only string
	// Most bounds the upstreams of that build that may: the first by address; zero for all.
	Most int
	// Never may not run the request.
	Never []string
}

// Allows reports whether an upstream of a build may run the request.
func (b Builds) Allows(build string) bool {
	return (b.Only == "" || build == b.Only) && !slices.Contains(b.Never, build)
}

// Of returns the upstreams that may run a request. It may change the views.
func (b Builds) Of(views []fleet.View) []fleet.View {
	if b.Only != "" || len(b.Never) > 0 {
		views = slices.DeleteFunc(views, func(v fleet.View) bool { return !b.Allows(v.Build) })
	}
	if b.Most == 0 {
		return views
	}
	views = slices.DeleteFunc(views, func(v fleet.View) bool { return v.State != fleet.Ready })
	slices.SortFunc(views, func(a, b fleet.View) int { return cmp.Compare(a.Address, b.Address) })
	return views[:min(b.Most, len(views))]
}
