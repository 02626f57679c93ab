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

// Bounds are the users' bounds that apply to the site of the soak.
type Bounds struct {
	// SettleTime is how long a router must have been free of faults before time bounds apply to it.
	SettleTime time.Duration
	// Revocation is how long after its acknowledged revocation a key may still work, on any router.
	Revocation time.Duration
	// Apply is the time from the acknowledgement of a changed document until routers must use it, StoreOutage the addition for a
	// store outage.
	Apply, StoreOutage time.Duration
	// Weights is how long after an announcement requests may still start on superseded weights.
	Weights time.Duration
	// LeaseTerm is the minimum time between orders of two lease holders. Orders within AfterFault of the end of a fault are
	// exempt.
	LeaseTerm, AfterFault time.Duration
	// CloseRace is how long after its start a call that was not forwarded may fail because its connection closes.
	CloseRace time.Duration
	// Drain is how long after its drain notice an upstream may still receive calls.
	Drain time.Duration
	// Recovery is how long after the last fault calls must be served again.
	Recovery time.Duration
	// Overshoot is the fraction of a rate that may be admitted in excess, Slack a fixed number of units in addition.
	Overshoot, Slack float64
	// Rate and Burst are the limit of the narrow workspace, Window is the sliding window over which its units are summed.
	Rate, Burst float64
	Window      time.Duration
}

// Promise is one property that the routers must hold under faults.
type Promise string

const (
	// AtMostOnce: a call that must not be repeated runs at most once.
	AtMostOnce Promise = "once"
	// NotRun: a call rejected as not run has not run.
	NotRun Promise = "untouched"
	// OwnResponse: a response is complete, comes from an upstream and belongs to its call.
	OwnResponse Promise = "own"
	// RequestIntact: upstreams receive the caller's request unchanged, with its workspace and without its key.
	RequestIntact Promise = "asked"
	// StreamOrder: all events of a stream arrive exactly once and in order.
	StreamOrder Promise = "order"
	// KeyRevocation: a revoked key is rejected once the bound has passed.
	KeyRevocation Promise = "revoked"
	// DocumentApplied: a changed document takes effect and is not reverted.
	DocumentApplied Promise = "applied"
	// ValidAccepted: valid calls are not rejected as unknown.
	ValidAccepted Promise = "known"
	// LosslessStop: planned stops lose no call.
	LosslessStop Promise = "kept"
	// RateLimit: a workspace stays within its rate.
	RateLimit Promise = "rated"
	// SingleLeader: only one router at a time sends orders.
	SingleLeader Promise = "one"
	// LatestWeights: no request starts on superseded weights after the bound.
	LatestWeights Promise = "fresh"
	// Drained: draining upstreams receive no new calls.
	Drained Promise = "drained"
	// Recovered: calls are served again after the last fault.
	Recovered Promise = "recovered"
	// NoCrash: no router exits unexpectedly.
	NoCrash Promise = "upright"
)

// Violation is one violation of a promise.
type Violation struct {
	Promise Promise `json:"promise"`
	// ID is the call's ID, empty if the violation has no single call.
	ID   string `json:"id,omitempty"`
	Text string `json:"text"`
}

// checkers are the checks of all promises. They use only what callers and upstreams observed and when faults were active.
var checkers = map[Promise]func(*History) []Violation{
	AtMostOnce:      callChecker(checkAtMostOnce),
	NotRun:          callChecker(checkNotRun),
	OwnResponse:     callChecker(checkResponse),
	StreamOrder:     callChecker(checkStreamOrder),
	KeyRevocation:   callChecker(checkRevocation),
	DocumentApplied: callChecker(checkApplied),
	ValidAccepted:   callChecker(checkValidAccepted),
	LosslessStop:    callChecker(checkPlannedStop),
	RequestIntact:   runChecker(checkRequest),
	LatestWeights:   runChecker(checkWeights),
	Drained:         runChecker(checkDrained),
	RateLimit:       checkRateLimit,
	SingleLeader:    checkSingleLeader,
	Recovered:       checkRecovered,
	NoCrash:         checkCrashes,
}

