// Package quota keeps workspaces to their rates over all instances. Each instance keeps a bucket for the whole site,
// takes what it admits itself at once and what the others admit when it hears of it. A bucket may fall below zero by
// what was admitted meanwhile; that debt is paid before more is admitted, so that excess never adds up.
package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// startShare is the part of the burst that a bucket holds at the start of an instance. All instances may start
	// at once right after a full burst was used; the users' slack of a tenth over eight seconds covers the rest. An
	// instance that starts among others takes over their lower levels within a message's time.
	startShare = 0.25
	// toldBelow is the part of the burst below which a bucket's level is told.
	toldBelow = 0.9
	// peerFresh is how long another instance counts as heard. Messages come several times a second.
	peerFresh = 650 * time.Millisecond
	// tick is the span after which what others admitted has been heard; messages come in such intervals.
	tick = 250 * time.Millisecond
	// busy is the part of a rate from which an instance keeps to its even part. Below it there is room for uneven clients.
	busy = 0.9
	// remembered is the time over which admissions are averaged.
	remembered = time.Second
	// spread is how far above its even part of a bucket an instance may go within a tick. Clients are spread unevenly, and
	// all instances together must not take much more than there is before they hear of each other.
	spread = 1.5
	// peerForgotten is how long a silent instance keeps its part of every rate. It may be cut off and admitting.
	peerForgotten = 30 * time.Second
)

// Limit is a workspace's rate over all instances.
type Limit struct {
	// Rate is in units a second; zero means no limit.
	Rate float64
	// Burst is in units.
	Burst float64
}

type bucket struct {
	limit Limit
	level float64
	at    time.Duration
	// share is the part of the rate at the last look.
	share float64
	// since is when the tick began, and mine what this instance has admitted in it.
	since time.Duration
	mine  float64
	// pace is what all instances admit a second, averaged, as of pacedAt.
	pace    float64
	pacedAt time.Duration
	// used is all that this instance admitted since it started.
	used float64
}

// Account is what an instance tells of its buckets, by workspace.
type Account struct {
	// Used is all that the instance admitted since it started.
	Used map[string]float64 `json:"u,omitempty"`
	// Levels are those of buckets that are not full.
	Levels map[string]float64 `json:"l,omitempty"`
	// Ready tells that the instance knows the limits; otherwise a level that is not told says nothing.
	Ready bool `json:"r,omitempty"`
}

type peer struct {
	incarnation int64
	heard       time.Duration
	used        map[string]float64
}

// Keeper is safe for concurrent use. Times are of the clock that counts suspensions.
type Keeper struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
	// met tells that another instance's levels were taken over.
	met bool
	// heard and known are the instances that are covered by what is heard, in sites where not all tell each other.
	heard, known int
}

// NewKeeper returns a keeper without limits.
func NewKeeper() *Keeper {
	return &Keeper{buckets: make(map[string]*bucket), peers: make(map[string]*peer)}
}

// Set puts the limits of all workspaces in force.
func (k *Keeper) Set(now time.Duration, limits map[string]Limit) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name := range k.buckets {
		if _, ok := limits[name]; !ok {
			delete(k.buckets, name)
		}
	}
	for name, l := range limits {
		b, ok := k.buckets[name]
		if !ok {
			// What others admitted of it before is in the levels that they tell next.
			for _, p := range k.peers {
				p.used = nil
			}
			k.buckets[name] = &bucket{limit: l, level: l.Burst * startShare * k.share(now), at: now, share: k.share(now)}
			continue
		}
		k.fill(now, b)
		b.limit = l
		b.level = min(b.level, l.Burst)
	}
}

// count returns how many instances are heard and how many may be admitting, this one included.
func (k *Keeper) count(now time.Duration) (heard, all int) {
	if k.known > 0 {
		return k.heard, k.known
	}
	heard, all = 1, 1
	for _, p := range k.peers {
		silent := now - p.heard
		if silent < peerForgotten {
			all++
		}
		if silent < peerFresh {
			heard++
		}
	}
	return heard, all
}

// share is the part of every rate that this instance and those it hears may use.
func (k *Keeper) share(now time.Duration) float64 {
	heard, all := k.count(now)
	return float64(heard) / float64(all)
}

