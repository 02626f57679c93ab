package fleet

import (
	"slices"
	"time"
)

// BuildMemory is how long the builds of upstreams are remembered after the last of them has left the list. Streams that they
// began are over by then.
const BuildMemory = time.Minute

// Builds returns the builds of a service's upstreams that are listed or were lately, in order.
func (f *Fleet) Builds(now time.Time, service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markBuilds(now)
	var out []string
	for build, at := range f.builds[service] {
		if now.Sub(at) < BuildMemory {
			out = append(out, build)
		}
	}
	slices.Sort(out)
	return out
}

// RememberBuild records that a build of a service's upstreams was listed at a time.
func (f *Fleet) RememberBuild(service, build string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markBuild(service, build, at)
}

// ListedBuilds returns the builds of the listed upstreams by service, in order.
func (f *Fleet) ListedBuilds() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string][]string)
	for _, u := range f.upstreams {
		if builds := out[u.entry.Service]; !slices.Contains(builds, u.entry.Build) {
			out[u.entry.Service] = append(builds, u.entry.Build)
		}
	}
	for _, builds := range out {
		slices.Sort(builds)
	}
	return out
}

// markBuild is RememberBuild for callers that hold the lock.
func (f *Fleet) markBuild(service, build string, at time.Time) {
	seen, ok := f.builds[service]
	if !ok {
		seen = make(map[string]time.Time)
		f.builds[service] = seen
	}
	if at.After(seen[build]) {
		seen[build] = at
	}
}

// markBuilds records the builds of the listed upstreams. The caller holds the lock.
func (f *Fleet) markBuilds(now time.Time) {
	for _, u := range f.upstreams {
		f.markBuild(u.entry.Service, u.entry.Build, now)
	}
}
