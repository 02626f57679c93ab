package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/skylarkquay/skylarkquay/platform/stand"
)

// Bounds are the users' bounds that hold on the soak's site.
type Bounds struct {
	// Contact is how long a router must have been without a fault to be held to bounds of time.
	Contact time.Duration
	// Revocation is how long after its acknowledgement a withdrawn key may still work, on any router.
	Revocation time.Duration
	// Apply is how long after its acknowledgement a changed document must be in force, Stretch what an outage of the store
	// adds.
	Apply, Stretch time.Duration
	// Weights is how long after their announcement older weights may begin requests.
	Weights time.Duration
	// Turn is how far apart orders of two holders must be, Thaw the time after a pause whose orders do not count.
	Turn, Thaw time.Duration
	// Loss is the time within which a connection may end under a call that was not passed on.
	Loss time.Duration
	// Drain is how long after its notice a leaving upstream may still get calls.
	Drain time.Duration
	// Recovery is how long after the last fault calls must be served again.
	Recovery time.Duration
	// Overshoot is the part of a rate that may be admitted beyond it, Slack a fixed number of units.
	Overshoot, Slack float64
	// Rate and Burst bound the narrow workspace, Window is where its units are counted.
	Rate, Burst float64
	Window      time.Duration
}

// Promise is one thing that the routers promise.
type Promise string

// The promises.
const (
	// Once: what must not be repeated runs at most once.
	Once Promise = "once"
	// Untouched: what was refused as not run has not run.
	Untouched Promise = "untouched"
	// Own: an answer is whole, from an upstream, and to its own call.
	Own Promise = "own"
	// Asked: upstreams run what a caller asked for, unchanged and for its workspace.
	Asked Promise = "asked"
	// Order: events of a stream come once each, in order, to the last.
	Order Promise = "order"
	// Revoked: withdrawn keys stop working.
	Revoked Promise = "revoked"
	// Applied: a changed document comes into force and stays.
	Applied Promise = "applied"
	// Known: proper calls are not refused as unknown.
	Known Promise = "known"
	// Kept: planned stops lose no call.
	Kept Promise = "kept"
	// Rated: a workspace stays within its rate.
	Rated Promise = "rated"
	// One: one router at a time gives orders.
	One Promise = "one"
	// Fresh: no request begins on weights that were replaced long ago.
	Fresh Promise = "fresh"
	// Drained: upstreams that leave get nothing new.
	Drained Promise = "drained"
	// Recovered: calls are served again after the last fault.
	Recovered Promise = "recovered"
	// Upright: no router ends by itself.
	Upright Promise = "upright"
)

// Breach is one broken promise.
type Breach struct {
	Promise Promise `json:"promise"`
	// ID is that of the call, where there is one.
	ID   string `json:"id,omitempty"`
	Text string `json:"text"`
}

// judges are all judges. Each sees only what callers and upstreams have seen, and when faults played.
var judges = map[Promise]func(*Ledger) []Breach{
	Once: judgeOnce, Untouched: judgeUntouched, Own: judgeOwn, Asked: judgeAsked, Order: judgeOrder, Revoked: judgeRevoked,
	Applied: judgeApplied, Known: judgeKnown, Kept: judgeKept, Rated: judgeRated, One: judgeOne, Fresh: judgeFresh,
	Drained: judgeDrained, Recovered: judgeRecovered, Upright: judgeUpright,
}

// Judge returns all broken promises, by promise and call.
func Judge(l *Ledger) []Breach {
	var all []Breach
	for promise, judge := range judges {
		for _, b := range judge(l) {
			b.Promise = promise
			all = append(all, b)
		}
	}
	slices.SortFunc(all, func(a, b Breach) int {
		return cmp.Or(cmp.Compare(a.Promise, b.Promise), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Text, b.Text))
	})
	return all
}

func breach(id, format string, args ...any) Breach {
	return Breach{ID: id, Text: fmt.Sprintf(format, args...)}
}

func (l *Ledger) runs() map[string][]Ran {
	runs := make(map[string][]Ran)
	for _, r := range l.Ran {
		runs[r.ID] = append(runs[r.ID], r)
	}
	return runs
}

func (l *Ledger) calls() map[string]*Sent {
	calls := make(map[string]*Sent, len(l.Sent))
	for _, s := range l.Sent {
		calls[s.ID] = s
	}
	return calls
}

// repeatable tells whether a kind of call may run more than once.
func (k Kind) repeatable() bool { return k != Booking && k != Brief }

func judgeOnce(l *Ledger) []Breach {
	var out []Breach
	runs := l.runs()
	for _, s := range l.Sent {
		if n := len(runs[s.ID]); !s.Kind.repeatable() && n > 1 {
			out = append(out, breach(s.ID, "%s ran %d times", s.Kind, n))
		}
	}
	return out
}

func judgeUntouched(l *Ledger) []Breach {
	var out []Breach
	runs := l.runs()
	for _, s := range l.Sent {
		if s.Answered && !s.Kind.repeatable() && promisesNotRun(s.Reply.Status) && len(runs[s.ID]) > 0 {
			out = append(out, breach(s.ID, "%s was answered %d and ran", s.Kind, s.Reply.Status))
		}
	}
	return out
}

// promisesNotRun tells whether a status says that the call has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func judgeOwn(l *Ledger) []Breach {
	var out []Breach
	for _, s := range l.Sent {
		if !s.served() {
			continue
		}
		switch {
		case !s.Reply.Signed:
			out = append(out, breach(s.ID, "success without an upstream's signature"))
		case s.Reply.ID != s.ID:
			out = append(out, breach(s.ID, "answer of %s", s.Reply.ID))
		case !s.Kind.streams() && s.Reply.Body != s.Method+" "+s.Body:
			out = append(out, breach(s.ID, "body %.60q", s.Reply.Body))
		}
	}
	return out
}

func (k Kind) streams() bool { return k == Quote || k == Brief || k == Narrow }

func judgeAsked(l *Ledger) []Breach {
	calls := l.calls()
	var out []Breach
	for _, r := range l.Ran {
		s := calls[r.ID]
		switch {
		case s == nil && l.Over.IsZero():
			// Calls are recorded when they end.
		case s == nil:
			out = append(out, breach(r.ID, "ran and was never sent"))
		case s.Path != r.Path || s.Body != r.Body:
			out = append(out, breach(r.ID, "ran as %.60q with %.60q", r.Path, r.Body))
		case workspaces[s.Key] != r.Workspace:
			out = append(out, breach(r.ID, "ran for %q", r.Workspace))
		case s.Key != "" && strings.Contains(fmt.Sprint(r.Header), s.Key):
			out = append(out, breach(r.ID, "its key was passed on"))
		}
	}
	return out
}

func judgeOrder(l *Ledger) []Breach {
	var out []Breach
	for _, s := range l.Sent {
		if !s.Kind.streams() || !s.Answered || s.Reply.Status != http.StatusOK {
			continue
		}
		whole := stand.Stream(events)
		switch {
		case s.Reply.Whole && s.Reply.Body != whole:
			out = append(out, breach(s.ID, "ended as whole with %d bytes of %d", len(s.Reply.Body), len(whole)))
		case !strings.HasPrefix(whole, s.Reply.Body):
			out = append(out, breach(s.ID, "wrong events: %.80q", s.Reply.Body))
		}
	}
	return out
}
