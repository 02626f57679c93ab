package escrow

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

const tenant = "w"

// init fixes seed and size, so that every run gives the same verdict; flags override them.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.shrinktime", "3s")
	_ = flag.Set("rapid.steps", "60")
}

// use is the admission of some tokens.
type use struct {
	at     time.Time
	tokens int64
}

// excess returns the largest amount by which the uses of any interval exceed burst + rate x interval.
func excess(uses []use, whole share.Budget) float64 {
	worst := 0.0
	for i := range uses {
		sum := 0.0
		for j := i; j < len(uses); j++ {
			sum += float64(uses[j].tokens)
			span := uses[j].at.Sub(uses[i].at).Seconds()
			worst = max(worst, sum-float64(whole.Burst)-float64(whole.PerSecond)*span)
		}
	}
	return worst
}

// TestRateNeverExceeded runs random schedules of kills, restarts, pauses, cuts, outages, lost answers, skewed clocks and
// hand-backs, and checks the tokens admitted by all instances over every interval.
func TestRateNeverExceeded(t *testing.T) {
	rapid.Check(t, schedule)
}

func schedule(rt *rapid.T) {
	whole := share.Budget{PerSecond: 100, Burst: rapid.Int64Range(500, 5000).Draw(rt, "burst")}
	w := newWorld(rapid.IntRange(1, 5).Draw(rt, "nodes"), 3, rapid.IntRange(1, 6).Draw(rt, "partitions"), whole)
	for _, n := range w.nodes {
		n.skew = time.Duration(rapid.Int64Range(0, int64(lease.MaxClockSkew)).Draw(rt, "skew"))
	}
	all(w)
	s := &run{world: w, whole: whole}
	pick := func(rt *rapid.T) *node { return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(rt, "node")] }
	rt.Repeat(map[string]func(*rapid.T){
		"drain":       func(rt *rapid.T) { s.drain(pick(rt)) },
		"drain again": func(rt *rapid.T) { s.drain(pick(rt)) },
		"settle":      func(rt *rapid.T) { s.settle(rt) },
		"round":       func(rt *rapid.T) { step(pick(rt), false) },
		"rounds":      func(*rapid.T) { all(w) },
		"beats":       func(*rapid.T) { w.beatAll() },
		"beat":        func(rt *rapid.T) { pick(rt).beat(pick(rt)) },
		"release":     func(rt *rapid.T) { step(pick(rt), true) },
		"wait": func(rt *rapid.T) {
			w.wait(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "millis")) * time.Millisecond)
		},
		"wait for an end": func(rt *rapid.T) {
			n := pick(rt)
			for _, p := range n.keeper.Partitions(n.clock()) {
				h, _ := n.keeper.Get(n.clock(), int(p))
				w.wait(h.Row.End.Sub(w.now) + time.Duration(rapid.IntRange(-5000, 5000).Draw(rt, "millis"))*time.Millisecond)
			}
		},
		"expire":    func(rt *rapid.T) { s.expire(pick(rt), rapid.IntRange(-5000, 5000).Draw(rt, "millis")) },
		"seize":     func(rt *rapid.T) { s.seize(rt, pick(rt)) },
		"hand over": func(rt *rapid.T) { s.handOver(pick(rt)) },
		"kill":      func(rt *rapid.T) { pick(rt).alive = false },
		"restart":   func(rt *rapid.T) { pick(rt).start() },
		"pause":     func(rt *rapid.T) { n := pick(rt); n.paused = !n.paused },
		"cut":       func(rt *rapid.T) { n := pick(rt); n.apart = !n.apart },
		"store":     func(rt *rapid.T) { n := pick(rt); n.storeless = !n.storeless },
		"outage":    func(rt *rapid.T) { w.memory.SetDown(rapid.Bool().Draw(rt, "down")) },
		"lose": func(rt *rapid.T) {
			w.memory.SetLoseEvery(rapid.IntRange(0, 3).Draw(rt, "writes"))
			w.loseAnswers = rapid.IntRange(0, 3).Draw(rt, "answers")
		},
		"": func(rt *rapid.T) {
			s.exclusive(rt)
			if e := excess(s.uses, whole); e > 1 {
				rt.Fatalf("%.0f tokens beyond rate and burst", e)
			}
		},
	})
}

// run is the record of one schedule.
type run struct {
	world *world
	whole share.Budget
	uses  []use
	open  []open
	// requests counts the requests so far.
	requests int
}

// open is a grant that is not settled yet.
type open struct {
	by    *node
	grant *Grant
	use   int
}

// drain admits all that an instance can get at once.
func (s *run) drain(n *node) {
	if !n.usable() {
		return
	}
	for tokens := s.whole.Burst; tokens > 0; tokens /= 2 {
		_, g := n.limiter.try(context.Background(), n.clock, s.request(tokens))
		if g != nil {
			s.open = append(s.open, open{n, g, len(s.uses)})
			s.uses = append(s.uses, use{s.world.now, tokens})
		}
	}
}

// exclusive checks that no partition may be used by two instances at the same time, not even by one that is paused now.
func (s *run) exclusive(rt *rapid.T) {
	for p := range s.world.partitions {
		users := 0
		for _, n := range s.world.nodes {
			if _, ok := n.keeper.Get(n.clock(), p); ok && n.alive {
				users++
			}
		}
		if users > 1 {
			rt.Fatalf("%d instances may use partition %d", users, p)
		}
	}
}

