package serve

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// result is the outcome of one send.
type result string

const (
	// unsent: nothing reached the upstream.
	unsent result = "unsent"
	// notRun: the upstream states that it has not run the request and will not.
	notRun result = "not run"
	// broken: the upstream may have run the request but sent no complete response.
	broken result = "broken"
	// failed: the upstream ran the request and returned an error.
	failed result = "failed"
	// answered: the upstream sent a response for the caller.
	answered result = "answered"
)

// classify returns the result that the head of a response indicates.
func classify(status int, v ResponseInfo) result {
	switch {
	case v.NotRun || status == http.StatusMisdirectedRequest:
		return notRun
	case !v.Signed:
		// An unsigned response does not come from the application, so the request may have run.
		return broken
	case status >= http.StatusInternalServerError || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		return failed
	default:
		return answered
	}
}

// step is the action after a send.
type step string

const (
	sendAgain step = "send again"
	deliver   step = "deliver"
	refuse    step = "refuse as not run"
	fail      step = "fail, outcome unknown"
)

// sendCounts counts the sends of one request.
type sendCounts struct {
	// Sends is the number of sends.
	Sends int
	// Ran is the number of upstreams that may have run the request.
	Ran int
}

// canSend reports whether another send is allowed with that time remaining.
func (c sendCounts) canSend(remaining time.Duration) bool {
	return remaining > minRemaining && c.Sends < maxSends
}

const (
	// maxSends limits the sends of one request, including declined and undelivered ones. If four upstreams in a row
	// decline, the service has no capacity.
	maxSends = 5
	// minRemaining is the remaining time below which nothing is sent. An upstream would hardly start the request in it.
	minRemaining = 20 * time.Millisecond
)

// nextStep returns the step after a send. Repeatable requests go to as many upstreams as the route allows; others are
// retried only while no upstream may have run them. This covers crashes, full upstreams and rollouts under load.
func nextStep(r result, counts sendCounts, repeatable bool, attempts int, remaining time.Duration, spendRetry func() bool) step {
	if r == answered {
		return deliver
	}
	canSend := counts.canSend(remaining)
	switch r {
	case unsent:
		if canSend && (repeatable || counts.Ran == 0) {
			return sendAgain
		}
	case notRun:
		if canSend && (repeatable || counts.Ran == 0) && spendRetry() {
			return sendAgain
		}
	case failed:
		if canSend && repeatable && counts.Ran < attempts && spendRetry() {
			return sendAgain
		}
		return deliver
	case broken:
		if canSend && repeatable && counts.Ran < attempts && spendRetry() {
			return sendAgain
		}
		return fail
	}
	if counts.Ran > 0 {
		return fail
	}
	return refuse
}

// deliverable reports whether an upstream's error status may be forwarded. Statuses that imply that the request has
// not run are reserved for when that is certain.
func deliverable(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return true
}

// spreadRetryAfter adds up to half the wait, by request id. Without it, callers rejected in one burst would all retry,
// and be rejected again, at the same moment.
func spreadRetryAfter(wait time.Duration, id string) time.Duration {
	const buckets = 1 << 10
	return wait + wait/2*time.Duration(xxhash.Sum64String(id)%buckets)/buckets
}
