package origin

import (
	"maps"
	"slices"
	"time"
)

// History is which builds have served, by service and build. The value is when the last upstream of the build left the list, in
// milliseconds of the store's clock; zero while one is listed.
type History map[string]map[string]int64

// Updated returns the history after the list has changed, without builds that have been gone for longer than the memory, and reports
// whether it differs. Services that are not listed keep their builds.
func (h History) Updated(clock time.Duration, listed map[string][]string, memory time.Duration) (History, bool) {
	out := make(History, len(h))
	for service, builds := range h {
		out[service] = make(map[string]int64, len(builds))
		for build, gone := range builds {
			switch {
			case slices.Contains(listed[service], build):
				gone = 0
			case gone == 0:
				gone = max(1, clock.Milliseconds())
			case clock-time.Duration(gone)*time.Millisecond > memory:
				continue
			}
			out[service][build] = gone
		}
	}
	for service, builds := range listed {
		if out[service] == nil {
			out[service] = make(map[string]int64, len(builds))
		}
		for _, build := range builds {
			out[service][build] = 0
		}
	}
	return out, !maps.EqualFunc(h, out, maps.Equal[map[string]int64])
}

// Lacks reports whether an upstream of the build may be listed without the history having it.
func (h History) Lacks(service, build string) bool {
	gone, ok := h[service][build]
	return !ok || gone != 0
}
