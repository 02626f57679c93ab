package shift

import (
	"math"
	"time"
)

// step is what the evidence allows to send.
type step struct {
	share   float64
	spread  int
	pulse   float64       // share of Load; 0 if the trial itself loads an upstream, or the bounds don't allow it
	reserve time.Duration // before the deadline, when Full begins
	fits    bool          // whatever comes until the deadline stays within the bounds
}

// plan divides the exposure that the bounds allow between the trial and the last step.
func (r Record) plan(now time.Duration, e Evidence, b Bounds) step {
	elapsed := max((now - ms(r.Started)).Seconds(), 0.1)
	left := max((ms(r.Deadline) - now).Seconds(), 0)
	arrived, exposed := float64(e.Arrived), float64(e.Exposed)
	rate := arrived / elapsed
	recent := rate
	if age := now - ms(r.Changed); age >= lag {
		recent = float64(max(e.Arrived-r.Arrived, 0)) / age.Seconds()
	}
	all := b.Share*(arrived+ratePart*min(rate, recent)*left) + slackPart*b.Slack
	p := step{reserve: reserve + max(e.Lasting, lasting), fits: elapsed >= known.Seconds() && exposed+2*rate*left <= b.Share*arrived+slackPart*b.Slack}
	if room := time.Duration(roomPart * (all - exposed) / max(rate, 0.01) * float64(time.Second)); room > p.reserve {
		p.reserve = min(room, p.reserve+2*time.Second)
	}
	trialAll := max(all-max(rate, recent)*p.reserve.Seconds(), min(trialPart*all, trialEnough))
	if exposed >= min(b.Share*arrived+restPart*b.Slack, trialAll+overspent) {
		return p
	}
	spend := trialAll - exposed
	trial := max(left-p.reserve.Seconds(), 0.5)
	coming := max(recent*trial, 0.01)
	p.share = min(max(spend/coming, leastShare), largestShare)
	if most := min(pulseOver/float64(max(e.OldUpstreams, 1)), pulseMax); !r.Loaded && most > p.share {
		if cost := most * recent * (pulse + settle/2).Seconds(); cost <= pulsePart*trialAll && exposed+cost <= trialAll+overspent {
			p.pulse = most
			p.share = min(max((spend-cost)/coming, leastShare), largestShare)
		}
	}
	if r.Share > 0 && r.Stage != Load && r.Stage != Alone {
		p.share = min(p.share, 3*r.Share)
	}
	if arrived == 0 {
		p.share = min(firstShare, b.Share)
	}
	if most := b.Share*arrived + restPart*b.Slack - exposed; p.share > b.Share && p.share*rate*2*lag.Seconds() > most {
		p.share = b.Share / 2
	}
	// No upstream carries much more than an old one, and each gets enough requests not to stay cold.
	load := p.share * float64(max(e.OldUpstreams, 1))
	p.spread = max(1, min(int(math.Ceil(load)), int(trialAll/eachAnswers)))
	if r.Stage != Probe && r.Spread > 0 {
		p.spread = r.Spread
	}
	p.share = min(p.share, pulseOver*float64(p.spread)/float64(max(e.OldUpstreams, 1)))
	if p.spread >= e.NewUpstreams {
		p.spread = 0
	}
	return p
}
