package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/roll/count"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/holder"
)

const (
	// headTimeout is the time without a message from a head after which the next instance replaces it.
	headTimeout = 900 * time.Millisecond
	// messageTTL is how long a received message counts in the coverage and, except for rates, in the messages of a head.
	messageTTL = time.Second
)

// headOf returns the head of a zone: the first in order of precedence that is not suspect. It is nil when that is this
// instance.
func (e *Exchange) headOf(zone string) *peer {
	var head *peer
	for _, p := range e.peers {
		if p.Zone == zone && !p.suspect && (head == nil || p.precedes(head.Instance)) {
			head = p
		}
	}
	if zone == e.Zone && (head == nil || e.Instance.precedes(head.Instance)) {
		return nil
	}
	return head
}

// responsiveHead returns the head of a zone. It marks as suspect, and skips, heads whose messages are overdue, if another
// instance can replace them.
func (e *Exchange) responsiveHead(now time.Duration, zone string) *peer {
	for {
		head := e.headOf(zone)
		if head == nil {
			return nil
		}
		if head.awaitedSince == 0 {
			head.awaitedSince = now
		}
		if now-max(head.awaitedSince, head.receivedAt) <= headTimeout {
			return head
		}
		if !e.hasAlternative(zone, head) {
			// No other instance can replace it, and it may recover.
			return head
		}
		head.suspect = true
	}
}

// hasAlternative reports whether a zone has another instance that is not suspect. If not, it clears the suspicions.
func (e *Exchange) hasAlternative(zone string, head *peer) bool {
	if zone == e.Zone {
		return true
	}
	for _, p := range e.peers {
		if p != head && p.Zone == zone && !p.suspect {
			return true
		}
	}
	// All are suspect: they are tried again in order.
	for _, p := range e.peers {
		if p.Zone == zone {
			p.suspect, p.awaitedSince = false, 0
		}
	}
	return false
}

// hubDeliveries returns what this instance sends in a large site. A member sends its own state to its head. A head sends
// its zone's total to the other heads, and to each member the total of all instances but that member.
func (e *Exchange) hubDeliveries(now time.Duration, m *Message) []delivery {
	if head := e.responsiveHead(now, e.Zone); head != nil {
		return []delivery{{message: m, to: []*peer{head}}}
	}
	var members, heads []*peer
	for _, p := range e.peers {
		if p.Zone == e.Zone {
			members = append(members, p)
		}
	}
	for zone := range e.zones() {
		if head := e.responsiveHead(now, zone); zone != e.Zone && head != nil {
			heads = append(heads, head)
		}
	}
	zoneTotal := *m
	zoneTotal.Kind, zoneTotal.Covered = KindZone, 1
	zoneTotal.Rates.Used = cloneMap(m.Rates.Used)
	zoneTotal.Loads = cloneMap(m.Loads)
	zoneTotal.Crashes = cloneMap(m.Crashes)
	for _, p := range members {
		e.mergePeer(now, &zoneTotal, p, KindOwn)
	}
	limitUses(&zoneTotal)
	deliveries := []delivery{{message: &zoneTotal, to: heads}}
	siteTotal := zoneTotal
	siteTotal.Kind = KindAll
	siteTotal.Rates.Used = cloneMap(zoneTotal.Rates.Used)
	siteTotal.Loads = cloneMap(zoneTotal.Loads)
	siteTotal.Crashes = cloneMap(zoneTotal.Crashes)
	for _, p := range e.peers {
		if p.Zone != e.Zone {
			e.mergePeer(now, &siteTotal, p, KindZone)
		}
	}
	limitUses(&siteTotal)
	packed := delivery{message: &siteTotal, packed: true}
	for _, p := range members {
		switch {
		case (p.stamp == 0 || now-p.receivedAt > unresponsiveTimeout) && e.round%unresponsiveRounds != 0:
		case p.last != nil && p.last.Unpacks:
			packed.to = append(packed.to, p)
		default:
			deliveries = append(deliveries, delivery{message: withoutPeer(now, &siteTotal, p), to: []*peer{p}})
		}
	}
	return append(deliveries, packed)
}

// maxUses bounds the uses in a message, so that a burst of prompts does not make it too long to be sent. Which engines hold a
// prefix is an estimate; what was admitted and is in flight has to arrive.
const maxUses = 400

// acknowledgementIntervals is how many intervals old an acknowledgement of a step may be at each head that passes it on: the sender's
// wait, the way of the stamp that dates it, and the head's wait.
const acknowledgementIntervals = 3

// maxAcknowledgementAge is MaxAcknowledgementAge for callers that hold the lock.
func (e *Exchange) maxAcknowledgementAge() time.Duration {
	return acknowledgementIntervals * e.currentInterval()
}

// MaxAcknowledgementAge returns how old an acknowledgement of a step may be in a head's message.
func (e *Exchange) MaxAcknowledgementAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.maxAcknowledgementAge()
}

// limitUses drops uses beyond maxUses, evenly over the instances that reported them.
func limitUses(m *Message) {
	if len(m.Uses) <= maxUses {
		return
	}
	kept := make([]holder.Use, maxUses)
	for i := range kept {
		kept[i] = m.Uses[i*len(m.Uses)/maxUses]
	}
	m.Uses = kept
}

func (e *Exchange) zones() map[string]bool {
	zones := make(map[string]bool)
	for _, p := range e.peers {
		zones[p.Zone] = true
	}
	return zones
}

