package serve

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestClassify(t *testing.T) {
	for _, c := range []struct {
		status  int
		verdict ResponseInfo
		want    result
	}{
		{http.StatusOK, ResponseInfo{Signed: true}, answered},
		{http.StatusNotFound, ResponseInfo{Signed: true}, answered},
		{http.StatusOK, ResponseInfo{}, broken},
		{http.StatusServiceUnavailable, ResponseInfo{NotRun: true}, notRun},
		{http.StatusTooManyRequests, ResponseInfo{NotRun: true}, notRun},
		{http.StatusMisdirectedRequest, ResponseInfo{}, notRun},
		{http.StatusServiceUnavailable, ResponseInfo{Signed: true}, failed},
		{http.StatusServiceUnavailable, ResponseInfo{}, broken},
		{http.StatusInternalServerError, ResponseInfo{Signed: true}, failed},
		{http.StatusGatewayTimeout, ResponseInfo{Signed: true}, failed},
	} {
		must.Eq(t, c.want, classify(c.status, c.verdict))
	}
}

func yes() bool { return true }
func no() bool  { return false }

func TestNextStep(t *testing.T) {
	const remaining = time.Second
	for _, c := range []struct {
		name       string
		r          result
		counts     sendCounts
		repeatable bool
		attempts   int
		remaining  time.Duration
		spendRetry func() bool
		want       step
	}{
		{"answer", answered, sendCounts{Sends: 1, Ran: 1}, false, 1, remaining, no, deliver},
		{"unsent is sent again without a budget", unsent, sendCounts{Sends: 1}, false, 1, remaining, no, sendAgain},
		{"declined is sent again", notRun, sendCounts{Sends: 1}, false, 1, remaining, yes, sendAgain},
		{"declined without a budget", notRun, sendCounts{Sends: 1}, false, 1, remaining, no, refuse},
		{"declined too often", notRun, sendCounts{Sends: maxSends}, false, 1, remaining, yes, refuse},
		{"declined too late", notRun, sendCounts{Sends: 1}, false, 1, minRemaining, yes, refuse},
		{"declined after another upstream may have run it", notRun, sendCounts{Sends: 2, Ran: 1}, true, 2, remaining, no, fail},
		{"broken non-idempotent request", broken, sendCounts{Sends: 1, Ran: 1}, false, 2, remaining, yes, fail},
		{"broken repeatable request", broken, sendCounts{Sends: 1, Ran: 1}, true, 2, remaining, yes, sendAgain},
		{"all attempts used", broken, sendCounts{Sends: 2, Ran: 2}, true, 2, remaining, yes, fail},
		{"failed repeatable request", failed, sendCounts{Sends: 1, Ran: 1}, true, 2, remaining, yes, sendAgain},
		{"failed non-idempotent request is delivered", failed, sendCounts{Sends: 1, Ran: 1}, false, 2, remaining, yes, deliver},
	} {
		must.Eq(t, c.want, nextStep(c.r, c.counts, c.repeatable, c.attempts, c.remaining, c.spendRetry), must.Sprint(c.name))
	}
}

// A non-idempotent request is never sent again once an upstream may have run it, and "not run" is reported only if no
// upstream may have run it.
func TestNextStepNeverRepeatsNonIdempotentRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rapid.SampledFrom([]result{unsent, notRun, broken, failed, answered}).Draw(t, "result")
		count := sendCounts{Sends: rapid.IntRange(1, 6).Draw(t, "sends"), Ran: rapid.IntRange(0, 3).Draw(t, "ran")}
		if r == broken || r == failed || r == answered {
			count.Ran = max(1, count.Ran)
		}
		repeatable := rapid.Bool().Draw(t, "repeatable")
		attempts := rapid.IntRange(1, 3).Draw(t, "attempts")
		affordable := rapid.Bool().Draw(t, "affordable")
		remaining := time.Duration(rapid.IntRange(0, 1e9).Draw(t, "left"))
		next := nextStep(r, count, repeatable, attempts, remaining, func() bool { return affordable })
		switch {
		case next == refuse:
			must.Eq(t, 0, count.Ran)
		case next == sendAgain && !repeatable:
			must.Eq(t, 0, count.Ran)
		case next == sendAgain && (r == broken || r == failed):
			must.Less(t, attempts, count.Ran)
		}
	})
}

// Of 100 callers rejected at the same moment, fewer than a quarter retry in any tenth of the retry window.
func TestSpreadRetryAfter(t *testing.T) {
	const wait = 300 * time.Millisecond
	tenths := make(map[int]int)
	for i := range 100 {
		delay := spreadRetryAfter(wait, fmt.Sprintf("%016x", i))
		must.Between(t, wait, delay, wait+wait/2)
		tenths[int(10*(delay-wait)/(wait/2+1))]++
	}
	must.MapLen(t, 10, tenths)
	for _, n := range tenths {
		must.Less(t, 25, n)
	}
	must.Eq(t, 0, spreadRetryAfter(0, "a"))
}
