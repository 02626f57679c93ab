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

// part holds what is known of requests with one prompt part.
type part struct {
	// crashes are in order of time.
	crashes []partCrash
	// survived is when an upstream last outlived a request with the part.
	survived time.Time
	// blockedAt is when requests with the part began to be refused; zero while they are not.
	blockedAt time.Time
	// retriedAt is when the last block was over. Another one needs a later crash.
	retriedAt time.Time
	// kept reports whether the block comes from an earlier run, whose crashes are no longer known.
	kept bool
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
	var chain []partCrash
	for _, c := range p.crashes {
		if c.at.After(p.survived) && (len(chain) == 0 || c.sent.After(chain[len(chain)-1].at)) {
			chain = append(chain, c)
		}
	}
	return chain
}

// limit returns the weight from which requests with a part are refused. A part whose requests have survived needs twice the
// crashes: popular parts are in all crashes together with the one that causes them.
func (p *part) limit() int {
	if p.survived.IsZero() {
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

// keep blocks a part without its crashes, unless a request has survived since or the time is over.
func (p *part) keep(now, since time.Time) {
	if since.After(p.survived) && p.blockedAt.IsZero() && now.Sub(since) <= blockTTL {
		p.blockedAt, p.kept = since, true
	}
}
