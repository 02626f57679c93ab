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
	// soundTTL is how long sound requests with parts that are not tracked are remembered when there are many.
	soundTTL = 30 * time.Second
	// trialInterval is the least time between two requests that are let through to find out whether a part is refused in place of
	// another one. Most answers have begun by then.
	trialInterval = 2 * time.Second
	// maxParts limits the parts that are tracked, maxPartReports those in one message.
	maxParts       = 4096
	maxPartReports = 32
	// maxOthers limits the parts that are kept beside a block because they might have caused its crashes as well.
	maxOthers = 8
	// maxPartCrashes limits the crashes that are kept of one part.
	maxPartCrashes = 16
)

// PartTracker finds the prompt parts that crash the upstreams that run them, whatever else a request holds. A part is suspected
// when upstreams end soon after they have begun requests with it, and cleared when a request with it survives. Other parts of the same
// requests, and of those that ran beside them, are in the same crashes: the part that is known least from sound requests is refused, and
// its crashes count against no other one. It is safe for concurrent use.
type PartTracker struct {
	mu    sync.Mutex
	parts map[uint64]*part
	// ends are the times of the crashes by upstream. endCounts are their numbers by interval of outageTime since base.
	ends      map[uint64]time.Time
	endCounts map[time.Duration]int
	base      time.Time
	// blocked are the parts that are refused, by identity.
	blocked map[uint64]*part
	// sound is what is known of parts that are not tracked.
	sound map[uint64]soundness
	// settle is settleTime, or the time in which reports reach all instances if that is longer.
	settle time.Duration
}

// NewPartTracker returns an empty PartTracker.
func NewPartTracker() *PartTracker {
	return &PartTracker{
		parts: make(map[uint64]*part), ends: make(map[uint64]time.Time), endCounts: make(map[time.Duration]int),
		blocked: make(map[uint64]*part), sound: make(map[uint64]soundness), settle: settleTime,
	}
}

// SetReportDelay sets the time in which reports reach all instances.
func (tr *PartTracker) SetReportDelay(delay time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.settle = max(settleTime, delay)
}

// Blocked reports whether requests with one of the parts are refused. A request may be let through to find out whether a part is
// refused in place of another one.
func (tr *PartTracker) Blocked(now time.Time, parts []uint64) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var refused []*part
	for _, id := range parts {
		p, ok := tr.parts[id]
		if !ok {
			continue
		}
		if tr.update(now, p); !p.blockedAt.IsZero() {
			refused = append(refused, p)
		}
	}
	if len(refused) == 1 && tr.mayTry(now, refused[0], parts) {
		refused[0].triedAt = now
		return false
	}
	return len(refused) > 0
}

// Block is a part that is refused.
type Block struct {
	// Since is when it began to be refused.
	Since time.Time
	// Others are the parts that might have caused its crashes as well.
	Others []uint64
}

// AllBlocked returns the parts that are refused.
func (tr *PartTracker) AllBlocked(now time.Time) map[uint64]Block {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, p := range tr.parts {
		tr.update(now, p)
	}
	all := make(map[uint64]Block)
	for id, p := range tr.blocked {
		b := Block{Since: p.blockedAt}
		if others := tr.alternatives(p); len(others) <= maxOthers {
			b.Others = others
		}
		all[id] = b
	}
	return all
}

// Block records that a part is refused, as kept from an earlier run.
func (tr *PartTracker) Block(now time.Time, id uint64, b Block) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	p := tr.getOrCreate(now, id)
	p.keep(now, b.Since, b.Others)
	tr.note(p)
}

// Crashed records that an upstream's incarnation ended while it ran a request with the parts, in the order of its prompt, which was sent
// at a time.
func (tr *PartTracker) Crashed(now time.Time, parts []uint64, upstream uint64, sent time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for i, id := range parts {
		p := tr.getOrCreate(now, id)
		p.position = max(p.position, i)
		tr.add(p, partCrash{upstream, sent, now})
	}
}

// Survived records that an upstream outlived a request with the parts.
func (tr *PartTracker) Survived(now time.Time, parts []uint64) {
	tr.recordSound(now, parts, func(s *soundness) { s.survived = now })
}

// Began records that an upstream went on with its answer to a request with the parts after it had begun it.
func (tr *PartTracker) Began(now time.Time, parts []uint64) {
	tr.recordSound(now, parts, func(s *soundness) { s.began = now })
}

func (tr *PartTracker) recordSound(now time.Time, parts []uint64, record func(s *soundness)) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, id := range parts {
		if p, ok := tr.parts[id]; ok {
			record(&p.soundness)
			continue
		}
		s := tr.sound[id]
		record(&s)
		tr.setSound(now, id, s)
	}
}

// setSound sets what is known of a part that is not tracked.
func (tr *PartTracker) setSound(now time.Time, id uint64, s soundness) {
	if _, ok := tr.sound[id]; !ok && len(tr.sound) >= maxParts {
		tr.removeSound(now)
	}
	tr.sound[id] = s
}

// removeSound makes room for parts that are not tracked: it removes those whose last sound request is older than soundTTL, or else all.
func (tr *PartTracker) removeSound(now time.Time) {
	for id, s := range tr.sound {
		if now.Sub(s.latest()) > soundTTL {
			delete(tr.sound, id)
		}
	}
	if len(tr.sound) >= maxParts {
		clear(tr.sound)
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
	p := &part{id: id, soundness: tr.sound[id]}
	delete(tr.sound, id)
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
			if !p.latest().IsZero() {
				tr.setSound(now, id, p.soundness)
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
