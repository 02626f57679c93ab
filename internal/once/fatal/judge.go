package fatal

import (
	"slices"
	"time"
)

// weight returns the weight of a part's crashes and the time of the first one. Crashes that another part explains have none.
func (tr *PartTracker) weight(p *part) (sum int, first time.Time) {
	chain := p.chainOf(func(c partCrash) bool { return !tr.isExplained(p, c) })
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

// isExplained reports whether a more suspect part that is refused was in a crash, too.
func (tr *PartTracker) isExplained(p *part, c partCrash) bool {
	for _, b := range tr.blocked {
		if b != p && b.moreSuspect(p) && b.includes(c) {
			return true
		}
	}
	return false
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
		p.unblock()
	case !p.blockedAt.IsZero() && now.Sub(p.blockedAt) > blockTTL:
		p.unblock()
		p.retriedAt = now
	case p.blockedAt.IsZero() && sum >= limit && now.Sub(first) >= tr.settle && !p.lastCrash().Before(p.retriedAt):
		tr.block(now, p)
	}
	tr.note(p)
}

// note keeps the set of blocked parts in step with a part.
func (tr *PartTracker) note(p *part) {
	if p.blockedAt.IsZero() {
		delete(tr.blocked, p.id)
	} else {
		tr.blocked[p.id] = p
	}
}

// block blocks a part that has reached its limit, unless a more suspect one that has reached its own explains enough of its crashes.
func (tr *PartTracker) block(now time.Time, p *part) {
	suspect := p
	for _, q := range tr.parts {
		if q.blockedAt.IsZero() && q.shares(p) && q.moreSuspect(suspect) {
			if sum, _ := tr.weight(q); sum >= q.limit() && !q.lastCrash().Before(q.retriedAt) {
				suspect = q
			}
		}
	}
	suspect.blockedAt = now
	tr.note(suspect)
	if suspect == p {
		return
	}
	if sum, _ := tr.weight(p); sum >= p.limit() {
		p.blockedAt = now
	}
}

// alternatives returns the parts that may have caused the crashes of a blocked part as well: they were in all of them, and in no sound
// request since.
func (tr *PartTracker) alternatives(p *part) []uint64 {
	if p.kept {
		if p.lastCrash().After(p.blockedAt) {
			return nil
		}
		return p.others
	}
	chain := p.chain()
	if len(chain) == 0 {
		return nil
	}
	var others []uint64
	for id, q := range tr.parts {
		if q != p && !q.latest().After(chain[0].at) && !slices.ContainsFunc(chain, func(c partCrash) bool { return !q.includes(c) }) {
			others = append(others, id)
		}
	}
	slices.Sort(others)
	return others
}

// mayTry reports whether a request with the parts, of which one is refused, may be let through: if others might have caused the crashes and
// are not in the request, it shows which part did. It costs one upstream at most, since its crash has none of the others in it.
func (tr *PartTracker) mayTry(now time.Time, p *part, parts []uint64) bool {
	if now.Sub(p.triedAt) < trialInterval {
		return false
	}
	others := tr.alternatives(p)
	return len(others) > 0 && !slices.ContainsFunc(parts, func(id uint64) bool { return slices.Contains(others, id) })
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
