package edge

import (
	"time"

	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/peer/pulse"
	"github.com/skylarkquay/skylarkquay/internal/peer/share"
)

// announcedTold is how long after its announcement a version of weights is told that is not the newest.
const announcedTold = 15 * time.Second

// Tell implements pulse.Source.
func (e *Edge) Tell(boot time.Duration, m *pulse.Message) (time.Duration, bool) {
	now := time.Now()
	m.Rates = e.quota.Tell(boot)
	m.Loads = e.fleet.Loads(now)
	m.Crashers = e.deaths.Tell(now)
	m.Uses = e.holders.Report(now, e.exchange.Interval())
	m.Leaving = e.handler.Draining.Load() && e.handler.Open.Load() == 0
	m.Following = e.following.Load() || !e.circle.Follow(now)
	m.List = e.list.tell(now)
	if e.asksKept.Load() {
		m.Kept = e.handler.Kept.All()
	}
	for _, w := range e.feed.Recent(boot - announcedTold) {
		m.Announced = append(m.Announced, pulse.Announced{Model: w.Model, Version: w.Version, Age: int64(boot - w.Learnt), Assumed: !w.Seen})
	}
	e.roll.tell(now, m)
	if doc := e.feed.Document(); doc != nil {
		m.Revision = doc.Revision
	}
	age, known := e.feed.Age(boot)
	return boot - age, known
}

// Hear implements pulse.Sink.
func (e *Edge) Hear(boot time.Duration, m *pulse.Message, confirmed time.Duration, known bool) {
	now := time.Now()
	// An instance that the store turns away is met by the others.
	e.joined.CompareAndSwap(0, int64(boot))
	e.circle.Hear(now, share.Order(m.Size, m.Name), m.Following)
	e.quota.Hear(boot, m.Name+string(m.Kind), m.Incarnation, m.Rates)
	if m.Leaving {
		e.quota.Leave(m.Name)
	}
	e.fleet.SetPeerLoads(now, m.Name, m.Loads)
	e.deaths.Hear(now, m.Name, m.Crashers)
	e.holders.Merge(now, m.Uses)
	e.budget.Resize(e.exchange.Count())
	for _, a := range m.Announced {
		e.announced(policy.Weights{
			Model: a.Model, Version: a.Version, Learnt: boot - time.Duration(a.Age), Seen: !a.Assumed,
		}, m.Name)
	}
	e.roll.hear(now, m)
	if m.List != nil {
		e.hearList(now, m.List)
	}
	if !e.asksKept.Load() {
		for address, alive := range m.Kept {
			e.keptStore(address, alive, m.Name, nil)
		}
	}
	doc := e.feed.Document()
	switch {
	case doc == nil && m.Revision > 0, doc != nil && m.Revision > doc.Revision:
		e.wake(m.Name)
	case doc == nil:
	case known && m.Revision == doc.Revision:
		e.feed.Confirm(confirmed)
	}
}

// hearList takes what another instance read of the list of upstreams.
func (e *Edge) hearList(now time.Time, n *pulse.ListNews) {
	if n.Away >= 0 {
		e.fleet.StoreUnreachable(now.Add(-time.Duration(n.Away)))
	}
	for _, c := range e.list.hear(now, n) {
		e.listChange(now, c)
	}
}
