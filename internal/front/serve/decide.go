package serve

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// result is what came of one send.
type result string

const (
	// unsent: nothing reached the upstream.
	unsent result = "unsent"
	// notRun: the upstream states that it has not run the request and will not.
	notRun result = "not run"
	// broken: the upstream may have run the request and gave no whole answer.
	broken result = "broken"
	// failed: the upstream ran the request and answered with a failure.
	failed result = "failed"
	// answered: the upstream gave an answer that goes to the caller.
	answered result = "answered"
)

// judge says what an answer's head means.
func judge(status int, v Verdict) result {
	switch {
	case v.NotRun || status == http.StatusMisdirectedRequest:
		return notRun
	case !v.Signed:
		// An answer without a signature does not come from the application, so that it may have run.
		return broken
	case status >= http.StatusInternalServerError || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		return failed
	default:
		return answered
	}
}

// step is what follows a send.
type step string

const (
	again   step = "send again"
	deliver step = "deliver"
	refuse  step = "refuse as not run"
	fail    step = "fail, outcome unknown"
)

// tally counts what was done for one request.
type tally struct {
	// Sends is the number of sends.
	Sends int
	// Ran is the number of upstreams that may have run the request.
	Ran int
}

const (
	// sendsMost bounds the sends of one request, those that were refused or never arrived included. Four upstreams that
	// refuse in a row say that the service has no room.
	sendsMost = 5
	// leftLeast is the time below which nothing more is sent; an upstream would hardly begin.
	leftLeast = 20 * time.Millisecond
)

// follow decides what follows a send. Repeatable requests go to as many upstreams as the route allows; others are sent
// again only while no upstream may have run them. That answers crashes, full upstreams and rollouts under load.
func follow(r result, t tally, repeatable bool, attempts int, left time.Duration, affordable func() bool) step {
	if r == answered {
		return deliver
	}
	may := left > leftLeast && t.Sends < sendsMost
	switch r {
	case unsent:
		if may && (repeatable || t.Ran == 0) {
			return again
		}
	case notRun:
		if may && (repeatable || t.Ran == 0) && affordable() {
			return again
		}
	case failed:
		if may && repeatable && t.Ran < attempts && affordable() {
			return again
		}
		return deliver
	case broken:
		if may && repeatable && t.Ran < attempts && affordable() {
			return again
		}
		return fail
	}
	if t.Ran > 0 {
		return fail
	}
	return refuse
}

// deliverable tells whether a failure of an upstream may be passed on with its status. Statuses that promise that the
// request has not run are kept for when that is known.
func deliverable(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return true
}

// comeBack spreads the return of callers over half as long again as the wait until there should be room. It answers a burst
// of refusals, whose callers would all be back, and refused again, at the same moment.
func comeBack(wait time.Duration, id string) time.Duration {
	const parts = 1 << 10
	return wait + wait/2*time.Duration(xxhash.Sum64String(id)%parts)/parts
}