// callChecker applies check to each call with its runs; check returns an empty text if the promise holds.
func callChecker(check func(h *History, c *CallRecord, runs []RunRecord) string) func(*History) []Violation {
	return func(h *History) []Violation {
		runs := make(map[string][]RunRecord)
		for _, r := range h.Runs {
			runs[r.ID] = append(runs[r.ID], r)
		}
		var out []Violation
		for _, c := range h.Calls {
			if text := check(h, c, runs[c.ID]); text != "" {
				out = append(out, Violation{ID: c.ID, Text: text})
			}
		}
		return out
	}
}

// runChecker applies check to each run with its call, which is nil if none was recorded.
func runChecker(check func(h *History, r RunRecord, c *CallRecord) string) func(*History) []Violation {
	return func(h *History) []Violation {
		calls := make(map[string]*CallRecord, len(h.Calls))
		for _, c := range h.Calls {
			calls[c.ID] = c
		}
		var out []Violation
		for _, r := range h.Runs {
			if text := check(h, r, calls[r.ID]); text != "" {
				out = append(out, Violation{ID: r.ID, Text: text})
			}
		}
		return out
	}
}

// Check returns all violations, sorted by promise and call.
func Check(h *History) []Violation {
	var all []Violation
	for promise, check := range checkers {
		for _, v := range check(h) {
			v.Promise = promise
			all = append(all, v)
		}
	}
	return sortViolations(all)
}

// sortViolations sorts by promise, call and text.
func sortViolations(all []Violation) []Violation {
	slices.SortFunc(all, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Promise, b.Promise), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Text, b.Text))
	})
	return all
}

func newViolation(id, format string, args ...any) Violation {
	return Violation{ID: id, Text: fmt.Sprintf(format, args...)}
}

// retryable reports whether a kind of call may run more than once.
func (k Kind) retryable() bool { return k != Booking && k != Brief }

func checkAtMostOnce(_ *History, c *CallRecord, runs []RunRecord) string {
	if len(runs) > 1 && !c.Kind.retryable() {
		return fmt.Sprintf("%s ran %d times", c.Kind, len(runs))
	}
	return ""
}

func checkNotRun(_ *History, c *CallRecord, runs []RunRecord) string {
	if c.Answered && !c.Kind.retryable() && meansNotRun(c.Reply.Status) && len(runs) > 0 {
		return fmt.Sprintf("%s ran although it was answered with %d", c.Kind, c.Reply.Status)
	}
	return ""
}

// meansNotRun reports whether a status states that the call has not run and never will. It is independent of the code under
// test.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func checkResponse(_ *History, c *CallRecord, _ []RunRecord) string {
	switch {
	case c.Answered && c.Reply.ID != c.ID && (c.Reply.ID != "" || c.served()):
		return "response to call " + c.Reply.ID
	case !c.served():
		return ""
	case !c.Reply.Signed:
		return "success response without an upstream's signature"
	case !c.Kind.streams() && c.Reply.Body != c.Method+" "+c.Body:
		return fmt.Sprintf("unexpected body %.60q", c.Reply.Body)
	}
	return ""
}

func (k Kind) streams() bool { return k == Quote || k == Brief || k == Narrow }

func checkRequest(h *History, r RunRecord, c *CallRecord) string {
	switch {
	case c == nil && h.CallsEnded.IsZero():
		// Calls are recorded only when they end.
		return ""
	case c == nil:
		return "ran but was never sent"
	case c.Path != r.Path || c.Body != r.Body:
		return fmt.Sprintf("ran with path %.60q and body %.60q", r.Path, r.Body)
	case workspaceByKey[c.Key] != r.Workspace:
		return fmt.Sprintf("ran for workspace %q", r.Workspace)
	case c.Key != "" && strings.Contains(fmt.Sprint(r.Header), c.Key):
		return "API key was forwarded to the upstream"
	}
	return ""
}

func checkStreamOrder(_ *History, c *CallRecord, _ []RunRecord) string {
	whole := fake.Stream(streamEvents)
	switch {
	case !c.Kind.streams() || !c.Answered || c.Reply.Status != http.StatusOK:
		return ""
	case c.Reply.Complete && c.Reply.Body != whole:
		return fmt.Sprintf("stream ended without error after %d of %d bytes", len(c.Reply.Body), len(whole))
	case !strings.HasPrefix(whole, c.Reply.Body):
		return fmt.Sprintf("wrong events: %.80q", c.Reply.Body)
	}
	return ""
}
