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

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

const (
	crashingPart = "dead"
	// learnTime is the time after the fifth crash from which at most maxLateRuns requests with the part may reach engines.
	learnTime   = 3 * time.Second
	maxLateRuns = 3
)

// crashSite is a site with several routers and engines that a prompt part crashes.
type crashSite struct {
	*fake.Site
	routers []*router
}

func startCrashSite(t *testing.T, engines, routers int) *crashSite {
	t.Helper()
	c := &crashSite{Site: newSite(t, engines, 1)}
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
