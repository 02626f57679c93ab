package admit

import (
	"context"
	"flag"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/limit/share"
	"github.com/skylarkquay/skylarkquay/internal/peer/lease"
)

const workspace = "w"

// init fixes the seed and the number of checks, so that runs are reproducible; flags override them.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.shrinktime", "3s")
	_ = flag.Set("rapid.steps", "60")
}

// admission records tokens admitted at a time.
type admission struct {
	at     time.Time
	tokens int64
}

// excess returns the largest amount by which the admissions in any interval exceed burst + rate x interval.
func excess(admissions []admission, limit share.Limit) float64 {
	largest := 0.0
	for i := range admissions {
		sum := 0.0
		for j := i; j < len(admissions); j++ {
			sum += float64(admissions[j].tokens)
			span := admissions[j].at.Sub(admissions[i].at).Seconds()
			largest = max(largest, sum-float64(limit.Burst)-float64(limit.Rate)*span)
		}
	}
	return largest
}

// TestRateNeverExceeded runs random schedules of kills, restarts, pauses, isolation, outages, lost replies, skewed clocks
// and released leases, and checks the tokens admitted by all instances over every interval.
func TestRateNeverExceeded(t *testing.T) {
	rapid.Check(t, runSchedule)
}

func runSchedule(rt *rapid.T) {
	limit := share.Limit{Rate: 100, Burst: rapid.Int64Range(500, 5000).Draw(rt, "burst")}
	c := newCluster(rapid.IntRange(1, 5).Draw(rt, "instances"), 3, rapid.IntRange(1, 6).Draw(rt, "partitions"), limit)
	for _, n := range c.instances {
		n.skew = time.Duration(rapid.Int64Range(0, int64(lease.MaxClockSkew)).Draw(rt, "skew"))
	}
	runRounds(c)
	s := &history{cluster: c, limit: limit}
	pick := func(rt *rapid.T) *instance {
		return c.instances[rapid.IntRange(0, len(c.instances)-1).Draw(rt, "instance")]
	}
	rt.Repeat(map[string]func(*rapid.T){
		"drain":       func(rt *rapid.T) { s.drain(pick(rt)) },
		"drain again": func(rt *rapid.T) { s.drain(pick(rt)) },
		"settle":      func(rt *rapid.T) { s.settle(rt) },
		"round":       func(rt *rapid.T) { tryRound(pick(rt), false) },
		"rounds":      func(*rapid.T) { runRounds(c) },
		"beats":       func(*rapid.T) { c.requestAllSupport() },
		"beat":        func(rt *rapid.T) { pick(rt).requestSupport(pick(rt)) },
		"release":     func(rt *rapid.T) { tryRound(pick(rt), true) },
		"wait": func(rt *rapid.T) {
			c.wait(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "millis")) * time.Millisecond)
		},
		"wait for an end": func(rt *rapid.T) {
			n := pick(rt)
			for _, p := range n.leases.Partitions(n.clock()) {
				h, _ := n.leases.Get(n.clock(), int(p))
				c.wait(h.Row.End.Sub(c.now) + time.Duration(rapid.IntRange(-5000, 5000).Draw(rt, "millis"))*time.Millisecond)
			}
		},
		"expire":    func(rt *rapid.T) { s.expire(pick(rt), rapid.IntRange(-5000, 5000).Draw(rt, "millis")) },
		"seize":     func(rt *rapid.T) { s.suspect(rt, pick(rt)) },
		"hand over": func(rt *rapid.T) { s.handOver(pick(rt)) },
		"kill":      func(rt *rapid.T) { pick(rt).alive = false },
		"restart":   func(rt *rapid.T) { pick(rt).start() },
		"pause":     func(rt *rapid.T) { n := pick(rt); n.paused = !n.paused },
		"cut":       func(rt *rapid.T) { n := pick(rt); n.isolated = !n.isolated },
		"store":     func(rt *rapid.T) { n := pick(rt); n.storeless = !n.storeless },
		"outage":    func(rt *rapid.T) { c.memory.SetDown(rapid.Bool().Draw(rt, "down")) },
		"lose": func(rt *rapid.T) {
			c.memory.SetLoseEvery(rapid.IntRange(0, 3).Draw(rt, "writes"))
			c.loseReplies = rapid.IntRange(0, 3).Draw(rt, "answers")
		},
		"": func(rt *rapid.T) {
			s.checkExclusive(rt)
			if e := excess(s.admissions, limit); e > 1 {
				rt.Fatalf("%.0f tokens beyond rate and burst", e)
			}
		},
	})
}

