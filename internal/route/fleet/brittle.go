package fleet

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// seatsSpan is how long seats are valid. A seat too many costs at most one rejection in that time.
	seatsSpan = 5 * time.Second
	// handoverTime is how long seats that were the instance's before it was dealt new ones, but are not any more, still keep others
	// from it, since their requests may be in progress.
	handoverTime = 300 * time.Millisecond
	// roomGrowth is the fraction by which the room of an upstream is assumed to grow in a second after a rejection.
	roomGrowth = 0.5
	// brittleServiceTTL is how long upstreams that have not responded are taken for brittle after another one of their service was.
	brittleServiceTTL = 10 * time.Second
	// freeShare is the share of an upstream's slots up to which the instances together need no seats.
	freeShare = 0.5
)

// noticed returns what an incarnation of an upstream has said of itself, or nil. The caller holds the lock.
func (f *Fleet) noticed(e *Entry) *notice {
	if n, ok := f.notices[e.ID]; ok && n.born == e.Born {
		return n
	}
	return nil
}

// isShared reports whether the instances share what an upstream takes. The caller holds the lock.
func (f *Fleet) isShared(now time.Time, e *Entry) bool {
	if !f.limitsSeen {
		return false
	}
	n := f.noticed(e)
	_, brittle := f.brittleOf(now, e)
	return n != nil && n.limit != nil || brittle
}

// brittleOf returns how many requests an upstream can reject in a second, or false if it can reject any number. An upstream that has
// not responded yet is as brittle as the others of its service. The caller holds the lock.
func (f *Fleet) brittleOf(now time.Time, e *Entry) (float64, bool) {
	if n := f.noticed(e); n != nil && !n.limitAt.IsZero() {
		if n.brittle == nil {
			return 0, false
		}
		return *n.brittle, true
	}
	b, ok := f.brittleServices[e.Service]
	return b.rejections, ok && now.Sub(b.at) < brittleServiceTTL
}

// brittleService is what an upstream of a service last said of how many requests it can reject.
type brittleService struct {
	rejections float64
	at         time.Time
}

// rememberBrittle records for its service that an upstream is brittle. The caller holds the lock.
func (f *Fleet) rememberBrittle(at time.Time, id string, brittle *float64) {
	u, ok := f.upstreams[id]
	if !ok || brittle == nil {
		return
	}
	if b := f.brittleServices[u.entry.Service]; at.After(b.at) {
		f.brittleServices[u.entry.Service] = brittleService{rejections: *brittle, at: at}
	}
}

// roomOf returns how many requests of all instances a brittle upstream takes at the same time without rejecting some. Free is how
// many of them this instance may send without a seat.
func (n *notice) roomOf(now time.Time, brittle float64, slots, running, instances int) (room float64, free int) {
	room = float64(slots)
	if n != nil && !n.crowdedAt.IsZero() {
		if grown := max(1, float64(n.room)) * (1 + roomGrowth*now.Sub(n.crowdedAt).Seconds()); grown < room {
			return grown, 0
		}
	}
	if float64(running) >= freeShare*room {
		return room, 0
	}
	// What all instances send at the same moment may exceed the room by what the upstream can reject.
	if free = max(1, int(freeShare*room)/instances); float64(free*instances) > room+brittle*freeShare {
		return room, 0
	}
	return room, free
}

// lacksSeat reports whether this instance has as many requests at a brittle upstream as it has seats there. All instances together
// have as many seats as the upstream has room, so that none of their requests is rejected. The caller holds the lock.
func (f *Fleet) lacksSeat(now time.Time, u *upstream) bool {
	if !f.limitsSeen {
		return false
	}
	brittle, ok := f.brittleOf(now, &u.entry)
	if !ok || u.entry.Slots <= 0 {
		return false
	}
	own, others := u.local.running+u.local.reserved, f.peerLoad(now, u.entry.ID).Running
	room, free := f.noticed(&u.entry).roomOf(now, brittle, u.entry.Slots, own+others, f.instances)
	if own < free {
		return false
	}
	f.dealSeats(now, u, room)
	return own+others >= int(math.Ceil(room)) || own >= u.shared.usableSeats(now, others > 0)
}

// dealSeats computes this instance's seats at an upstream with room for that many requests. The caller holds the lock.
func (f *Fleet) dealSeats(now time.Time, u *upstream, room float64) {
	s := &u.shared
	// The rest covers reports that arrive late.
	room = max(1, room*limitRatio)
	before, wanted := f.peersWanted(now, u.entry.ID)
	share, span := 1/float64(f.instances), f.spanAt(now)
	if s.reported > 0 {
		share = s.reported / (s.reported + wanted)
	}
	if s.span != span {
		s.span, s.spanAt, s.previousSeats, s.lostSeats = span, now, s.seats, 0
		s.random = f.random()
	}
	offset := s.random
	if f.self != "" && f.instances <= len(f.peers)+1 {
		offset = f.seatOffset(span, u.entry.ID, room, before, wanted+s.reported)
	}
	s.seats = roundAtRandom(room*share, offset)
}

