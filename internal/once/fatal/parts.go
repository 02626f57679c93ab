package fatal

import (
	"sync"
	"time"
)

const (
	// minPartCrashes is the number of crashes from which requests with a part are refused. Two may have a rare part in common
	// by chance.
	minPartCrashes = 3
	// singleWeight and outageWeight are what a crash counts by itself and as part of an outage. An outage hits many requests at
	// once, so that outages are likely to have a rare part in common.
	singleWeight = 2
	outageWeight = 1
	// minOutageUpstreams is the number of upstreams that end in an outage, within one to two outageTime of each other.
	minOutageUpstreams = 3
	outageTime         = 50 * time.Millisecond
	// minRestartTime is the time within which an upstream does not crash twice.
	minRestartTime = time.Second
	// reportTolerance is more than the time that a report usually takes. Reports carry ages, so that each one dates what it says
	// later by that time; it must not add up when instances report to each other what they have heard.
	reportTolerance = 100 * time.Millisecond
	// settleTime is the least age of the first of these crashes from which they are judged. Until then, other instances may not
	// have reported that requests with the part survive.
	settleTime = 700 * time.Millisecond
	// blockTTL is how long requests with a part are refused. After that, one crash is enough to refuse them again.
	blockTTL = 10 * time.Minute
	// partTTL is how long the last crash of a part is kept.
	partTTL = 2 * blockTTL
	// clearedReportTTL is how long a part whose requests survive is reported after its last crash.
	clearedReportTTL = 5 * time.Second
	// survivalTTL is how long the survivals of parts that are not tracked are kept when there are many.
	survivalTTL = 30 * time.Second
	// maxParts limits the parts that are tracked, maxPartReports those in one message.
	maxParts       = 4096
	maxPartReports = 32
	// maxPartCrashes limits the crashes that are kept of one part.
	maxPartCrashes = 16
)

// PartTracker finds the prompt parts that crash the upstreams that run them, whatever else a request holds. A part is suspected
// when upstreams end soon after they have begun requests with it, and cleared when a request with it survives. It is safe for
// concurrent use.
type PartTracker struct {
	mu    sync.Mutex
	parts map[uint64]*part
	// ends are the times of the crashes by upstream. endCounts are their numbers by interval of outageTime since base.
	ends      map[uint64]time.Time
	endCounts map[time.Duration]int
	base      time.Time
	// survivals are the times at which requests with parts that are not tracked survived.
	survivals map[uint64]time.Time
	// settle is settleTime, or the time in which reports reach all instances if that is longer.
	settle time.Duration
}

// NewPartTracker returns an empty PartTracker.
func NewPartTracker() *PartTracker {
	return &PartTracker{
		parts: make(map[uint64]*part), ends: make(map[uint64]time.Time), endCounts: make(map[time.Duration]int),
		survivals: make(map[uint64]time.Time), settle: settleTime,
	}
}

// SetReportDelay sets the time in which reports reach all instances.
func (tr *PartTracker) SetReportDelay(delay time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.settle = max(settleTime, delay)
}

// Blocked reports whether requests with one of the parts are refused.
func (tr *PartTracker) Blocked(now time.Time, parts []uint64) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, id := range parts {
		p, ok := tr.parts[id]
		if !ok {
			continue
		}
		if tr.update(now, p); !p.blockedAt.IsZero() {
			return true
		}
	}
	return false
}

// AllBlocked returns the parts that are refused, with the time since when.
func (tr *PartTracker) AllBlocked(now time.Time) map[uint64]time.Time {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	all := make(map[uint64]time.Time)
	for id, p := range tr.parts {
		if tr.update(now, p); !p.blockedAt.IsZero() {
			all[id] = p.blockedAt
		}
	}
	return all
}

// Block records that a part is refused since a time, as kept from an earlier run.
func (tr *PartTracker) Block(now time.Time, id uint64, since time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.getOrCreate(now, id).keep(now, since)
}

// Crashed records that an upstream's incarnation ended while it ran a request with the parts, which was sent at a time.
func (tr *PartTracker) Crashed(now time.Time, parts []uint64, upstream uint64, sent time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, id := range parts {
		tr.add(tr.getOrCreate(now, id), partCrash{upstream, sent, now})
	}
}

// Survived records that an upstream outlived a request with the parts.
func (tr *PartTracker) Survived(now time.Time, parts []uint64) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, id := range parts {
		if p, ok := tr.parts[id]; ok {
			p.survived = now
			continue
		}
		if _, ok := tr.survivals[id]; !ok && len(tr.survivals) >= maxParts {
			tr.removeSurvivals(now)
		}
		tr.survivals[id] = now
	}
}

// removeSurvivals makes room for survivals: it removes those that are older than survivalTTL, or else all.
func (tr *PartTracker) removeSurvivals(now time.Time) {
	for id, at := range tr.survivals {
		if now.Sub(at) > survivalTTL {
			delete(tr.survivals, id)
		}
	}
	if len(tr.survivals) >= maxParts {
		clear(tr.survivals)
	}
}

func (tr *PartTracker) getOrCreate(now time.Time, id uint64) *part {
	if p, ok := tr.parts[id]; ok {
		return p
	}
	if len(tr.parts) >= maxParts {
		tr.removeExpired(now)
	}
	if len(tr.parts) >= maxParts {
		tr.evict()
	}
	p := &part{survived: tr.survivals[id]}
	delete(tr.survivals, id)
	tr.parts[id] = p
	return p
}

// evict removes the part with the least weight, of several the one whose last crash is the oldest. Blocked parts stay.
func (tr *PartTracker) evict() {
	var victim uint64
	found, least, oldest := false, 0, time.Time{}
	for id, p := range tr.parts {
		if !p.blockedAt.IsZero() {
			continue
		}
		sum, _ := tr.weight(p)
		if !found || sum < least || sum == least && p.lastCrash().Before(oldest) {
			victim, found, least, oldest = id, true, sum, p.lastCrash()
		}
	}
	if found {
		delete(tr.parts, victim)
	}
}

func (tr *PartTracker) removeExpired(now time.Time) {
	for id, p := range tr.parts {
		if tr.update(now, p); !p.blockedAt.IsZero() {
			continue
		}
		ttl := partTTL
		if sum, _ := tr.weight(p); sum == 0 {
			ttl = clearedReportTTL
		}
		if now.Sub(p.lastCrash()) > ttl {
			delete(tr.parts, id)
			if !p.survived.IsZero() {
				tr.survivals[id] = p.survived
			}
		}
	}
	for upstream, end := range tr.ends {
		if now.Sub(end) > partTTL {
			delete(tr.ends, upstream)
			tr.removeEnd(end)
		}
	}
}
