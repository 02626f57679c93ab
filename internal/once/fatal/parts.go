package fatal

import (
	"cmp"
	"slices"
	"strconv"
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

// partCrash is the end of an upstream while it ran a request with a part.
type partCrash struct {
	// upstream identifies the upstream's incarnation.
	upstream uint64
	// sent is when the request was sent.
	sent time.Time
	at   time.Time
}

// part holds what is known of requests with one prompt part.
type part struct {
	// crashes are in order of time.
	crashes []partCrash
	// survived is when an upstream last outlived a request with the part.
	survived time.Time
	// blockedAt is when requests with the part began to be refused; zero while they are not.
	blockedAt time.Time
	// kept reports whether the block comes from an earlier run, whose crashes are no longer known.
	kept bool
}

// add adds a crash. Several requests may break off with one crash; the latest sent is kept. A request that was sent after the
// crash belongs to another one: the upstream may have started again before the list shows its new incarnation.
func (p *part) add(c partCrash) {
	for i := range p.crashes {
		o := &p.crashes[i]
		if o.same(c) {
			if c.sent.After(o.sent) {
				o.sent = c.sent
			}
			return
		}
	}
	p.crashes = append(p.crashes, c)
	slices.SortFunc(p.crashes, func(a, b partCrash) int { return a.at.Compare(b.at) })
	if len(p.crashes) > maxPartCrashes {
		p.trim()
	}
}

// trim removes the latest crash that is not part of the chain, or else the first crash.
func (p *part) trim() {
	chain := p.chain()
	for i := len(p.crashes) - 1; i >= 0; i-- {
		if !slices.Contains(chain, p.crashes[i]) {
			p.crashes = slices.Delete(p.crashes, i, i+1)
			return
		}
	}
	p.crashes = p.crashes[1:]
}

// lastCrash returns the time of the latest crash.
func (p *part) lastCrash() time.Time {
	if len(p.crashes) == 0 {
		return time.Time{}
	}
	return p.crashes[len(p.crashes)-1].at
}

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

// chain returns the crashes since a request last survived that did not hit requests at the same time: each request was sent after
// the crash before. Crashes at the same time may have a common cause.
func (p *part) chain() []partCrash {
	var chain []partCrash
	for _, c := range p.crashes {
		if c.at.After(p.survived) && (len(chain) == 0 || c.sent.After(chain[len(chain)-1].at)) {
			chain = append(chain, c)
		}
	}
	return chain
}

// weight returns the weight of a part's crashes and the time of the first one.
func (tr *PartTracker) weight(p *part) (sum int, first time.Time) {
	chain := p.chain()
	for _, c := range chain {
		if tr.isOutage(p, c.at) {
			sum += outageWeight
		} else {
			sum += singleWeight
		}
	}
	if len(chain) > 0 {
		first = chain[0].at
	}
	return sum, first
}

// interval returns the interval of endCounts that a time is in.
func (tr *PartTracker) interval(at time.Time) time.Duration {
	return at.Sub(tr.base).Truncate(outageTime)
}

// isOutage reports whether several upstreams ended at about that time, most of them without a request with the part.
func (tr *PartTracker) isOutage(p *part, at time.Time) bool {
	i := tr.interval(at)
	others := tr.endCounts[i-outageTime] + tr.endCounts[i] + tr.endCounts[i+outageTime]
	for _, c := range p.crashes {
		if d := tr.interval(c.at) - i; d.Abs() <= outageTime {
			others--
		}
	}
	return others >= minOutageUpstreams-1
}

// limit returns the weight from which requests with a part are refused. A part whose requests have survived needs twice the
// crashes: popular parts are in all crashes together with the one that causes them.
func (p *part) limit() int {
	if p.survived.IsZero() {
		return minPartCrashes * singleWeight
	}
	return 2 * minPartCrashes * singleWeight
}

// update sets blockedAt as of now.
func (tr *PartTracker) update(now time.Time, p *part) {
	limit := p.limit()
	sum, first := tr.weight(p)
	switch {
	case !p.blockedAt.IsZero() && (p.survived.After(p.blockedAt) || !p.kept && sum < limit):
		// What has become known since may be older than the block.
		p.blockedAt, p.kept = time.Time{}, false
	case !p.blockedAt.IsZero() && now.Sub(p.blockedAt) > blockTTL:
		p.blockedAt, p.kept = time.Time{}, false
		for ; sum >= limit; sum, _ = tr.weight(p) {
			p.crashes = p.crashes[1:]
		}
	case p.blockedAt.IsZero() && sum >= limit && now.Sub(first) >= tr.settle:
		p.blockedAt = now
		tr.explain(p)
	}
}

// explain removes the crashes that a blocked part explains from the other parts.
func (tr *PartTracker) explain(blocked *part) {
	for _, p := range tr.parts {
		if p.blockedAt.IsZero() {
			p.crashes = slices.DeleteFunc(p.crashes, blocked.includes)
		}
	}
}

// includes reports whether one of the part's crashes is the same as that of another part.
func (p *part) includes(c partCrash) bool {
	return slices.ContainsFunc(p.crashes, func(o partCrash) bool { return o.same(c) })
}

// same reports whether two requests broke off with the same crash.
func (c partCrash) same(o partCrash) bool {
	return c.upstream == o.upstream && !c.sent.After(o.at) && !o.sent.After(c.at)
}

// add records a crash of a part.
func (tr *PartTracker) add(p *part, c partCrash) {
	p.add(c)
	if last, ok := tr.ends[c.upstream]; ok {
		if !c.sent.After(last) {
			return
		}
		tr.removeEnd(last)
	}
	if tr.base.IsZero() {
		// Earlier times would share the interval around zero with later ones.
		tr.base = c.at.Add(-partTTL)
	}
	tr.ends[c.upstream] = c.at
	tr.endCounts[tr.interval(c.at)]++
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

// keep blocks a part without its crashes, unless a request has survived since or the time is over.
func (p *part) keep(now, since time.Time) {
	if since.After(p.survived) && p.blockedAt.IsZero() && now.Sub(since) <= blockTTL {
		p.blockedAt, p.kept = since, true
	}
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

func (tr *PartTracker) removeEnd(end time.Time) {
	i := tr.interval(end)
	if tr.endCounts[i]--; tr.endCounts[i] <= 0 {
		delete(tr.endCounts, i)
	}
}

// PartReport is what an instance knows of one prompt part. Ages are in milliseconds.
type PartReport struct {
	// Part is the hexadecimal identity of the part.
	Part    string        `json:"p"`
	Crashes []CrashReport `json:"c,omitempty"`
	// Survived is the time since a request with the part last survived, plus one; zero if none did.
	Survived int64 `json:"s,omitempty"`
	// Blocked is the time since requests with the part began to be refused, plus one; zero if they are not.
	Blocked int64 `json:"b,omitempty"`
	// Kept reports whether the block comes from an earlier run; otherwise the crashes show it.
	Kept bool `json:"k,omitempty"`
}

// CrashReport is one crash in a PartReport.
type CrashReport struct {
	// Upstream is the hexadecimal identity of the upstream's incarnation.
	Upstream string `json:"u"`
	Sent     int64  `json:"s"`
	Age      int64  `json:"a"`
}

// Report returns what this instance knows, from its own requests and from other instances: refused parts first, then those with
// the latest crashes.
func (tr *PartTracker) Report(now time.Time) []PartReport {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.removeExpired(now)
	ids := make([]uint64, 0, len(tr.parts))
	for id := range tr.parts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b uint64) int {
		return cmp.Or(compareBlocked(tr.parts[a], tr.parts[b]), tr.parts[b].lastCrash().Compare(tr.parts[a].lastCrash()), cmp.Compare(a, b))
	})
	var reports []PartReport
	for _, id := range ids[:min(len(ids), maxPartReports)] {
		reports = append(reports, tr.parts[id].report(now, id))
	}
	return reports
}

// compareBlocked orders refused parts before others.
func compareBlocked(a, b *part) int {
	switch {
	case a.blockedAt.IsZero() == b.blockedAt.IsZero():
		return 0
	case b.blockedAt.IsZero():
		return -1
	default:
		return 1
	}
}

func (p *part) report(now time.Time, id uint64) PartReport {
	r := PartReport{Part: strconv.FormatUint(id, 16), Survived: ageOf(now, p.survived), Blocked: ageOf(now, p.blockedAt), Kept: p.kept}
	for _, c := range p.crashes {
		if !c.at.After(p.survived) {
			continue
		}
		r.Crashes = append(r.Crashes, CrashReport{strconv.FormatUint(c.upstream, 16), now.Sub(c.sent).Milliseconds(), now.Sub(c.at).Milliseconds()})
	}
	return r
}

// ageOf returns the age of a time in milliseconds plus one, or zero for no time.
func ageOf(now, at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return max(0, now.Sub(at).Milliseconds()) + 1
}

// timeOf is the inverse of ageOf.
func timeOf(now time.Time, age int64) time.Time {
	if age <= 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age-1) * time.Millisecond)
}

// Merge records what another instance reported.
func (tr *PartTracker) Merge(now time.Time, reports []PartReport) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, r := range reports {
		id, err := strconv.ParseUint(r.Part, 16, 64)
		if err != nil {
			continue
		}
		p := tr.getOrCreate(now, id)
		tr.merge(now, p, r)
		tr.update(now, p)
	}
}

func (tr *PartTracker) merge(now time.Time, p *part, r PartReport) {
	for _, c := range r.Crashes {
		upstream, err := strconv.ParseUint(c.Upstream, 16, 64)
		if err != nil || c.Age < 0 || c.Sent < c.Age || c.Sent > partTTL.Milliseconds() {
			continue
		}
		tr.add(p, partCrash{upstream, now.Add(-time.Duration(c.Sent) * time.Millisecond), now.Add(-time.Duration(c.Age) * time.Millisecond)})
	}
	if survived := timeOf(now, r.Survived); survived.After(p.survived) {
		p.survived = survived
	}
	if r.Blocked > 0 && r.Kept {
		p.keep(now, timeOf(now, r.Blocked))
	}
}
