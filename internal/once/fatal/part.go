package fatal

import (
	"slices"
	"time"
)

// partCrash is the end of an upstream while it ran a request with a part.
type partCrash struct {
	// upstream identifies the upstream's incarnation.
	upstream uint64
	// sent is when the request was sent.
	sent time.Time
	at   time.Time
}

// soundness is what is known of requests with a part that crashed nothing.
type soundness struct {
	// survived is when an upstream last outlived a request with the part.
	survived time.Time
	// began is when an upstream last went on with its answer to a request with the part after it had begun it. Most requests that crash
	// upstreams do so before.
	began time.Time
}

// latest returns the later of the two times.
func (s soundness) latest() time.Time {
	if s.began.After(s.survived) {
		return s.began
	}
	return s.survived
}

// part holds what is known of requests with one prompt part.
type part struct {
	soundness
	id uint64
	// position is the part's place in the prompts that it was in; later parts are more specific.
	position int
	// crashes are in order of time.
	crashes []partCrash
	// blockedAt is when requests with the part began to be refused; zero while they are not.
	blockedAt time.Time
	// retriedAt is when the last block was over. Another one needs a later crash.
	retriedAt time.Time
	// kept reports whether the block comes from an earlier run, whose crashes are no longer known. Others are the parts that might have
	// caused them as well.
	kept   bool
	others []uint64
	// triedAt is when a request was last let through to find out whether the part is blocked in place of another one.
	triedAt time.Time
}

// add adds a crash. Several requests may break off with one crash, and others fail that are sent until it is known. The upstream may
// start again before the list shows its new incarnation.
func (p *part) add(c partCrash) {
	if p.includes(c) {
		return
	}
	p.crashes = append(p.crashes, c)
	slices.SortFunc(p.crashes, func(a, b partCrash) int { return a.at.Compare(b.at) })
	if len(p.crashes) > maxPartCrashes {
		p.trim()
	}
}

// trim removes the latest crash that is not part of the chain, or else the first crash.
func (p *part) trim() {
	chain := p.chain()
	for i := len(p.crashes) - 1; i >= 0; i-- {
		if !slices.Contains(chain, p.crashes[i]) {
			p.crashes = slices.Delete(p.crashes, i, i+1)
			return
		}
	}
	p.crashes = p.crashes[1:]
}

// lastCrash returns the time of the latest crash.
func (p *part) lastCrash() time.Time {
	if len(p.crashes) == 0 {
		return time.Time{}
	}
	return p.crashes[len(p.crashes)-1].at
}

// chain returns the crashes since a request last survived that did not hit requests at the same time: each request was sent after
// the crash before. Crashes at the same time may have a common cause.
func (p *part) chain() []partCrash {
	return p.chainOf(func(partCrash) bool { return true })
}

// chainOf is chain for the included crashes.
func (p *part) chainOf(included func(c partCrash) bool) []partCrash {
	var chain []partCrash
	for _, c := range p.crashes {
		if c.at.After(p.survived) && included(c) && (len(chain) == 0 || c.sent.After(chain[len(chain)-1].at)) {
			chain = append(chain, c)
		}
	}
	return chain
}

// limit returns the weight from which requests with a part are refused. A part that is known from sound requests needs twice the
// crashes: popular parts are in all crashes together with the one that causes them.
func (p *part) limit() int {
	if p.latest().IsZero() {
		return minPartCrashes * singleWeight
	}
	return 2 * minPartCrashes * singleWeight
}

// includes reports whether one of the part's crashes is the same as that of another part.
func (p *part) includes(c partCrash) bool {
	return slices.ContainsFunc(p.crashes, func(o partCrash) bool { return o.same(c) })
}

// same reports whether two requests broke off with the same crash.
func (c partCrash) same(o partCrash) bool {
	return c.upstream == o.upstream && c.at.Sub(o.at).Abs() < minRestartTime
}

// keep blocks a part without its crashes, unless a request has survived since or the time is over. Others are the parts that might have
// caused them as well.
func (p *part) keep(now, since time.Time, others []uint64) {
	if since.After(p.survived) && p.blockedAt.IsZero() && now.Sub(since) <= blockTTL {
		p.blockedAt, p.kept, p.others = since, true, others
	}
}

// unblock ends the block of a part.
func (p *part) unblock() { p.blockedAt, p.kept, p.others = time.Time{}, false, nil }

// moreSuspect reports whether a part is more likely to have caused the crashes of both than another one: the one that has gone without a
// sound request for longer, or else the more specific one.
func (p *part) moreSuspect(o *part) bool {
	a, b := p.latest(), o.latest()
	if a.IsZero() != b.IsZero() {
		return a.IsZero()
	}
	if d := b.Sub(a); d.Abs() > reportTolerance {
		return d > 0
	}
	if p.position != o.position {
		return p.position > o.position
	}
	return p.id < o.id
}

// shares reports whether two parts have a crash in common.
func (p *part) shares(o *part) bool { return slices.ContainsFunc(p.crashes, o.includes) }
