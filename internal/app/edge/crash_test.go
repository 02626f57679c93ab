package edge

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/once/fatal"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

const (
	crashingPart = "dead"
	// learnTime is the time after the fifth crash from which at most maxLateRuns requests with the part may reach engines.
	learnTime   = 3 * time.Second
	maxLateRuns = 3
	// quietTime is longer than a connection of an instance shows that its path to the upstreams is sound.
	quietTime = 3500 * time.Millisecond
)

// crashSite is a site with several routers and engines that a prompt part crashes.
type crashSite struct {
	*fake.Site
	routers []*router
}

func startCrashSite(t *testing.T, engines, routers int) *crashSite {
	t.Helper()
	return startCrashSiteOf(t, newSite(t, engines, 1), routers)
}

// startCrashSiteOf starts routers of a site whose engines the crashing part crashes.
func startCrashSiteOf(t *testing.T, s *fake.Site, routers int) *crashSite {
	t.Helper()
	c := &crashSite{Site: s}
	for _, u := range c.Engines {
		u.SetFaults(fake.Faults{CrashingPart: crashingPart})
	}
	for range routers {
		c.routers = append(c.routers, startRouter(t, testSettings(t, c.Site)))
	}
	for _, r := range c.routers {
		eventually(t, "ready", func() bool { return r.isReady() && r.exchange.Count() == routers })
	}
	return c
}

// send sends prompts with the shared parts that parts returns, at an interval to each router in turn, until the context ends. It
// returns how many were sent and answered.
func (c *crashSite) send(ctx context.Context, path string, interval time.Duration, parts func(i int) [2]string) (sent, answered int64) {
	var good atomic.Int64
	var calls sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			calls.Wait()
			return int64(i), good.Load()
		case <-ticker.C:
		}
		calls.Go(func() {
			call := newPromptCall(path)
			call.Parts = parts(i)
			reply, err := fake.Send(context.Background(), c.routers[i%len(c.routers)].settings.Listen, call)
			if err == nil && reply.Status == http.StatusOK && reply.Complete {
				good.Add(1)
			}
		})
	}
}

// lateRuns returns how many requests with the crashing part reached engines later than learnTime after the fifth crash.
func (c *crashSite) lateRuns() (late, crashes int) {
	var ends []time.Time
	for _, u := range c.Engines {
		ends = append(ends, u.Crashes()...)
	}
	slices.SortFunc(ends, time.Time.Compare)
	if len(ends) < 5 {
		return 0, len(ends)
	}
	for _, at := range ends {
		if at.Sub(ends[4]) > learnTime {
			late++
		}
	}
	return late, len(ends)
}

// Guards against a part that is never refused where only one instance gets requests (ReviewCaseQuiet): the others had no recent
// connection of their own, which distinguishes an upstream that has ended from a broken path, so that no crash was counted.
func TestPromptPartIsRefusedOnAQuietSite(t *testing.T) {
	t.Parallel()
	const requests, refused = 7, 3
	c := startCrashSite(t, 4, 3)
	c.crashInTurn(requests, quietTime)
	_, crashes := c.lateRuns()
	must.LessEq(t, requests-refused, crashes)
	must.Positive(t, crashes)
}

// crashInTurn sends requests with the crashing part to one router, at an interval.
func (c *crashSite) crashInTurn(requests int, interval time.Duration) {
	for i := range requests {
		time.Sleep(interval)
		call := newPromptCall(fake.BriefPath + "1")
		call.Parts = [2]string{fmt.Sprint("a", i), crashingPart}
		// Most break off with their engine.
		_, _ = fake.Send(context.Background(), c.routers[0].settings.Listen, call)
	}
}

// Guards against the same where there is no other upstream to connect to: the crash is counted when the upstream is listed as another
// process.
func TestPromptPartThatCrashesTheOnlyUpstreamIsRefused(t *testing.T) {
	t.Parallel()
	const requests, refused = 7, 3
	c := startCrashSiteOf(t, newSite(t, 1, 0), 2)
	c.crashInTurn(requests, 2*time.Second)
	_, crashes := c.lateRuns()
	must.LessEq(t, requests-refused, crashes)
	must.Positive(t, crashes)
}

