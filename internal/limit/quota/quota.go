// Package quota enforces workspaces' rate limits over all instances. Each instance keeps a token bucket for the whole site,
// subtracts its own admissions at once and those of others when their reports arrive. A bucket may fall below zero by what
// others admitted meanwhile; that debt is repaid before more is admitted, so excess does not accumulate.
package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// initialFill is the fraction of the burst in a bucket when an instance starts. All instances may start at once right
	// after a full burst was used; the permitted overshoot of a tenth over eight seconds covers the rest. An instance that
	// joins running ones adopts their lower levels with the first reports.
	initialFill = 0.25
	// reportBelow is the fraction of the burst below which a bucket's level is reported.
	reportBelow = 0.9
	// reportMaxAge is the age up to which a peer's last report counts as current. Reports come several times a second.
	reportMaxAge = 650 * time.Millisecond
	// reportInterval is the interval of reports, after which others' admissions have arrived.
	reportInterval = 250 * time.Millisecond
	// fairShareAbove is the fraction of a rate above which an instance keeps to its fair share. Below it there is room for
	// uneven clients.
	fairShareAbove = 0.9
	// fairShareBelow is the fraction of the burst below which an instance keeps to its fair share too. After an excess the rate of
	// admissions is low, and the callers who were refused return together.
	fairShareBelow = 0.25
	// averagingTime is the time constant of the average of admissions.
	averagingTime = time.Second
	// fairShareFactor is the multiple of its fair share of a bucket that an instance may use per interval. Clients are spread
	// unevenly, and all instances together must not exceed the bucket by much before the next reports.
	fairShareFactor = 1.5
	// startupPeriod is how long after it has received its first limits an instance counts as starting, unless it adopts the
	// levels of an established one before. Instances that start while the store is out meet about a second after it returns.
	startupPeriod = 2 * time.Second
	// fairShareExcess is the fraction of the tolerated excess that instances may use together before the next reports. Small
	// requests are thus not refused while the level would allow them. The rest is for instances that are killed or cut off.
	fairShareExcess = 0.15
	// smallRequestTime is the time in which the rate yields the units of the largest request that counts as small.
	smallRequestTime = 20 * time.Millisecond
	// reserveTime is the time in which the rate yields the largest reserve of a request.
	reserveTime = 100 * time.Millisecond
	// returnPeriod is how long after an instance's start no reserve is kept. The callers who then return together after an outage
	// take the place of those who were not served in it.
	returnPeriod = 4 * time.Second
	// peerTimeout is how long a peer without reports keeps its share of every rate. It may be isolated and still admitting.
	peerTimeout = 30 * time.Second
)

// Limit is a workspace's rate over all instances.
type Limit struct {
	// Rate is in units a second; zero means no limit.
	Rate float64
	// Burst is in units.
	Burst float64
	// Excess is how many units more than rate and burst the site tolerates in a window, because instances learn of each
	// other's admissions late.
	Excess float64
}

// Tolerance is what the site tolerates beyond rates and bursts.
type Tolerance struct {
	// Window is the time over which admissions are summed.
	Window time.Duration
	// Ratio is the tolerated part of rate and burst, Slack a number of units beyond that.
	Ratio, Slack float64
}

// Excess returns the tolerated units of a workspace in one window.
func (t Tolerance) Excess(rate, burst float64) float64 {
	return t.Ratio*(rate*t.Window.Seconds()+burst) + t.Slack
}

type bucket struct {
	limit      Limit
	level      float64
	refilledAt time.Duration
	// rateShare is the share of the rate at the last refill.
	rateShare float64
	interval  interval
	// siteRate is the average rate of all instances' admissions in units a second, as of siteRateAt.
	siteRate   float64
	siteRateAt time.Duration
	// used is the total that this instance has admitted since it started.
	used float64
	// allotment is the part of the burst that the level of an instance and of those that started with it was filled with.
	allotment float64
}

// Report is an instance's report of its buckets, by workspace.
type Report struct {
	// Used is the total that the instance has admitted since it started.
	Used map[string]float64 `json:"u,omitempty"`
	// Levels are those of buckets that are not full.
	Levels map[string]float64 `json:"l,omitempty"`
	// Ready reports whether the instance has the limits. If not, an absent level does not mean a full bucket.
	Ready bool `json:"r,omitempty"`
	// Starting reports whether the levels are those of an instance that has just started and has not met an established
	// one. They say nothing about earlier admissions of the site, but Used holds all that the instance admitted.
	Starting bool `json:"s,omitempty"`
	// Aggregated reports whether Used covers several instances. It is not sent: the receiver knows it by the message.
	Aggregated bool `json:"-"`
}

