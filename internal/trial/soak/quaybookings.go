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
	// quayExtraCallTime is how long calls continue after the last fault may start.
	quayExtraCallTime = 8 * time.Second
	// ampleRate and narrowRate are language requests per second of the two workspaces.
	ampleRate       = 60.0
	narrowRate      = 15.0
	bookingInterval = 50 * time.Millisecond
	// maxAttempts is the number of attempts for one booking.
	maxAttempts = 6
)

// QuayHistory is what callers and upstreams on the product's own interface observed.
type QuayHistory struct {
	// Responses are all responses by booking, Runs how often the services ran each booking.
	Responses map[string][]response
	Runs      map[string]int
	// RunsUnknown reports whether a service was killed, so that its runs are missing.
	RunsUnknown bool
	// CrossedResponses counts responses with another call's content, LeakedKeys values with a key at upstreams,
	// RevertedRevisions decreases of a router's revision, Crashes unexpected exits of routers.
	CrossedResponses, CutStreams, LeakedKeys, RevertedRevisions, Crashes int
	// StreamsMayBreak reports whether a fault was injected that may cut streams.
	StreamsMayBreak bool
	// NarrowTokens is the number of tokens admitted for the narrow workspace in Duration.
	NarrowTokens int64
	Duration     time.Duration
}

// CheckQuay returns the violations on the product's own interface.
func CheckQuay(h *QuayHistory) []Violation {
	var all []Violation
	add := func(p Promise, id, format string, args ...any) {
		v := newViolation(id, format, args...)
		v.Promise = p
		all = append(all, v)
	}
	for body, responses := range h.Responses {
		if n := h.Runs[body]; n > 1 {
			add(AtMostOnce, body, "booking ran %d times", n)
		}
		succeeded, allNotRun := false, true
		for _, r := range responses {
			allNotRun = allNotRun && r.ran == fault.RanNo
			succeeded = succeeded || r.status == http.StatusOK
		}
		switch {
		case h.RunsUnknown:
		case succeeded && h.Runs[body] == 0:
			add(OwnResponse, body, "booking succeeded but did not run")
		case !succeeded && allNotRun && h.Runs[body] > 0:
			add(NotRun, body, "booking ran although every response said that it had not run")
		}
	}
	cut := h.CutStreams
	if h.StreamsMayBreak {
		cut = 0
	}
	for _, c := range []struct {
		promise Promise
		count   int
		text    string
	}{
		{OwnResponse, h.CrossedResponses, "%d responses with the content of another call"},
		{RequestIntact, h.LeakedKeys, "%d values with an API key received by upstreams"},
		{DocumentApplied, h.RevertedRevisions, "router revisions decreased %d times"},
		{LosslessStop, cut, "%d streams cut without a fault that cuts streams"},
		{NoCrash, h.Crashes, "%d unexpected router exits"},
	} {
		if c.count > 0 {
			add(c.promise, "", c.text, c.count)
		}
	}
	rate := quayRates["narrow"]
	if allowed := int64(rate[1]) + int64(float64(rate[0])*h.Duration.Seconds()); h.NarrowTokens > allowed {
		add(RateLimit, "", "%d tokens in %s, %d allowed", h.NarrowTokens, h.Duration, allowed)
	}
	return sortViolations(all)
}

// quayTraffic returns the language load, in which the narrow workspace sends several times its rate.
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

// response is one response to a booking.
type response struct {
	status int
	ran    fault.Ran
}

// bookingClient sends bookings and retries each until it succeeds or its attempts are used up.
type bookingClient struct {
	site      *quaySite
	mu        sync.Mutex
	responses map[string][]response
}

func (c *bookingClient) run(ctx context.Context, length time.Duration) {
	var wg sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < length && sleep.For(ctx, bookingInterval) == nil; i++ {
		wg.Go(func() { c.book(i) })
	}
	wg.Wait()
}

// book sends one booking to one router after another until it succeeds.
func (c *bookingClient) book(i int) {
	body := fmt.Sprintf(`{"visit":%d}`, i)
	client := &http.Client{Timeout: 4 * time.Second}
	for try := range maxAttempts {
		router := c.site.routers[(i+try)%len(c.site.routers)]
		req, err := http.NewRequest(http.MethodPost, "http://"+router.listen+"/bookings", bytes.NewReader([]byte(body)))
		if err != nil {
			return
		}
		req.Header.Set("Authorization", "Bearer "+c.site.keys["ample"])
		req.Header.Set("Idempotency-Key", fmt.Sprint("visit-", i))
		got := response{ran: fault.RanUnknown}
		if res, err := client.Do(req); err == nil {
			// A truncated body does not count as a response.
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if err == nil {
				got = response{status: res.StatusCode, ran: fault.Ran(res.Header.Get(fault.HeaderRan))}
			}
		}
		c.mu.Lock()
		c.responses[body] = append(c.responses[body], got)
		c.mu.Unlock()
		if got.status == http.StatusOK {
			return
		}
		time.Sleep(time.Second)
	}
}
