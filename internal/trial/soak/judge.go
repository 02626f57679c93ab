package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/skylarkquay/skylarkquay/platform/fake"
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
	Once: ofCalls(once), Untouched: ofCalls(untouched), Own: ofCalls(own), Order: ofCalls(order), Revoked: ofCalls(revoked),
	Applied: ofCalls(applied), Known: ofCalls(known), Kept: ofCalls(kept), Asked: ofRuns(asked), Fresh: ofRuns(fresh),
	Drained: ofRuns(drained), Rated: judgeRated, One: judgeOne, Recovered: judgeRecovered, Upright: judgeUpright,
}

// ofCalls makes a judge of what is wrong with one call and its runs; the text is empty where nothing is.
func ofCalls(wrong func(l *Ledger, s *Sent, runs []Ran) string) func(*Ledger) []Breach {
	return func(l *Ledger) []Breach {
		runs := make(map[string][]Ran)
		for _, r := range l.Ran {
			runs[r.ID] = append(runs[r.ID], r)
		}
		var out []Breach
		for _, s := range l.Sent {
			if text := wrong(l, s, runs[s.ID]); text != "" {
				out = append(out, Breach{ID: s.ID, Text: text})
			}
		}
		return out
	}
}

// ofRuns is the same for one run and its call, which is nil when none was recorded.
func ofRuns(wrong func(l *Ledger, r Ran, s *Sent) string) func(*Ledger) []Breach {
	return func(l *Ledger) []Breach {
		calls := make(map[string]*Sent, len(l.Sent))
		for _, s := range l.Sent {
			calls[s.ID] = s
		}
		var out []Breach
		for _, r := range l.Ran {
			if text := wrong(l, r, calls[r.ID]); text != "" {
				out = append(out, Breach{ID: r.ID, Text: text})
			}
		}
		return out
	}
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
	return sorted(all)
}

// sorted orders breaches by promise and call.
func sorted(all []Breach) []Breach {
	slices.SortFunc(all, func(a, b Breach) int {
		return cmp.Or(cmp.Compare(a.Promise, b.Promise), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Text, b.Text))
	})
	return all
}

func breach(id, format string, args ...any) Breach {
	return Breach{ID: id, Text: fmt.Sprintf(format, args...)}
}

// repeatable tells whether a kind of call may run more than once.
func (k Kind) repeatable() bool { return k != Booking && k != Brief }

func once(_ *Ledger, s *Sent, runs []Ran) string {
	if len(runs) > 1 && !s.Kind.repeatable() {
		return fmt.Sprintf("%s ran %d times", s.Kind, len(runs))
	}
	return ""
}

func untouched(_ *Ledger, s *Sent, runs []Ran) string {
	if s.Answered && !s.Kind.repeatable() && promisesNotRun(s.Reply.Status) && len(runs) > 0 {
		return fmt.Sprintf("%s was answered %d and ran", s.Kind, s.Reply.Status)
	}
	return ""
}

// promisesNotRun tells whether a status says that the call has not run and never will. A judge does not ask the code that it
// judges.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func own(_ *Ledger, s *Sent, _ []Ran) string {
	switch {
	case !s.served():
		return ""
	case !s.Reply.Signed:
		return "success without an upstream's signature"
	case s.Reply.ID != s.ID:
		return "answer of " + s.Reply.ID
	case !s.Kind.streams() && s.Reply.Body != s.Method+" "+s.Body:
		return fmt.Sprintf("body %.60q", s.Reply.Body)
	}
	return ""
}

func (k Kind) streams() bool { return k == Quote || k == Brief || k == Narrow }

func asked(l *Ledger, r Ran, s *Sent) string {
	switch {
	case s == nil && l.Over.IsZero():
		// Calls are recorded when they end.
		return ""
	case s == nil:
		return "ran and was never sent"
	case s.Path != r.Path || s.Body != r.Body:
		return fmt.Sprintf("ran as %.60q with %.60q", r.Path, r.Body)
	case workspaces[s.Key] != r.Workspace:
		return fmt.Sprintf("ran for %q", r.Workspace)
	case s.Key != "" && strings.Contains(fmt.Sprint(r.Header), s.Key):
		return "its key was passed on"
	}
	return ""
}

func order(_ *Ledger, s *Sent, _ []Ran) string {
	whole := fake.Stream(events)
	switch {
	case !s.Kind.streams() || !s.Answered || s.Reply.Status != http.StatusOK:
		return ""
	case s.Reply.Complete && s.Reply.Body != whole:
		return fmt.Sprintf("ended as whole with %d bytes of %d", len(s.Reply.Body), len(whole))
	case !strings.HasPrefix(whole, s.Reply.Body):
		return fmt.Sprintf("wrong events: %.80q", s.Reply.Body)
	}
	return ""
}
