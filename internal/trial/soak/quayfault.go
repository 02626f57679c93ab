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

// quayFault is one kind of fault on a quaySite.
type quayFault struct {
	name string
	// scope is onUpstream for engines.
	scope scope
	// breaksStreams reports whether streams may be cut because their router is killed or paused.
	breaksStreams bool
	inject        func(q *quaySite, target int) (remove func() error)
}

// quayFaults never kill a service other than the first.
var quayFaults = []quayFault{
	{"router killed", onRouter, true, func(q *quaySite, n int) func() error {
		q.routers[n].kill()
		return q.routers[n].start
	}},
	{"router paused", onRouter, true, func(q *quaySite, n int) func() error { return pauseProcess(q.routers[n].process) }},
	{"router stopped", onRouter, false, func(q *quaySite, n int) func() error {
		q.routers[n].signal(syscall.SIGTERM)
		return func() error {
			if err := q.routers[n].wait(stopTimeout); err != nil {
				return err
			}
			return q.routers[n].start()
		}
	}},
	{"all routers restarted", onAll, true, func(q *quaySite, _ int) func() error {
		for _, r := range q.routers {
			r.kill()
		}
		for _, r := range q.routers {
			if err := r.start(); err != nil {
				return func() error { return err }
			}
		}
		return noop
	}},
	{"store down", onAll, false, putFault(store.Faults{Down: true}, storeAddr)},
	{"store slow", onAll, false, putFault(store.Faults{SlowMillis: 400}, storeAddr)},
	{"store loses answers", onAll, false, putFault(store.Faults{LoseEvery: 3}, storeAddr)},
	{"engine killed", onUpstream, false, func(q *quaySite, n int) func() error {
		q.engines[n].kill()
		return q.engines[n].start
	}},
	{"engine paused", onUpstream, false, func(q *quaySite, n int) func() error { return pauseProcess(q.engines[n]) }},
	{"engine cuts answers", onUpstream, false, putFault(engine.Faults{CutAfter: 3}, engineAddr)},
	{"engine empty", onUpstream, false, putFault(engine.Faults{NoEvents: true}, engineAddr)},
	{"engine crosses answers", onUpstream, false, putFault(engine.Faults{WrongID: true}, engineAddr)},
	{"service loses answers", onAll, false, putFault(plain.Faults{LoseResponse: true}, serviceAddr)},
	{"service killed", onAll, false, func(q *quaySite, _ int) func() error {
		q.services[0].kill()
		return noop
	}},
	{"operators race", onAll, false, func(q *quaySite, _ int) func() error {
		q.raceEdits()
		return noop
	}},
}

const stopTimeout = 40 * time.Second

// putFault sets a fault of a stand-in over HTTP and returns the function that clears it. It fails if the stand-in is killed
// or paused.
func putFault[F any](f F, addr func(q *quaySite, target int) string) func(*quaySite, int) func() error {
	return func(q *quaySite, n int) func() error {
		url := "http://" + addr(q, n) + "/faults"
		setErr := q.put(url, f)
		return func() error {
			if setErr != nil {
				return setErr
			}
			var none F
			return q.put(url, none)
		}
	}
}

func storeAddr(q *quaySite, _ int) string   { return q.storeAddr }
func engineAddr(q *quaySite, n int) string  { return q.engineAddrs[n] }
func serviceAddr(q *quaySite, _ int) string { return q.serviceAddrs[0] }

// raceEdits edits two sections through all routers concurrently.
func (q *quaySite) raceEdits() {
	var wg sync.WaitGroup
	for i := range q.routers {
		wg.Go(func() {
			for n := range 10 {
				section, text := "models", fmt.Sprintf("quotes: {weights: v1}\nm%d-%d: {weights: v1}\n", i, n)
				if n%2 == 1 {
					section, text = "site", fmt.Sprintf("policy: {placers: 1, token_micros: %d}\n", 5+i)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				got, err := q.operator(i).Fetch(ctx, &wire.FetchRequest{Section: section})
				if err == nil {
					// An edit that loses the race is rejected, which is the purpose of this fault.
					_, _ = q.operator(i).Apply(ctx, &wire.ApplyRequest{
						Section: section, Text: text, Base: got.Revision, Edit: fmt.Sprintf("race-%d-%d-%d", i, n, time.Now().UnixNano()), Operator: fmt.Sprint(i),
					})
				}
				cancel()
			}
		})
	}
	wg.Wait()
}
