package quota

import "time"

// interval is the time between two reports, in which an instance does not know what the others admit.
type interval struct {
	start time.Duration
	// taken is what this instance has admitted in the interval, and small the part of it that small requests took.
	taken, small float64
}

// begin starts a new interval if the current one is over.
func (i *interval) begin(now time.Duration) {
	if now-i.start >= reportInterval {
		*i = interval{start: now}
	}
}

// allows reports whether this instance may admit a request within its share of the interval. The first request always may. Small
// requests have half of the share to themselves, so that a large one does not use it up for them. Load pattern: a workspace far
// beyond its rate, with few large requests and many small ones.
func (i *interval) allows(units float64, small bool, share float64) bool {
	taken := i.taken
	if small {
		taken = 2 * i.small
	}
	return taken <= 0 || taken+units <= share
}

// add counts an admitted request.
func (i *interval) add(units float64, small bool) {
	i.taken += units
	if small {
		i.small += units
	}
}
