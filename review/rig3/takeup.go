package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// takeupRouters is the number of routers, one of which is killed each killInterval and up to killJitter later.
	takeupRouters = 3
	kills         = 18
	killInterval  = 4200 * time.Millisecond
	killJitter    = 500 * time.Millisecond
	// restartDelay is the time from the kill of a router to its next start.
	restartDelay = 500 * time.Millisecond
	// contactTimeout is ContactTimeoutMs.
	contactTimeout = 3 * time.Second
	// requestInterval is the mean time between two new streams.
	requestInterval = 12500 * time.Microsecond
	// versionRunners is the number of runners of each software version.
	versionRunners = 3
	// clientRetries is how often a client tries to take a stream up within its deadline.
	clientRetries  = 3
	clientDeadline = 5 * time.Second
	// minTakeups is the number of streams taken up from which the rule counts.
	minTakeups = 12
)

// lengths are the numbers of events of streams, 13 on average.
var lengths = []int{4, 6, 8, 10, 12, 14, 17, 33}

// takeupCounts is what clients saw.
type takeupCounts struct {
	mu sync.Mutex
	// sent and begun count new streams at machines in touch, takenUp and goneOn those that clients took up there.
	sent, begun, takenUp, goneOn int
	// joined counts streams with events of two software versions.
	joined int
	// refused counts tries to take a stream up by status.
	refused map[int]int
	// ranAt is the runner of each request that ran.
	ranAt map[string]string
}

// ran records a line of a runner.
func (c *takeupCounts) ran(runner, line string) {
	if id, ok := strings.CutPrefix(line, "runs "); ok {
		id, _, _ = strings.Cut(id, " ")
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ranAt[id] = runner
	}
}

// runner returns the runner of a request.
func (c *takeupCounts) runner(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if runner, ok := c.ranAt[id]; ok {
		return runner
	}
	return "no runner"
}

// pool are the routers with the time since which each is in touch.
type pool struct {
	mu      sync.Mutex
	routers []*router
	// up reports which routers run and are ready, inTouch since when each is in touch.
	up      []bool
	inTouch []time.Time
}

// pick returns a router that is ready, other than one, and whether it is in touch.
func (p *pool) pick(not int) (int, *router, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ready []int
	for i := range p.routers {
		if p.up[i] && i != not {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return -1, nil, false
	}
	i := ready[rand.IntN(len(ready))]
	return i, p.routers[i], time.Now().After(p.inTouch[i])
}

// isInTouch reports whether a router has been in touch since before a time.
func (p *pool) isInTouch(i int, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.up[i] && since.After(p.inTouch[i])
}

// playTakeup kills routers one after the other while runners of two software versions serve. Clients take up their streams elsewhere.
func playTakeup(r *rig) (bool, error) {
	r.publish()
	counts := &takeupCounts{refused: make(map[int]int), ranAt: make(map[string]string)}
	for i := range 2 * versionRunners {
		e := &engineProcess{id: fmt.Sprintf("i-%d", i+1), build: fmt.Sprintf("v%d", 1+i%2)}
		var err error
		if e.target, err = freeAddress(); err != nil {
			return false, err
		}
		if err := r.startEngine(e, func(line string) { counts.ran(e.id, line) }, "-chunks", "-read", "60ms", "-pause", "6ms", "-build", e.build); err != nil {
			return false, err
		}
		r.register(e)
	}
	p := &pool{}
	for i, zone := range []string{"bizerte", "tunis-nord", "ariana"} {
		rt, err := r.startRouter(fmt.Sprintf("frontend-%d", i+1), zone)
		if err != nil {
			return false, err
		}
		p.routers, p.up, p.inTouch = append(p.routers, rt), append(p.up, true), append(p.inTouch, time.Now().Add(contactTimeout))
	}
	time.Sleep(contactTimeout + time.Second)
	var clients sync.WaitGroup
	var stop atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; !stop.Load(); n++ {
			clients.Go(func() { r.stream(p, counts, n) })
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(requestInterval)))
		}
	}()
	time.Sleep(2 * time.Second)
	for k := range kills {
		begun := time.Now()
		if r.trouble {
			if err := r.killRouter(p, k%takeupRouters); err != nil {
				return false, err
			}
		}
		time.Sleep(killInterval + rand.N(killJitter) - time.Since(begun))
	}
	stop.Store(true)
	<-done
	clients.Wait()
	newShare := float64(counts.begun) / float64(max(1, counts.sent))
	takenShare := float64(counts.goneOn) / float64(max(1, counts.takenUp))
	r.note("new streams at machines in touch: %d, begun %d (%.2f)", counts.sent, counts.begun, newShare)
	r.note("streams taken up at machines in touch: %d, gone on %d (%.2f); tries that did not go on, by status: %v", counts.takenUp, counts.goneOn, takenShare, counts.refused)
	r.note("streams with events of two versions: %d; requests run: %d", counts.joined, len(counts.ranAt))
	if counts.begun == 0 || r.trouble && counts.takenUp < minTakeups {
		return false, fmt.Errorf("too few streams")
	}
	return counts.takenUp >= minTakeups && takenShare < newShare/2, nil
}

