package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

const (
	// heartbeat is the time between two writes of a runner's entry.
	heartbeat = 1200 * time.Millisecond
	// forgedAfter is the time from a runner's own write to that of another writer.
	forgedAfter = 600 * time.Millisecond
	// bookings are sent one after the other, bookingGap apart.
	bookings   = 1200
	bookingGap = 10 * time.Millisecond
)

// forgery is an entry of another writer: one that is sound but for one field.
type forgery struct {
	name   string
	change func(entry map[string]any)
}

// forgeries have a field missing or of another type. PROTOCOL.md names these fields of an entry.
var forgeries = []forgery{
	{"without Version", func(e map[string]any) { delete(e, "Version") }},
	{"with a number as Version", func(e map[string]any) { e["Version"] = 7 }},
	{"without ColdRemainingMs", func(e map[string]any) { delete(e, "ColdRemainingMs") }},
	{"without Sequence", func(e map[string]any) { delete(e, "Sequence") }},
	{"with a text as Sequence", func(e map[string]any) { e["Sequence"] = "x" }},
}

// playForged lets another writer write entries that name an engine as a runner of the booking service.
func playForged(b *bench) (bool, error) {
	s, err := fake.NewSite(2, 3)
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
	if err := b.waitReady(); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	var writers sync.WaitGroup
	writers.Go(func() { b.writeEntries(ctx, s) })
	statuses := make(map[int]int)
	for i := range bookings {
		r := b.routers[i%len(b.routers)]
		id := fmt.Sprintf("booking-%d", i)
		res, err := fake.Send(ctx, r.listen, fake.Call{Method: http.MethodPost, Path: fake.BookPath + "x", ID: id, Key: fake.Key, Body: "{}", Deadline: 1500})
		if err != nil {
			stop()
			writers.Wait()
			return false, fmt.Errorf("%s: %w", id, err)
		}
		statuses[res.Status]++
		b.notef("%s sent to %s, answered with %d by %q", id, r.name, res.Status, res.Header.Get(fake.HeaderSignature))
		time.Sleep(bookingGap)
	}
	stop()
	writers.Wait()
	wrong := 0
	for _, u := range s.Engines {
		for _, run := range u.Runs() {
			wrong++
			b.noteAt(run.At, "BROKEN: %s, which is no runner of the booking service, runs %s %s", u.ID, run.ID, run.Path)
		}
	}
	b.notef("%d bookings answered by status: %v; %d ran at engines", bookings, statuses, wrong)
	return wrong > 0, nil
}

// writeEntries writes the entries of all runners in turn, and after that one of another writer under the name of an engine.
func (b *bench) writeEntries(ctx context.Context, s *fake.Site) {
	engine := s.Engines[0]
	for i := 0; ctx.Err() == nil; i++ {
		for _, u := range s.Upstreams() {
			s.Register(u, "ready")
		}
		sleepFor(ctx, forgedAfter)
		if b.trouble {
			f := forgeries[i%len(forgeries)]
			entry := maps.Clone(engine.Entry("jobs", s.Address(engine), "a", "ready"))
			f.change(entry)
			text, err := json.Marshal(entry)
			if err != nil {
				panic(err)
			}
			s.CorruptEntry(engine.ID, string(text))
			b.notef("another writer writes servers/%s, %s: %s", engine.ID, f.name, text)
		}
		sleepFor(ctx, heartbeat-forgedAfter)
	}
}

// sleepFor sleeps until the time has passed or the context ends.
func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
