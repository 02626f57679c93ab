// Package soak runs the routers as separate processes, brings about random faults from outside and judges, by what callers
// and upstreams see, whether the system keeps its promises.
package soak

import (
	"context"
	"errors"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
)

// Settings of a soak.
type Settings struct {
	// Programs is the folder of the programs.
	Programs string
	// Folder gets settings and logs of the run's processes.
	Folder string
	Seed   uint64
	// Length is how long faults begin.
	Length time.Duration
	Size   Size
	// Only names the one kind of fault to play; all are played when it is empty.
	Only string
	Log  logr.Logger
}

const (
	// judgeEvery is the pause between judgements while a run goes on.
	judgeEvery = 2 * time.Second
	// tail is how long calls go on after the recovery bound.
	tail = 2 * time.Second
	// listEvery is how often upstreams renew their entries.
	listEvery = time.Second
)

// Run plays one seed. It ends early when a promise is broken.
func Run(ctx context.Context, set Settings) (Result, error) {
	kinds, err := named(faults, func(t trouble) string { return t.name }, set.Only)
	if err != nil {
		return Result{}, err
	}
	s, err := newEdgeSite(filepath.Join(set.Programs, "skylarkedge"), set.Folder, set.Size, set.Seed)
	if err != nil {
		return Result{}, err
	}
	defer s.close()
	if err := s.await(); err != nil {
		return Result{}, err
	}
	return s.drive(ctx, set, schedule(kinds, set.Seed, set.Length, set.Size))
}

// drive makes calls and plays faults until the end, or until a promise is broken.
func (s *edgeSite) drive(ctx context.Context, set Settings, plays []staged[trouble]) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.Began = time.Now()
	var callers, parts sync.WaitGroup
	for n := range set.Size.Callers {
		callers.Go(func() { newCaller(s, n).run(ctx) })
	}
	parts.Go(func() { every(ctx, askReady, s.balance) })
	parts.Go(func() { every(ctx, listEvery, s.renew) })
	broken := make(chan []Breach, 1)
	parts.Go(func() { s.watch(ctx, broken) })
	over := make(chan struct{})
	go func() {
		defer close(over)
		s.play(ctx, plays, set.Log)
		// The end of the run is the same when the context ends before.
		_ = sleep.For(ctx, bounds.Recovery+tail)
	}()
	var found []Breach
	select {
	case <-over:
	case found = <-broken:
	}
	cancel()
	<-over
	callers.Wait()
	parts.Wait()
	s.Over = time.Now()
	l := s.collect()
	if len(found) == 0 {
		found = Judge(l)
	}
	return result(set, playsOf(plays), l, found), s.failure
}

// every does something again and again until the context ends.
func every(ctx context.Context, gap time.Duration, do func()) {
	for do(); sleep.For(ctx, gap) == nil; do() {
	}
}

// renew writes the entries of all upstreams that are not leaving.
func (s *edgeSite) renew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.Upstreams() {
		if !s.leaving[u.ID] {
			s.Register(u, "ready")
		}
	}
}

// watch judges while the run goes on.
func (s *edgeSite) watch(ctx context.Context, broken chan<- []Breach) {
	for sleep.For(ctx, judgeEvery) == nil {
		if found := Judge(s.collect()); len(found) > 0 {
			broken <- found
			return
		}
	}
}

// play brings the faults about at their times and waits until all have ended.
func (s *edgeSite) play(ctx context.Context, plays []staged[trouble], log logr.Logger) {
	var all sync.WaitGroup
	for _, p := range plays {
		all.Go(func() {
			p.run(ctx, s.Began, log, func() func() error {
				ended := s.begin(spell(p, time.Now()))
				end := p.fault.begin(s, p.Target)
				return func() error {
					err := end()
					ended(time.Now())
					if err != nil {
						s.failed(err)
					}
					return err
				}
			})
		})
	}
	all.Wait()
	s.record(func() { s.Quiet = time.Now() })
}

// failed notes that the soak itself could not do something.
func (s *edgeSite) failed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = errors.Join(s.failure, err)
}
