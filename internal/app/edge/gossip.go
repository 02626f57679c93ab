package edge

import (
	"time"

	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/peer/gossip"
	"github.com/skylarkquay/skylarkquay/internal/peer/rank"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

// minAnnouncementTTL is how long at least a version of weights is reported after the announcement of the next one.
const minAnnouncementTTL = 15 * time.Second

// announcementTTL returns how long a version of weights is reported after the announcement of the next one. Before that one is due, the
// earlier one is the oldest on which requests may start.
func (e *Edge) announcementTTL() time.Duration {
	return max(minAnnouncementTTL, 2*e.handler.Settings.SupersededLimit)
}

// Fill implements gossip.Source.
func (e *Edge) Fill(boot time.Duration, m *gossip.Message) (time.Duration, bool) {
	now := time.Now()
	// First, because the confirmation of a later state must not vouch for this one.
	age, known := e.replica.ConfirmationAge(boot)
	m.Rates = e.quota.Report(boot)
	if e.checkDetached() {
		m.Detached = []string{e.settings.Peer}
	}
	m.Loads = e.fleet.Loads(now)
	e.addPaces(now, m.Loads)
	m.Crashes = e.crashes.Report(now)
	m.Parts = e.parts.Report(now)
	m.Uses = e.holders.Report(now, e.exchange.Interval())
	m.Leaving = e.handler.Draining.Load() && e.handler.OpenRequests.Load() == 0
	m.Following = e.following.Load() || !e.ranks.ShouldFollow(now)
	m.Unserved = e.ranks.IsUnserved(now)
	m.List = e.listUpdate(boot)
	if e.kvStorePoller.Load() {
		m.KVStores = e.handler.KVStores.All()
	}
	for _, w := range e.replica.RecentAnnouncements(boot - e.announcementTTL()) {
		m.Announcements = append(m.Announcements, announcement(boot, w))
	}
	m.Streams = e.origins.Report(now, func(service string) bool { return e.needsRecord(boot, now, service) })
	m.Departures = e.fleet.Departures(now)
	m.Limits = e.fleet.Limits(now)
	e.rollout.report(now, m)
	e.decider.report(boot, m)
	if doc := e.replica.Document(); doc != nil {
		m.Revision = doc.Revision
	}
	m.Epoch, _ = e.epochs.get()
	m.Epoch = max(0, m.Epoch)
	return boot - age, known
}

// Receive implements gossip.Sink.
func (e *Edge) Receive(boot time.Duration, m *gossip.Message, sentAfter, confirmed time.Duration, known bool) {
	now := time.Now()
	// An instance that the store rejects joins when it first receives a message.
	e.joined.CompareAndSwap(0, int64(boot))
	// The members of a large site's zone know only their head, and must not all take over from it at once.
	e.ranks.Observe(now, rank.SortKey(m.Size, m.Address), rank.Report{Following: m.Following, Unserved: m.Unserved && !e.exchange.UsesHead()})
	m.Rates.Aggregated = m.Kind != gossip.KindOwn
	e.quota.Merge(boot, m.Address+string(m.Kind), m.Incarnation, m.Rates)
	if m.Leaving {
		e.quota.RemovePeer(m.Address)
	}
	e.fleet.SetPeerLoads(now, m.Address, m.Loads)
	e.crashes.Merge(now, m.Address, m.Crashes)
	e.parts.SetReportDelay(e.exchange.PropagationDelay())
	e.parts.Merge(now, m.Parts)
	e.holders.Merge(now, m.Uses)
	e.origins.Merge(now, m.Streams)
	e.budget.SetInstances(e.exchange.Count())
	e.fleet.SetInstances(e.exchange.Count(), e.exchange.PropagationDelay())
	for _, a := range m.Announcements {
		e.addAnnouncement(weights(boot, a, sentAfter, known), m.Address)
	}
	for _, d := range m.Departures {
		e.markLeaving(now, d, false, m.Address)
	}
	for _, l := range m.Limits {
		if e.fleet.ObserveLimit(now, l, false) {
			e.log.Info("route: limit of an upstream changed", "upstream", l.ID, "per_second", l.Rate, "brittle", l.Brittle, "age_ms", l.Age/int64(time.Millisecond), "from", m.Address)
		}
	}
	e.rollout.merge(now, m)
	e.decider.merge(boot, sentAfter, known, m)
	e.observeEpoch(m.Epoch, m.Address)
	epoch, _ := e.epochs.get()
	if m.List != nil {
		e.lastListReport.Store(&listReport{from: m.Address, at: boot, asOf: boot - time.Duration(m.List.Age)})
		e.mergeList(boot, now, m.List, m.Address)
		if known {
			e.list.prove(sentAfter, m.List)
		}
	}
	if !e.kvStorePoller.Load() {
		for address, available := range m.KVStores {
			e.setKVStore(address, available, m.Address, nil)
		}
	}
	doc := e.replica.Document()
	switch {
	case doc == nil && m.Revision > 0, doc != nil && m.Revision > doc.Revision:
		e.requestDocument(m.Address)
	case doc == nil:
	case m.Epoch < epoch:
		// The sender does not know of the restore yet.
	case known && m.Revision == doc.Revision:
		e.replica.Confirm(confirmed)
	}
}

// announcement returns the report of a version.
func announcement(boot time.Duration, w policy.Weights) gossip.Announcement {
	a := gossip.Announcement{Model: w.Model, Version: w.Version, Age: int64(boot - w.FirstSeen), Assumed: w.Basis() == policy.Assumed}
	if w.Bounded {
		a.Unannounced = max(1, int64(boot-w.Unannounced))
	}
	return a
}

// maxDatingAge is how old a report may be for its dates to count as observed. Messages come several times a second; a report is older if
// this process was suspended before it read it.
const maxDatingAge = 500 * time.Millisecond

// weights returns a version that another instance reported. A bound is dated by a time before the report was sent, because the report
// may have been under way for long. Observed dates of such a report would be too late; the next one has them.
func weights(boot time.Duration, a gossip.Announcement, sentAfter time.Duration, known bool) policy.Weights {
	fresh := !known || boot-sentAfter <= maxDatingAge
	w := policy.Weights{
		Model: a.Model, Version: a.Version, FirstSeen: boot - time.Duration(a.Age), Observed: fresh && !a.Assumed && a.Age != a.Unannounced,
	}
	if known && a.Unannounced > 0 {
		w.Bounded, w.Unannounced = true, sentAfter-time.Duration(a.Unannounced)
	}
	return w
}

// markLeaving records that an upstream has announced that it stops, to this instance (own) or to another one.
func (e *Edge) markLeaving(now time.Time, d fleet.Departure, own bool, from string) {
	if e.fleet.MarkLeaving(now, d, own) {
		e.log.Info("route: upstream announced that it stops", "upstream", d.ID, "from", from)
	}
}

// mergeList applies what another instance read of the list of upstreams.
func (e *Edge) mergeList(boot time.Duration, now time.Time, u *gossip.ListUpdate, from string) {
	if epoch, _ := e.epochs.get(); u.Epoch == epoch {
		e.mergeServed(boot, u, from)
	}
	for _, c := range e.list.merge(boot, u) {
		if c.Entry != nil && !e.isValid(c.Entry, c.Version) {
			c.Entry = nil
		}
		e.applyListChange(now, c)
	}
}

// isValid reports whether an entry names an upstream. Instances of earlier builds pass on some that do not.
func (e *Edge) isValid(entry *fleet.Entry, row int64) bool {
	err := entry.Check()
	if err != nil {
		e.log.Info("list: invalid entry", "upstream", entry.ID, "row", row, "error", err.Error())
	}
	return err == nil
}
