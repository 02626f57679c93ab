package escrow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/skylarkquay/skylarkquay/internal/limit/share"
	"github.com/skylarkquay/skylarkquay/internal/peer/lease"
	"github.com/skylarkquay/skylarkquay/internal/plat/table"
	"github.com/skylarkquay/skylarkquay/internal/stand/store"
)

var errCut = errors.New("cut")

// node is one instance of the test world.
type node struct {
	world       *world
	address     string
	zone        string
	incarnation string
	runs        int
	skew        time.Duration
	alive       bool
	died        time.Time
	paused      bool
	// apart cuts the node from its peers, storeless from the store.
	apart     bool
	storeless bool
	keeper    *lease.Manager
	limiter   *Limiter
}

// world is a set of instances over one table, with faults.
type world struct {
	partitions int
	memory     *store.Memory
	nodes      []*node
	whole      share.Budget
	random     *rand.Rand
	// now is the virtual time.
	now time.Time
	// loseAnswers makes one in that many peer answers get lost after the effect; zero is never.
	loseAnswers int
	// questions counts the takes that were asked.
	questions int
}

func newWorld(nodes, zones, partitions int, whole share.Budget) *world {
	w := &world{partitions: partitions, memory: store.NewMemory(), whole: whole, random: rand.New(rand.NewPCG(7, 7)), now: time.Unix(1_800_000_000, 0)}
	for i := range nodes {
		n := &node{world: w, address: fmt.Sprintf("n%02d", i), zone: fmt.Sprintf("z%d", i%zones)}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	return w
}

// start begins a new incarnation of a node.
func (n *node) start() {
	n.runs++
	n.incarnation = fmt.Sprintf("%s#%d", n.address, n.runs)
	n.alive = true
	n.paused = false
	n.keeper = lease.NewManager(n, logr.Discard(), n.address, n.incarnation, n.world.partitions, n)
	n.limiter = NewLimiter(n.world.partitions, share.NewBook(), n.keeper, n)
	n.limiter.sleep = n.world.sleep
}

// die ends a node without notice.
func (n *node) die() {
	n.alive = false
	n.died = n.world.now
}

// noticed is how long a dead node is still asked.
const noticed = 20 * time.Second

// sleep passes virtual time.
func (w *world) sleep(_ context.Context, d time.Duration) error {
	w.wait(d)
	return nil
}

// wait passes virtual time; it never goes back.
func (w *world) wait(d time.Duration) {
	w.now = w.now.Add(max(0, d))
}

func (n *node) clock() time.Time { return n.world.now.Add(n.skew) }

func (n *node) usable() bool { return n.alive && !n.paused }

// silent is how long a dead or unreachable node is still believed to be live.
const silent = 8 * time.Second

// round lets a node look after its leases.
func (n *node) round(leaving bool) {
	counts := make(map[string]int)
	for _, o := range n.world.nodes {
		if n.reaches(o) || (!o.alive && n.world.now.Sub(o.died) < silent) {
			counts[o.address] = len(o.keeper.Partitions(o.clock()))
		}
	}
	_ = n.keeper.Reconcile(context.Background(), n.clock, counts, leaving)
}

// reaches tells whether a question to another node is answered.
func (n *node) reaches(o *node) bool {
	return o != nil && o.usable() && !n.apart && !o.apart
}

// beat asks another node for its support.
func (n *node) beat(o *node) {
	if !n.usable() {
		return
	}
	var votes []int
	if o != n && n.reaches(o) {
		votes = o.keeper.GrantSupport(o.clock(), n.incarnation)
	}
	n.keeper.RecordSupport(n.clock(), n.clock(), votes)
}

// beatAll lets all nodes ask all others.
func (w *world) beatAll() {
	for _, n := range w.nodes {
		for _, o := range w.nodes {
			n.beat(o)
		}
	}
}

// Probe implements lease.Peers.
func (n *node) Probe(_ context.Context, address string) (string, error) {
	o := n.world.at(address)
	if !n.reaches(o) {
		return "", errCut
	}
	return o.incarnation, nil
}

// Withdraw implements lease.Peers.
func (n *node) Withdraw(_ context.Context, incarnation string) []int {
	var votes []int
	for _, o := range n.world.nodes {
		if o != n && n.reaches(o) {
			votes = append(votes, o.keeper.WithdrawSupport(o.clock(), incarnation)...)
		}
	}
	return votes
}

func (w *world) at(address string) *node {
	for _, o := range w.nodes {
		if o.address == address {
			return o
		}
	}
	return nil
}

// Holder implements Peers.
func (n *node) Holder(_ time.Time, partition int) string {
	for _, o := range n.world.nodes {
		lately := !o.alive && n.world.now.Sub(o.died) < noticed
		if o == n || (!o.usable() && !lately) || o.apart || n.apart {
			continue
		}
		if _, ok := o.keeper.Get(o.clock(), partition); ok {
			return o.address
		}
	}
	return ""
}

// Take implements Peers.
func (n *node) Take(_ context.Context, address string, k share.Key, want share.Want) (given, left int64, held bool, err error) {
	n.world.questions++
	o := n.world.at(address)
	if o == nil || !o.usable() || n.apart || o.apart {
		return 0, 0, false, errCut
	}
	given, left, held = o.limiter.Serve(o.clock(), k, n.world.whole, want)
	if n.world.loseAnswers > 0 && n.world.random.IntN(n.world.loseAnswers) == 0 {
		return 0, 0, false, errCut
	}
	return given, left, held, nil
}

// Give implements Peers.
func (n *node) Give(_ context.Context, address string, k share.Key, id string, tokens int64) {
	o := n.world.at(address)
	if o == nil || !o.usable() || n.apart || o.apart {
		return
	}
	o.limiter.Return(o.clock(), k, n.world.whole, id, tokens)
}

// Get implements lease.Table.
func (n *node) Get(ctx context.Context, part, sort string) (table.Record, bool, error) {
	if n.storeless {
		return table.Record{}, false, table.ErrUnavailable
	}
	return n.world.memory.Get(ctx, part, sort)
}

// List implements lease.Table.
func (n *node) List(ctx context.Context, part, after string, limit int) ([]table.Record, error) {
	if n.storeless {
		return nil, table.ErrUnavailable
	}
	return n.world.memory.List(ctx, part, after, limit)
}

// Put implements lease.Table.
func (n *node) Put(ctx context.Context, p table.Put) error {
	if n.storeless {
		return table.ErrUnavailable
	}
	return n.world.memory.Put(ctx, p)
}
