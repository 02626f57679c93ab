package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	poisonPath = "/look/poison/"
	// allowedRetries is the bound of the rule.
	allowedRetries = 3
)

// poison is a request that crashes each server that begins to run it, with what it did.
type poison struct {
	site *site
	mu   sync.Mutex
	// sentTo is the router of each client attempt.
	sentTo   map[string]*router
	arrivals []time.Time
	// retries counts the arrivals that the rule counts, attempts holds their client attempts.
	retries  int
	attempts map[string]bool
	crashes  []time.Time
	next     int
}

// newPoison starts servers that crash when they begin to run the request, if there is trouble.
func newPoison(s *site, servers int, trouble bool) (*poison, error) {
	p := &poison{site: s, sentTo: make(map[string]*router), attempts: make(map[string]bool)}
	for i := range servers {
		u, err := s.newServer("bookings", fmt.Sprintf("plain%d", i), 60*time.Millisecond)
		if err != nil {
			return nil, err
		}
		u.mu.Lock()
		u.onArrival = p.arrived
		if trouble {
			u.crashes = func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, poisonPath) }
		}
		u.mu.Unlock()
	}
	return p, nil
}

// arrived records that the request reached a server, which crashes now if there is trouble.
func (p *poison) arrived(now time.Time, u *server, id string, request *http.Request) {
	path := request.URL.Path
	if !strings.HasPrefix(path, poisonPath) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, now)
	r := p.sentTo[id]
	counted := false
	if u.crashes != nil {
		if len(p.crashes) >= 3 && now.Sub(p.crashes[2]) > contactTimeout && r != nil && r.inTouch(now) {
			p.retries++
			p.attempts[id] = true
			counted = true
		}
		p.crashes = append(p.crashes, now)
	}
	p.site.record.add("request %s (%s) reaches server %s from %s; crash %d; counted by the rule: %t", id, path, u.id, r.name, len(p.crashes), counted)
}

// come sends the request once more, to the next machine.
func (p *poison) come() {
	p.mu.Lock()
	r := p.site.routers[p.next%len(p.site.routers)]
	p.next++
	id := p.site.newID()
	p.sentTo[id] = r
	p.mu.Unlock()
	p.site.send(r, "GET", poisonPath+"7/", id, "", time.Second)
}

// comeInterval is the time between two tries of the request.
const comeInterval = 50 * time.Millisecond

// comeFor sends the request again and again for a time.
func (p *poison) comeFor(d time.Duration) {
	var wg sync.WaitGroup
	ticker := time.NewTicker(comeInterval)
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
		wg.Go(p.come)
	}
	wg.Wait()
}

// bookings counts the bookings that were sent, and those that a server began to run without an answer.
type bookings struct {
	mu         sync.Mutex
	sent, lost int
}

// book sends bookings to all routers until stop is closed.
func (s *site) book(stop chan struct{}, wg *sync.WaitGroup) *bookings {
	b := &bookings{}
	for _, r := range s.routers {
		wg.Go(func() {
			ticker := time.NewTicker(100 * time.Millisecond)
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
					b.mu.Lock()
					defer b.mu.Unlock()
					b.sent++
					if a.status == 502 || a.status == 504 {
						b.lost++
						s.record.add("booking %s is lost: its server had begun to run it", id)
					}
				})
			}
		})
	}
	return b
}

func (p *poison) verdict(b *bookings) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.site.record.add("the request reached servers %d times and crashed %d; %d retries, of %d client attempts, later than %s after the third crash (allowed: %d)",
		len(p.arrivals), len(p.crashes), p.retries, len(p.attempts), contactTimeout, allowedRetries)
	b.mu.Lock()
	defer b.mu.Unlock()
	p.site.record.add("%d bookings were sent, %d were lost with a server that crashed", b.sent, b.lost)
	return p.retries <= allowedRetries
}

// forgetTime is how long the request stays away.
const forgetTime = 62 * time.Second

// expiry: a request that crashes servers comes again a minute later.
func expiry(s *site, trouble bool) (bool, error) {
	p, err := newPoison(s, 10, trouble)
	if err != nil {
		return false, err
	}
	if err := s.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(contactTimeout + time.Second)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	b := s.book(stop, &wg)
	p.comeFor(3 * time.Second)
	time.Sleep(forgetTime)
	p.comeFor(6 * time.Second)
	close(stop)
	wg.Wait()
	return p.verdict(b), nil
}

// roll: a request that crashes servers comes again after the machines of the system were stopped and started in turn.
func roll(s *site, trouble bool) (bool, error) {
	p, err := newPoison(s, 10, true)
	if err != nil {
		return false, err
	}
	if err := s.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(contactTimeout + time.Second)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	b := s.book(stop, &wg)
	p.comeFor(6 * time.Second)
	if trouble {
		for _, r := range s.routers {
			if err := r.restart(); err != nil {
				return false, err
			}
		}
		time.Sleep(contactTimeout + time.Second)
	}
	p.comeFor(6 * time.Second)
	close(stop)
	wg.Wait()
	return p.verdict(b), nil
}
