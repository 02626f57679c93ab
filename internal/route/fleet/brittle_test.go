package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// brittleSite is a site of instances whose upstreams are brittle, in virtual time.
type brittleSite struct {
	fleets []*Fleet
	ids    []string
}

func newBrittleSite(now time.Time, instances, upstreams, slots int) *brittleSite {
	s := &brittleSite{}
	rejections := 3.0
	for i := range upstreams {
		s.ids = append(s.ids, fmt.Sprint("u", i))
	}
	for i := range instances {
		f := New()
		f.SetSelf(fmt.Sprintf("10.0.%d.%d:7", i/100, i%100+10))
		f.SetInstances(instances, 500*time.Millisecond)
		for _, id := range s.ids {
			f.Put(Entry{ID: id, Service: "s", State: Ready, Slots: slots, Born: 1})
			f.ObserveLimit(now, Limit{ID: id, Born: 1, Brittle: &rejections}, true)
		}
		s.fleets = append(s.fleets, f)
	}
	return s
}

// exchange makes each instance want a request and report its loads to all others.
func (s *brittleSite) exchange(now time.Time) {
	s.exchangeAt(func(int) time.Time { return now })
}

// exchangeAt does the same where each instance has a time of its own.
func (s *brittleSite) exchangeAt(now func(i int) time.Time) {
	for i, f := range s.fleets {
		f.Want(now(i), "s")
	}
	for i, f := range s.fleets {
		loads := f.Loads(now(i))
		for k, to := range s.fleets {
			if to != f {
				to.SetPeerLoads(now(k), f.self, loads)
			}
		}
	}
}

// The seats of all instances add up to the room, and each instance gets some.
func TestSeatsAddUpToTheRoom(t *testing.T) {
	const upstreams, slots = 3, 6
	now := time.Unix(1000, 0)
	s := newBrittleSite(now, 13, upstreams, slots)
	for range 12 {
		now = now.Add(250 * time.Millisecond)
		s.exchange(now)
	}
	for range 20 {
		now = now.Add(seatsSpan)
		s.exchange(now)
		seats := make(map[string]int)
		for _, f := range s.fleets {
			own := 0
			for _, id := range s.ids {
				u := f.upstreams[id]
				f.dealSeats(now, u, slots)
				seats[id] += u.shared.seats
				own += u.shared.seats
			}
			must.Positive(t, own)
		}
		for _, id := range s.ids {
			must.Between(t, slots-2, seats[id], slots)
		}
	}
}

// The time of day differs between machines, and may jump. The seats add up by the store's clock.
func TestSeatsAddUpWhereTheTimeOfDayDiffers(t *testing.T) {
	const upstreams, slots = 3, 6
	now := time.Unix(1000, 0)
	s := newBrittleSite(now, 13, upstreams, slots)
	wrong := func(i int) time.Duration { return time.Duration(i) * 1700 * time.Millisecond }
	for i, f := range s.fleets {
		f.SetStoreClock(now.Add(wrong(i)), 40*time.Second)
	}
	for range 12 {
		now = now.Add(250 * time.Millisecond)
		s.exchangeAt(func(i int) time.Time { return now.Add(wrong(i)) })
	}
	for range 20 {
		now = now.Add(seatsSpan)
		s.exchangeAt(func(i int) time.Time { return now.Add(wrong(i)) })
		for _, id := range s.ids {
			seats := 0
			for i, f := range s.fleets {
				u := f.upstreams[id]
				f.dealSeats(now.Add(wrong(i)), u, slots)
				seats += u.shared.seats
			}
			must.Between(t, slots-2, seats, slots)
		}
	}
}

// Responses of the store that are slow do not change the span.
func TestStoreClockIsKeptWithinTolerance(t *testing.T) {
	now := time.Unix(1000, 0)
	f := New()
	f.SetStoreClock(now, 10*seatsSpan)
	must.Eq(t, 11, f.spanAt(now))
	f.SetStoreClock(now, 10*seatsSpan-storeClockTolerance)
	must.Eq(t, 11, f.spanAt(now))
	f.SetStoreClock(now, 3*seatsSpan)
	must.Eq(t, 4, f.spanAt(now))
}

// A rejection lowers the room at once, also where another instance reports it, and it grows again.
func TestRejectionLowersTheRoom(t *testing.T) {
	const slots = 64
	now := time.Unix(1000, 0)
	s := newBrittleSite(now, 2, 1, slots)
	first, second := s.fleets[0], s.fleets[1]
	for range 9 {
		first.RequestSent(now, "u0", 0)
	}
	must.True(t, first.MarkFull(now, "u0", 0))
	for _, l := range first.Limits(now.Add(time.Second)) {
		second.ObserveLimit(now.Add(time.Second), l, false)
	}
	for _, f := range s.fleets {
		room, free := f.notices["u0"].roomOf(now.Add(2*time.Second), 3, slots, 0, 2)
		must.Eq(t, 8*(1+2*roomGrowth), room)
		must.Zero(t, free)
		room, _ = f.notices["u0"].roomOf(now.Add(time.Minute), 3, slots, 0, 2)
		must.Eq(t, slots, room)
	}
}

// Upstreams that have not responded yet are as brittle as the others of their service.
func TestNewUpstreamOfABrittleService(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newBrittleSite(now, 1, 1, 6)
	f := s.fleets[0]
	f.Put(Entry{ID: "new", Service: "s", State: Ready, Slots: 6, Born: 2})
	f.Put(Entry{ID: "other", Service: "t", State: Ready, Slots: 6, Born: 2})
	_, brittle := f.brittleOf(now, &f.upstreams["new"].entry)
	must.True(t, brittle)
	_, brittle = f.brittleOf(now, &f.upstreams["other"].entry)
	must.False(t, brittle)
	f.ObserveLimit(now.Add(time.Second), Limit{ID: "u0", Born: 1}, true)
	_, brittle = f.brittleOf(now.Add(time.Second), &f.upstreams["u0"].entry)
	must.False(t, brittle)
}
