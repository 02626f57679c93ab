package detour

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// proof is the latest probe that showed whether this instance has a path to the upstreams. Its lock lets those that ask at the same time,
// as when an upstream ends with many requests, share one probe.
type proof struct {
	mu sync.Mutex
	// probedAt is when the probe began.
	probedAt time.Time
}

// reachesOthers reports whether this instance has connected since a time to an upstream other than the refusing one, and tries to if it has
// not. Earlier connections do not show whether its path has broken since.
func (d *Dialer) reachesOthers(ctx context.Context, since time.Time, refusing string) bool {
	d.proof.mu.Lock()
	defer d.proof.mu.Unlock()
	if d.Paths.ConnectedSince(since) {
		return true
	}
	sample := d.others(refusing)
	if len(sample) == 0 || !d.proof.probedAt.Before(since) {
		return false
	}
	d.proof.probedAt = time.Now()
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	return d.Probe(ctx, sample[:min(maxProbes, len(sample))])
}

// others returns the upstreams that are listed but the refusing one.
func (d *Dialer) others(refusing string) []string {
	if d.Upstreams == nil {
		return nil
	}
	return slices.DeleteFunc(d.Upstreams(), func(address string) bool { return address == refusing })
}

// isAlone reports whether there is neither another instance nor another upstream to distinguish a broken path from the end of an upstream.
func (d *Dialer) isAlone(refusing string) bool {
	return len(d.Candidates()) == 0 && len(d.others(refusing)) == 0
}