// Requests that shared nothing but one prompt part crashed engine after engine, because crashes were counted by request only.
func TestPromptPartThatCrashesEnginesIsRefused(t *testing.T) {
	for _, position := range []int{0, 1} {
		t.Run(fmt.Sprint("part ", position), func(t *testing.T) {
			t.Parallel()
			c := startCrashSite(t, 6, 3)
			ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
			defer cancel()
			var senders sync.WaitGroup
			senders.Go(func() {
				c.send(ctx, fake.BriefPath+"1", 200*time.Millisecond, func(i int) [2]string {
					parts := [2]string{fmt.Sprint("a", i%4), fmt.Sprint("b", i%20)}
					parts[position] = crashingPart
					return parts
				})
			})
			var sent, answered int64
			senders.Go(func() {
				sent, answered = c.send(ctx, fake.BriefPath+"1", 40*time.Millisecond, func(i int) [2]string {
					return [2]string{fmt.Sprint("a", i%4), fmt.Sprint("b", i%20)}
				})
			})
			senders.Wait()
			late, crashes := c.lateRuns()
			t.Logf("%d crashes, %d late; %d of %d sound requests answered", crashes, late, answered, sent)
			must.LessEq(t, maxLateRuns, late)
			must.GreaterEq(t, sent/2, answered)
		})
	}
}

// Instances that all restarted forgot which part crashes engines, and lost as many engines again.
func TestCrashingPartIsRefusedAfterAllInstancesRestarted(t *testing.T) {
	c := startCrashSite(t, 6, 2)
	call := func() fake.Call {
		call := newPromptCall(fake.BriefPath + "1")
		call.Parts = [2]string{"a1", crashingPart}
		return call
	}
	eventually(t, "the part is refused by both", func() bool {
		return c.routers[0].send(t, call()).Status == http.StatusServiceUnavailable &&
			c.routers[1].send(t, call()).Status == http.StatusServiceUnavailable
	})
	time.Sleep(time.Second)
	_, before := c.lateRuns()
	for _, r := range c.routers {
		r.stopAndWait(t)
	}
	for range 2 {
		r := startRouter(t, testSettings(t, c.Site))
		eventually(t, "ready", r.isReady)
		must.Eq(t, http.StatusServiceUnavailable, r.send(t, call()).Status)
	}
	_, after := c.lateRuns()
	must.Eq(t, before, after)
}

// Guards against a request that crashes upstreams and is let through again after the instances were restarted in turn (ReviewCaseRoll).
func TestCrashingRequestIsRefusedAfterARollingRestart(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	for _, u := range s.Jobs {
		u.SetFaults(fake.Faults{Crash: true})
	}
	routers := startRouters(t, s, 3)
	sends := func() (n int) {
		for _, u := range s.Jobs {
			n += len(u.Runs())
		}
		return n
	}
	send := func(r *router) fake.Response {
		call := newCall(http.MethodPost, fake.LookPath+"1")
		call.Body = "crashes upstreams"
		return r.send(t, call)
	}
	for _, r := range routers {
		eventually(t, "the request is refused", func() bool { return send(r).Status == http.StatusServiceUnavailable })
	}
	before := sends()
	for i, r := range routers {
		r.stopAndWait(t)
		routers[i] = restart(t, []*router{r})[0]
		eventually(t, "the counts are copied", func() bool { return len(routers[i].crashes.ReportRequests(time.Now(), "")) > 0 })
	}
	for _, r := range routers {
		must.Eq(t, http.StatusServiceUnavailable, send(r).Status)
	}
	must.Eq(t, before, sends())
}

// Guards against a request that is sent again in the same attempt after it has crashed as many upstreams as are allowed (ReviewCaseRoll).
func TestCrashingRequestIsNotSentAgain(t *testing.T) {
	t.Parallel()
	s, r := startSite(t, 1, 6)
	for _, u := range s.Jobs {
		u.SetFaults(fake.Faults{Crash: true})
	}
	call := func() fake.Call {
		call := newCall(http.MethodPost, fake.LookPath+"1")
		call.Body = "crashes upstreams"
		return call
	}
	eventually(t, "the request is refused", func() bool { return r.send(t, call()).Status == http.StatusServiceUnavailable })
	sends := 0
	for _, u := range s.Jobs {
		sends += len(u.Runs())
	}
	must.Eq(t, 3, sends)
}

