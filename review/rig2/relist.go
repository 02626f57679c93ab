package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// turnedAwayTime is how long the store turns one machine away.
	turnedAwayTime = 4500 * time.Millisecond
	// leaveAfter is when a server leaves, after the store has begun to do so.
	leaveAfter = 1500 * time.Millisecond
	// lingerTime is how much longer than DrainTimeoutMs a leaving server serves.
	lingerTime = 400 * time.Millisecond
	rounds     = 4
	// workTime is how long a booking takes, and bookInterval the time between two bookings at one machine.
	workTime     = 60 * time.Millisecond
	bookInterval = 15 * time.Millisecond
)

// relist: the store turns one machine away and serves the others; meanwhile a server leaves that never reports draining.
// The rule is judged at the other machines, which are in touch all the time.
func relist(s *site, trouble bool) (bool, error) {
	for i := range 2 {
		if _, err := s.newServer("bookings", fmt.Sprintf("stay%d", i), workTime); err != nil {
			return false, err
		}
	}
	if err := s.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(contactTimeout + time.Second)
	total, lost := 0, 0
	for round := range rounds {
		late, missing, err := s.relistRound(round, trouble)
		if err != nil {
			return false, err
		}
		total, lost = total+late, lost+missing
	}
	s.record.add("%d requests reached a server later than %s after it was gone; %d bookings ended without an answer of the server that ran them",
		total, drainTimeout, lost)
	return total == 0, nil
}

func (s *site) relistRound(round int, trouble bool) (late, lost int, err error) {
	u, err := s.newServer("bookings", fmt.Sprintf("leaves%d", round), workTime)
	if err != nil {
		return 0, 0, err
	}
	time.Sleep(2500 * time.Millisecond)
	first := s.first()
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	answers := make(map[string]answer)
	for _, r := range s.routers {
		if r == first {
			continue
		}
		wg.Go(func() {
			ticker := time.NewTicker(bookInterval)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				wg.Go(func() {
					id := s.newID()
					a := s.send(r, "POST", "/book/unit/", id, "unit=7&crew=4", time.Second)
					mu.Lock()
					defer mu.Unlock()
					answers[id] = a
				})
			}
		})
	}
	if trouble {
		first.turnedAway.Store(true)
		s.record.add("the store turns %s away with 503", first.name)
	}
	time.Sleep(leaveAfter)
	goneAt := u.leave()
	time.Sleep(drainTimeout + lingerTime)
	u.end()
	s.record.add("server %s exits", u.id)
	time.Sleep(turnedAwayTime - leaveAfter - drainTimeout - lingerTime)
	first.turnedAway.Store(false)
	s.record.add("the store serves all machines")
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	for _, r := range u.allRuns() {
		after := r.at.Sub(goneAt)
		if after <= drainTimeout {
			continue
		}
		late++
		a := answers[r.id]
		if a.status != 200 || !a.whole {
			lost++
		}
		s.record.add("booking %s reached server %s %d ms after it was gone; answer: status %d whole %t", r.id, u.id, after.Milliseconds(), a.status, a.whole)
	}
	// The next round begins with a store that has been sound for a while.
	time.Sleep(4 * time.Second)
	return late, lost, nil
}