// peer is another instance.
type peer struct {
	// incarnation is that of the last report; earlier is the one before, whose delayed reports are ignored.
	incarnation, earlier int64
	lastSeen             time.Duration
	// used holds the totals of its last report; nil until its levels have been adopted.
	used map[string]float64
}

// Limiter enforces the limits on one instance. It is safe for concurrent use. Its clock includes the time that the machine is
// suspended.
type Limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
	// adopted reports whether another instance's levels have been adopted.
	adopted bool
	// limitedAt is when the first limits were set; zero before.
	limitedAt time.Duration
	// reporting and known are set in sites with aggregated reports, see SetCoverage.
	reporting, known int
}

// NewLimiter returns a limiter without limits.
func NewLimiter() *Limiter {
	return &Limiter{buckets: make(map[string]*bucket), peers: make(map[string]*peer)}
}

// SetLimits replaces the limits of all workspaces.
func (l *Limiter) SetLimits(now time.Duration, limits map[string]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.buckets {
		if _, ok := limits[name]; !ok {
			delete(l.buckets, name)
		}
	}
	if l.limitedAt == 0 && len(limits) > 0 {
		l.limitedAt = now
	}
	for name, limit := range limits {
		b, ok := l.buckets[name]
		if !ok {
			// Earlier admissions of others are included in the levels that they report next.
			for _, p := range l.peers {
				p.used = nil
			}
			level := limit.Burst * initialFill * l.rateShare(now)
			l.buckets[name] = &bucket{limit: limit, level: level, allotment: level, refilledAt: now, rateShare: l.rateShare(now)}
			continue
		}
		l.refill(now, b)
		b.limit = limit
		b.level = min(b.level, limit.Burst)
	}
}

// count returns how many instances report and how many may be admitting, this one included.
func (l *Limiter) count(now time.Duration) (reporting, admitting int) {
	if l.known > 0 {
		return l.reporting, l.known
	}
	reporting, admitting = 1, 1
	for _, p := range l.peers {
		idle := now - p.lastSeen
		if idle < peerTimeout {
			admitting++
		}
		if idle < reportMaxAge {
			reporting++
		}
	}
	return reporting, admitting
}

// rateShare returns the share of every rate that this instance and the reporting ones may use.
func (l *Limiter) rateShare(now time.Duration) float64 {
	reporting, admitting := l.count(now)
	return float64(reporting) / float64(admitting)
}

// refill adds the units accrued since the last call. Peers that stop reporting may be isolated with the same level, so this
// instance keeps only its share of that level.
func (l *Limiter) refill(now time.Duration, b *bucket) {
	share := l.rateShare(now)
	if b.level > 0 && share < b.rateShare {
		b.level *= share / b.rateShare
		b.allotment *= share / b.rateShare
	}
	b.rateShare = share
	if passed := now - b.refilledAt; passed > 0 {
		b.level = min(b.limit.Burst, b.level+b.limit.Rate*passed.Seconds()*share)
	}
	b.refilledAt = now
}

// Admit takes units from a workspace's rate, or returns false and the time after which to retry.
func (l *Limiter) Admit(now time.Duration, workspace string, units float64) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[workspace]
	if !ok || b.limit.Rate <= 0 {
		return true, 0
	}
	l.refill(now, b)
	// A request larger than the burst may run when the bucket is full.
	need := min(units, b.limit.Burst)
	small := need <= b.limit.Rate*smallRequestTime.Seconds()
	busy := b.addToRate(now, 0) > fairShareAbove*b.limit.Rate || b.level < b.limit.Burst*fairShareBelow
	if b.level < need+b.reserve(need, busy && now-l.limitedAt >= returnPeriod) {
		seconds := max(0, need-b.level) / (b.limit.Rate * l.rateShare(now))
		return false, time.Duration(seconds * float64(time.Second))
	}
	b.interval.begin(now)
	reporting, _ := l.count(now)
	share := (b.level + b.interval.taken + b.limit.Excess*fairShareExcess) * fairShareFactor / float64(reporting)
	if busy && !b.interval.allows(units, small, share) {
		return false, b.interval.start + reportInterval - now
	}
	b.interval.add(units, small)
	b.addToRate(now, units)
	b.level -= units
	b.used += units
	return true, 0
}

// reserve returns the units that a request must leave in the bucket. At a workspace beyond its rate it is twice the request's own
// size, so that the smallest requests, which cost the least, are refused last. Load pattern: as for interval.allows.
func (b *bucket) reserve(need float64, beyondRate bool) float64 {
	if !beyondRate {
		return 0
	}
	return min(2*need, b.limit.Rate*reserveTime.Seconds(), b.limit.Burst-need)
}

