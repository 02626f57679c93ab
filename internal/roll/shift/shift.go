// Package shift moves a service's traffic to another build of its upstreams, and back if that build is worse.
package shift

import (
	"fmt"
	"slices"
	"time"
)

// Phase is how far an order has come.
type Phase string

// Phases; the last two are verdicts and are never left.
const (
	Running    Phase = "running"
	Completed  Phase = "completed"
	RolledBack Phase = "rolled_back"
)

// Stage is what a running order is at.
type Stage string

// Stages of a running order.
const (
	Probe Stage = "probe" // a small share while the new upstreams are cold: only failures are judged
	Trial Stage = "trial" // the same share, failures and times are judged
	Load  Stage = "load"  // for a moment one new upstream carries what an old one does
	Alone Stage = "alone" // no old upstream is left
	Full  Stage = "full"  // all requests go to the new build; completed once nothing runs on the old ones
)

// Order is what the operators want.
type Order struct {
	Service, To string
	Duration    time.Duration
	Row         int64 // version of the operators' row, identifies the order within an epoch
	Epoch       int64 // of the store
}

// Record is what the store keeps of an order. The holder of the lease writes it on condition of its version.
// Times are milliseconds of the store's clock.
type Record struct {
	Service  string           `json:"service"`
	To       string           `json:"to"`
	Row      int64            `json:"row"`
	Epoch    int64            `json:"epoch,omitempty"`
	Phase    Phase            `json:"phase"`
	Stage    Stage            `json:"stage,omitempty"`
	Step     int64            `json:"step"`             // rises with each change; what an instance acknowledges
	Share    float64          `json:"share"`            // of the service's requests that go to To
	Spread   int              `json:"spread,omitempty"` // so many upstreams of To, the first by address, get them; 0: all
	Started  int64            `json:"started"`
	Deadline int64            `json:"deadline"`
	Changed  int64            `json:"changed"`
	Token    int64            `json:"token"`            // of the lease under which it was written
	Old      []string         `json:"old,omitempty"`    // builds that To replaces
	Drop     []string         `json:"drop,omitempty"`   // builds of earlier orders that ended early: nothing is sent there
	Proven   bool             `json:"proven,omitempty"` // To served before the order and isn't judged
	Loaded   bool             `json:"loaded,omitempty"` // the stage Load is over
	Bad      int64            `json:"bad,omitempty"`    // bad answers of To when it was written
	Arrived  int64            `json:"arrived,omitempty"`
	Exposed  int64            `json:"exposed,omitempty"`
	OldBase  map[string]Tally `json:"oldBase,omitempty"` // by route, when the stage began
	NewBase  map[string]Tally `json:"newBase,omitempty"`
	Before   map[string]Past  `json:"before,omitempty"` // by route, the stages before
	Reason   string           `json:"reason,omitempty"`
}

// Evidence is what all instances have counted since the order.
type Evidence struct {
	Old, New                   map[string]Tally // by route
	Arrived, Exposed           int64            // requests of the service; those sent to To
	OldUpstreams, NewUpstreams int              // ready
	OldRunning, NewRunning     int              // in flight anywhere, as of the acknowledgements or later
	Unacknowledged             int              // live instances that haven't confirmed the current Step in the last AckAge
	Unsettled                  bool             // the store or the list of upstreams isn't current
	Lasting                    time.Duration    // how long nearly all requests of the service run; 0: unknown
}

// Bounds are what a bad build may do. With no Share, defaultShare holds.
type Bounds struct {
	Share    float64       // of all requests between order and deadline
	Slack    float64       // requests beyond Share
	Rollback time.Duration // from the 50th bad answer to the last request; no step reads it: Fresh and Hold are shorter
}

const (
	// AckAge is how old an acknowledgement may be that counts.
	AckAge = time.Second

	defaultShare = 0.1
	slackPart    = 0.8  // of the slack that a plan may spend; the rest is for what is under way
	restPart     = 0.5  // of the slack that the stages before Full may spend
	trialPart    = 0.4  // of all exposure, for the stages before Full at least
	trialEnough  = 55   // requests, for the stages before Full: the slack pays the trial, the share the last second
	pulsePart    = 0.6  // of that, for Load
	overspent    = 10   // requests beyond that, by chance
	ratePart     = 0.8  // of the rate so far that is counted on until the deadline
	largestShare = 0.5  // before Full
	firstShare   = 0.02 // while the rate is unknown
	leastShare   = 0.01

	lag       = time.Second             // from an answer to a roll-back that holds everywhere
	cold      = 1500 * time.Millisecond // of new upstreams that get their first requests
	known     = 3 * time.Second         // after the order, few requests are few and not merely unreported
	pulse     = 400 * time.Millisecond  // how long Load lasts
	pulseMax  = 0.4                     // largest share of Load
	pulseOver = 1.0                     // times what an old upstream carries, at most
	round     = 4 * time.Second         // of the trial, then its counts begin anew
	reserve   = 650 * time.Millisecond  // for acknowledgements and the verdict, beside what runs
	roomPart  = 0.85                    // of what is left, for Full
	final     = 400 * time.Millisecond  // before the deadline, when Full may end: until then there is a way back
	hasty     = 150 * time.Millisecond  // the same where few answers of Full are known
	ending    = 800 * time.Millisecond  // before the deadline no Full begins any more
	settle    = 300 * time.Millisecond  // from a step to counts that belong to it
	lasting   = 350 * time.Millisecond  // what runs, at least
)

