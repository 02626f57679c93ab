package soak

import (
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// place says on what a fault plays.
type place string

const (
	onRouter   place = "router"
	onUpstream place = "upstream"
	onAll      place = "all"
)

// trouble is one kind of fault.
type trouble struct {
	name  string
	where place
	// planned tells that operators may do this without harm to callers.
	planned bool
	// least and most bound how long it lasts.
	least, most time.Duration
	// begin brings it about on a target and returns what ends it.
	begin func(s *edgeSite, target int) (end func() error)
}

// faults are all kinds.
var faults = []trouble{
	{"router killed", onRouter, false, 50 * ms, 4 * sec, func(s *edgeSite, n int) func() error {
		s.nodes[n].kill()
		return s.nodes[n].start
	}},
	{"router paused", onRouter, false, 100 * ms, 7 * sec, func(s *edgeSite, n int) func() error {
		return stall(s.nodes[n].process)
	}},
	{"router stopped", onRouter, true, grace, grace + 2*sec, func(s *edgeSite, n int) func() error {
		s.nodes[n].signal(syscall.SIGTERM)
		return func() error {
			s.nodes[n].kill()
			return s.nodes[n].start()
		}
	}},
	{"settings read again", onRouter, true, 10 * ms, 100 * ms, func(s *edgeSite, n int) func() error {
		s.nodes[n].signal(syscall.SIGHUP)
		return nothing
	}},
	{"all routers killed", onAll, false, 10 * ms, sec, func(s *edgeSite, _ int) func() error {
		for _, n := range s.nodes {
			n.kill()
		}
		return func() error {
			var failed error
			for _, n := range s.nodes {
				failed = errors.Join(failed, n.start())
			}
			return failed
		}
	}},
	{"store slow for a router", onRouter, false, sec, 6 * sec, storeProxy(slow)},
	{"store resets a router", onRouter, false, 100 * ms, 6 * sec, storeProxy(reset)},
	{"store hears no router", onRouter, false, sec, 6 * sec, storeProxy(cutThere)},
	{"store unheard by a router", onRouter, false, sec, 6 * sec, storeProxy(cutBack)},
	{"store silent to a router", onRouter, false, sec, 8 * sec, storeProxy(silent)},
	{"store busy", onAll, false, 200 * ms, 7 * sec, storeFault(fake.Busy)},
	{"store silent", onAll, false, 200 * ms, 7 * sec, storeFault(fake.Unresponsive)},
	{"store loses answers", onAll, false, 200 * ms, 5 * sec, storeFault(fake.LoseResponses)},
	{"store drops its history", onAll, false, 10 * ms, 100 * ms, func(s *edgeSite, _ int) func() error {
		s.Store.Compact()
		return nothing
	}},
	{"upstream slow", onUpstream, false, sec, 5 * sec, upstreamProxy(slow)},
	{"upstream resets", onUpstream, false, 100 * ms, 4 * sec, upstreamProxy(reset)},
	{"upstream hears nothing", onUpstream, false, sec, 5 * sec, upstreamProxy(cutThere)},
	{"upstream unheard", onUpstream, false, sec, 5 * sec, upstreamProxy(cutBack)},
	{"upstream silent", onUpstream, false, sec, 6 * sec, upstreamProxy(silent)},
	{"upstream cuts answers", onUpstream, false, 500 * ms, 5 * sec, upstreamFault(fake.Faults{CutAfter: 5})},
	{"upstream declines", onUpstream, false, 500 * ms, 5 * sec, upstreamFault(fake.Faults{Shed: true})},
	{"upstream fails", onUpstream, false, 500 * ms, 5 * sec, upstreamFault(fake.Faults{Fail: true})},
	{"upstream unsigned", onUpstream, false, 500 * ms, 5 * sec, upstreamFault(fake.Faults{Unsigned: true})},
	{"upstream crashes at calls", onUpstream, false, 200 * ms, 4 * sec, upstreamFault(fake.Faults{Crash: true})},
	{"upstream hangs", onUpstream, false, 500 * ms, 5 * sec, upstreamFault(fake.Faults{Hang: true})},
	{"upstream leaves", onUpstream, false, 3 * sec, 9 * sec, leave},
	{"key withdrawn", onAll, true, 10 * ms, 100 * ms, operators(withdraw)},
	{"route added", onAll, true, 10 * ms, 100 * ms, operators(addRoute)},
	{"weights announced", onAll, true, 10 * ms, 100 * ms, operators(announce)},
}

const (
	ms  = time.Millisecond
	sec = time.Second
)

func nothing() error { return nil }

// ending makes a fault's end of what cannot fail.
func ending(do func()) func() error {
	return func() error {
		do()
		return nil
	}
}

// stall lets a program stand still.
func stall(p *process) func() error {
	p.signal(syscall.SIGSTOP)
	return ending(func() { p.signal(syscall.SIGCONT) })
}

func storeProxy(m mode) func(*edgeSite, int) func() error {
	return func(s *edgeSite, n int) func() error { return s.nodes[n].store.play(m) }
}

func storeFault(f fake.Fault) func(*edgeSite, int) func() error {
	return func(s *edgeSite, _ int) func() error {
		s.Store.SetFault(f)
		return ending(func() { s.Store.SetFault(fake.NoFault) })
	}
}

func upstreamProxy(m mode) func(*edgeSite, int) func() error {
	return func(s *edgeSite, n int) func() error { return s.proxies[s.Upstreams()[n].ID].play(m) }
}

func upstreamFault(f fake.Faults) func(*edgeSite, int) func() error {
	return func(s *edgeSite, n int) func() error {
		u := s.Upstreams()[n]
		u.SetFaults(f)
		return ending(func() { u.SetFaults(fake.Faults{}) })
	}
}

// goneAfter is how long after its notice a leaving upstream leaves the list.
const goneAfter = 1500 * ms

// leave lets an upstream give notice, go and come back as a new incarnation.
func leave(s *edgeSite, n int) func() error {
	u := s.Upstreams()[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving[u.ID] {
		return nothing
	}
	s.leaving[u.ID] = true
	s.Register(u, "draining")
	back := s.Ledger.leave(u.ID, time.Now())
	gone := time.AfterFunc(goneAfter, func() { s.Deregister(u) })
	return ending(func() {
		gone.Stop()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.leaving, u.ID)
		u.Incarnation++
		back(time.Now())
		s.Register(u, "ready")
	})
}

// operators plays what the operators do, which is nothing when the event is empty, and records its acknowledgement.
func operators(do func(s *edgeSite) Event) func(*edgeSite, int) func() error {
	return func(s *edgeSite, _ int) func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if e := do(s); e != (Event{}) {
			e.At = time.Now()
			s.event(e)
		}
		return nothing
	}
}

