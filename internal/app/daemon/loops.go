package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/conf/ledger"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/peer/lease"
	"github.com/skylarkquay/skylarkquay/internal/plat/roster"
	"github.com/skylarkquay/skylarkquay/internal/plat/runner"
	"github.com/skylarkquay/skylarkquay/internal/route/placer"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

const (
	beatEvery   = time.Second
	rosterEvery = time.Second
	// pollPerMember spreads the reads of the store over the instances, so that their sum stays constant.
	pollPerMember = 500 * time.Millisecond
	pollMost      = 10 * time.Second
	pollLeast     = time.Second
	leaseEvery    = 5 * time.Second
	leaseMost     = 60 * time.Second
	// leaseDoubting is the wait between two looks while the support of a silent holder lapses.
	leaseDoubting = 2 * time.Second
	// loadsPerSecond bounds the load reports that an instance asks for.
	loadsPerSecond = 20
	loadLeast      = 500 * time.Millisecond
	// loadIdle is the wait between two rounds on an instance that places no prompts.
	loadIdle    = 10 * time.Second
	loadTimeout = time.Second
	maxReport   = 64 << 10
)

// loops lists the router's parts that run on their own.
func (r *Router) loops() []part {
	return []part{
		{"config", r.pollConfig},
		{"beats", r.beat},
		{"roster", r.pollRoster},
		{"leases", r.keepLeases},
		{"watch", r.watch},
		{"loads", r.pollLoads},
		{"outcomes", r.flushOutcomes},
	}
}

// every calls do until the context ends, waiting about the returned time in between.
func every(ctx context.Context, do func(ctx context.Context) time.Duration) error {
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

// pollConfig reads the newest revision from the store.
func (r *Router) pollConfig(ctx context.Context) error {
	return every(ctx, func(ctx context.Context) time.Duration {
		r.readConfig(ctx)
		members := len(r.members.Live(time.Now()))
		return min(pollMost, max(pollLeast, time.Duration(members)*pollPerMember))
	})
}

func (r *Router) readConfig(ctx context.Context) {
	asked := time.Now()
	head, err := r.ledger.Head(ctx)
	if err != nil {
		r.log.V(1).Info("config: store does not answer", "reason", err.Error())
		return
	}
	doc, _ := r.feed.Document()
	if doc == nil {
		doc = rules.Empty()
	}
	if head > doc.Revision || doc.Revision == 0 {
		loaded, err := r.ledger.Load(ctx, doc)
		if err != nil {
			r.log.Info("config: load failed", "reason", err.Error())
			return
		}
		r.put(loaded)
	}
	r.feed.Confirm(asked, head)
	if err := r.crashes.Load(ctx, asked, r.table); err != nil {
		r.log.V(1).Info("crash: load failed", "reason", err.Error())
	}
}

// put offers a loaded document.
func (r *Router) put(doc *rules.Document) {
	if r.feed.InstallIfNewer(doc) {
		r.log.Info("config: in force", "revision", doc.Revision, "source", "store")
	}
}

// accepted puts an edit in force that this router has committed, and stores a snapshot now and then.
func (r *Router) accepted(out ledger.Outcome) {
	if err := r.feed.ApplyEntries([]rules.Entry{out.Entry}); err != nil || r.feed.Revision() < out.Entry.Revision {
		if out.Document != nil {
			r.put(out.Document)
		}
	}
	if out.Document == nil || out.Entry.Revision%ledger.SnapshotInterval != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.StoreTimeout)
	defer cancel()
	if err := r.ledger.SaveSnapshot(ctx, out.Document); err != nil {
		r.log.Info("config: snapshot not stored", "reason", err.Error())
	}
}

// beat exchanges heartbeats with a few peers.
func (r *Router) beat(ctx context.Context) error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return every(ctx, func(ctx context.Context) time.Duration {
		now := time.Now()
		r.keeper.RecordSupport(now, now, nil)
		r.members.SetPartitions(r.keeper.Partitions(now))
		request := r.peers.beat(now, random)
		for _, address := range r.members.Targets(now, random) {
			go r.peers.exchange(ctx, address, request)
		}
		return beatEvery
	})
}

// pollRoster reads the platform's list of instances and upstreams.
func (r *Router) pollRoster(ctx context.Context) error {
	return every(ctx, func(ctx context.Context) time.Duration {
		list, err := r.roster.Fetch(ctx)
		if err != nil {
			r.log.V(1).Info("member: instance list failed", "reason", err.Error())
			return rosterEvery
		}
		r.members.SetList(list.Instances)
		leaving := make(map[string]bool)
		for _, u := range list.Upstreams {
			if u.State == roster.Leaving {
				leaving[u.Address] = true
			}
		}
		r.fleet.SetLeaving(leaving)
		return rosterEvery
	})
}

// keepLeases acquires, renews and releases partitions.
func (r *Router) keepLeases(ctx context.Context) error {
	return every(ctx, func(ctx context.Context) time.Duration {
		now := time.Now()
		live := r.members.Live(now)
		counts := make(map[string]int, len(live))
		for _, m := range live {
			if !m.Leaving && now.Sub(m.LastSeen) < lease.SupportDuration(r.settings.Partitions)/2 || m.Address == r.settings.Peer {
				counts[m.Address] = len(m.Partitions)
			}
		}
		if err := r.keeper.Reconcile(ctx, time.Now, counts, false); err != nil {
			r.log.V(1).Info("lease: store does not answer", "reason", err.Error())
		}
		if len(r.keeper.Partitions(time.Now())) == 0 && len(live) <= r.settings.Partitions {
			return time.Second
		}
		if r.keeper.HasSuspicions() {
			return leaseDoubting
		}
		return min(leaseMost, max(leaseEvery, time.Duration(len(live))*pollPerMember))
	})
}

// handBack releases all leases at a planned stop.
func (r *Router) handBack(ctx context.Context) {
	if err := r.keeper.Reconcile(ctx, time.Now, map[string]int{}, true); err != nil {
		r.log.Info("lease: hand-back failed", "reason", err.Error())
	}
}

// watch follows the document in force: permitted upstreams, and keys that were withdrawn.
func (r *Router) watch(ctx context.Context) error {
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
			r.watched.Store(true)
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

// pollLoads asks engines for their load, each in turn, within a fixed number of questions a second.
func (r *Router) pollLoads(ctx context.Context) error {
	return every(ctx, func(ctx context.Context) time.Duration {
		doc, _ := r.feed.Document()
		if doc == nil {
			return loadLeast
		}
		engines := 0
		for name, u := range doc.Upstreams {
			if u.Kind != rules.Engine {
				continue
			}
			engines++
			go r.askLoad(ctx, name, u.Address)
			if engines%loadsPerSecond == 0 {
				time.Sleep(time.Second)
			}
		}
		if !r.placer.Active(time.Now()) {
			return loadIdle
		}
		return max(loadLeast, time.Duration(engines%loadsPerSecond)*time.Second/loadsPerSecond)
	})
}

func (r *Router) askLoad(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	asked := time.Now()
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
	if json.NewDecoder(http.MaxBytesReader(nil, res.Body, maxReport)).Decode(&report) == nil {
		r.fleet.LoadReported(asked, name, report)
	}
}

// flushOutcomes tells the placers what became of their prompts.
func (r *Router) flushOutcomes(ctx context.Context) error {
	return every(ctx, func(ctx context.Context) time.Duration {
		r.placer.Flush(ctx)
		return placer.FlushInterval
	})
}
