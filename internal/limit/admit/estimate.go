package admit

import (
	"sort"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/limit/share"
)

// estimate is the last known level of a remote share.
type estimate struct {
	level float64
	at    time.Time
	// quarantinedUntil is set after the holder did not answer, or no longer held the share.
	quarantinedUntil time.Time
}

// remoteShare is a share held by another instance.
type remoteShare struct {
	key     share.Key
	address string
	level   float64
}

// summary is the estimated state of a workspace's reachable shares.
type summary struct {
	// level is the sum of their tokens.
	level float64
	// rate is the sum of their rates, in tokens per second.
	rate float64
	// remote is sorted by level, highest first.
	remote []remoteShare
}

// refillTime estimates how long the reachable shares take to refill the missing tokens.
func (s summary) refillTime(missing float64) time.Duration {
	if s.rate <= 0 {
		return quarantine
	}
	seconds := missing / s.rate * (1 + refillMargin)
	return max(minWait, time.Duration(seconds*float64(time.Second)))
}

// summarize adds up the local shares and the estimates of the remote ones.
func (l *Limiter) summarize(now time.Time, workspace string, limit share.Limit) summary {
	partitions := l.partitionsOf(workspace)
	var s summary
	for i, p := range partitions {
		part := limit.Split(len(partitions), i)
		k := share.Key{Workspace: workspace, Partition: p}
		if h, local := l.leases.Get(now, p); local {
			s.rate += part.Rate
			s.level += float64(l.buckets.Level(now, k, leaseOf(h), part))
			continue
		}
		address := l.peers.Holder(now, p)
		if address == "" {
			continue
		}
		level, available := l.estimateLevel(now, k, part)
		if available {
			s.rate += part.Rate
			s.level += level
			s.remote = append(s.remote, remoteShare{key: k, address: address, level: level})
		}
	}
	sort.SliceStable(s.remote, func(i, j int) bool { return s.remote[i].level > s.remote[j].level })
	return s
}

// estimateLevel estimates a remote share, or returns false in quarantine. An unknown share is assumed full.
func (l *Limiter) estimateLevel(now time.Time, k share.Key, part share.Part) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.estimates[k]
	if !ok {
		return float64(part.Burst), true
	}
	if now.Before(e.quarantinedUntil) {
		return 0, false
	}
	return min(float64(part.Burst), e.level+now.Sub(e.at).Seconds()*part.Rate), true
}

// updateEstimate records the level that a share's holder returned, or quarantines an unavailable share.
func (l *Limiter) updateEstimate(now time.Time, k share.Key, left int64, available bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := estimate{level: float64(left), at: now}
	if !available {
		e.quarantinedUntil = now.Add(quarantine)
	}
	l.estimates[k] = e
}
