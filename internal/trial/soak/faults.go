package soak

import (
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/platform/stand"
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
	begin func(s *edgeSite, target int) (end func())
}

// faults are all kinds.
var faults = []trouble{
	{"router killed", onRouter, false, 50 * ms, 4 * sec, func(s *edgeSite, n int) func() {
		s.nodes[n].kill()
		return s.restart(n)
	}},
	{"router paused", onRouter, false, 100 * ms, 7 * sec, func(s *edgeSite, n int) func() {
		s.nodes[n].signal(syscall.SIGSTOP)
		return func() { s.nodes[n].signal(syscall.SIGCONT) }
	}},
	{"router stopped", onRouter, true, grace, grace + 2*sec, func(s *edgeSite, n int) func() {
		s.nodes[n].signal(syscall.SIGTERM)
		return func() {
			s.nodes[n].kill()
			s.restart(n)()
		}
	}},
	{"settings read again", onRouter, true, 10 * ms, 100 * ms, func(s *edgeSite, n int) func() {
		s.nodes[n].signal(syscall.SIGHUP)
		return nothing
	}},
	{"all routers killed", onAll, false, 10 * ms, sec, func(s *edgeSite, _ int) func() {
		for _, n := range s.nodes {
			n.kill()
		}
		return func() {
			for n := range s.nodes {
				s.restart(n)()
			}
		}
	}},
	{"store slow for a router", onRouter, false, sec, 6 * sec, storeProxy(slow)},
	{"store resets a router", onRouter, false, 100 * ms, 6 * sec, storeProxy(reset)},
	{"store hears no router", onRouter, false, sec, 6 * sec, storeProxy(cutThere)},
	{"store unheard by a router", onRouter, false, sec, 6 * sec, storeProxy(cutBack)},
	{"store silent to a router", onRouter, false, sec, 8 * sec, storeProxy(silent)},
	{"store busy", onAll, false, 200 * ms, 7 * sec, storeFault(stand.Busy)},
	{"store silent", onAll, false, 200 * ms, 7 * sec, storeFault(stand.Silent)},
	{"store loses answers", onAll, false, 200 * ms, 5 * sec, storeFault(stand.LoseAnswers)},
	{"store drops its history", onAll, false, 10 * ms, 100 * ms, func(s *edgeSite, _ int) func() {
		s.Store.Compact()
		return nothing
	}},
	{"upstream slow", onUpstream, false, sec, 5 * sec, upstreamProxy(slow)},
	{"upstream resets", onUpstream, false, 100 * ms, 4 * sec, upstreamProxy(reset)},
	{"upstream hears nothing", onUpstream, false, sec, 5 * sec, upstreamProxy(cutThere)},
	{"upstream unheard", onUpstream, false, sec, 5 * sec, upstreamProxy(cutBack)},
	{"upstream silent", onUpstream, false, sec, 6 * sec, upstreamProxy(silent)},
	{"upstream cuts answers", onUpstream, false, 500 * ms, 5 * sec, upstreamFault(stand.Faults{CutAfter: 5})},
	{"upstream declines", onUpstream, false, 500 * ms, 5 * sec, upstreamFault(stand.Faults{Shed: true})},
	{"upstream fails", onUpstream, false, 500 * ms, 5 * sec, upstreamFault(stand.Faults{Fail: true})},
	{"upstream unsigned", onUpstream, false, 500 * ms, 5 * sec, upstreamFault(stand.Faults{Unsigned: true})},
	{"upstream crashes at calls", onUpstream, false, 200 * ms, 4 * sec, upstreamFault(stand.Faults{Crash: true})},
	{"upstream hangs", onUpstream, false, 500 * ms, 5 * sec, upstreamFault(stand.Faults{Hang: true})},
	{"upstream leaves", onUpstream, false, 3 * sec, 9 * sec, leave},
	{"key withdrawn", onAll, true, 10 * ms, 100 * ms, withdraw},
	{"route added", onAll, true, 10 * ms, 100 * ms, addRoute},
	{"weights announced", onAll, true, 10 * ms, 100 * ms, announce},
}

const (
	ms  = time.Millisecond
	sec = time.Second
)

func nothing() {}

