package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a server began to work on.
type run struct {
	at     time.Time
	id     string
	path   string
	server string
	// done reports whether the work was finished.
	done bool
}

// server is a plain server.
type server struct {
	site    *site
	service string
	address string
	zone    string
	work    time.Duration
	// engine reports whether the server is a model engine, which answers with streams.
	engine bool
	// crashes reports whether a request crashes the server that begins to run it; nil for none.
	crashes func(r *http.Request) bool
	// onArrival is called for each request that arrives; nil if nobody wants to know.
	onArrival func(now time.Time, u *server, id string, r *http.Request)

	mu     sync.Mutex
	id     string
	born   int64
	up     bool
	http   *http.Server
	runs   []*run
	listed bool
	// beating ends the heartbeats of the present process when it is closed.
	beating  chan struct{}
	sequence int64
	ended    bool
}

// backAfter is how long a crashed server is away.
const backAfter = 2 * time.Second

// newServer starts a server and lists it.
func (s *site) newServer(service, name string, work time.Duration) (*server, error) {
	u, err := s.addServer(service, name, work)
	if err != nil {
		return nil, err
	}
	return u, u.start()
}

// addServer returns a server that has not started.
func (s *site) addServer(service, name string, work time.Duration) (*server, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	u := &server{site: s, service: service, address: address, zone: "konya-b", work: work, id: "i-" + s.prefix + name}
	s.mu.Lock()
	s.servers = append(s.servers, u)
	s.mu.Unlock()
	return u, nil
}

// start starts the process and its heartbeats.
func (u *server) start() error {
	l, err := net.Listen("tcp4", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.up, u.born, u.listed, u.beating = true, time.Now().UnixMilli(), true, make(chan struct{})
	u.http = &http.Server{Handler: u.handler(u.id)}
	server := u.http
	go func() {
		// It ends when the process ends.
		_ = server.Serve(l)
	}()
	u.register("ready")
	go u.beat(u.beating)
	u.site.record.add("server %s runs at %s", u.id, u.address)
	return nil
}

// beat registers the server until the process ends.
func (u *server) beat(ended chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		u.mu.Lock()
		if u.up && u.listed && u.beating == ended {
			u.register("ready")
		}
		u.mu.Unlock()
	}
}

// register writes the entry. The caller holds the lock.
func (u *server) register(state string) {
	u.sequence++
	entry := map[string]any{
		"Service": u.service, "Address": u.address, "Zone": u.zone, "Version": "v1", "Slots": 6, "State": state, "ColdRemainingMs": 0,
		"Sequence": u.sequence, "born": u.born,
	}
	if u.engine {
		entry["Slots"] = 64
		entry["Models"] = []map[string]any{{"Name": model, "Version": 1, "Adapters": []string{}}}
	}
	u.site.store.Put("servers", u.id, entry)
}

// leave removes the entry, as servers do that never report that they drain.
func (u *server) leave() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.listed = false
	u.site.store.Delete("servers", u.id)
	now := time.Now()
	u.site.record.add("server %s leaves: its entry is removed, the store has acknowledged it", u.id)
	return now
}

// end ends the process for good.
func (u *server) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	u.stop()
}

// stop ends the process. The caller holds the lock.
func (u *server) stop() {
	if !u.up {
		return
	}
	u.up = false
	close(u.beating)
	// All connections end with the process.
	_ = u.http.Close()
}

// crash ends the process. Another one with a new identifier starts at the same address after some seconds; the old entry is removed after
// three heartbeat intervals.
func (u *server) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.up {
		return
	}
	old := u.id
	u.stop()
	u.site.record.add("server %s crashes", old)
	time.AfterFunc(3*heartbeat, func() { u.site.store.Delete("servers", old) })
	time.AfterFunc(backAfter, func() {
		u.mu.Lock()
		ended := u.ended
		u.id = fmt.Sprintf("%s-%d", old, time.Now().UnixMilli()%100000)
		u.mu.Unlock()
		if ended {
			return
		}
		if err := u.start(); err != nil {
			u.site.record.add("server %s does not start: %s", old, err)
		}
	})
}

// alive reports whether the process with an identifier runs.
func (u *server) alive(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.up && u.id == id
}

func (u *server) handler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("X-Attempt-Identifier")
		if want := r.Header.Get("X-Expected-Instance"); want != "" && want != id {
			w.Header().Set("X-Instance-Identifier", id)
			w.Header().Set("X-Attempt-Identifier", attempt)
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		now := time.Now()
		u.site.record.add("ran %s at server %s", attempt, id)
		if u.onArrival != nil {
			u.onArrival(now, u, attempt, r)
		}
		e := &run{at: now, id: attempt, path: r.URL.Path, server: id}
		u.mu.Lock()
		u.runs = append(u.runs, e)
		u.mu.Unlock()
		if u.crashes != nil && u.crashes(r) {
			if u.engine {
				u.head(w, id, attempt)
			}
			time.Sleep(20 * time.Millisecond)
			u.crash()
			panic(http.ErrAbortHandler)
		}
		if u.engine {
			u.stream(w, r, id, attempt, e)
			return
		}
		select {
		case <-time.After(u.work):
		case <-r.Context().Done():
		}
		if !u.alive(id) {
			panic(http.ErrAbortHandler)
		}
		u.mu.Lock()
		e.done = true
		u.mu.Unlock()
		w.Header().Set("X-Attempt-Identifier", attempt)
		w.Header().Set("X-Server-Signature", "3e1b."+id+"."+attempt)
		_, _ = io.WriteString(w, "done "+attempt+"\n")
	})
}

// head begins a stream.
func (u *server) head(w http.ResponseWriter, id, attempt string) {
	w.Header().Set("X-Attempt-Identifier", attempt)
	w.Header().Set("X-Server-Signature", "3e1b."+id+"."+attempt)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	// The caller may have gone.
	_ = http.NewResponseController(w).Flush()
}

// streamEvents is the number of events of a stream.
const streamEvents = 6

// stream answers with a stream.
func (u *server) stream(w http.ResponseWriter, r *http.Request, id, attempt string, e *run) {
	from := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		// A text that is no number counts as none.
		_, _ = fmt.Sscan(last, &from)
	}
	u.head(w, id, attempt)
	for i := from + 1; i <= streamEvents; i++ {
		select {
		case <-time.After(u.work):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if !u.alive(id) {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
	u.mu.Lock()
	e.done = true
	u.mu.Unlock()
}

// allRuns returns what the server has begun to run.
func (u *server) allRuns() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	all := make([]run, len(u.runs))
	for i, r := range u.runs {
		all[i] = *r
	}
	return all
}
