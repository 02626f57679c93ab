package soak

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/trial/trace"
)

const (
	// quayTail is how long calls go on after the last fault may begin.
	quayTail = 8 * time.Second
	// language requests of the ample and the narrow workspace, and the pause between bookings.
	ampleRate  = 60.0
	narrowRate = 15.0
	bookEvery  = 50 * time.Millisecond
	// tries is how often a caller tries one booking.
	tries = 6
)

// Observed is what callers and upstreams of the product's own interface have seen.
type Observed struct {
	// Answers are all answers by booking, Runs how often the services ran each.
	Answers map[string][]answer
	Runs    map[string]int
	// Forgotten tells that a killed service does not know what it ran.
	Forgotten bool
	// Crossed counts answers with another call's content, Broken cut streams, Leaked values with a key at upstreams,
	// Reverted the times that a router's revision went back, Crashed the routers that ended by themselves.
	Crossed, Broken, Leaked, Reverted, Crashed int
	// Breakable tells that a fault was played which may cut streams.
	Breakable bool
	// NarrowTokens were admitted of the narrow workspace in Took.
	NarrowTokens int64
	Took         time.Duration
}

// JudgeOwn returns the broken promises of the product's own interface.
func JudgeOwn(o *Observed) []Breach {
	var all []Breach
	add := func(p Promise, id, format string, args ...any) {
		b := breach(id, format, args...)
		b.Promise = p
		all = append(all, b)
	}
	for body, answers := range o.Answers {
		if n := o.Runs[body]; n > 1 {
			add(Once, body, "booking ran %d times", n)
		}
		answered, allNotRun := false, true
		for _, a := range answers {
			allNotRun = allNotRun && a.ran == fault.RanNo
			answered = answered || a.status == http.StatusOK
		}
		switch {
		case o.Forgotten:
		case answered && o.Runs[body] == 0:
			add(Own, body, "booking was answered and did not run")
		case !answered && allNotRun && o.Runs[body] > 0:
			add(Untouched, body, "booking ran though every answer said that it had not")
		}
	}
	cut := o.Broken
	if o.Breakable {
		cut = 0
	}
	for _, c := range []struct {
		promise Promise
		count   int
		text    string
	}{
		{Own, o.Crossed, "%d answers of other calls"},
		{Asked, o.Leaked, "%d values with a key at upstreams"},
		{Applied, o.Reverted, "revisions went back %d times"},
		{Kept, cut, "%d streams were cut while their routers lived"},
		{Upright, o.Crashed, "routers ended by themselves %d times"},
	} {
		if c.count > 0 {
			add(c.promise, "", c.text, c.count)
		}
	}
	rate := quayRates["narrow"]
	if allowed := int64(rate[1]) + int64(float64(rate[0])*o.Took.Seconds()); o.NarrowTokens > allowed {
		add(Rated, "", "%d tokens in %s, %d allowed", o.NarrowTokens, o.Took, allowed)
	}
	return sorted(all)
}

// quayTraffic is the language load: the narrow workspace sends several times its rate.
func quayTraffic(routers int, length time.Duration) trace.Trace {
	var t trace.Trace
	add := func(workspace string, rate float64) {
		for i := range int(rate * length.Seconds()) {
			t.Rows = append(t.Rows, trace.Row{
				At: float64(i) / rate, Workspace: workspace, Router: i % routers, UniqueTokens: 400, OutputTokens: 30,
				Levels: []trace.Level{{ID: fmt.Sprint("level-", i%5), Pieces: 1}},
			})
		}
	}
	add("ample", ampleRate)
	add("narrow", narrowRate)
	slices.SortStableFunc(t.Rows, func(a, b trace.Row) int { return cmp.Compare(a.At, b.At) })
	return t
}

// answer is one answer to a booking.
type answer struct {
	status int
	ran    fault.Ran
}

// visits sends bookings and sends them again until they are answered for good.
type visits struct {
	site    *quaySite
	mu      sync.Mutex
	answers map[string][]answer
}

func (v *visits) run(ctx context.Context, length time.Duration) {
	var all sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < length && sleep.For(ctx, bookEvery) == nil; i++ {
		all.Go(func() { v.book(i) })
	}
	all.Wait()
}

// book sends one booking to router after router until it is told an answer.
func (v *visits) book(i int) {
	body := fmt.Sprintf(`{"visit":%d}`, i)
	client := &http.Client{Timeout: 4 * time.Second}
	for try := range tries {
		p := v.site.ports[(i+try)%len(v.site.ports)]
		req, err := http.NewRequest(http.MethodPost, "http://"+p.listen+"/bookings", bytes.NewReader([]byte(body)))
		if err != nil {
			return
		}
		req.Header.Set("Authorization", "Bearer "+v.site.keys["ample"])
		req.Header.Set("Idempotency-Key", fmt.Sprint("visit-", i))
		got := answer{ran: fault.RanUnknown}
		if res, err := client.Do(req); err == nil {
			// The status decides; a body that breaks off is no answer to a booking.
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if err == nil {
				got = answer{status: res.StatusCode, ran: fault.Ran(res.Header.Get(fault.HeaderRan))}
			}
		}
		v.mu.Lock()
		v.answers[body] = append(v.answers[body], got)
		v.mu.Unlock()
		if got.status == http.StatusOK {
			return
		}
		time.Sleep(time.Second)
	}
}