// Begin starts an order: nothing is sent to To before Next has seen upstreams of it.
func Begin(now time.Duration, o Order, old []string, b Bounds, token int64) Record {
	r := Record{
		Service: o.Service, To: o.To, Row: o.Row, Epoch: o.Epoch, Phase: Running, Stage: Probe, Step: 1,
		Started: now.Milliseconds(), Deadline: (now + o.Duration).Milliseconds(), Changed: now.Milliseconds(),
		Token: token, Old: slices.DeleteFunc(slices.Clone(old), func(s string) bool { return s == o.To }), Reason: "ordered",
	}
	if len(old) > 0 && len(r.Old) == 0 {
		r.Proven, r.Stage, r.Share = true, Full, 1
	}
	return r
}

// Replace is the record for an order that comes upon an earlier record of the service; false if nothing is to be written.
// The first is the newest record that is known, from the store or from memory: a store that lost a verdict gets it again.
func Replace(now time.Duration, r Record, o Order, b Bounds, token int64) (Record, bool) {
	if o.Epoch == r.Epoch && o.Row == r.Row || o.Epoch < r.Epoch || o.Epoch == r.Epoch && o.Row < r.Row {
		return r, false
	}
	if o.Epoch > r.Epoch && o.To == r.To {
		// The order of before, from a copy of the store.
		r.Epoch, r.Row, r.Token = o.Epoch, o.Row, token
		return r.change(now, "restored"), true
	}
	if o.To == r.To && r.Phase == Running {
		// Ordered again: what was seen counts on, the new deadline holds.
		r.Row, r.Token, r.Deadline = o.Row, token, (now + o.Duration).Milliseconds()
		return r.change(now, "ordered again"), true
	}
	serving, left := r.Old, r.To
	if r.Phase == Completed {
		serving, left = []string{r.To}, ""
	}
	next := Begin(now, o, serving, b, token)
	next.Step = r.Step + 1
	if slices.Contains(serving, o.To) {
		// Back to the build that serves.
		next.Proven, next.Stage, next.Share = true, Full, 1
	}
	for _, build := range append(slices.Clone(r.Drop), left) {
		if build != "" && build != o.To && !slices.Contains(next.Drop, build) && !slices.Contains(next.Old, build) {
			next.Drop = append(next.Drop, build)
		}
	}
	if len(next.Drop) > largestDrop {
		next.Drop = next.Drop[len(next.Drop)-largestDrop:]
	}
	return next, true
}

const largestDrop = 8

// Next is the record after the evidence, and why; it is the same, with no reason, unless something is to be written.
// The caller sets the token of its lease.
func Next(now time.Duration, r Record, e Evidence, b Bounds) (Record, string) {
	if r.Phase != Running {
		return r, ""
	}
	if b.Share == 0 {
		b.Share = defaultShare
	}
	next, reason := r.next(now, e, b)
	if reason == "" {
		return r, ""
	}
	next.Bad, next.Arrived, next.Exposed = total(e.New).Bad, e.Arrived, e.Exposed
	return next.change(now, reason), reason
}