func (s *edgeSite) restart(n int) func() {
	return func() {
		if err := s.nodes[n].start(); err != nil {
			s.failed(err)
		}
	}
}

func storeProxy(m mode) func(*edgeSite, int) func() {
	return func(s *edgeSite, n int) func() {
		s.nodes[n].store.set(m)
		return func() { s.nodes[n].store.set(sound) }
	}
}

func storeFault(f stand.Fault) func(*edgeSite, int) func() {
	return func(s *edgeSite, _ int) func() {
		s.Store.Set(f)
		return func() { s.Store.Set(stand.Sound) }
	}
}

func upstreamProxy(m mode) func(*edgeSite, int) func() {
	return func(s *edgeSite, n int) func() {
		p := s.proxies[s.upstreams()[n].ID]
		p.set(m)
		return func() { p.set(sound) }
	}
}

func upstreamFault(f stand.Faults) func(*edgeSite, int) func() {
	return func(s *edgeSite, n int) func() {
		u := s.upstreams()[n]
		u.Set(f)
		return func() { u.Set(stand.Faults{}) }
	}
}

// goneAfter is how long after its notice a leaving upstream leaves the list.
const goneAfter = 1500 * ms

// leave lets an upstream give notice, go and come back as a new incarnation.
func leave(s *edgeSite, n int) func() {
	u := s.upstreams()[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving[u.ID] {
		return nothing
	}
	s.leaving[u.ID] = true
	s.List(u, "draining")
	s.left(u.ID, time.Now())
	gone := time.AfterFunc(goneAfter, func() { s.Unlist(u) })
	return func() {
		gone.Stop()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.leaving, u.ID)
		u.Born++
		s.back(u.ID, time.Now())
		s.List(u, "ready")
	}
}

// withdraw takes the next spare key away.
func withdraw(s *edgeSite, _ int) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.Keys) <= 2 {
		return nothing
	}
	key := s.Keys[len(s.Keys)-1]
	s.Keys = s.Keys[:len(s.Keys)-1]
	s.Publish()
	s.event(Event{At: time.Now(), Key: key})
	return nothing
}

func addRoute(s *edgeSite, _ int) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.HasExtra {
		return nothing
	}
	s.HasExtra = true
	s.Publish()
	s.event(Event{At: time.Now(), Route: true})
	return nothing
}

func announce(s *edgeSite, _ int) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weights++
	s.Announce(s.weights)
	s.event(Event{At: time.Now(), Weights: s.weights})
	return nothing
}

// Play is one fault of a run.
type Play struct {
	Fault  string        `json:"fault"`
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Target int           `json:"target"`
	fault  trouble
}

const (
	// pauseMean is the mean pause between beginnings; faults last some 3 s, so that two or three overlap.
	pauseMean = 1200 * ms
	// seriesPart is the part of faults that come again soon on the same target, up to seriesMost times.
	seriesPart = 0.3
	seriesMost = 3
	seriesGap  = 400 * ms
)

// named returns the faults of one name, all when it is empty.
func named[F any](all []F, name func(F) string, only string) ([]F, error) {
	if only == "" {
		return all, nil
	}
	names := make([]string, 0, len(all))
	for _, f := range all {
		if name(f) == only {
			return []F{f}, nil
		}
		names = append(names, name(f))
	}
	return nil, oops.Errorf("unknown fault %q; there are: %s", only, strings.Join(names, ", "))
}

// schedule draws the faults of a run from its seed.
func schedule(faults []trouble, seed uint64, length time.Duration, size Size) []Play {
	draw := rand.New(rand.NewPCG(seed, 0))
	var plays []Play
	for at := 500 * ms; at < length; at += time.Duration(draw.ExpFloat64() * float64(pauseMean)) {
		f := faults[draw.IntN(len(faults))]
		p := Play{Fault: f.name, fault: f, Target: Everywhere}
		switch f.where {
		case onRouter:
			p.Target = draw.IntN(size.Routers)
		case onUpstream:
			p.Target = draw.IntN(size.Engines + size.Services)
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
func (p Play) spell(now time.Time) Spell {
	s := Spell{Fault: p.Fault, Router: p.Target, Planned: p.fault.planned, From: now}
	if p.fault.where == onUpstream {
		s.Router = Nowhere
	}
	return s
}
