package fleet

import (
	"slices"
	"time"
)

// BuildMemory is how long the builds of upstreams are remembered after the last of them has left the list. Streams that they
// began are over by then.
const BuildMemory = time.Minute

// BuildSettleTime is how long a new build of a service's upstreams is not used for streams if others serve. Other instances have
// learned of it by then, and so know that a stream may have begun there.
const BuildSettleTime = 2 * time.Second

// buildTimes are when a build of a service's upstreams was listed.
type buildTimes struct {
	// first is the first time since the build was last forgotten, latest the latest one.
	first, latest time.Time
}

// Builds returns the builds of a service's upstreams that are listed or were lately, in order.
func (f *Fleet) Builds(now time.Time, service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markBuilds(now)
	var out []string
	for build, listed := range f.builds[service] {
		if now.Sub(listed.latest) < BuildMemory {
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
		seen = make(map[string]buildTimes)
		f.builds[service] = seen
	}
	listed := seen[build]
	if !at.After(listed.latest) {
		return
	}
	if at.Sub(listed.latest) >= BuildMemory {
		listed.first = at
	}
	listed.latest = at
	seen[build] = listed
}

// isNewBuild reports whether the build of an upstream has not been listed for BuildSettleTime. The caller holds the lock.
func (f *Fleet) isNewBuild(now time.Time, e *Entry) bool {
	listed, ok := f.builds[e.Service][e.Build]
	return !ok || now.Sub(listed.first) < BuildSettleTime
}

// markBuilds records the builds of the listed upstreams. The caller holds the lock.
func (f *Fleet) markBuilds(now time.Time) {
	for _, u := range f.upstreams {
		f.markBuild(u.entry.Service, u.entry.Build, now)
	}
}
