package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	bookPath = "/visits/"
	lookPath = "/orders/"
	// crashPath is that of the request that crashes each runner that begins to run it, crashTime after its begin.
	crashPath = lookPath + "crash/"
	crashTime = 20 * time.Millisecond

	herdRouters = 5
	deskRunners = 10
	deskWork    = 30 * time.Millisecond
	// backAfter is how long a crashed runner is away.
	backAfter = 2 * time.Second
	heartbeat = 1200 * time.Millisecond
	// crashInterval is the time between two client attempts of the request that crashes runners. They come for crashSpan before the routers
	// are killed and for crashSpan after it.
	crashInterval = 50 * time.Millisecond
	crashSpan     = 6 * time.Second
	bookInterval  = 100 * time.Millisecond
	plainDeadline = 1500 * time.Millisecond
	// allowedRetries is the bound of the rule.
	allowedRetries = 3
)

// herd is what clients and runners saw.
type herd struct {
	*rig
	routers []*router
	lastID  atomic.Int64
	mu      sync.Mutex
	// inTouch is since when the routers are in touch.
	inTouch time.Time
	// sentTo is the router of each client attempt of the request that crashes runners.
	sentTo map[string]*router
	// crashes are the times at which it began to run at a runner. retries counts those that the rule counts, attempts their client attempts.
	crashes  []time.Time
	retries  int
	attempts map[string]bool
	// booked and lost count bookings, and those that ended with their runner.
	booked, lost int
}

// playHerd kills all routers at once after a request that crashes runners has been refused. Then it comes again.
func playHerd(r *rig) (bool, error) {
	r.publish()
	h := &herd{rig: r, sentTo: make(map[string]*router), attempts: make(map[string]bool)}
	for i := range deskRunners {
		address, err := freeAddress()
		if err != nil {
			return false, err
		}
		if err := h.startDesk(fmt.Sprintf("d-%d", i+1), address, 1); err != nil {
			return false, err
		}
	}
	for i := range herdRouters {
		rt, err := r.startRouter(fmt.Sprintf("frontend-%d", i+1), []string{"bizerte", "tunis-nord", "ariana"}[i%3])
		if err != nil {
			return false, err
		}
		h.routers = append(h.routers, rt)
	}
	h.touch()
	time.Sleep(contactTimeout + time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, rt := range h.routers {
		clients.Go(func() { h.book(rt, stop) })
	}
	h.come(crashSpan)
	if r.trouble {
		if err := h.killAll(); err != nil {
			return false, err
		}
	}
	time.Sleep(contactTimeout + time.Second)
	h.come(crashSpan)
	close(stop)
	clients.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	r.note("the request crashed %d runners; %d retries, of %d client attempts, later than %s after the third crash (allowed: %d)",
		len(h.crashes), h.retries, len(h.attempts), contactTimeout, allowedRetries)
	r.note("%d bookings were sent, %d were lost with a runner that crashed", h.booked, h.lost)
	if len(h.crashes) < 3 {
		return false, fmt.Errorf("too few crashes")
	}
	return h.retries > allowedRetries, nil
}

// touch notes that the routers were disturbed just now.
func (h *herd) touch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inTouch = time.Now().Add(contactTimeout)
}

// startDesk starts a runner that books visits and looks orders up. When it has crashed, another one starts at its address.
func (h *herd) startDesk(id, address string, incarnation int) error {
	e := &engineProcess{id: fmt.Sprintf("%s-%d", id, incarnation), build: "v1", target: address}
	err := h.startEngine(e, func(line string) { h.ran(e, line) }, "-work", deskWork.String(), "-crash", crashPath)
	if err != nil {
		return err
	}
	gone := make(chan struct{})
	go h.beat(e, gone)
	go func() {
		<-e.exited
		close(gone)
		if h.isClosed() {
			return
		}
		h.note("runner %s has crashed", e.id)
		time.AfterFunc(3*heartbeat, func() { h.store.Delete("servers", e.id) })
		time.Sleep(backAfter)
		if h.isClosed() {
			return
		}
		if err := h.startDesk(id, address, incarnation+1); err != nil {
			h.note("no runner at %s: %s", address, err)
		}
	}()
	return nil
}

// beat writes the runner's entry until it has ended.
func (h *herd) beat(e *engineProcess, gone chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		h.store.Put("servers", e.id, map[string]any{
			"Service": desk, "Address": e.target, "Zone": "bizerte", "Version": "v1", "Slots": 6, "State": "ready", "ColdRemainingMs": 0,
			"Sequence": sequence, "born": e.born,
		})
		select {
		case <-gone:
			return
		case <-ticker.C:
		}
	}
}

// ran records a line of a runner.
func (h *herd) ran(e *engineProcess, line string) {
	id, ok := strings.CutPrefix(line, "runs ")
	if !ok {
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	from, ok := h.sentTo[id]
	if !ok {
		return
	}
	counted := len(h.crashes) >= 3 && now.Sub(h.crashes[2]) > contactTimeout && now.After(h.inTouch)
	if counted {
		h.retries++
		h.attempts[id] = true
	}
	h.crashes = append(h.crashes, now)
	h.note("request %s runs at runner %s, from %s; crash %d; counted by the rule: %t", id, e.id, from.name, len(h.crashes), counted)
}

// come sends the request that crashes runners again and again for a time, to the routers in turn.
func (h *herd) come(span time.Duration) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(crashInterval) {
		n := h.lastID.Add(1)
		id := fmt.Sprintf("%08x%08x", os.Getpid(), n)
		rt := h.routers[n%herdRouters]
		h.mu.Lock()
		h.sentTo[id] = rt
		h.mu.Unlock()
		wg.Go(func() {
			status := askPlain(rt.listen, "GET", crashPath+"7/", id, "", plainDeadline)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	wg.Wait()
	h.note("answers to the request that crashes runners, by status: %v", statuses)
}

// book sends bookings to a router until stop is closed.
func (h *herd) book(rt *router, stop chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(bookInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		wg.Go(func() {
			id := fmt.Sprintf("%s%08x", strings.TrimPrefix(rt.name, "frontend-"), n)
			status := askPlain(rt.listen, "POST", bookPath+"7/", id, "visit=7", plainDeadline)
			h.mu.Lock()
			defer h.mu.Unlock()
			h.booked++
			if status == 502 || status == 504 {
				h.lost++
				h.note("booking %s is lost: its runner had begun to run it", id)
			}
		})
	}
}

// killAll kills all routers at once and starts them again.
func (h *herd) killAll() error {
	for _, rt := range h.routers {
		rt.signal(syscall.SIGKILL)
	}
	for _, rt := range h.routers {
		<-rt.exited
	}
	h.note("all routers are killed")
	errs := make(chan error, len(h.routers))
	for _, rt := range h.routers {
		go func() { errs <- h.restartRouter(rt) }()
	}
	for range h.routers {
		if err := <-errs; err != nil {
			return err
		}
	}
	h.touch()
	return nil
}