// spanAt returns the number of the span in which seats are dealt; it is positive. The caller holds the lock.
func (f *Fleet) spanAt(now time.Time) int64 {
	if f.storeStart.IsZero() {
		f.storeStart = now
	}
	return 1 + int64(now.Sub(f.storeStart)/seatsSpan)
}

// storeClockTolerance is the difference from the store's clock at which seats are still dealt by the clock as first read. Responses
// of the store are slow by different amounts.
const storeClockTolerance = 300 * time.Millisecond

// SetStoreClock records the store's clock at a time. All instances count the spans of seats by it.
func (f *Fleet) SetStoreClock(at time.Time, clock time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	start := at.Add(-clock)
	if f.storeClockKnown && start.Sub(f.storeStart).Abs() <= storeClockTolerance {
		return
	}
	f.storeStart, f.storeClockKnown = start, true
}

// peersWanted returns how many requests the other instances might have sent to an upstream: those whose address precedes this one's,
// and all. The caller holds the lock.
func (f *Fleet) peersWanted(now time.Time, id string) (before, all float64) {
	for address, p := range f.peers {
		if now.Sub(p.at) >= peerLoadTTL {
			continue
		}
		wanted := max(0, p.loads[id].Wanted)
		all += wanted
		if address < f.self {
			before += wanted
		}
	}
	return before, all
}

// seatOffset returns a number from 0 to 1 by which the instance rounds its seats. The seats of instances that know each other's
// requests add up to the room: each rounds the end and the beginning of its part by the same offset. Which ones get the seats changes
// with the store's clock; before it is known, and in large sites, the seats add up on average only. The caller holds the lock.
func (f *Fleet) seatOffset(span int64, id string, room, before, all float64) float64 {
	if all <= 0 {
		return 0
	}
	hash := xxhash.Sum64String(strconv.FormatInt(span, 10))
	// An instance that gets no seat at one upstream gets one at the next ones.
	begin := room*before/all + float64(f.rankInService(id))*room/float64(f.instances) + float64(hash%offsets)/offsets
	return 1 - (begin - math.Floor(begin))
}

// rankInService returns how many upstreams of the same service have a smaller ID. The caller holds the lock.
func (f *Fleet) rankInService(id string) int {
	n := 0
	for other, u := range f.upstreams {
		if other < id && u.entry.Service == f.upstreams[id].entry.Service {
			n++
		}
	}
	return n
}

// offsets is the number of offsets by which seats are rounded.
const offsets = 1 << 16

// isFull reports whether a brittle upstream has rejected a request since a time and has no room for another one now. The requests of this
// instance that have no connection are not there. The caller holds the lock.
func (f *Fleet) isFull(now, since time.Time, u *upstream) bool {
	brittle, ok := f.brittleOf(now, &u.entry)
	n := f.noticed(&u.entry)
	if !ok || n == nil || !n.crowdedAt.After(since) {
		return false
	}
	there := u.local.running - u.local.connecting + f.peerLoad(now, u.entry.ID).Running
	room, _ := n.roomOf(now, brittle, u.entry.Slots, there, f.instances)
	return there >= int(room)
}

// crowd records that a brittle upstream rejected a request of this instance for want of room, and reports whether it is brittle. The
// caller holds the lock.
func (f *Fleet) crowd(now time.Time, u *upstream) bool {
	n := f.noticed(&u.entry)
	if n == nil || n.brittle == nil {
		return false
	}
	// The rejected request still counts as running. Those without a connection are not there.
	n.room = max(0, u.local.running-u.local.connecting-1) + f.peerLoad(now, u.entry.ID).Running
	n.crowdedAt, n.crowdedSeen = now, now
	u.shared.lostSeats++
	return true
}

// observeCrowded records the latest rejection that another instance reported.
func (n *notice) observeCrowded(now time.Time, l Limit) {
	if l.Crowded == nil {
		return
	}
	if at := now.Add(-time.Duration(*l.Crowded)); at.After(n.crowdedAt) {
		n.crowdedAt, n.room = at, l.Room
	}
}

// reportCrowded adds the latest rejection to a report.
func (n *notice) reportCrowded(now time.Time, l *Limit) {
	if age := int64(now.Sub(n.crowdedAt)); n.brittle != nil && !n.crowdedAt.IsZero() && age < int64(limitReportTTL) {
		l.Crowded, l.Room = &age, n.room
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
