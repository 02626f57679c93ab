package admit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/skylarkquay/skylarkquay/internal/fake/store"
	"github.com/skylarkquay/skylarkquay/internal/limit/share"
	"github.com/skylarkquay/skylarkquay/internal/peer/lease"
	"github.com/skylarkquay/skylarkquay/internal/plat/table"
)

var errUnreachable = errors.New("unreachable")

// instance is one instance of the test cluster.
type instance struct {
	cluster     *cluster
	address     string
	zone        string
	incarnation string
	runs        int
	skew        time.Duration
	alive       bool
	killedAt    time.Time
	paused      bool
	// An isolated instance cannot reach its peers, a storeless one cannot reach the store.
	isolated  bool
	storeless bool
	leases    *lease.Manager
	limiter   *Limiter
}

// cluster is a set of instances that share one table, with injected faults.
type cluster struct {
	partitions int
	memory     *store.Memory
	instances  []*instance
	limit      share.Limit
	random     *rand.Rand
	// now is the virtual time.
	now time.Time
	// loseReplies drops one in that many replies of peers after the call took effect; zero drops none.
	loseReplies int
	// takeCalls counts the calls of Take.
	takeCalls int
}

func newCluster(instances, zones, partitions int, limit share.Limit) *cluster {
	c := &cluster{partitions: partitions, memory: store.NewMemory(), limit: limit, random: rand.New(rand.NewPCG(7, 7)), now: time.Unix(1_800_000_000, 0)}
	for i := range instances {
		n := &instance{cluster: c, address: fmt.Sprintf("n%02d", i), zone: fmt.Sprintf("z%d", i%zones)}
		c.instances = append(c.instances, n)
		n.start()
	}
	return c
}

// start starts a new incarnation of an instance.
func (n *instance) start() {
	n.runs++
	n.incarnation = fmt.Sprintf("%s#%d", n.address, n.runs)
	n.alive = true
	n.paused = false
	n.leases = lease.NewManager(n, logr.Discard(), n.address, n.incarnation, n.cluster.partitions, n)
	n.limiter = NewLimiter(n.cluster.partitions, share.NewBuckets(), n.leases, n)
	n.limiter.sleep = n.cluster.sleep
}

// kill stops an instance without notice.
func (n *instance) kill() {
	n.alive = false
	n.killedAt = n.cluster.now
}

// holderTimeout is how long Holder still returns a killed instance.
const holderTimeout = 20 * time.Second

// sleep advances virtual time.
func (c *cluster) sleep(_ context.Context, d time.Duration) error {
	c.wait(d)
	return nil
}

// wait advances virtual time, which never goes back.
func (c *cluster) wait(d time.Duration) {
	c.now = c.now.Add(max(0, d))
}

func (n *instance) clock() time.Time { return n.cluster.now.Add(n.skew) }

func (n *instance) usable() bool { return n.alive && !n.paused }

// memberTimeout is how long a killed instance still counts as live.
const memberTimeout = 8 * time.Second

// round runs one lease round.
func (n *instance) round(leaving bool) {
	counts := make(map[string]int)
	for _, o := range n.cluster.instances {
		if n.reaches(o) || (!o.alive && n.cluster.now.Sub(o.killedAt) < memberTimeout) {
			counts[o.address] = len(o.leases.Partitions(o.clock()))
		}
	}
	_ = n.leases.Reconcile(context.Background(), n.clock, counts, leaving)
}

// reaches reports whether another instance answers calls.
func (n *instance) reaches(o *instance) bool {
	return o != nil && o.usable() && !n.isolated && !o.isolated
}

// requestSupport requests another instance's support for this incarnation.
func (n *instance) requestSupport(o *instance) {
	if !n.usable() {
		return
	}
	var votes []int
	if o != n && n.reaches(o) {
		votes = o.leases.GrantSupport(o.clock(), n.incarnation)
	}
	n.leases.RecordSupport(n.clock(), n.clock(), votes)
}

// requestAllSupport makes every instance request the support of all.
func (c *cluster) requestAllSupport() {
	for _, n := range c.instances {
		for _, o := range c.instances {
			n.requestSupport(o)
		}
	}
}

// Probe implements lease.Peers.
func (n *instance) Probe(_ context.Context, address string) (string, error) {
	o := n.cluster.find(address)
	if !n.reaches(o) {
		return "", errUnreachable
	}
	return o.incarnation, nil
}

// Withdraw implements lease.Peers.
func (n *instance) Withdraw(_ context.Context, incarnation string) []int {
	var votes []int
	for _, o := range n.cluster.instances {
		if o != n && n.reaches(o) {
			votes = append(votes, o.leases.WithdrawSupport(o.clock(), incarnation)...)
		}
	}
	return votes
}

func (c *cluster) find(address string) *instance {
	for _, o := range c.instances {
		if o.address == address {
			return o
		}
	}
	return nil
}

// Holder implements Peers.
func (n *instance) Holder(_ time.Time, partition int) string {
	for _, o := range n.cluster.instances {
		recent := !o.alive && n.cluster.now.Sub(o.killedAt) < holderTimeout
		if o == n || (!o.usable() && !recent) || o.isolated || n.isolated {
			continue
		}
		if _, ok := o.leases.Get(o.clock(), partition); ok {
			return o.address
		}
	}
	return ""
}

// Take implements Peers.
func (n *instance) Take(_ context.Context, address string, k share.Key, take share.TakeRequest) (given, left int64, held bool, err error) {
	n.cluster.takeCalls++
	o := n.cluster.find(address)
	if o == nil || !o.usable() || n.isolated || o.isolated {
		return 0, 0, false, errUnreachable
	}
	given, left, held = o.limiter.ServeTake(o.clock(), k, n.cluster.limit, take)
	if n.cluster.loseReplies > 0 && n.cluster.random.IntN(n.cluster.loseReplies) == 0 {
		return 0, 0, false, errUnreachable
	}
	return given, left, held, nil
}

// Return implements Peers.
func (n *instance) Return(_ context.Context, address string, k share.Key, id string, tokens int64) {
	o := n.cluster.find(address)
	if o == nil || !o.usable() || n.isolated || o.isolated {
		return
	}
	o.limiter.ServeReturn(o.clock(), k, n.cluster.limit, id, tokens)
}

// Get implements lease.Table.
func (n *instance) Get(ctx context.Context, part, sort string) (table.Record, bool, error) {
	if n.storeless {
		return table.Record{}, false, table.ErrUnavailable
	}
	return n.cluster.memory.Get(ctx, part, sort)
}

// List implements lease.Table.
func (n *instance) List(ctx context.Context, part, after string, limit int) ([]table.Record, error) {
	if n.storeless {
		return nil, table.ErrUnavailable
	}
	return n.cluster.memory.List(ctx, part, after, limit)
}

// Put implements lease.Table.
func (n *instance) Put(ctx context.Context, p table.Put) error {
	if n.storeless {
		return table.ErrUnavailable
	}
	return n.cluster.memory.Put(ctx, p)
}
