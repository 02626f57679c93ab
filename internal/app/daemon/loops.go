package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/conf/ledger"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/peer/lease"
	"github.com/skylarkquay/skylarkquay/internal/plat/roster"
	"github.com/skylarkquay/skylarkquay/internal/plat/runner"
	"github.com/skylarkquay/skylarkquay/internal/route/placer"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

const (
	heartbeatInterval = time.Second
	rosterInterval    = time.Second
	// pollPerMember scales the polling interval by the number of instances, so that the total read rate stays constant.
	pollPerMember    = 500 * time.Millisecond
	maxPollInterval  = 10 * time.Second
	minPollInterval  = time.Second
	minLeaseInterval = 5 * time.Second
	maxLeaseInterval = 60 * time.Second
	// suspectLeaseInterval is the time between two rounds while the support of an unresponsive holder expires.
	suspectLeaseInterval = 2 * time.Second
	// loadQueriesPerSecond bounds the load queries of this instance to engines.
	loadQueriesPerSecond = 20
	minLoadInterval      = 500 * time.Millisecond
	// idleLoadInterval is the time between two rounds on an instance that places no prompts.
	idleLoadInterval = 10 * time.Second
	loadTimeout      = time.Second
)

// loops lists the router's background loops.
func (r *Router) loops() []loop {
	return []loop{
		{"config", r.pollConfig},
		{"beats", r.sendHeartbeats},
		{"roster", r.pollRoster},
		{"leases", r.reconcileLeases},
		{"watch", r.watchDocument},
		{"loads", r.pollLoads},
		{"outcomes", r.flushOutcomes},
		{"paths", r.checkPaths},
	}
}

// repeat calls do until the context ends. After each call it waits for the returned time with a jitter of ±25%.
func repeat(ctx context.Context, do func(ctx context.Context) time.Duration) error {
	for {
		wait := do(ctx)
		jittered := wait*3/4 + rand.N(wait/2+1)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(jittered):
		}
	}
}

// pollConfig reads the latest revision and the crash counts from the table.
func (r *Router) pollConfig(ctx context.Context) error {
	return repeat(ctx, func(ctx context.Context) time.Duration {
		r.readConfig(ctx)
		members := len(r.members.Live(time.Now()))
		return min(maxPollInterval, max(minPollInterval, time.Duration(members)*pollPerMember))
	})
}

func (r *Router) readConfig(ctx context.Context) {
	sent := time.Now()
	head, err := r.ledger.Head(ctx)
	if err != nil {
		r.log.V(1).Info("config: could not read the latest revision", "reason", err.Error())
		return
	}
	doc, _ := r.feed.Document()
	if doc == nil {
		doc = rules.Empty()
	}
	if head > doc.Revision || doc.Revision == 0 {
		loaded, err := r.ledger.Load(ctx, doc)
		if err != nil {
			r.log.Info("config: could not load the document", "reason", err.Error())
			return
		}
		r.install(loaded)
	}
	r.feed.Confirm(sent, head)
	if err := r.crashes.Load(ctx, sent, r.table); err != nil {
		r.log.V(1).Info("crash: could not load the counts", "reason", err.Error())
	}
}

// install activates a loaded document if it is newer than the active one.
func (r *Router) install(doc *rules.Document) {
	if r.feed.InstallIfNewer(doc) {
		r.log.Info("config: revision in force", "revision", doc.Revision, "source", "store")
	}
}

// applyCommitted activates an edit that this router has committed. Every ledger.SnapshotInterval revisions it stores ledger.SnapshotInterval snapshot.
func (r *Router) applyCommitted(out ledger.Outcome) {
	if err := r.feed.ApplyEntries([]rules.Entry{out.Entry}); err != nil || r.feed.Revision() < out.Entry.Revision {
		if out.Document != nil {
			r.install(out.Document)
		}
	}
	if out.Document == nil || out.Entry.Revision%ledger.SnapshotInterval != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.StoreTimeout)
	defer cancel()
	if err := r.ledger.SaveSnapshot(ctx, out.Document); err != nil {
		r.log.Info("config: could not store the snapshot", "reason", err.Error())
	}
}

// sendHeartbeats exchanges heartbeats with a few peers.
func (r *Router) sendHeartbeats(ctx context.Context) error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return repeat(ctx, func(ctx context.Context) time.Duration {
		now := time.Now()
		r.leases.RecordSupport(now, now, nil)
		r.members.SetPartitions(r.leases.Partitions(now))
		request := r.peers.heartbeat(now, random)
		for _, address := range r.members.Targets(now, random) {
			go r.peers.exchange(ctx, address, request)
		}
		return heartbeatInterval
	})
}

