package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// firstPart begins all prompts, badPart is the part that crashes engines, and a part that begins with soundPart stands in its place in
	// sound prompts.
	firstPart = "aa01"
	badPart   = "dead01"
	soundPart = "bb0"
	// allowedRequests is the bound of the rule on requests with the part.
	allowedRequests = 3
	// minCompared is the least number of sound requests that the rule compares.
	minCompared = 20
)

// engineRoute returns a route of streams.
func engineRoute(name, prefix string, attempts int, resumable bool) map[string]any {
	r := route(name, prefix, "streaming", "writers", attempts)
	r["TimeoutMs"], r["TargetLatencyMs"], r["TargetGapMs"] = 15000, 1000, 400
	r["StickySessions"], r["Resumable"] = true, resumable
	return r
}

// prompts sends requests with and without the part that crashes engines, and tracks what they did.
type prompts struct {
	site *site
	wg   sync.WaitGroup
	mu   sync.Mutex
	// sentTo is the router of each client attempt.
	sentTo  map[string]*router
	crashes []time.Time
	// late holds the client attempts with the part that the rule counts.
	late map[string]bool
	// sound are the sound requests.
	sound []*soundRequest
}

// soundRequest is a request without the part.
type soundRequest struct {
	sent time.Time
	// ran reports whether an engine began to run it, whole whether the client got its whole answer.
	ran, whole bool
}

// newPrompts starts engines, with that time between two events of a stream, that crash when they begin to write an answer on the part, if
// there is trouble.
func newPrompts(s *site, engines int, eventTime time.Duration, trouble bool) (*prompts, error) {
	p := &prompts{site: s, sentTo: make(map[string]*router), late: make(map[string]bool)}
	for i := range engines {
		u, err := s.addServer("writers", fmt.Sprintf("engine%d", i), eventTime)
		if err != nil {
			return nil, err
		}
		u.engine, u.onArrival = true, p.arrived
		if trouble {
			u.crashes = hasBadPart
		}
		if err := u.start(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func hasBadPart(r *http.Request) bool {
	return strings.Contains(r.Header.Get("X-Prompt-Prefix"), badPart+":")
}

// arrived records that a request reached an engine.
func (p *prompts) arrived(now time.Time, u *server, id string, r *http.Request) {
	if !hasBadPart(r) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	from := p.sentTo[id]
	counted := len(p.crashes) >= 5 && now.Sub(p.crashes[4]) > contactTimeout && from.inTouch(now)
	if counted {
		p.late[id] = true
	}
	if u.crashes != nil {
		p.crashes = append(p.crashes, now)
	}
	p.site.record.add("request %s with part %s reaches engine %s from %s; crash %d; counted by the rule: %t", id, badPart, u.id, from.name, len(p.crashes), counted)
}

// send sends one request with a second part to a router.
func (p *prompts) send(r *router, part string) {
	id := p.site.newID()
	q := &soundRequest{sent: time.Now()}
	p.mu.Lock()
	p.sentTo[id] = r
	if part != badPart {
		p.sound = append(p.sound, q)
	}
	p.mu.Unlock()
	p.wg.Go(func() {
		a := p.site.sendWith(r, "POST", "/brief/query/", id, "notes "+id, 6*time.Second, map[string]string{
			"X-Model": model, "X-Token-Usage": "1460,80", "X-Prompt-Prefix": firstPart + ":800," + part + ":410," + id + ":250",
		})
		whole := a.status == 200 && a.whole && strings.Contains(a.body, fmt.Sprintf("id: %d\n", streamEvents))
		p.mu.Lock()
		defer p.mu.Unlock()
		q.ran, q.whole = a.status == 200 || a.status == 502, whole
		if !whole {
			p.site.record.add("request %s with part %s got no whole answer", id, part)
		}
	})
}

// come sends sound requests, with that many different second parts, and ones with the part that crashes engines to a router for a time.
// With bad zero, all are sound.
func (p *prompts) come(r *router, d, sound, bad time.Duration, parts int) {
	lastBad := time.Time{}
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(sound) {
		part := fmt.Sprintf("%s%d", soundPart, n%parts)
		if bad > 0 && time.Since(lastBad) >= bad {
			part, lastBad = badPart, time.Now()
		}
		p.send(r, part)
		n++
	}
	p.wg.Wait()
}

// quiet: few requests come, all from one client and so to one machine. Now and then one has the part that crashes engines.
func quiet(s *site, trouble bool) (bool, error) {
	p, err := newPrompts(s, 3, 350*time.Millisecond, trouble)
	if err != nil {
		return false, err
	}
	if err := s.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(contactTimeout + time.Second)
	p.come(s.routers[0], 92*time.Second, 500*time.Millisecond, 6*time.Second, 8)
	p.mu.Lock()
	defer p.mu.Unlock()
	whole := 0
	for _, q := range p.sound {
		if q.whole {
			whole++
		}
	}
	s.record.add("%d crashes; %d requests with the part reached engines later than %s after the fifth crash (allowed: %d); %d of %d sound requests got a whole answer",
		len(p.crashes), len(p.late), contactTimeout, allowedRequests, whole, len(p.sound))
	return len(p.late) <= allowedRequests, nil
}

// blame: the machines are stopped and started in turn; after that requests of one client come, some of them with the part.
func blame(s *site, trouble bool) (bool, error) {
	p, err := newPrompts(s, 6, 150*time.Millisecond, trouble)
	if err != nil {
		return false, err
	}
	if err := s.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(contactTimeout + time.Second)
	p.come(s.routers[0], 15*time.Second, 250*time.Millisecond, 0, 1)
	for _, r := range s.routers {
		if err := r.restart(); err != nil {
			return false, err
		}
	}
	time.Sleep(contactTimeout + time.Second)
	began := time.Now()
	p.come(s.routers[0], 40*time.Second, 250*time.Millisecond, time.Second, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := min(5, len(p.crashes)); n > 0 {
		began = p.crashes[n-1]
	}
	calm, calmRan, late, lateRan := 0, 0, 0, 0
	for _, q := range p.sound {
		switch {
		case len(p.crashes) == 0 || q.sent.Before(p.crashes[0]):
			calm++
			if q.ran {
				calmRan++
			}
		case q.sent.Sub(began) > 2*contactTimeout:
			late++
			if q.ran {
				lateRan++
			}
		}
	}
	s.record.add("%d crashes; sound requests begun at the first attempt: %d of %d before, %d of %d later than %s after crash %d",
		len(p.crashes), calmRan, calm, lateRan, late, 2*contactTimeout, min(5, len(p.crashes)))
	if len(p.crashes) == 0 {
		return calmRan == calm, nil
	}
	return late < minCompared || calm < minCompared || 2*lateRan*calm >= calmRan*late, nil
}
