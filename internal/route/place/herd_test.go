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

// herd is a large site in virtual time: 106 instances that hear of each other's placements 0.6 s late before 90 engines, of
// which 24 have the newest weights and hold no prefix with them.
type herd struct {
	fleets []*fleet.Fleet
	flows  []place.Flow
	// busy is when each engine has read all that it has got.
	busy  []time.Time
	ends  []ending
	told  []map[string]fleet.Load
	waits []time.Duration
	draw  *rand.Rand
}

type ending struct {
	at       time.Time
	instance int
	engine   string
	tokens   int64
}

const (
	herdInstances = 106
	herdEngines   = 90
	herdNewest    = 24
	herdRate      = 240
	herdTell      = 200 * time.Millisecond
	herdHops      = 3
	herdPrompt    = 3300
)

func newHerd() *herd {
	h := &herd{busy: make([]time.Time, herdEngines), flows: make([]place.Flow, herdInstances), draw: rand.New(rand.NewPCG(1, 2))}
	for range herdInstances {
		f := fleet.New()
		for i := range herdEngines {
			version := int64(1)
			if i < herdNewest {
				version = 2
			}
			f.Put(fleet.Entry{
				ID: fmt.Sprintf("e%02d", i), Service: "s", State: fleet.Ready, Slots: 24, Weights: map[string]int64{"m": version}, Born: 1,
			})
		}
		h.fleets = append(h.fleets, f)
	}
	return h
}

// exchange passes on what all had on their way some rounds ago.
func (h *herd) exchange(now time.Time) {
	sum := make(map[string]fleet.Load)
	for _, f := range h.fleets {
		for id, l := range f.Loads(now) {
			sum[id] = sum[id].Plus(l)
		}
	}
	if h.told = append(h.told, sum); len(h.told) > herdHops {
		h.told = h.told[1:]
	}
	for _, f := range h.fleets {
		f.PeerLoads(now, "head", h.told[0])
	}
}

// run places prompts for a time and returns the 95th percentile of the waits until they are read.
func (h *herd) run(length time.Duration, unseen bool) time.Duration {
	costs := place.DefaultCosts()
	start := time.Unix(1000, 0)
	next := start
	for i := range int(length.Seconds() * herdRate) {
		now := start.Add(time.Duration(i) * time.Second / herdRate)
		for len(h.ends) > 0 && !h.ends[0].at.After(now) {
			e := h.ends[0]
			h.ends = h.ends[1:]
			h.fleets[e.instance].Prefilled(e.engine, e.tokens)
			h.fleets[e.instance].Ended(e.engine, 0)
		}
		if !now.Before(next) {
			h.exchange(now)
			next = now.Add(herdTell)
		}
		n := h.draw.IntN(herdInstances)
		h.place(now, n, costs, unseen)
	}
	slices.Sort(h.waits)
	return h.waits[len(h.waits)*95/100]
}

func (h *herd) place(now time.Time, n int, costs place.Costs, unseen bool) {
	prefix := h.draw.Uint64N(40)
	q := place.Question{
		Model: "m", Version: 2, Own: herdPrompt, Seed: h.draw.Uint64(), Affinity: prefix + 1, Group: prefix%8 + 1,
		Depths: func(int64) map[string]int { return nil }, Stale: 100 * time.Millisecond,
	}
	if unseen {
		q.Unseen = place.Unseen(h.flows[n].Rate(now), herdInstances-1, herdHops*herdTell, costs)
	}
	choice, ok := place.Choose(q, h.fleets[n].Views(now, "s"), costs)
	if !ok {
		return
	}
	h.flows[n].Add(now, choice.Reads)
	h.fleets[n].Sent(choice.ID, choice.Reads)
	var engine int
	// The id was printed by this test.
	_, _ = fmt.Sscanf(choice.ID, "e%02d", &engine)
	begin := now
	if h.busy[engine].After(begin) {
		begin = h.busy[engine]
	}
	h.busy[engine] = begin.Add(time.Duration(choice.Reads) * costs.PerToken)
	h.waits = append(h.waits, h.busy[engine].Sub(now))
	end := ending{h.busy[engine], n, choice.ID, choice.Reads}
	i, _ := slices.BinarySearchFunc(h.ends, end, func(a, b ending) int { return a.at.Compare(b.at) })
	h.ends = slices.Insert(h.ends, i, end)
}

// New weights come in on a quarter of the engines while all instances choose at once on old news.
func TestInstancesDoNotHerdOnTheNewestEngines(t *testing.T) {
	alike := newHerd().run(10*time.Second, false)
	spread := newHerd().run(10*time.Second, true)
	t.Logf("95th percentile of the wait: %s alike, %s spread", alike, spread)
	must.Less(t, alike/4, spread)
}