// Guards against the refusal of a common first part in place of the part that crashes engines, after the instances were restarted
// (ReviewCaseBlame): the evidence that distinguishes them was in memory only, and no request survives while engines crash each second.
func TestRightPartIsRefusedAfterARestart(t *testing.T) {
	for name, together := range map[string]bool{"in turn": false, "all at once": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 1)
			for _, u := range s.Engines {
				u.Events, u.PerEvent = 8, 200*time.Millisecond
			}
			c := startCrashSiteOf(t, s, 3)
			sound := func(int) [2]string { return [2]string{"common", "sound"} }
			send := func(during, interval time.Duration, parts func(int) [2]string) (sent, answered int64) {
				ctx, cancel := context.WithTimeout(context.Background(), during)
				defer cancel()
				return (&crashSite{Site: c.Site, routers: c.routers[:1]}).send(ctx, fake.BriefPath+"1", interval, parts)
			}
			send(3*time.Second, 250*time.Millisecond, sound)
			if together {
				for _, r := range c.routers {
					r.kill()
				}
				c.routers = restart(t, c.routers)
			} else {
				for i, r := range c.routers {
					r.stopAndWait(t)
					c.routers[i] = restart(t, []*router{r})[0]
				}
			}
			var bad sync.WaitGroup
			bad.Go(func() {
				send(14*time.Second, time.Second, func(int) [2]string { return [2]string{"common", crashingPart} })
			})
			send(8*time.Second, 333*time.Millisecond, sound)
			sent, answered := send(6*time.Second, 333*time.Millisecond, sound)
			bad.Wait()
			late, crashes := c.lateRuns()
			t.Logf("%d crashes, %d late; %d of %d sound requests answered", crashes, late, answered, sent)
			must.LessEq(t, maxLateRuns, late)
			must.Greater(t, sent/2, answered)
		})
	}
}

// Responses without output, which an upstream gives before it begins to write, cleared a part.
func TestResponsesWithoutOutputDoNotClearAPart(t *testing.T) {
	for name, faults := range map[string]fake.Faults{"client error": {Deny: true}, "no event": {NoEvents: true}} {
		t.Run(name, func(t *testing.T) {
			s, r := startSite(t, 1, 1)
			call := newPromptCall(fake.BriefPath + "1")
			call.Parts = [2]string{"a1", crashingPart}
			parts := []uint64{xxhash.Sum64String(crashingPart)}
			crash := func(upstream uint64, ago time.Duration) {
				at := time.Now().Add(-ago)
				r.parts.Crashed(at, parts, upstream, at.Add(-time.Millisecond))
			}
			crash(1, 3*time.Second)
			crash(2, 2*time.Second)
			s.Engines[0].SetFaults(faults)
			r.send(t, call)
			must.SliceLen(t, 1, s.Engines[0].Runs())
			crash(3, 0)
			must.True(t, r.parts.Blocked(time.Now(), parts))
		})
	}
}

// Rows of parts that are no longer blocked, and rows that cannot be decoded, leave the store or do no harm.
func TestRowsOfBlockedParts(t *testing.T) {
	s := newSite(t, 1, 1)
	s.Store.Put(blocksTable, "no number", blockRow{})
	s.Store.PutRaw(blocksTable, "1", []byte("{"))
	s.Store.Put(blocksTable, "2", blockRow{SinceMs: -time.Hour.Milliseconds()})
	r := startRouter(t, testSettings(t, s))
	eventually(t, "ready", r.isReady)
	rows := func() []string {
		rows, err := r.readTable(context.Background(), blocksTable)
		must.NoError(t, err)
		var keys []string
		for _, row := range rows.Rows {
			keys = append(keys, row.Key)
		}
		return keys
	}
	eventually(t, "the expired row is removed", func() bool { return !slices.Contains(rows(), "2") })
	r.parts.Block(time.Now(), 3, fatal.Block{Since: time.Now()})
	eventually(t, "a blocked part is written", func() bool { return slices.Contains(rows(), "3") })
	c := s.Store.Copy()
	r.parts.Block(time.Now(), 4, fatal.Block{Since: time.Now()})
	eventually(t, "another one is written", func() bool { return slices.Contains(rows(), "4") })
	s.Store.Restore(c)
	eventually(t, "it is written again after a restore", func() bool { return slices.Contains(rows(), "4") })
	s.Store.Put(blocksTable, "5", blockRow{})
	restored := s.Store.Copy()
	s.Store.Restore(restored)
	eventually(t, "a row of the copy is read", func() bool { return r.parts.Blocked(time.Now(), []uint64{5}) })
	for range 20 {
		must.SliceContains(t, rows(), "5")
		time.Sleep(20 * time.Millisecond)
	}
	r.parts.Survived(time.Now(), []uint64{3})
	eventually(t, "a cleared part is removed", func() bool { return !slices.Contains(rows(), "3") })
	must.Eq(t, http.StatusOK, r.send(t, newPromptCall(fake.BriefPath+"1")).Status)
}
