package place_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

// simSite simulates a large site in virtual time: 106 instances that receive each other's loads 0.6 s late, and 90 engines,
// of which 24 have the latest weights and hold no prefix for them.
type simSite struct {
	fleets []*fleet.Fleet
	rates  []place.PrefillRate
	// busyUntil is when each engine has prefilled all its prompts.
	busyUntil []time.Time
	// completions are the pending ends of prefills, in order.
	completions []completion
	// inTransit holds the messages not yet delivered, newest last.
	inTransit []map[string]fleet.Load
	waits     []time.Duration
	rand      *rand.Rand
}

type completion struct {
	at       time.Time
	instance int
	engine   string
	tokens   int64
}

const (
	instances         = 106
	engineCount       = 90
	latestEngines     = 24
	requestsPerSecond = 240
	// messageInterval is the time between load messages, which reach the other instances over three hops.
	messageInterval = 200 * time.Millisecond
	messageHops     = 3
	promptTokens    = 3300
)

func newSimSite() *simSite {
	s := &simSite{busyUntil: make([]time.Time, engineCount), rates: make([]place.PrefillRate, instances), rand: rand.New(rand.NewPCG(1, 2))}
	for range instances {
		f := fleet.New()
		for i := range engineCount {
			version := int64(1)
			if i < latestEngines {
				version = 2
			}
			f.Put(fleet.Entry{
				ID: fmt.Sprintf("e%02d", i), Service: "s", State: fleet.Ready, Slots: 24, Weights: map[string]int64{"m": version}, Born: 1,
			})
		}
		s.fleets = append(s.fleets, f)
	}
	return s
}

// exchange delivers the sum of all loads sent messageHops rounds ago.
func (s *simSite) exchange(now time.Time) {
	sum := make(map[string]fleet.Load)
	for _, f := range s.fleets {
		for id, l := range f.Loads(now) {
			sum[id] = sum[id].Plus(l)
		}
	}
	if s.inTransit = append(s.inTransit, sum); len(s.inTransit) > messageHops {
		s.inTransit = s.inTransit[1:]
	}
	for _, f := range s.fleets {
		f.SetPeerLoads(now, "head", s.inTransit[0])
	}
}

// run places prompts, with or without the estimate of unreported work, and returns the 95th percentile of the waits until
// they are prefilled.
func (s *simSite) run(length time.Duration, withUnreported bool) time.Duration {
	costs := place.DefaultCosts()
	start := time.Unix(1000, 0)
	next := start
	for i := range int(length.Seconds() * requestsPerSecond) {
		now := start.Add(time.Duration(i) * time.Second / requestsPerSecond)
		for len(s.completions) > 0 && !s.completions[0].at.After(now) {
			c := s.completions[0]
			s.completions = s.completions[1:]
			s.fleets[c.instance].Prefilled(c.engine, c.tokens)
			s.fleets[c.instance].RequestEnded(c.engine, 0)
		}
		if !now.Before(next) {
			s.exchange(now)
			next = now.Add(messageInterval)
		}
		instance := s.rand.IntN(instances)
		s.place(now, instance, costs, withUnreported)
	}
	slices.Sort(s.waits)
	return s.waits[len(s.waits)*95/100]
}

func (s *simSite) place(now time.Time, instance int, costs place.Costs, withUnreported bool) {
	prefix := s.rand.Uint64N(40)
	q := place.Query{
		Model: "m", Version: 2, OwnTokens: promptTokens, Seed: s.rand.Uint64(), Affinity: prefix + 1, Group: prefix%8 + 1,
		Depths: func(int64) map[string]int { return nil }, StalePenalty: 100 * time.Millisecond,
	}
	if withUnreported {
		q.Unreported = place.Unreported(s.rates[instance].Rate(now), instances-1, messageHops*messageInterval, costs)
	}
	choice, ok := place.Choose(q, s.fleets[instance].Views(now, "s"), costs)
	if !ok {
		return
	}
	s.rates[instance].Add(now, choice.PrefillTokens)
	s.fleets[instance].RequestSent(now, choice.ID, choice.PrefillTokens)
	var engine int
	// The id was printed by this test, so scanning it cannot fail.
	_, _ = fmt.Sscanf(choice.ID, "e%02d", &engine)
	started := now
	if s.busyUntil[engine].After(started) {
		started = s.busyUntil[engine]
	}
	s.busyUntil[engine] = started.Add(time.Duration(choice.PrefillTokens) * costs.PerToken)
	s.waits = append(s.waits, s.busyUntil[engine].Sub(now))
	end := completion{s.busyUntil[engine], instance, choice.ID, choice.PrefillTokens}
	i, _ := slices.BinarySearchFunc(s.completions, end, func(a, b completion) int { return a.at.Compare(b.at) })
	s.completions = slices.Insert(s.completions, i, end)
}

// A quarter of the engines get new weights, and all instances choose between them by the same outdated loads. Without an
// estimate of unreported work, all would choose the same few engines.
func TestUnreportedWorkShortensWaitsOnLatestWeights(t *testing.T) {
	without := newSimSite().run(10*time.Second, false)
	with := newSimSite().run(10*time.Second, true)
	t.Logf("95th percentile of the wait: %s without unreported work, %s with it", without, with)
	must.Less(t, without/4, with)
}