// history records the admissions of one schedule.
type history struct {
	cluster    *cluster
	limit      share.Limit
	admissions []admission
	open       []openGrant
	// requests counts the requests so far.
	requests int
}

// openGrant is a grant that is not settled yet.
type openGrant struct {
	by    *instance
	grant *Grant
	// index is the position in history.admissions.
	index int
}

// drain admits as much as an instance can collect at once.
func (s *history) drain(n *instance) {
	if !n.usable() {
		return
	}
	for tokens := s.limit.Burst; tokens > 0; tokens /= 2 {
		_, g := n.limiter.collect(context.Background(), n.clock, s.request(tokens))
		if g != nil {
			s.open = append(s.open, openGrant{n, g, len(s.admissions)})
			s.admissions = append(s.admissions, admission{s.cluster.now, tokens})
		}
	}
}

// checkExclusive checks that no partition may be used by two instances at once, including paused ones.
func (s *history) checkExclusive(rt *rapid.T) {
	for p := range s.cluster.partitions {
		users := 0
		for _, n := range s.cluster.instances {
			if _, ok := n.leases.Get(n.clock(), p); ok && n.alive {
				users++
			}
		}
		if users > 1 {
			rt.Fatalf("%d instances may use partition %d", users, p)
		}
	}
}

// expire disconnects a holder from the store until about the end of a lease, then runs a round and drains all instances.
func (s *history) expire(n *instance, millis int) {
	held := n.leases.Partitions(n.clock())
	if len(held) == 0 {
		return
	}
	h, _ := n.leases.Get(n.clock(), int(held[0]))
	n.storeless = true
	s.cluster.wait(h.Row.End.Sub(s.cluster.now) + time.Duration(millis)*time.Millisecond)
	s.drain(n)
	for _, o := range s.cluster.instances {
		tryRound(o, false)
	}
	for range 4 {
		s.cluster.wait(time.Second)
		for _, o := range s.cluster.instances {
			s.drain(o)
		}
	}
	n.storeless = false
}

// suspect disconnects a holder from the store or its peers, or pauses it, so that others suspect it, then drains all instances.
func (s *history) suspect(rt *rapid.T, n *instance) {
	n.storeless = rapid.IntRange(0, 3).Draw(rt, "storeless") > 0
	n.isolated = rapid.Bool().Draw(rt, "isolated")
	n.paused = rapid.Bool().Draw(rt, "paused")
	idleness := rapid.IntRange(0, 3).Draw(rt, "idleness")
	for range rapid.IntRange(5, 120).Draw(rt, "seconds") {
		s.cluster.wait(time.Second)
		for _, o := range s.cluster.instances {
			if rapid.IntRange(0, idleness+1).Draw(rt, "round") == 0 {
				tryRound(o, false)
			}
			o.requestSupport(s.cluster.instances[rapid.IntRange(0, len(s.cluster.instances)-1).Draw(rt, "peer")])
		}
		s.checkExclusive(rt)
		if rapid.IntRange(0, 30).Draw(rt, "change") == 0 {
			n.isolated = !n.isolated
		}
	}
	n.paused = false
	for _, o := range s.cluster.instances {
		s.drain(o)
	}
	n.storeless, n.isolated = false, false
}

// handOver makes a holder release its leases and the others acquire and use them.
func (s *history) handOver(n *instance) {
	tryRound(n, true)
	s.useOthers(n)
	s.drain(n)
}

// useOthers runs rounds on all other instances and drains them.
func (s *history) useOthers(except *instance) {
	for range 2 {
		for _, o := range s.cluster.instances {
			if o != except {
				tryRound(o, false)
			}
		}
		s.cluster.wait(4 * time.Second)
	}
	for _, o := range s.cluster.instances {
		if o != except {
			s.drain(o)
		}
	}
}

