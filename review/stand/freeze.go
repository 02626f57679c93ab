package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

const (
	// takenKey is the key that the operators take away.
	takenKey = "key-that-is-taken-away"
	// freezeTime is how long the router stands still; days of vbpfans have up to 6.2 s.
	freezeTime = 6 * time.Second
	// revokeAfter is the time from the start of the freeze until the key is taken away. The follower's request to the store, which
	// the store holds for 600 ms, has been answered by then, without news.
	revokeAfter = 700 * time.Millisecond
	// freezeRounds is how often it does, and takenCallers how many callers of the key have a connection open.
	freezeRounds = 12
	takenCallers = 200
	// callGap is the time between the first requests of two callers after the freeze.
	callGap = 150 * time.Microsecond
)

// playFreeze freezes the router that follows the operators' rows. Meanwhile a key is taken away, and its callers go on using it.
func playFreeze(b *bench) (bool, error) {
	s, err := fake.NewSite(1, 3)
	if err != nil {
		return false, err
	}
	defer s.Close()
	// The sheets say: 4 ms an answer.
	s.Store.SetDelay(storeDelay)
	for i := range 3 {
		if _, err := b.addRouter(fmt.Sprintf("router-%d", i+1), "a", s.StoreAddr); err != nil {
			return false, err
		}
	}
	if err := b.waitReady(); err != nil {
		return false, err
	}
	// Of equal machines, the one with the lowest address follows the operators' rows for all.
	follower := slices.MinFunc(b.routers, func(a, c *router) int { return strings.Compare(a.peer, c.peer) })
	broken := false
	for round := range freezeRounds {
		late, err := freezeRound(b, s, follower, round)
		if err != nil {
			return false, err
		}
		broken = broken || late > 0
	}
	return broken, nil
}

// freezeRound plays one freeze and returns how many requests ran that were sent later than the bound.
func freezeRound(b *bench, s *fake.Site, follower *router, round int) (int, error) {
	ctx := context.Background()
	s.Keys = []string{fake.Key, takenKey}
	s.PublishDocument()
	// The phase between the follower's requests to the store, of 600 ms each, and the freeze differs by round.
	time.Sleep(300*time.Millisecond + time.Duration(round)*41*time.Millisecond)
	conns := make([]*fake.Conn, takenCallers)
	for i := range conns {
		var err error
		if conns[i], err = fake.Dial(ctx, follower.listen); err != nil {
			return 0, err
		}
		defer conns[i].Close()
		id := fmt.Sprintf("before-%d-%d", round, i)
		res, _, open, err := conns[i].Send(ctx, fake.Call{Method: http.MethodGet, Path: fake.LookPath + "x", ID: id, Key: takenKey, Deadline: 2000})
		if err != nil || !open || res.Status != http.StatusOK {
			return 0, fmt.Errorf("%s: status %d, %w", id, res.Status, err)
		}
	}
	if b.trouble {
		b.signal(follower, syscall.SIGSTOP)
	}
	frozen := time.Now()
	time.Sleep(revokeAfter)
	s.Keys = []string{fake.Key}
	s.PublishDocument()
	acknowledged := time.Now()
	b.notef("round %d: version %d, without the key, is acknowledged", round, s.Revision)
	time.Sleep(time.Until(frozen.Add(freezeTime)))
	if b.trouble {
		b.signal(follower, syscall.SIGCONT)
	}
	thawed := time.Now()
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	statuses := make(map[int]int)
	var callers sync.WaitGroup
	for i, c := range conns {
		callers.Go(func() {
			time.Sleep(time.Until(thawed.Add(time.Duration(i) * callGap)))
			id := fmt.Sprintf("after-%d-%d", round, i)
			mu.Lock()
			sent[id] = time.Now()
			mu.Unlock()
			callCtx, stop := context.WithTimeout(ctx, time.Second)
			defer stop()
			res, _, _, err := c.Send(callCtx, fake.Call{Method: http.MethodGet, Path: fake.LookPath + "x", ID: id, Key: takenKey, Deadline: 1000})
			if err != nil {
				res.Status = 0
			}
			if res.Status == http.StatusOK {
				b.notef("%s is answered with %d by %q", id, res.Status, res.Header.Get(fake.HeaderSignature))
			}
			mu.Lock()
			statuses[res.Status]++
			mu.Unlock()
		})
	}
	callers.Wait()
	b.notef("round %d: %d requests with the key, statuses %v", round, len(sent), statuses)
	late := 0
	for _, u := range s.Upstreams() {
		for _, run := range u.Runs() {
			at, ok := sent[run.ID]
			if !ok || at.Sub(acknowledged) <= revocation {
				continue
			}
			late++
			b.noteAt(run.At, "BROKEN: %s runs %s of %s, sent %.3f s after the key was taken away", u.ID, run.ID, run.Workspace, at.Sub(acknowledged).Seconds())
		}
	}
	return late, nil
}
