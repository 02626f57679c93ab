package escrow

import (
	"sort"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/limit/share"
)

// guess is what this instance believes of a share held elsewhere.
type guess struct {
	level float64
	at    time.Time
	// downUntil is when a holder that did not answer is asked again.
	downUntil time.Time
}

// candidate is a share held elsewhere.
type candidate struct {
	key     share.Key
	address string
	level   float64
}

// survey is what this instance believes of a workspace's reachable shares.
type survey struct {
	// level is the sum of their tokens.
	level float64
	// rate is the sum of their rates, in tokens per second.
	rate   float64
	others []candidate
}

// refillTime estimates how long the reachable shares take to refill what is missing.
func (s survey) refillTime(missing float64) time.Duration {
	if s.rate <= 0 {
		return quarantine
	}
	seconds := missing / s.rate * (1 + headroom)
	return max(shortest, time.Duration(seconds*float64(time.Second)))
}

// survey sums up the own shares and what is believed of the others.
func (l *Limiter) survey(now time.Time, workspace string, whole share.Budget) survey {
	homes := l.homesOf(workspace)
	var s survey
	for i, p := range homes {
		part := whole.Split(len(homes), i)
		k := share.Key{Workspace: workspace, Partition: p}
		if h, own := l.leases.Get(now, p); own {
			s.rate += part.Rate
			s.level += float64(l.book.Level(now, k, tenureOf(h), part))
			continue
		}
		address := l.peers.Holder(now, p)
		if address == "" {
			continue
		}
		level, up := l.guessLevel(now, k, part)
		if up {
			s.rate += part.Rate
			s.level += level
			s.others = append(s.others, candidate{key: k, address: address, level: level})
		}
	}
	sort.SliceStable(s.others, func(i, j int) bool { return s.others[i].level > s.others[j].level })
	return s
}

// guessLevel estimates a share held elsewhere; an unknown one is believed to be full.
func (l *Limiter) guessLevel(now time.Time, k share.Key, part share.Part) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, ok := l.guesses[k]
	if !ok {
		return float64(part.Burst), true
	}
	if now.Before(g.downUntil) {
		return 0, false
	}
	return min(float64(part.Burst), g.level+now.Sub(g.at).Seconds()*part.Rate), true
}

func (l *Limiter) learn(now time.Time, k share.Key, left int64, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := guess{level: float64(left), at: now}
	if !answered {
		g.downUntil = now.Add(quarantine)
	}
	l.guesses[k] = g
}