// pollRoster reads the platform's list of instances and upstreams.
func (r *Router) pollRoster(ctx context.Context) error {
	return repeat(ctx, func(ctx context.Context) time.Duration {
		list, err := r.roster.Fetch(ctx)
		if err != nil {
			r.log.V(1).Info("member: could not fetch the instance list", "reason", err.Error())
			return rosterInterval
		}
		r.members.SetList(list.Instances)
		leaving := make(map[string]bool)
		for _, u := range list.Upstreams {
			if u.State == roster.Leaving {
				leaving[u.Address] = true
			}
		}
		r.fleet.SetLeaving(leaving)
		return rosterInterval
	})
}

// reconcileLeases acquires, renews and releases leases on partitions.
func (r *Router) reconcileLeases(ctx context.Context) error {
	return repeat(ctx, func(ctx context.Context) time.Duration {
		now := time.Now()
		live := r.members.Live(now)
		leaseCounts := make(map[string]int, len(live))
		for _, m := range live {
			if !m.Leaving && now.Sub(m.LastSeen) < lease.SupportDuration(r.settings.Partitions)/2 || m.Address == r.settings.Peer {
				leaseCounts[m.Address] = len(m.Partitions)
			}
		}
		if err := r.leases.Reconcile(ctx, time.Now, leaseCounts, false); err != nil {
			r.log.V(1).Info("lease: could not list the leases", "reason", err.Error())
		}
		if len(r.leases.Partitions(time.Now())) == 0 && len(live) <= r.settings.Partitions {
			return time.Second
		}
		if r.leases.HasSuspicions() {
			return suspectLeaseInterval
		}
		return min(maxLeaseInterval, max(minLeaseInterval, time.Duration(len(live))*pollPerMember))
	})
}

// releaseLeases releases all leases at a planned stop.
func (r *Router) releaseLeases(ctx context.Context) {
	if err := r.leases.Reconcile(ctx, time.Now, map[string]int{}, true); err != nil {
		r.log.Info("lease: could not release the leases", "reason", err.Error())
	}
}

// watchDocument applies each new document: permitted upstreams, placement policy, and withdrawn keys.
func (r *Router) watchDocument(ctx context.Context) error {
	for {
		doc, changed := r.feed.Document()
		if doc != nil {
			r.fleet.SetUpstreams(doc.Upstreams)
			policy := doc.ActivePolicy()
			perToken := time.Duration(policy.TokenMicros) * time.Microsecond
			r.fleet.SetPerToken(perToken)
			r.placer.Configure(perToken, policy.Placers)
			addresses := make(map[string]bool, len(doc.Upstreams))
			for _, u := range doc.Upstreams {
				addresses[u.Address] = true
			}
			r.pool.Retain(addresses)
			r.configured.Store(true)
			if ended := r.gate.CancelWithdrawn(doc); ended > 0 {
				r.log.Info("gate: ended requests of withdrawn keys", "requests", ended, "revision", doc.Revision)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// pollLoads queries all engines for their load, at most loadQueriesPerSecond a second.
func (r *Router) pollLoads(ctx context.Context) error {
	return repeat(ctx, func(ctx context.Context) time.Duration {
		doc, _ := r.feed.Document()
		if doc == nil {
			return minLoadInterval
		}
		engines := 0
		for name, u := range doc.Upstreams {
			if u.Kind != rules.Engine {
				continue
			}
			engines++
			go r.queryLoad(ctx, name, u.Address)
			if engines%loadQueriesPerSecond == 0 {
				time.Sleep(time.Second)
			}
		}
		if !r.placer.Active(time.Now()) {
			return idleLoadInterval
		}
		return max(minLoadInterval, time.Duration(engines%loadQueriesPerSecond)*time.Second/loadQueriesPerSecond)
	})
}

func (r *Router) queryLoad(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	sent := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+runner.LoadPath, nil)
	if err != nil {
		return
	}
	res, err := r.pool.Do(req)
	if err != nil {
		r.fleet.Failed(time.Now(), name)
		return
	}
	defer func() { _ = res.Body.Close() }()
	var report status.Report
	if json.NewDecoder(bound.Reader(res.Body, status.MaxReportBytes)).Decode(&report) == nil {
		r.fleet.LoadReported(sent, name, report)
	}
}

// flushOutcomes reports the outcomes of prompts to the instances that placed them.
func (r *Router) flushOutcomes(ctx context.Context) error {
	return repeat(ctx, func(ctx context.Context) time.Duration {
		r.placer.Flush(ctx)
		return placer.FlushInterval
	})
}