// mergePeer adds a peer's state to a message if the peer's last message is of the kind.
func (e *Exchange) mergePeer(now time.Duration, m *Message, p *peer, kind Kind) {
	if p.last == nil || p.last.Kind != kind {
		return
	}
	for workspace, units := range p.admitted {
		m.Rates.Used[workspace] += units
	}
	m.Counts = count.Add(m.Counts, p.last.Counts, now-p.sentAfter <= e.maxAcknowledgementAge())
	if now-p.receivedAt > messageTTL {
		return
	}
	m.Covered += max(1, p.last.Covered)
	m.Epoch = max(m.Epoch, p.last.Epoch)
	for id, l := range p.last.Loads {
		m.Loads[id] = m.Loads[id].Plus(l)
	}
	for fingerprint, n := range p.last.Crashes {
		m.Crashes[fingerprint] += n
	}
	if m.RolloutLeader == "" {
		m.RolloutLeader = p.last.RolloutLeader
	}
	if m.KVStores == nil {
		m.KVStores = p.last.KVStores
	}
	if n := p.last.List; n != nil && (m.List == nil || n.newerThan(m.List)) {
		m.List = n.aged(now - p.sentAfter)
	}
	m.Switching = append(m.Switching, p.last.Switching...)
	m.Detached = append(slices.Clip(m.Detached), p.last.Detached...)
	m.Loaded = append(m.Loaded, p.last.Loaded...)
	for _, d := range p.last.Departures {
		if !slices.Contains(m.Departures, d) {
			m.Departures = append(m.Departures, d)
		}
	}
	for _, l := range p.last.Limits {
		l.Age += int64(now - p.receivedAt)
		m.Limits = addLimit(m.Limits, l)
	}
	if p.receivedAt > e.lastSent {
		m.Uses = append(m.Uses, p.last.Uses...)
		if len(p.last.Streams) > 0 {
			m.Streams = m.Streams.Plus(p.last.Streams)
		}
	}
}

// addLimit adds a limit to a list that holds the latest one of each incarnation of an upstream.
func addLimit(limits []fleet.Limit, l fleet.Limit) []fleet.Limit {
	for i, known := range limits {
		if known.ID != l.ID || known.Born != l.Born {
			continue
		}
		if l.Age < known.Age {
			limits = slices.Clone(limits)
			limits[i] = l
		}
		return limits
	}
	return append(slices.Clip(limits), l)
}

// aged returns the update as of a time later.
func (u *ListUpdate) aged(by time.Duration) *ListUpdate {
	aged := *u
	aged.Age += int64(by)
	if u.ServedAge > 0 {
		aged.ServedAge += int64(by)
	}
	if u.ReturnedAge >= 0 {
		aged.ReturnedAge += int64(by)
	}
	return &aged
}

// newerThan reports whether an update is of a later epoch, or of a later version of the same one.
func (u *ListUpdate) newerThan(o *ListUpdate) bool {
	return u.Epoch > o.Epoch || u.Epoch == o.Epoch && u.Version > o.Version
}

// ownPart returns the part of a total that a member reported itself.
func (p *peer) ownPart(now time.Duration) *ownPart {
	own := &ownPart{}
	if p.last == nil || p.last.Kind != KindOwn {
		return own
	}
	own.Used = p.admitted
	if now-p.receivedAt <= messageTTL {
		own.Loads, own.Crashes = p.last.Loads, p.last.Crashes
	}
	return own
}

// withoutPeer returns the message without the state that its receiver reported itself.
func withoutPeer(now time.Duration, total *Message, p *peer) *Message {
	m := *total
	if p.last == nil || p.last.Kind != KindOwn {
		return &m
	}
	m.Rates.Used = cloneMap(total.Rates.Used)
	for workspace, units := range p.admitted {
		m.Rates.Used[workspace] -= units
	}
	if now-p.receivedAt > messageTTL {
		return &m
	}
	m.Loads = cloneMap(total.Loads)
	for id, l := range p.last.Loads {
		m.Loads[id] = m.Loads[id].Minus(l)
	}
	m.Crashes = cloneMap(total.Crashes)
	for fingerprint, n := range p.last.Crashes {
		m.Crashes[fingerprint] -= n
	}
	return &m
}

// cloneMap copies a map; the copy of nil is empty.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	out := make(map[K]V, len(m))
	maps.Copy(out, m)
	return out
}

// Coverage returns the number of instances, this one included, whose state here is at most messageTTL old, and the number of
// all known instances. It is for large sites, where not all instances send to this one. In small ones both are zero.
func (e *Exchange) Coverage() (covered, known int) {
	now := e.Clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.large() {
		return 0, 0
	}
	covered = 1
	head := e.headOf(e.Zone)
	if head != nil {
		if head.last != nil && head.last.Kind == KindAll && now-head.receivedAt <= messageTTL {
			covered = head.last.Covered
		}
		return covered, len(e.peers) + 1
	}
	for _, p := range e.peers {
		if p.last == nil || now-p.receivedAt > messageTTL {
			continue
		}
		if p.Zone == e.Zone && p.last.Kind == KindOwn || p.Zone != e.Zone && p.last.Kind == KindZone {
			covered += max(1, p.last.Covered)
		}
	}
	return covered, len(e.peers) + 1
}