// addToRate adds admitted units to the average rate of the site and returns it.
func (b *bucket) addToRate(now time.Duration, units float64) float64 {
	if passed := now - b.siteRateAt; passed > 0 {
		b.siteRate *= math.Exp(-passed.Seconds() / averagingTime.Seconds())
		b.siteRateAt = now
	}
	b.siteRate += units / averagingTime.Seconds()
	return b.siteRate
}

// Refund returns the units of a request that was not run.
func (l *Limiter) Refund(workspace string, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[workspace]; ok && b.limit.Rate > 0 {
		b.level += units
		b.used -= units
	}
}

// Report returns this instance's report to the others.
func (l *Limiter) Report(now time.Duration) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Used: make(map[string]float64), Levels: make(map[string]float64), Ready: len(l.buckets) > 0, Starting: l.starting(now)}
	for name, b := range l.buckets {
		if b.used != 0 {
			r.Used[name] = b.used
		}
		if l.refill(now, b); b.level < b.limit.Burst*reportBelow {
			r.Levels[name] = b.level
		}
	}
	return r
}

// Rates returns the average rates at which all instances admit, in units a second by workspace.
func (l *Limiter) Rates(now time.Duration) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	rates := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		rates[name] = max(0, b.addToRate(now, 0))
	}
	return rates
}

// SetCoverage sets how many of the known instances the aggregated reports cover. Known is zero when each instance reports for
// itself.
func (l *Limiter) SetCoverage(reporting, known int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reporting, l.known = reporting, known
}

// AddPeer adds an instance that exists, whether or not it reports.
func (l *Limiter) AddPeer(now time.Duration, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.peers[name]; !ok {
		l.peers[name] = &peer{lastSeen: now - reportMaxAge}
	}
}

// RemovePeer removes an instance that has ended and admits nothing more.
func (l *Limiter) RemovePeer(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, name)
}

// Merge applies the report of another instance. A report of its previous incarnation is ignored. Incarnations have no order,
// because the time of day may jump back between two starts.
func (l *Limiter) Merge(now time.Duration, name string, incarnation int64, r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[name]
	if !ok {
		p = &peer{}
		l.peers[name] = p
	}
	if p.earlier != 0 && incarnation == p.earlier {
		return
	}
	if p.used == nil && r.Ready {
		l.meet(now, p, r)
	}
	if incarnation != p.incarnation {
		if p.incarnation != 0 && p.used != nil {
			p.used = make(map[string]float64)
		}
		p.earlier, p.incarnation = p.incarnation, incarnation
	}
	for workspace, total := range r.Used {
		if b, ok := l.buckets[workspace]; ok && p.used != nil {
			l.refill(now, b)
			b.level -= total - p.used[workspace]
			b.addToRate(now, total-p.used[workspace])
			p.used[workspace] = total
		}
	}
	p.lastSeen = now
}

// starting reports whether this instance has started recently and has not met an established one.
func (l *Limiter) starting(now time.Duration) bool {
	return !l.adopted && now-l.limitedAt < startupPeriod
}

// meet prepares the counting of a peer's admissions at its first report. All that a starting instance admitted is counted,
// because no other report includes it. An aggregated report covers admissions that established instances know already.
func (l *Limiter) meet(now time.Duration, p *peer, r Report) {
	starting := l.starting(now)
	if !r.Starting || r.Aggregated && !starting {
		l.adoptLevels(now, p, r)
		return
	}
	p.used = make(map[string]float64)
	if !starting {
		return
	}
	// Instances that know of each other start with equal parts of one allotment, those that do not with all of it each.
	for _, b := range l.buckets {
		l.refill(now, b)
		grant := max(0, min(b.allotment, b.limit.Burst*initialFill-b.allotment))
		b.allotment += grant
		b.level += grant
	}
}

// adoptLevels adopts the levels in the first report of an instance, which include all that it admitted before. The first
// instance's levels replace those assumed at start; after that the lower level is kept.
func (l *Limiter) adoptLevels(now time.Duration, p *peer, r Report) {
	p.used = make(map[string]float64)
	for workspace, b := range l.buckets {
		l.refill(now, b)
		level, ok := r.Levels[workspace]
		if !ok {
			level = b.limit.Burst * reportBelow
		}
		if !l.starting(now) {
			level = min(b.level, level)
		} else {
			// The peer has not counted yet what this instance admitted since its start.
			level -= b.used
		}
		b.level = level
		p.used[workspace] = r.Used[workspace]
	}
	l.adopted = l.adopted || len(l.buckets) > 0
}