// request returns a request of which half the tokens may be returned.
func (s *history) request(tokens int64) Request {
	s.requests++
	return Request{ID: strconv.Itoa(s.requests), Workspace: workspace, Limit: s.limit, Firm: tokens / 2, Spare: tokens - tokens/2}
}

// settle settles the oldest open grant with at least half of its tokens used.
func (s *history) settle(rt *rapid.T) {
	if len(s.open) == 0 {
		return
	}
	o := s.open[0]
	s.open = s.open[1:]
	if !o.by.usable() {
		return
	}
	used := rapid.Int64Range(o.grant.Tokens/2, o.grant.Tokens).Draw(rt, "used")
	o.by.limiter.Settle(context.Background(), o.by.clock(), o.grant, used)
	s.admissions[o.index].tokens = used
}

func tryRound(n *instance, leaving bool) {
	if n.usable() {
		n.round(leaving)
	}
}

func runRounds(c *cluster) {
	for range 3 {
		for _, n := range c.instances {
			tryRound(n, false)
		}
		c.now = c.now.Add(4 * time.Second)
	}
}

func TestAdmitRejectsAtOnce(t *testing.T) {
	limit := share.Limit{Rate: 100, Burst: 1000}
	c := newCluster(3, 3, 6, limit)
	runRounds(c)
	n := c.instances[0]
	_, err := n.limiter.Admit(t.Context(), n.clock, Request{ID: "1000", Workspace: workspace, Limit: limit, Firm: 1000})
	must.NoError(t, err)
	before := c.now
	_, err = n.limiter.Admit(t.Context(), n.clock, Request{ID: "500", Workspace: workspace, Limit: limit, Firm: 500})
	must.True(t, fault.Is(err, fault.OverRate))
	must.Eq(t, before, c.now)
	must.Greater(t, 3, fault.RetryAfter(err))
	_, err = n.limiter.Admit(t.Context(), n.clock, Request{ID: "1001", Workspace: workspace, Limit: limit, Firm: 1001})
	must.True(t, fault.Is(err, fault.BadRequest))
}

func TestAdmitWaitsForRefill(t *testing.T) {
	limit := share.Limit{Rate: 1000, Burst: 2000}
	c := newCluster(2, 2, 4, limit)
	runRounds(c)
	n := c.instances[0]
	_, err := n.limiter.Admit(t.Context(), n.clock, Request{ID: "2000", Workspace: workspace, Limit: limit, Firm: 2000})
	must.NoError(t, err)
	before := c.now
	_, err = n.limiter.Admit(t.Context(), n.clock, Request{ID: "500", Workspace: workspace, Limit: limit, Firm: 500})
	must.NoError(t, err)
	must.Between(t, 400*time.Millisecond, c.now.Sub(before), MaxWait)
}

func TestGrantExpires(t *testing.T) {
	now := time.Now()
	g := Grant{At: now}
	must.True(t, g.Valid(now.Add(GrantTTL-1)))
	must.False(t, g.Valid(now.Add(GrantTTL)))
}

// TestUsedTokensFreeTheirRoom sends requests that use all the tokens that they reserved, at 90% of the rate for five minutes, and checks
// that none is rejected: tokens that can no longer be returned must not keep room in the shares.
func TestUsedTokensFreeTheirRoom(t *testing.T) {
	limit := share.Limit{Rate: 1000, Burst: 10_000}
	c := newCluster(3, 3, 6, limit)
	runRounds(c)
	for i := range 300 {
		c.wait(time.Second)
		c.requestAllSupport()
		if i%5 == 0 {
			runRounds(c)
		}
		n := c.instances[i%3]
		g, err := n.limiter.Admit(t.Context(), n.clock, Request{ID: strconv.Itoa(i), Workspace: workspace, Limit: limit, Firm: 450, Spare: 450})
		must.NoError(t, err, must.Sprintf("request %d", i))
		n.limiter.Settle(t.Context(), n.clock(), g, 900)
	}
}
