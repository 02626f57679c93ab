package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/fake/engine"
	"github.com/skylarkquay/skylarkquay/internal/fake/plain"
	"github.com/skylarkquay/skylarkquay/internal/fake/store"
	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
)

// quayFault is one kind of trouble on the product's own interface.
type quayFault struct {
	name string
	// where onUpstream stands for engines.
	where place
	// breakable tells that streams may break because their router dies or stands still.
	breakable bool
	begin     func(q *quaySite, target int) (end func() error)
}

// quayFaults are all kinds. Only the first service is ever killed.
var quayFaults = []quayFault{
	{"router killed", onRouter, true, func(q *quaySite, n int) func() error {
		q.ports[n].kill()
		return q.ports[n].start
	}},
	{"router paused", onRouter, true, func(q *quaySite, n int) func() error { return stall(q.ports[n].process) }},
	{"router stopped", onRouter, false, func(q *quaySite, n int) func() error {
		q.ports[n].signal(syscall.SIGTERM)
		return func() error {
			if err := q.ports[n].wait(stopMost); err != nil {
				return err
			}
			return q.ports[n].start()
		}
	}},
	{"all routers restarted", onAll, true, func(q *quaySite, _ int) func() error {
		for _, p := range q.ports {
			p.kill()
		}
		for _, p := range q.ports {
			if err := p.start(); err != nil {
				return func() error { return err }
			}
		}
		return nothing
	}},
	{"store down", onAll, false, told(store.Faults{Down: true}, storeAt)},
	{"store slow", onAll, false, told(store.Faults{SlowMillis: 400}, storeAt)},
	{"store loses answers", onAll, false, told(store.Faults{LoseEvery: 3}, storeAt)},
	{"engine killed", onUpstream, false, func(q *quaySite, n int) func() error {
		q.engines[n].kill()
		return q.engines[n].start
	}},
	{"engine paused", onUpstream, false, func(q *quaySite, n int) func() error { return stall(q.engines[n]) }},
	{"engine cuts answers", onUpstream, false, told(engine.Faults{CutAfter: 3}, engineAt)},
	{"engine empty", onUpstream, false, told(engine.Faults{NoEvents: true}, engineAt)},
	{"engine crosses answers", onUpstream, false, told(engine.Faults{WrongID: true}, engineAt)},
	{"service loses answers", onAll, false, told(plain.Faults{LoseResponse: true}, serviceAt)},
	{"service killed", onAll, false, func(q *quaySite, _ int) func() error {
		q.services[0].kill()
		return nothing
	}},
	{"operators race", onAll, false, func(q *quaySite, _ int) func() error {
		q.race()
		return nothing
	}},
}

// stopMost bounds a planned stop.
const stopMost = 40 * time.Second

// told puts a stand-in's fault in force and returns what ends it. A stand-in that was killed or paused does not hear it.
func told[F any](f F, at func(q *quaySite, target int) string) func(*quaySite, int) func() error {
	return func(q *quaySite, n int) func() error {
		url := "http://" + at(q, n) + "/faults"
		begun := q.put(url, f)
		return func() error {
			if begun != nil {
				return begun
			}
			var none F
			return q.put(url, none)
		}
	}
}

func storeAt(q *quaySite, _ int) string   { return q.store }
func engineAt(q *quaySite, n int) string  { return q.engineAt[n] }
func serviceAt(q *quaySite, _ int) string { return q.serviceAt[0] }

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