// expire cuts a holder from the store until about the end of a lease, then lets the others act, and drains all.
func (s *run) expire(n *node, millis int) {
	held := n.keeper.Partitions(n.clock())
	if len(held) == 0 {
		return
	}
	h, _ := n.keeper.Get(n.clock(), int(held[0]))
	n.storeless = true
	s.world.wait(h.Row.End.Sub(s.world.now) + time.Duration(millis)*time.Millisecond)
	s.drain(n)
	for _, o := range s.world.nodes {
		step(o, false)
	}
	for range 4 {
		s.world.wait(time.Second)
		for _, o := range s.world.nodes {
			s.drain(o)
		}
	}
	n.storeless = false
}

// seize cuts a holder off in some way and lets the others doubt it, while all use what they can.
func (s *run) seize(rt *rapid.T, n *node) {
	n.storeless = rapid.IntRange(0, 3).Draw(rt, "storeless") > 0
	n.apart = rapid.Bool().Draw(rt, "apart")
	n.paused = rapid.Bool().Draw(rt, "paused")
	calm := rapid.IntRange(0, 3).Draw(rt, "calm")
	for range rapid.IntRange(5, 120).Draw(rt, "seconds") {
		s.world.wait(time.Second)
		for _, o := range s.world.nodes {
			if rapid.IntRange(0, calm+1).Draw(rt, "round") == 0 {
				step(o, false)
			}
			o.beat(s.world.nodes[rapid.IntRange(0, len(s.world.nodes)-1).Draw(rt, "peer")])
		}
		s.exclusive(rt)
		if rapid.IntRange(0, 30).Draw(rt, "change") == 0 {
			n.apart = !n.apart
		}
	}
	n.paused = false
	for _, o := range s.world.nodes {
		s.drain(o)
	}
	n.storeless, n.apart = false, false
}

// handOver lets a holder release its leases and the others take them over and use them.
func (s *run) handOver(n *node) {
	step(n, true)
	s.others(n)
	s.drain(n)
}

// others lets all instances but one look after their leases and drain their shares.
func (s *run) others(but *node) {
	for range 2 {
		for _, o := range s.world.nodes {
			if o != but {
				step(o, false)
			}
		}
		s.world.wait(4 * time.Second)
	}
	for _, o := range s.world.nodes {
		if o != but {
			s.drain(o)
		}
	}
}

// request asks for tokens of which half may be returned.
func (s *run) request(tokens int64) Request {
	s.requests++
	return Request{ID: strconv.Itoa(s.requests), Workspace: tenant, Whole: s.whole, Firm: tokens / 2, Spare: tokens - tokens/2}
}

// settle returns a part of the oldest open grant.
func (s *run) settle(rt *rapid.T) {
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
	s.uses[o.use].tokens = used
}

func step(n *node, leaving bool) {
	if n.usable() {
		n.round(leaving)
	}
}

func all(w *world) {
	for range 3 {
		for _, n := range w.nodes {
			step(n, false)
		}
		w.now = w.now.Add(4 * time.Second)
	}
}

func TestAdmitRefusesAtOnce(t *testing.T) {
	whole := share.Budget{PerSecond: 100, Burst: 1000}
	w := newWorld(3, 3, 6, whole)
	all(w)
	n := w.nodes[0]
	_, err := n.limiter.Admit(t.Context(), n.clock, Request{ID: "1000", Workspace: tenant, Whole: whole, Firm: 1000})
	must.NoError(t, err)
	before := w.now
	_, err = n.limiter.Admit(t.Context(), n.clock, Request{ID: "500", Workspace: tenant, Whole: whole, Firm: 500})
	must.True(t, fault.Is(err, fault.OverRate))
	must.Eq(t, before, w.now)
	must.Greater(t, 3, fault.RetryAfter(err))
	_, err = n.limiter.Admit(t.Context(), n.clock, Request{ID: "1001", Workspace: tenant, Whole: whole, Firm: 1001})
	must.True(t, fault.Is(err, fault.BadRequest))
}

func TestAdmitWaitsForRefill(t *testing.T) {
	whole := share.Budget{PerSecond: 1000, Burst: 2000}
	w := newWorld(2, 2, 4, whole)
	all(w)
	n := w.nodes[0]
	_, err := n.limiter.Admit(t.Context(), n.clock, Request{ID: "2000", Workspace: tenant, Whole: whole, Firm: 2000})
	must.NoError(t, err)
	before := w.now
	_, err = n.limiter.Admit(t.Context(), n.clock, Request{ID: "500", Workspace: tenant, Whole: whole, Firm: 500})
	must.NoError(t, err)
	must.Between(t, 400*time.Millisecond, w.now.Sub(before), MaxWait)
}

func TestGrantGoesStale(t *testing.T) {
	now := time.Now()
	g := Grant{At: now}
	must.True(t, g.Fresh(now.Add(FreshFor-1)))
	must.False(t, g.Fresh(now.Add(FreshFor)))
}

// TestUsedTokensFreeTheirRoom sends requests that use all that they reserved, at 90% of the rate for five minutes, and checks
// that none is refused: what can no longer be returned must not keep room in the shares.
func TestUsedTokensFreeTheirRoom(t *testing.T) {
	whole := share.Budget{PerSecond: 1000, Burst: 10_000}
	w := newWorld(3, 3, 6, whole)
	all(w)
	for i := range 300 {
		w.wait(time.Second)
		w.beatAll()
		if i%5 == 0 {
			all(w)
		}
		n := w.nodes[i%3]
		g, err := n.limiter.Admit(t.Context(), n.clock, Request{ID: strconv.Itoa(i), Workspace: tenant, Whole: whole, Firm: 450, Spare: 450})
		must.NoError(t, err, must.Sprintf("request %d", i))
		n.limiter.Settle(t.Context(), n.clock(), g, 900)
	}
}