func (r Record) next(now time.Duration, e Evidence, b Bounds) (Record, string) {
	if route, why := r.worse(now, e); why != "" && !r.Proven {
		return r.end(RolledBack), fmt.Sprintf("%s: route %s", why, route)
	}
	if e.Unsettled {
		return r, ""
	}
	left := ms(r.Deadline) - now
	switch {
	case r.Stage == Full:
		return r.finish(now, e, left)
	case e.OldUpstreams == 0 && e.NewUpstreams > 0:
		return r.alone(now, e, left)
	case e.NewUpstreams == 0:
		return r.without(left)
	case r.Stage == Alone:
		return r.begin(now, Trial, r.plan(now, e, b), e), "old upstreams are back"
	}
	p := r.plan(now, e, b)
	if left <= p.reserve {
		if r.good(now, e, left, p) {
			return r.begin(now, Full, step{share: 1}, e), "no worse than the old build"
		}
		if left <= ending {
			if r.doubtful(now, e) {
				return r.end(RolledBack), "in doubt"
			}
			return r.end(RolledBack), "too few answers to judge"
		}
	}
	if p.share == 0 && r.Share > 0 {
		p.spread = r.Spread
		return r.begin(now, r.Stage, p, e), "exposure is used up"
	}
	if r.Share == 0 && p.share > 0 && (e.Exposed == 0 || now-ms(r.Changed) >= lag) {
		return r.begin(now, r.Stage, p, e), "share"
	}
	age := now - ms(r.Changed)
	switch {
	case r.Share == 0:
		return r, ""
	case r.Stage == Probe && age >= cold && r.warm(e):
		p.share, p.spread = r.Share, r.Spread
		return r.begin(now, Trial, p, e), "warm"
	case r.Stage == Probe && age >= cold && p.share > 1.5*r.Share:
		return r.begin(now, Probe, p, e), "few requests"
	case r.Stage == Load && age >= pulse:
		r.Loaded = true
		return r.begin(now, Trial, step{share: min(p.share, r.Share), spread: 1}, e), "load is over"
	case r.Stage != Trial || r.doubtful(now, e):
		return r, ""
	case !r.Loaded && left <= p.reserve+pulse+2*lag:
		if p.pulse > 0 {
			return r.begin(now, Load, step{share: p.pulse, spread: 1}, e), "load"
		}
		r.Loaded = true
		return r.begin(now, Trial, step{share: min(p.share, r.Share), spread: r.Spread}, e), "last round"
	case !r.Loaded && age >= round:
		p.spread = r.Spread
		return r.begin(now, Trial, p, e), "next round"
	}
	return r, ""
}

// finish ends a record whose requests all go to the new build.
func (r Record) finish(now time.Duration, e Evidence, left time.Duration) (Record, string) {
	switch {
	case e.NewUpstreams == 0 && e.OldUpstreams > 0 && left <= ending:
		return r.end(RolledBack), "no upstream of the new build"
	case e.NewUpstreams == 0 && e.OldUpstreams > 0:
		return r.begin(now, Probe, step{}, e), "no upstream of the new build"
	case (left > final || left > hasty && e.NewUpstreams > 0 && !r.seen(e)) && !r.Proven:
		return r, ""
	case left > 0 && r.doubtful(now, e) && !r.Proven:
		return r, ""
	case e.NewUpstreams == 0 || now-ms(r.Changed) < settle || e.Unacknowledged > 0 || e.OldRunning > 0:
		return r, ""
	}
	return r.end(Completed), "nothing runs on the old build"
}

// warm tells whether the upstreams that get requests have had some.
func (r Record) warm(e Evidence) bool {
	return total(e.New).answers()-total(r.NewBase).answers() >= warmAnswers*int64(r.used(e))
}

// used is the number of upstreams that get requests.
func (r Record) used(e Evidence) int {
	if r.Spread == 0 {
		return e.NewUpstreams
	}
	return min(r.Spread, e.NewUpstreams)
}

// seen tells whether answers of the stage are known.
func (r Record) seen(e Evidence) bool {
	return total(e.New).answers()-total(r.NewBase).answers() >= seenAnswers || e.Arrived == r.Arrived
}

// alone lets the new build serve while no upstream of the old one is left.
func (r Record) alone(now time.Duration, e Evidence, left time.Duration) (Record, string) {
	if left <= reserve {
		return r.begin(now, Full, step{share: 1}, e), "no old upstream is left"
	}
	if r.Stage != Alone {
		return r.begin(now, Alone, step{share: 1}, e), "no old upstream is left"
	}
	return r, ""
}

// without waits for upstreams of the new build.
func (r Record) without(left time.Duration) (Record, string) {
	if left <= ending {
		return r.end(RolledBack), "no upstream of the new build"
	}
	if r.Share > 0 {
		r.Share, r.Stage = 0, Probe
		return r, "no upstream of the new build"
	}
	return r, ""
}

func (r Record) begin(now time.Duration, s Stage, p step, e Evidence) Record {
	r.Before = r.past(now, e)
	r.Stage, r.Share, r.Spread = s, p.share, p.spread
	r.OldBase, r.NewBase = cloned(e.Old), cloned(e.New)
	return r
}

func (r Record) end(p Phase) Record {
	r.Phase, r.Stage, r.Share, r.Spread = p, "", 0, 0
	if p == Completed {
		r.Share = 1
	}
	r.OldBase, r.NewBase, r.Before = nil, nil, nil
	return r
}

func (r Record) change(now time.Duration, reason string) Record {
	r.Step++
	r.Changed, r.Reason = now.Milliseconds(), reason
	return r
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
