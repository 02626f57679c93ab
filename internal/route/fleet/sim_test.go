package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

const (
	instances           = 140
	engines             = 90
	unresponsiveEngines = 22
	// requestsPerSecond is the request rate of the whole site.
	requestsPerSecond = 330
	// messageInterval is the time between load messages, which reach the other instances over three hops.
	messageInterval = 250 * time.Millisecond
	messageHops     = 3
)

// simSite simulates a large site in virtual time, where one instance sends to one engine only every 30 s.
type simSite struct {
	fleets []*fleet.Fleet
	// inTransit holds the messages not yet delivered, newest last.
	inTransit []map[string]fleet.Load
}

func newSimSite() *simSite {
	s := &simSite{}
	for range instances {
		f := fleet.New()
		for i := range engines {
			f.Put(fleet.Entry{
				ID: fmt.Sprint("engine-", i), Service: "s", State: fleet.Ready, Slots: 24, Weights: map[string]int64{"m": 1}, Born: 1,
			})
		}
		s.fleets = append(s.fleets, f)
	}
	return s
}

// exchange delivers the sum of all loads sent messageHops rounds ago, with outcomes only if shareOutcomes is set.
func (s *simSite) exchange(now time.Time, shareOutcomes bool) {
	sum := make(map[string]fleet.Load)
	for _, f := range s.fleets {
		for id, l := range f.Loads(now) {
			if !shareOutcomes {
				l.Good, l.Bad, l.Unanswered = 0, 0, 0
			}
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

// run sends requests while some engines do not respond, and returns how many went to these and how many in total.
func (s *simSite) run(length time.Duration, shareOutcomes bool) (lost, sent int) {
	start := time.Unix(1000, 0)
	next := start
	for i := range int(length.Seconds() * requestsPerSecond) {
		now := start.Add(time.Duration(i) * time.Second / requestsPerSecond)
		if !now.Before(next) {
			s.exchange(now, shareOutcomes)
			next = now.Add(messageInterval)
		}
		f := s.fleets[i*61%instances]
		q := place.Query{Model: "m", Version: 1, OwnTokens: 800, Seed: uint64(i), Affinity: uint64(i % 40), Group: uint64(i % 8)}
		q.Depths = func(int64) map[string]int { return nil }
		choice, ok := place.Choose(q, f.Views(now, "s"), place.DefaultCosts())
		if !ok {
			continue
		}
		sent++
		var n int
		// The id was printed by this test, so scanning it cannot fail.
		_, _ = fmt.Sscanf(choice.ID, "engine-%d", &n)
		if n < unresponsiveEngines {
			lost++
			f.Failed(now, choice.ID)
		} else {
			f.AnswerStarted(now, choice.ID)
		}
	}
	return lost, sent
}

// A quarter of the engines stop responding. Without shared outcomes, each instance would try each of them.
func TestUnresponsiveEnginesAreDetectedOncePerSite(t *testing.T) {
	separate, sent := newSimSite().run(14*time.Second, false)
	shared, _ := newSimSite().run(14*time.Second, true)
	t.Logf("requests to unresponsive engines: %d with separate outcomes, %d with shared ones, of %d", separate, shared, sent)
	must.Greater(t, sent/10, separate)
	must.Less(t, separate/4, shared)
}

// One instance without a network connection sees every engine fail; the others keep using them.
func TestFailuresOfOneInstanceDoNotMakeEngineUnhealthy(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fleet.New()
	f.Put(fleet.Entry{ID: "u", Service: "s", State: fleet.Ready, Slots: 4, Born: 1})
	for range 8 {
		f.AnswerStarted(now, "u")
	}
	f.SetPeerLoads(now, "cut off", map[string]fleet.Load{"u": {Bad: 2}})
	v, _ := f.View(now, "u")
	must.True(t, v.Healthy())
	f.SetPeerLoads(now, "another", map[string]fleet.Load{"u": {Good: 1, Bad: 5}})
	v, _ = f.View(now, "u")
	must.False(t, v.Healthy())
	later := now.Add(7 * time.Second)
	v, _ = f.View(later, "u")
	must.Eq(t, 0.0, v.FailureRate)
}

// Engines with long queues respond late. Streams aborted there must not take the engines out of service for all instances.
func TestUnansweredCountsOnlyWithoutAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fleet.New()
	f.Put(fleet.Entry{ID: "u", Service: "s", State: fleet.Ready, Slots: 4, Born: 1})
	f.SetPeerLoads(now, "head", map[string]fleet.Load{"u": {Good: 1, Unanswered: 6}})
	v, _ := f.View(now, "u")
	must.True(t, v.Healthy())
	f.SetPeerLoads(now, "head", map[string]fleet.Load{"u": {Unanswered: 6}})
	v, _ = f.View(now, "u")
	must.False(t, v.Healthy())
	f.AnswerStarted(now, "u")
	v, _ = f.View(now, "u")
	must.True(t, v.Healthy())
}
