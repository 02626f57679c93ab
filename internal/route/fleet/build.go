package fleet

import (
	"slices"
	"time"
)

// buildMemory is how long the builds of upstreams are remembered after the last of them has left the list. Streams that they
// began are over by then.
const buildMemory = time.Minute

// Builds returns the builds of a service's upstreams that are listed or were lately, in order.
func (f *Fleet) Builds(now time.Time, service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markBuilds(now)
	var out []string
	for build, at := range f.builds[service] {
		if now.Sub(at) < buildMemory {
			out = append(out, build)
		}
	}
	slices.Sort(out)
	return out
}

// markBuilds records the builds of the listed upstreams. The caller holds the lock.
func (f *Fleet) markBuilds(now time.Time) {
	for _, u := range f.upstreams {
		seen, ok := f.builds[u.entry.Service]
		if !ok {
			seen = make(map[string]time.Time)
			f.builds[u.entry.Service] = seen
		}
		seen[u.entry.Build] = now
	}
}
