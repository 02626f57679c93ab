package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

const (
	drillRounds = 3
	// copyBefore is the time from the copy of the store until the key is taken away, drillAfter that from there until the store is
	// away, for storeAway.
	copyBefore = 500 * time.Millisecond
	drillAfter = 5500 * time.Millisecond
	storeAway  = 300 * time.Millisecond
	// writtenAgain is the time from the store's return until the operator has written its configuration again.
	writtenAgain = 1500 * time.Millisecond
	// callTime is how long the key is used after the store's return, once every callInterval.
	callTime     = 2500 * time.Millisecond
	callInterval = 10 * time.Millisecond
)

// playDrill lets the store come back from a copy that is older than the withdrawal of a key, and kills the routers while it is away.
func playDrill(b *bench) (bool, error) {
	s, err := fake.NewSite(1, 3)
	if err != nil {
		return false, err
	}
	defer s.Close()
	s.Store.SetDelay(storeDelay)
	for i := range 3 {
		if _, err := b.addRouter(fmt.Sprintf("router-%d", i+1), "a", s.StoreAddr); err != nil {
			return false, err
		}
	}
	late := 0
	for round := range drillRounds {
		n, err := b.drill(s, round)
		if err != nil {
			return false, err
		}
		late += n
	}
	return late > 0, nil
}

// drill plays one drill and returns how many requests ran that were sent later than the bound.
func (b *bench) drill(s *fake.Site, round int) (int, error) {
	s.Keys = []string{fake.Key, takenKey}
	s.PublishDocument()
	if err := b.waitReady(); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	saved := s.Store.Copy()
	b.notef("round %d: a copy of the store is made", round)
	time.Sleep(copyBefore)
	s.Keys = []string{fake.Key}
	s.PublishDocument()
	acknowledged := time.Now()
	b.notef("round %d: version %d, without the key, is acknowledged", round, s.Revision)
	time.Sleep(drillAfter)
	if b.trouble {
		again, err := b.restore(s, saved)
		if err != nil {
			return 0, err
		}
		defer again.Stop()
	}
	sent := b.useTakenKey(round)
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

// restore lets the store come back from a copy. All routers are killed while it is away, unless TROUBLE is "drill". The operator writes
// its configuration again when the returned timer ends.
func (b *bench) restore(s *fake.Site, saved fake.Copy) (*time.Timer, error) {
	kill := os.Getenv("TROUBLE") != "drill"
	s.Store.SetFault(fake.Unresponsive)
	b.notef("the store is away")
	for _, r := range b.routers {
		if kill {
			b.signal(r, syscall.SIGKILL)
			<-r.done
		}
	}
	time.Sleep(storeAway)
	s.Store.Restore(saved)
	for _, u := range s.Upstreams() {
		s.Register(u, "ready")
	}
	s.Store.SetFault(fake.NoFault)
	b.notef("the store is back from the copy")
	again := time.AfterFunc(writtenAgain, func() {
		// The same version as before.
		s.Revision -= revisionStep
		s.PublishDocument()
		b.notef("version %d is written again", s.Revision)
	})
	for _, r := range b.routers {
		if !kill {
			break
		}
		if err := b.start(r); err != nil {
			return again, err
		}
	}
	return again, nil
}

// revisionStep is the step between two versions of fake.Site.
const revisionStep = 3

// useTakenKey sends requests with the key and returns when each was sent, by id.
func (b *bench) useTakenKey(round int) map[string]time.Time {
	var mu sync.Mutex
	sent, statuses := make(map[string]time.Time), make(map[int]int)
	var callers sync.WaitGroup
	for i, end := 0, time.Now().Add(callTime); time.Now().Before(end); i++ {
		r := b.routers[i%len(b.routers)]
		id := fmt.Sprintf("after-%d-%d", round, i)
		mu.Lock()
		sent[id] = time.Now()
		mu.Unlock()
		callers.Go(func() {
			ctx, stop := context.WithTimeout(context.Background(), time.Second)
			defer stop()
			// A connection that is refused counts as status 0.
			res, _ := fake.Send(ctx, r.listen, fake.Call{Method: http.MethodGet, Path: fake.LookPath + "x", ID: id, Key: takenKey, Deadline: 1000})
			mu.Lock()
			defer mu.Unlock()
			statuses[res.Status]++
		})
		time.Sleep(callInterval)
	}
	callers.Wait()
	b.notef("round %d: %d requests with the key, statuses %v", round, len(sent), statuses)
	return sent
}
