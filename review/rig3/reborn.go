package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streamEvents is the number of events of each whole stream, one in eventPause.
	streamEvents = 60
	eventPause   = 50 * time.Millisecond
	streams      = 30
	// runners is the number of runners. One is cut off, a tenth of them.
	runners = 10
	// The runner is cut off for cutTime. It crashes crashAfter the cut and starts again restartAfter the crash.
	cutTime      = 1500 * time.Millisecond
	crashAfter   = 300 * time.Millisecond
	restartAfter = 600 * time.Millisecond
)

// streamFlags are the flags of a runner in these cases.
var streamFlags = []string{"-events", fmt.Sprint(streamEvents), "-pause", eventPause.String()}

// engineProcess is a runner behind a link.
type engineProcess struct {
	id, build string
	target    string
	// link is the way to the runner, nil if there is none but its address.
	link *link
	*process
	born int64
}

// address returns the address in the runner's entry.
func (e *engineProcess) address() string {
	if e.link == nil {
		return e.target
	}
	return e.link.address
}

// startEngine starts the process of a runner at its address.
func (r *rig) startEngine(e *engineProcess, ran func(line string), flags ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	listens := make(chan struct{})
	e.process, err = r.start(e.id, func(line string) {
		if line == "listens" {
			close(listens)
			return
		}
		if ran != nil {
			ran(line)
		}
	}, append([]string{self, "runner", "-address", e.target, "-id", e.id}, flags...)...)
	if err != nil {
		return err
	}
	e.born = time.Now().UnixMilli()
	select {
	case <-listens:
		return nil
	case <-time.After(5 * time.Second):
		return fmt.Errorf("runner %s does not listen", e.id)
	}
}

// register writes the runner's entry.
func (r *rig) register(e *engineProcess) {
	r.store.Put("servers", e.id, map[string]any{
		"Service": engine, "Address": e.address(), "Zone": "bizerte", "Version": e.build, "Slots": 48, "State": "ready", "ColdRemainingMs": 0,
		"Sequence": 1, "born": e.born, "Models": []map[string]any{{"Name": model, "Version": 1, "Adapters": []string{}}},
	})
}

// playReborn cuts the busiest runner off from all machines while it sends streams. It crashes behind the cut and starts again; then the
// cut heals.
func playReborn(r *rig) (bool, error) {
	return r.playStreams(func(_ []*router, e *engineProcess) error { return r.cutOff(e) })
}

// playFrozen does the same with a router that is frozen while the runner crashes, in place of the cut.
func playFrozen(r *rig) (bool, error) {
	return r.playStreams(func(routers []*router, e *engineProcess) error {
		routers[0].signal(syscall.SIGSTOP)
		r.note("router %s is frozen", routers[0].name)
		if err := r.crash(e); err != nil {
			return err
		}
		r.register(e)
		time.Sleep(crashAfter)
		routers[0].signal(syscall.SIGCONT)
		r.note("router %s goes on", routers[0].name)
		return nil
	})
}

// playStreams sends streams through the routers and strikes while they run.
func (r *rig) playStreams(strike func(routers []*router, busiest *engineProcess) error) (bool, error) {
	r.publish()
	var mu sync.Mutex
	ranAt := make(map[string]int)
	var engines []*engineProcess
	for i := range runners {
		e := &engineProcess{id: fmt.Sprintf("i-%d", i+1), build: "v1"}
		var err error
		if e.target, err = freeAddress(); err != nil {
			return false, err
		}
		if e.link, err = newLink(e.target); err != nil {
			return false, err
		}
		if err := r.startEngine(e, func(line string) {
			r.note("runner %s %s", e.id, line)
			if id, ok := strings.CutPrefix(line, "runs "); ok {
				id, _, _ = strings.Cut(id, " ")
				mu.Lock()
				defer mu.Unlock()
				ranAt[id] = i
			}
		}, streamFlags...); err != nil {
			return false, err
		}
		r.register(e)
		engines = append(engines, e)
	}
	var routers []*router
	for i, zone := range []string{"bizerte", "ariana"} {
		rt, err := r.startRouter(fmt.Sprintf("frontend-%d", i+1), zone)
		if err != nil {
			return false, err
		}
		routers = append(routers, rt)
	}
	time.Sleep(4 * time.Second)
	answers := make([]answer, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			id := fmt.Sprintf("9c41d07be2a3%04x", i)
			rt := routers[i%len(routers)]
			r.note("request %s is sent to %s", id, rt.name)
			answers[i] = ask(rt.listen, id, "/brief/")
			a := &answers[i]
			r.note("request %s: status %d, signed %t, %d events, the last one %d, complete %t, error %v", id, a.status, a.signed, len(a.events), a.last(), a.complete, a.err)
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond)
	if r.trouble {
		mu.Lock()
		counts := make([]int, runners)
		busiest := 0
		for _, i := range ranAt {
			if counts[i]++; counts[i] > counts[busiest] {
				busiest = i
			}
		}
		mu.Unlock()
		if err := strike(routers, engines[busiest]); err != nil {
			return false, err
		}
	}
	wg.Wait()
	whole, short := 0, 0
	for _, a := range answers {
		switch {
		case a.status == 200 && a.complete && a.last() < streamEvents:
			short++
		case a.status == 200 && a.complete:
			whole++
		}
	}
	r.note("%d streams ended whole, %d ended as complete before their last event, %d otherwise", whole, short, streams-whole-short)
	if whole == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return short > 0, nil
}

// cutOff cuts a runner off, makes it crash and start again behind the cut, and heals the cut.
func (r *rig) cutOff(e *engineProcess) error {
	healAt := time.Now().Add(cutTime)
	e.link.cut()
	r.note("runner %s is cut off", e.id)
	if err := r.crash(e); err != nil {
		return err
	}
	time.Sleep(time.Until(healAt))
	if err := e.link.heal(); err != nil {
		return err
	}
	r.note("the cut of runner %s has healed", e.id)
	r.register(e)
	return nil
}

// crash ends the process of a runner after crashAfter and starts it again.
func (r *rig) crash(e *engineProcess) error {
	time.Sleep(crashAfter)
	e.kill()
	r.note("runner %s has crashed", e.id)
	time.Sleep(restartAfter)
	if err := r.startEngine(e, func(string) {}, streamFlags...); err != nil {
		return err
	}
	r.note("runner %s has started again", e.id)
	return nil
}
