// Package soak runs routers as separate processes, injects random faults from outside and checks, by what callers and
// upstreams observe, whether the system keeps its promises.
package soak

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
)

// Settings are the parameters of one run.
type Settings struct {
	// Programs is the folder of the executables.
	Programs string
	// Earlier is the router of an earlier build, which all routers run until they are started again; empty for none.
	Earlier string
	// Folder receives the settings and logs of the processes.
	Folder string
	Seed   uint64
	// Length is the time during which faults are started.
	Length time.Duration
	Size   Size
	// OnlyFault names the only faults to inject, separated by commas; all are injected if it is empty.
	OnlyFault string
	Log       logr.Logger
}

const (
	// checkInterval is the pause between checks during a run.
	checkInterval = 2 * time.Second
	// extraCallTime is how long calls continue after the recovery bound.
	extraCallTime = 2 * time.Second
	// listInterval is how often upstreams renew their entries.
	listInterval = time.Second
)

// RunEdge runs one seed on the platform's interface. It ends early if a promise is violated.
func RunEdge(ctx context.Context, settings Settings) (Result, error) {
	kinds, err := selectFaults(edgeFaults, func(f edgeFault) string { return f.name }, settings.OnlyFault)
	if err != nil {
		return Result{}, err
	}
	s, err := newEdgeSite(settings)
	if err != nil {
		return Result{}, err
	}
	defer s.close()
	if err := s.waitReady(); err != nil {
		return Result{}, err
	}
	return s.run(ctx, settings, schedule(kinds, settings.Seed, settings.Length, settings.Size))
}

// run makes calls and injects faults until the end of the run or the first violation.
func (s *edgeSite) run(ctx context.Context, settings Settings, injections []scheduled[edgeFault]) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.CallsStarted = time.Now()
	var callers, background sync.WaitGroup
	for n := range settings.Size.Callers {
		callers.Go(func() { newCaller(s, n).run(ctx) })
	}
	background.Go(func() { runEvery(ctx, readyPollInterval, s.pollReadiness) })
	background.Go(func() { runEvery(ctx, listInterval, s.renewEntries) })
	violated := make(chan []Violation, 1)
	background.Go(func() { s.checkWhileRunning(ctx, violated) })
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		s.injectFaults(ctx, injections, settings.Log)
		// If the context ends earlier, the run ends in the same way.
		_ = sleep.For(ctx, bounds.Recovery+extraCallTime)
	}()
	var violations []Violation
	select {
	case <-finished:
	case violations = <-violated:
	}
	cancel()
	<-finished
	callers.Wait()
	background.Wait()
	s.CallsEnded = time.Now()
	h := s.collect()
	if len(violations) == 0 {
		violations = Check(h)
	}
	return newResult(settings, injectionsOf(injections), h, violations), s.injectErr
}

// runEvery calls do at once and then after every gap until the context ends.
func runEvery(ctx context.Context, gap time.Duration, do func()) {
	for do(); sleep.For(ctx, gap) == nil; do() {
	}
}

// renewEntries writes the entries of all upstreams that are not draining.
func (s *edgeSite) renewEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.Upstreams() {
		if !s.draining[u.ID] {
			s.Register(u, "ready")
		}
	}
}

// checkWhileRunning sends the first violations found during the run.
func (s *edgeSite) checkWhileRunning(ctx context.Context, violated chan<- []Violation) {
	for sleep.For(ctx, checkInterval) == nil {
		if violations := Check(s.collect()); len(violations) > 0 {
			violated <- violations
			return
		}
	}
}

// injectFaults injects the faults at their times and waits until all are removed.
func (s *edgeSite) injectFaults(ctx context.Context, injections []scheduled[edgeFault], log logr.Logger) {
	var wg sync.WaitGroup
	for _, p := range injections {
		wg.Go(func() {
			p.run(ctx, s.CallsStarted, log, func() func() error {
				recordEnd := s.recordFault(newFaultPeriod(p, time.Now()))
				remove := p.fault.inject(s, p.Target)
				return func() error {
					err := remove()
					recordEnd(time.Now())
					if err != nil {
						s.recordError(err)
					}
					return err
				}
			})
		})
	}
	wg.Wait()
	s.update(func() { s.FaultsEnded = time.Now() })
}

// recordError records that a fault could not be removed.
func (s *edgeSite) recordError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injectErr = errors.Join(s.injectErr, err)
}
