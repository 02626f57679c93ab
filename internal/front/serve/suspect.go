package serve

import (
	"sync"
	"time"
)

const (
	// suspectTTL is how long a broken request waits for its upstream to be listed as another process. Upstreams that crash are back after
	// some seconds.
	suspectTTL = 8 * time.Second
	// maxSuspects limits the broken requests that wait.
	maxSuspects = 256
)

// suspect is a request that broke off at an upstream that is not known to have ended.
type suspect struct {
	id       string
	upstream string
	born     int64
	parts    []uint64
	names    []string
	sent, at time.Time
}

// suspects are the broken requests whose upstreams may have ended. Its zero value is empty.
type suspects struct {
	mu      sync.Mutex
	waiting []suspect
}

func (s *suspects) add(q suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) < maxSuspects {
		s.waiting = append(s.waiting, q)
	}
}

// take removes and returns the requests whose upstream is known to have ended, and removes those that have waited for suspectTTL.
func (s *suspects) take(now time.Time, ended func(q suspect) bool) []suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var taken, waiting []suspect
	for _, q := range s.waiting {
		switch {
		case ended(q):
			taken = append(taken, q)
		case now.Sub(q.at) < suspectTTL:
			waiting = append(waiting, q)
		}
	}
	s.waiting = waiting
	return taken
}

// ConfirmCrashes counts the crashes of upstreams that are listed as other processes since a request broke off there. It is for sites
// where no connection could show that the upstream had ended.
func (h *Handler) ConfirmCrashes(now time.Time) {
	confirmed := h.suspects.take(now, func(q suspect) bool {
		v, ok := h.Fleet.View(now, q.upstream)
		return ok && v.Born != q.born
	})
	for _, q := range confirmed {
		h.Parts.Crashed(q.at, q.parts, upstreamHash(q.upstream, q.born), q.sent)
		h.Log.Info("crash: upstream is listed as another process since it ran a request", "id", q.id, "upstream", q.upstream, "parts", q.names,
			"age_ms", now.Sub(q.at).Milliseconds())
	}
	if len(confirmed) > 0 {
		h.SendReport()
	}
}