// fill adds what has come back. When other instances fall silent, they may be cut off with the same level, so that this
// one goes on with its part of it.
func (k *Keeper) fill(now time.Duration, b *bucket) {
	share := k.share(now)
	if b.level > 0 && share < b.share {
		b.level *= share / b.share
	}
	b.share = share
	if passed := now - b.at; passed > 0 {
		b.level = min(b.limit.Burst, b.level+b.limit.Rate*passed.Seconds()*share)
	}
	b.at = now
}

// Admit takes units from a workspace's rate. When they are not there it returns false and when they are expected.
func (k *Keeper) Admit(now time.Duration, workspace string, units float64) (bool, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b, ok := k.buckets[workspace]
	if !ok || b.limit.Rate <= 0 {
		return true, 0
	}
	k.fill(now, b)
	// A request larger than the burst may run when the bucket is full.
	need := min(units, b.limit.Burst)
	if b.level < need {
		missing := (need - b.level) / (b.limit.Rate * k.share(now))
		return false, time.Duration(missing * float64(time.Second))
	}
	if now-b.since >= tick {
		b.since, b.mine = now, 0
	}
	// One request in a tick is always even enough.
	heard, _ := k.count(now)
	part := (b.level + b.mine) * spread / float64(heard)
	if b.paced(now, 0) > busy*b.limit.Rate && b.mine > 0 && b.mine+units > part {
		return false, b.since + tick - now
	}
	b.paced(now, units)
	b.level -= units
	b.mine += units
	b.used += units
	return true, 0
}

// paced adds admitted units to the average and returns it.
func (b *bucket) paced(now time.Duration, units float64) float64 {
	if passed := now - b.pacedAt; passed > 0 {
		b.pace *= math.Exp(-passed.Seconds() / remembered.Seconds())
		b.pacedAt = now
	}
	b.pace += units / remembered.Seconds()
	return b.pace
}

// Refund gives units back that did not run.
func (k *Keeper) Refund(workspace string, units float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if b, ok := k.buckets[workspace]; ok && b.limit.Rate > 0 {
		b.level += units
		b.used -= units
	}
}

// Tell returns what other instances need to know.
func (k *Keeper) Tell(now time.Duration) Account {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := Account{Used: make(map[string]float64), Levels: make(map[string]float64), Ready: len(k.buckets) > 0}
	for name, b := range k.buckets {
		if b.used != 0 {
			a.Used[name] = b.used
		}
		if k.fill(now, b); b.level < b.limit.Burst*toldBelow {
			a.Levels[name] = b.level
		}
	}
	return a
}

// Cover sets for how many of the known instances what is heard speaks; zero known ones mean that each is heard itself.
func (k *Keeper) Cover(heard, known int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heard, k.known = heard, known
}

// Join records that an instance exists, heard or not.
func (k *Keeper) Join(now time.Duration, name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.peers[name]; !ok {
		k.peers[name] = &peer{heard: now - peerFresh}
	}
}

// Leave records that an instance has ended and admits nothing any more.
func (k *Keeper) Leave(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.peers, name)
}

// Hear records what another incarnation of an instance tells.
func (k *Keeper) Hear(now time.Duration, name string, incarnation int64, a Account) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p, ok := k.peers[name]
	if !ok {
		p = &peer{}
		k.peers[name] = p
	}
	if incarnation < p.incarnation {
		return
	}
	if p.used == nil && a.Ready {
		k.meet(now, p, a)
	}
	if incarnation > p.incarnation && p.incarnation != 0 && p.used != nil {
		p.used = make(map[string]float64)
	}
	p.incarnation = incarnation
	for workspace, total := range a.Used {
		if b, ok := k.buckets[workspace]; ok && p.used != nil {
			k.fill(now, b)
			b.level -= total - p.used[workspace]
			b.paced(now, total-p.used[workspace])
			p.used[workspace] = total
		}
	}
	p.heard = now
}

// meet takes over the levels of an instance that is heard for the first time; what it admitted before is in them. The
// first one goes before what this instance assumed at its start, of the others the lower level holds.
func (k *Keeper) meet(now time.Duration, p *peer, a Account) {
	p.used = make(map[string]float64)
	for workspace, b := range k.buckets {
		k.fill(now, b)
		level, ok := a.Levels[workspace]
		if !ok {
			level = b.limit.Burst * toldBelow
		}
		if k.met {
			level = min(b.level, level)
		}
		b.level = level
		p.used[workspace] = a.Used[workspace]
	}
	k.met = k.met || len(k.buckets) > 0
}
