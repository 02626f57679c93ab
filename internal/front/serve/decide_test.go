package serve

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestJudge(t *testing.T) {
	for _, c := range []struct {
		status  int
		verdict Verdict
		want    result
	}{
		{http.StatusOK, Verdict{Signed: true}, answered},
		{http.StatusNotFound, Verdict{Signed: true}, answered},
		{http.StatusOK, Verdict{}, broken},
		{http.StatusServiceUnavailable, Verdict{NotRun: true}, notRun},
		{http.StatusTooManyRequests, Verdict{NotRun: true}, notRun},
		{http.StatusMisdirectedRequest, Verdict{}, notRun},
		{http.StatusServiceUnavailable, Verdict{Signed: true}, failed},
		{http.StatusServiceUnavailable, Verdict{}, broken},
		{http.StatusInternalServerError, Verdict{Signed: true}, failed},
		{http.StatusGatewayTimeout, Verdict{Signed: true}, failed},
	} {
		must.Eq(t, c.want, judge(c.status, c.verdict))
	}
}

func yes() bool { return true }
func no() bool  { return false }

func TestFollow(t *testing.T) {
	const left = time.Second
	for _, c := range []struct {
		name       string
		r          result
		t          tally
		repeatable bool
		attempts   int
		left       time.Duration
		affordable func() bool
		want       step
	}{
		{"answer", answered, tally{Sends: 1, Ran: 1}, false, 1, left, no, deliver},
		{"unsent goes elsewhere without a budget", unsent, tally{Sends: 1}, false, 1, left, no, again},
		{"declined goes elsewhere", notRun, tally{Sends: 1}, false, 1, left, yes, again},
		{"declined without a budget", notRun, tally{Sends: 1}, false, 1, left, no, refuse},
		{"declined too often", notRun, tally{Sends: sendsMost}, false, 1, left, yes, refuse},
		{"declined too late", notRun, tally{Sends: 1}, false, 1, leftLeast, yes, refuse},
		{"declined after it may have run", notRun, tally{Sends: 2, Ran: 1}, true, 2, left, no, fail},
		{"a booking that broke off", broken, tally{Sends: 1, Ran: 1}, false, 2, left, yes, fail},
		{"a look-up that broke off", broken, tally{Sends: 1, Ran: 1}, true, 2, left, yes, again},
		{"all attempts used", broken, tally{Sends: 2, Ran: 2}, true, 2, left, yes, fail},
		{"a failed look-up", failed, tally{Sends: 1, Ran: 1}, true, 2, left, yes, again},
		{"a failed booking is delivered", failed, tally{Sends: 1, Ran: 1}, false, 2, left, yes, deliver},
	} {
		must.Eq(t, c.want, follow(c.r, c.t, c.repeatable, c.attempts, c.left, c.affordable), must.Sprint(c.name))
	}
}

// A request that may not be repeated is never sent again once an upstream may have run it, and "not run" is said only when
// none may have.
func TestFollowKeepsThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rapid.SampledFrom([]result{unsent, notRun, broken, failed, answered}).Draw(t, "result")
		count := tally{Sends: rapid.IntRange(1, 6).Draw(t, "sends"), Ran: rapid.IntRange(0, 3).Draw(t, "ran")}
		if r == broken || r == failed || r == answered {
			count.Ran = max(1, count.Ran)
		}
		repeatable := rapid.Bool().Draw(t, "repeatable")
		attempts := rapid.IntRange(1, 3).Draw(t, "attempts")
		affordable := rapid.Bool().Draw(t, "affordable")
		left := time.Duration(rapid.IntRange(0, 1e9).Draw(t, "left"))
		next := follow(r, count, repeatable, attempts, left, func() bool { return affordable })
		switch {
		case next == refuse:
			must.Eq(t, 0, count.Ran)
		case next == again && !repeatable:
			must.Eq(t, 0, count.Ran)
		case next == again && (r == broken || r == failed):
			must.Less(t, attempts, count.Ran)
		}
	})
}

// A hundred callers are refused at the same moment: no tenth of the time in which they return gets a quarter of them.
func TestRefusedCallersDoNotReturnAtOnce(t *testing.T) {
	const wait = 300 * time.Millisecond
	tenths := make(map[int]int)
	for i := range 100 {
		back := comeBack(wait, fmt.Sprintf("%016x", i))
		must.Between(t, wait, back, wait+wait/2)
		tenths[int(10*(back-wait)/(wait/2+1))]++
	}
	must.MapLen(t, 10, tenths)
	for _, n := range tenths {
		must.Less(t, 25, n)
	}
	must.Eq(t, 0, comeBack(0, "a"))
}