// withdraw takes the next spare key away.
func withdraw(s *edgeSite) Event {
	if len(s.Keys) <= 2 {
		return Event{}
	}
	key := s.Keys[len(s.Keys)-1]
	s.Keys = s.Keys[:len(s.Keys)-1]
	s.PublishDocument()
	return Event{Key: key}
}

func addRoute(s *edgeSite) Event {
	if s.WithExtra {
		return Event{}
	}
	s.WithExtra = true
	s.PublishDocument()
	return Event{Route: true}
}

func announce(s *edgeSite) Event {
	s.weights++
	s.PublishWeights(s.weights)
	return Event{Weights: s.weights}
}

const (
	// pauseMean is the mean pause between beginnings; faults last some 3 s, so that two or three overlap.
	pauseMean = 1200 * ms
	// seriesPart is the part of faults that come again soon on the same target, up to seriesMost times.
	seriesPart = 0.3
	seriesMost = 3
	seriesGap  = 400 * ms
)

// schedule draws the faults of a run from its seed.
func schedule(faults []trouble, seed uint64, length time.Duration, size Size) []staged[trouble] {
	draw := rand.New(rand.NewPCG(seed, 0))
	targets := map[place]int{onRouter: size.Routers, onUpstream: size.Engines + size.Services}
	var plays []staged[trouble]
	for at := 500 * ms; at < length; at += time.Duration(draw.ExpFloat64() * float64(pauseMean)) {
		f := faults[draw.IntN(len(faults))]
		p := staged[trouble]{Play{Fault: f.name, Target: Everywhere}, f}
		if n := targets[f.where]; n > 0 {
			p.Target = draw.IntN(n)
		}
		times := 1
		if draw.Float64() < seriesPart {
			times = 2 + draw.IntN(seriesMost-1)
		}
		begin := at
		for range times {
			p.At, p.For = begin, f.least+time.Duration(draw.Float64()*float64(f.most-f.least))
			if p.At > length {
				break
			}
			p.For = min(p.For, max(f.least, length-p.At))
			plays = append(plays, p)
			begin += p.For + time.Duration(draw.ExpFloat64()*float64(seriesGap))
		}
	}
	return plays
}

// spell is how a play appears in the ledger.
func spell(p staged[trouble], now time.Time) Spell {
	s := Spell{Fault: p.Fault, Router: p.Target, Planned: p.fault.planned, From: now}
	if p.fault.where == onUpstream {
		s.Router = Nowhere
	}
	return s
}
