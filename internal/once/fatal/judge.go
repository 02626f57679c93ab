package fatal

import (
	"slices"
	"time"
)

// weight returns the weight of a part's crashes and the time of the first one.
func (tr *PartTracker) weight(p *part) (sum int, first time.Time) {
	chain := p.chain()
	for _, c := range chain {
		if tr.isOutage(p, c.at) {
			sum += outageWeight
		} else {
			sum += singleWeight
		}
	}
	if len(chain) > 0 {
		first = chain[0].at
	}
	return sum, first
}

// interval returns the interval of endCounts that a time is in.
func (tr *PartTracker) interval(at time.Time) time.Duration {
	return at.Sub(tr.base).Truncate(outageTime)
}

// isOutage reports whether several upstreams ended at about that time, most of them without a request with the part.
func (tr *PartTracker) isOutage(p *part, at time.Time) bool {
	i := tr.interval(at)
	others := tr.endCounts[i-outageTime] + tr.endCounts[i] + tr.endCounts[i+outageTime]
	for _, c := range p.crashes {
		if d := tr.interval(c.at) - i; d.Abs() <= outageTime {
			others--
		}
	}
	return others >= minOutageUpstreams-1
}

// update sets blockedAt as of now.
func (tr *PartTracker) update(now time.Time, p *part) {
	limit := p.limit()
	sum, first := tr.weight(p)
	switch {
	case !p.blockedAt.IsZero() && (p.survived.After(p.blockedAt) || !p.kept && sum < limit):
		// What has become known since may be older than the block.
		p.blockedAt, p.kept = time.Time{}, false
	case !p.blockedAt.IsZero() && now.Sub(p.blockedAt) > blockTTL:
		p.blockedAt, p.kept, p.retriedAt = time.Time{}, false, now
	case p.blockedAt.IsZero() && sum >= limit && now.Sub(first) >= tr.settle && !p.lastCrash().Before(p.retriedAt):
		p.blockedAt = now
		tr.explain(p)
	}
}

// explain removes the crashes that a blocked part explains from the other parts.
func (tr *PartTracker) explain(blocked *part) {
	for _, p := range tr.parts {
		if p.blockedAt.IsZero() {
			p.crashes = slices.DeleteFunc(p.crashes, blocked.includes)
		}
	}
}

// add records a crash of a part.
func (tr *PartTracker) add(p *part, c partCrash) {
	p.add(c)
	if last, ok := tr.ends[c.upstream]; ok {
		if c.at.Sub(last) < minRestartTime {
			return
		}
		tr.removeEnd(last)
	}
	if tr.base.IsZero() {
		// Earlier times would share the interval around zero with later ones.
		tr.base = c.at.Add(-partTTL)
	}
	tr.ends[c.upstream] = c.at
	tr.endCounts[tr.interval(c.at)]++
}

func (tr *PartTracker) removeEnd(end time.Time) {
	i := tr.interval(end)
	if tr.endCounts[i]--; tr.endCounts[i] <= 0 {
		delete(tr.endCounts, i)
	}
}
