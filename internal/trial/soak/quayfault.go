package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
	"github.com/skylarkquay/skylarkquay/internal/stand/engine"
	"github.com/skylarkquay/skylarkquay/internal/stand/plain"
	"github.com/skylarkquay/skylarkquay/internal/stand/store"
)

// quayFault is one kind of trouble on the product's own interface.
type quayFault struct {
	name    string
	targets func(Size) int
	// breakable tells that streams may break because their router dies or stands still.
	breakable bool
	begin     func(q *quaySite, target int) (end func() error)
}

// quayPlay is one fault of a run.
type quayPlay struct {
	Play
	fault quayFault
}

func routersOf(s Size) int { return s.Routers }
func enginesOf(s Size) int { return s.Engines }
func one(Size) int         { return 1 }

func done() error { return nil }

// quayFaults are all kinds. Only the first service is ever killed.
var quayFaults = []quayFault{
	{"router killed", routersOf, true, func(q *quaySite, n int) func() error {
		q.ports[n].kill()
		return q.ports[n].start
	}},
	{"router paused", routersOf, true, func(q *quaySite, n int) func() error { return pause(q.ports[n].process) }},
	{"router stopped", routersOf, false, func(q *quaySite, n int) func() error {
		q.ports[n].signal(syscall.SIGTERM)
		return func() error {
			if err := q.ports[n].wait(stopMost); err != nil {
				return err
			}
			return q.ports[n].start()
		}
	}},
	{"all routers restarted", one, true, func(q *quaySite, _ int) func() error {
		for _, p := range q.ports {
			p.kill()
		}
		for _, p := range q.ports {
			if err := p.start(); err != nil {
				return func() error { return err }
			}
		}
		return done
	}},
	{"store down", one, false, quayStore(store.Faults{Down: true})},
	{"store slow", one, false, quayStore(store.Faults{SlowMillis: 400})},
	{"store loses answers", one, false, quayStore(store.Faults{LoseEvery: 3})},
	{"engine killed", enginesOf, false, func(q *quaySite, n int) func() error {
		q.engines[n].kill()
		return q.engines[n].start
	}},
	{"engine paused", enginesOf, false, func(q *quaySite, n int) func() error { return pause(q.engines[n]) }},
	{"engine cuts answers", enginesOf, false, quayEngine(engine.Faults{CutAfter: 3})},
	{"engine empty", enginesOf, false, quayEngine(engine.Faults{Empty: true})},
	{"engine crosses answers", enginesOf, false, quayEngine(engine.Faults{Cross: true})},
	{"service loses answers", one, false, func(q *quaySite, _ int) func() error {
		at := "http://" + q.serviceAt[0] + "/faults"
		begun := q.put(at, plain.Faults{LoseAnswer: true})
		return func() error {
			if begun != nil {
				return begun
			}
			return q.put(at, plain.Faults{})
		}
	}},
	{"service killed", one, false, func(q *quaySite, _ int) func() error {
		q.services[0].kill()
		return done
	}},
	{"operators race", one, false, func(q *quaySite, _ int) func() error {
		q.race()
		return done
	}},
}

// stopMost bounds a planned stop.
const stopMost = 40 * time.Second

func pause(p *process) func() error {
	p.signal(syscall.SIGSTOP)
	return func() error {
		p.signal(syscall.SIGCONT)
		return nil
	}
}

func quayStore(f store.Faults) func(*quaySite, int) func() error {
	return func(q *quaySite, _ int) func() error {
		at := "http://" + q.store + "/faults"
		begun := q.put(at, f)
		return func() error {
			if begun != nil {
				return begun
			}
			return q.put(at, store.Faults{})
		}
	}
}

func quayEngine(f engine.Faults) func(*quaySite, int) func() error {
	return func(q *quaySite, n int) func() error {
		at := "http://" + q.engineAt[n] + "/faults"
		begun := q.put(at, f)
		return func() error {
			if begun != nil {
				// The engine was killed or paused meanwhile.
				return begun
			}
			return q.put(at, engine.Faults{})
		}
	}
}

// race edits two sections through all routers at once.
func (q *quaySite) race() {
	var all sync.WaitGroup
	for i := range q.ports {
		all.Go(func() {
			for n := range 10 {
				section, text := "models", fmt.Sprintf("quotes: {weights: v1}\nm%d-%d: {weights: v1}\n", i, n)
				if n%2 == 1 {
					section, text = "site", fmt.Sprintf("policy: {placers: 1, token_micros: %d}\n", 5+i)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				got, err := q.operator(i).Fetch(ctx, &wire.FetchRequest{Section: section})
				if err == nil {
					// An edit that loses the race is refused, which is what is played here.
					_, _ = q.operator(i).Apply(ctx, &wire.ApplyRequest{
						Section: section, Text: text, Base: got.Revision, Edit: fmt.Sprintf("race-%d-%d-%d", i, n, time.Now().UnixNano()), Operator: fmt.Sprint(i),
					})
				}
				cancel()
			}
		})
	}
	all.Wait()
}
