package edge

import (
	"time"

	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/peer/gossip"
	"github.com/skylarkquay/skylarkquay/internal/peer/rank"
)

// announcedTold is how long after its announcement a version of weights is told that is not the newest.
const announcedTold = 15 * time.Second

// Fill implements gossip.Source.
func (e *Edge) Fill(boot time.Duration, m *gossip.Message) (time.Duration, bool) {
	now := time.Now()
	m.Rates = e.quota.Report(boot)
	m.Loads = e.fleet.Loads(now)
	m.Crashes = e.deaths.Report(now)
	m.Uses = e.holders.Report(now, e.exchange.Interval())
	m.Leaving = e.handler.Draining.Load() && e.handler.OpenRequests.Load() == 0
	m.Following = e.following.Load() || !e.circle.ShouldFollow(now)
	m.List = e.list.tell(now)
	if e.asksKept.Load() {
		m.KVStores = e.handler.KVStores.All()
	}
	for _, w := range e.feed.RecentAnnouncements(boot - announcedTold) {
		m.Announcements = append(m.Announcements, gossip.Announcement{Model: w.Model, Version: w.Version, Age: int64(boot - w.FirstSeen), Assumed: !w.Observed})
	}
	e.roll.tell(now, m)
	if doc := e.feed.Document(); doc != nil {
		m.Revision = doc.Revision
	}
	age, known := e.feed.ConfirmationAge(boot)
	return boot - age, known
}

// Receive implements gossip.Sink.
func (e *Edge) Receive(boot time.Duration, m *gossip.Message, confirmed time.Duration, known bool) {
	now := time.Now()
	// An instance that the store turns away is met by the others.
	e.joined.CompareAndSwap(0, int64(boot))
	e.circle.Observe(now, rank.SortKey(m.Size, m.Address), m.Following)
	e.quota.Merge(boot, m.Address+string(m.Kind), m.Incarnation, m.Rates)
	if m.Leaving {
		e.quota.Leave(m.Address)
	}
	e.fleet.SetPeerLoads(now, m.Address, m.Loads)
	e.deaths.Merge(now, m.Address, m.Crashes)
	e.holders.Merge(now, m.Uses)
	e.budget.SetInstances(e.exchange.Count())
	for _, a := range m.Announcements {
		e.announced(policy.Weights{
			Model: a.Model, Version: a.Version, FirstSeen: boot - time.Duration(a.Age), Observed: !a.Assumed,
		}, m.Address)
	}
	e.roll.hear(now, m)
	if m.List != nil {
		e.hearList(now, m.List)
	}
	if !e.asksKept.Load() {
		for address, alive := range m.KVStores {
			e.keptStore(address, alive, m.Address, nil)
		}
	}
	doc := e.feed.Document()
	switch {
	case doc == nil && m.Revision > 0, doc != nil && m.Revision > doc.Revision:
		e.wake(m.Address)
	case doc == nil:
	case known && m.Revision == doc.Revision:
		e.feed.Confirm(confirmed)
	}
}

// hearList takes what another instance read of the list of upstreams.
func (e *Edge) hearList(now time.Time, n *gossip.ListUpdate) {
	if n.UnreachableAge >= 0 {
		e.fleet.StoreUnreachable(now.Add(-time.Duration(n.UnreachableAge)))
	}
	for _, c := range e.list.hear(now, n) {
		e.listChange(now, c)
	}
}