// killRouter kills a router and starts it again.
func (r *rig) killRouter(p *pool, i int) error {
	p.mu.Lock()
	rt := p.routers[i]
	p.up[i] = false
	p.mu.Unlock()
	rt.signal(syscall.SIGKILL)
	<-rt.exited
	r.note("router %s is killed", rt.name)
	time.Sleep(restartDelay)
	if err := r.restartRouter(rt); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.up[i], p.inTouch[i] = true, time.Now().Add(contactTimeout)
	return nil
}

// stream sends a stream and takes it up elsewhere if its connection breaks.
func (r *rig) stream(p *pool, counts *takeupCounts, n int) {
	deadline := time.Now().Add(clientDeadline)
	want := lengths[n%len(lengths)]
	i, rt, inTouch := p.pick(-1)
	if rt == nil {
		return
	}
	first := fmt.Sprintf("%08x%08x", os.Getpid(), n*16)
	sent := time.Now()
	a := askFor(rt.listen, first, request{path: "/quote/", events: want, deadline: time.Until(deadline)})
	// What a kill broke off before the first event says nothing about new streams.
	if inTouch && p.isInTouch(i, sent) {
		counts.mu.Lock()
		counts.sent++
		if len(a.events) > 0 {
			counts.begun++
		}
		counts.mu.Unlock()
	}
	if a.complete || len(a.events) == 0 {
		return
	}
	events, versions := a.events, a.versions
	wentOn, counted := false, false
	for try := 1; try <= clientRetries && time.Now().Before(deadline) && !wentOn; try++ {
		_, other, inTouch := p.pick(i)
		if other == nil {
			return
		}
		counted = counted || inTouch
		id := fmt.Sprintf("%08x%08x", os.Getpid(), n*16+try)
		b := askFor(other.listen, id, request{
			path: "/quote/", events: want, deadline: time.Until(deadline), last: events[len(events)-1], resumes: first,
		})
		r.note("stream %s of runner %s broke off at %s after event %d of %d (%s); %s takes it up at %s: status %d, events %v, version %v, complete %t, Retry-After %s, run by %s",
			first, counts.runner(first), rt.name, events[len(events)-1], want, versions, id, other.name, b.status, b.events, b.versions, b.complete, b.retryAfter,
			counts.runner(id))
		wentOn = b.status == 200 && b.complete
		if !wentOn {
			counts.mu.Lock()
			counts.refused[b.status]++
			counts.mu.Unlock()
			time.Sleep(b.retryAfter)
		}
		if len(b.versions) > 0 && b.versions != versions {
			counts.mu.Lock()
			counts.joined++
			counts.mu.Unlock()
		}
	}
	if counted {
		counts.mu.Lock()
		defer counts.mu.Unlock()
		counts.takenUp++
		if wentOn {
			counts.goneOn++
		}
	}
}
