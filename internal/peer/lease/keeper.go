package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/skylarkquay/skylarkquay/internal/plat/table"
)

// Table is the part of the table service that leases use.
type Table interface {
	Get(ctx context.Context, part, sort string) (table.Record, bool, error)
	List(ctx context.Context, part, after string, limit int) ([]table.Record, error)
	Put(ctx context.Context, p table.Put) error
}

// Peers asks other instances.
type Peers interface {
	// Probe asks an address which incarnation answers there.
	Probe(ctx context.Context, address string) (incarnation string, err error)
	// Withdraw asks all live instances to support an incarnation no longer, and returns the votes of those that agreed.
	Withdraw(ctx context.Context, incarnation string) []int
}

const (
	leasePart = "lease"
	// maxPartitions bounds one listing.
	maxPartitions = 4096
)

// Keeper holds this instance's leases.
type Keeper struct {
	table       Table
	log         logr.Logger
	self        string
	incarnation string
	partitions  int
	peers       Peers

	mu        sync.Mutex
	votes     votes
	held      map[int]Held
	freeSince map[int]time.Time
	dead      map[string]bool
}

// NewKeeper returns a keeper without leases.
func NewKeeper(t Table, log logr.Logger, self, incarnation string, partitions int, peers Peers) *Keeper {
	return &Keeper{
		table:       t,
		log:         log,
		self:        self,
		incarnation: incarnation,
		partitions:  partitions,
		peers:       peers,
		votes:       newVotes(partitions),
		held:        make(map[int]Held),
		freeSince:   make(map[int]time.Time),
		dead:        make(map[string]bool),
	}
}

// Get returns the lease of a partition when this instance may use it now.
func (k *Keeper) Get(now time.Time, partition int) (Held, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.held[partition]
	return h, ok && usable(now, h)
}

// usable tells whether a lease is valid and supported.
func usable(now time.Time, h Held) bool {
	return h.Valid(now) && now.Before(h.Good)
}

// voting returns the own partitions that count as votes.
func (k *Keeper) voting(now time.Time) []int {
	var own []int
	for p, h := range k.held {
		if usable(now, h) && now.After(h.VotesFrom) {
			own = append(own, p)
		}
	}
	return own
}

// Partitions returns the partitions that this instance may use now.
func (k *Keeper) Partitions(now time.Time) []uint32 {
	k.mu.Lock()
	defer k.mu.Unlock()
	var all []uint32
	for p := range k.partitions {
		if h, ok := k.held[p]; ok && usable(now, h) {
			all = append(all, uint32(p))
		}
	}
	return all
}

// Round reads all rows, decides and carries the steps out. The clock gives the present time before each step.
func (k *Keeper) Round(ctx context.Context, clock func() time.Time, counts map[string]int, leaving bool) error {
	asked := clock()
	records, err := k.table.List(ctx, leasePart, "", maxPartitions)
	if err != nil {
		return err
	}
	rows := k.rows(records)
	k.mu.Lock()
	for _, row := range rows {
		k.observe(asked, row)
	}
	k.mu.Unlock()
	k.collect(ctx, clock, rows)
	for _, step := range k.decide(clock(), rows, counts, leaving) {
		k.carryOut(ctx, clock, step)
	}
	return nil
}

// rows decodes the listing and fills in absent rows.
func (k *Keeper) rows(records []table.Record) []Row {
	rows := make([]Row, k.partitions)
	for i := range rows {
		rows[i] = Row{Partition: i}
	}
	for _, r := range records {
		var row Row
		if json.Unmarshal(r.Data, &row) != nil || row.Partition >= k.partitions {
			continue
		}
		row.Rev = r.Rev
		rows[row.Partition] = row
	}
	return rows
}

func (k *Keeper) decide(now time.Time, rows []Row, counts map[string]int, leaving bool) []Step {
	k.mu.Lock()
	defer k.mu.Unlock()
	counts[k.self] = len(k.held)
	seizable := make(map[int]bool)
	for _, row := range rows {
		seizable[row.Partition] = k.votes.seizable(now, row)
	}
	return Decide(now, View{
		Self:        k.self,
		Incarnation: k.incarnation,
		Seizable:    seizable,
		Rows:        rows,
		Held:        k.held,
		Counts:      counts,
		FreeSince:   k.freeSince,
		Dead:        k.dead,
		Leaving:     leaving,
	})
}

// observe corrects the held leases and the free times by a row that was asked for at a time.
func (k *Keeper) observe(now time.Time, row Row) {
	mine := row.Address == k.self && row.Incarnation == k.incarnation
	_, ok := k.held[row.Partition]
	if ok && !mine {
		delete(k.held, row.Partition)
		ok = false
	}
	if ok && row.Doubt == nil {
		h := k.held[row.Partition]
		h.Good = now.Add(SupportFor(k.partitions))
		k.held[row.Partition] = h
	}
	if ok || !Free(now, row, k.dead, k.self) {
		delete(k.freeSince, row.Partition)
		return
	}
	if _, ok := k.freeSince[row.Partition]; !ok {
		k.freeSince[row.Partition] = now
	}
}

func (k *Keeper) carryOut(ctx context.Context, clock func() time.Time, step Step) {
	switch step.Action {
	case Prove:
		k.prove(ctx, step.Row)
	case Release:
		k.release(ctx, step.Row)
	case Suspect:
		k.suspect(ctx, clock, step.Row)
	default:
		k.write(ctx, clock, step)
	}
}

// prove learns whether the holder's process has been replaced.
func (k *Keeper) prove(ctx context.Context, row Row) {
	answered, err := k.peers.Probe(ctx, row.Address)
	if err != nil || answered == row.Incarnation {
		return
	}
	k.log.Info("lease: holder was replaced", "partition", row.Partition, "address", row.Address)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dead[row.Incarnation] = true
}

// release hands a partition back. The lease is dropped before the write, so that a lost answer leaves it unused.
func (k *Keeper) release(ctx context.Context, row Row) {
	k.mu.Lock()
	h := k.held[row.Partition]
	delete(k.held, row.Partition)
	k.mu.Unlock()
	next := Row{Partition: row.Partition, Epoch: h.Row.Epoch}
	err := k.put(ctx, row.Rev, next)
	k.log.Info("lease: released", "partition", row.Partition, "error", errorText(err))
}

// write acquires or renews a partition.
func (k *Keeper) write(ctx context.Context, clock func() time.Time, step Step) {
	now := clock()
	row := step.Row
	next := Row{
		Partition:   row.Partition,
		Address:     k.self,
		Incarnation: k.incarnation,
		Epoch:       row.Epoch,
		End:         now.Round(0).Add(Length).UTC(),
	}
	k.mu.Lock()
	h := k.held[row.Partition]
	if step.Action == Acquire {
		next.Epoch++
		h = Held{Since: since(now, row, k.dead), Fresh: row.Rev == 0, VotesFrom: now.Add(PromiseFor(k.partitions))}
		delete(k.votes.doubts, row.Partition)
	}
	k.mu.Unlock()
	err := k.put(ctx, row.Rev, next)
	if errors.Is(err, table.ErrUnavailable) {
		err = k.confirm(ctx, row.Rev+1, next)
	}
	if err != nil {
		k.log.Info("lease: write failed", "action", step.Action, "partition", row.Partition, "error", err.Error())
		return
	}
	next.Rev = row.Rev + 1
	h.Row = next
	h.Granted = now
	h.Good = now.Add(SupportFor(k.partitions))
	k.mu.Lock()
	k.held[row.Partition] = h
	k.mu.Unlock()
	k.log.V(1).Info("lease: granted", "action", step.Action, "partition", row.Partition, "epoch", next.Epoch)
}

// confirm finds out whether a write without an answer took effect.
func (k *Keeper) confirm(ctx context.Context, rev int64, want Row) error {
	r, ok, err := k.table.Get(ctx, leasePart, sortOf(want.Partition))
	if err != nil {
		return err
	}
	if !ok || r.Rev != rev || r.WriteID != k.writeID(want) {
		return table.ErrConflict
	}
	return nil
}

func (k *Keeper) put(ctx context.Context, prev int64, row Row) error {
	data, err := json.Marshal(row)
	if err != nil {
		return err
	}
	return k.table.Put(ctx, table.Put{Prev: prev, Record: table.Record{
		Part:    leasePart,
		Sort:    sortOf(row.Partition),
		Rev:     prev + 1,
		WriteID: k.writeID(row),
		Data:    data,
	}})
}

// writeID identifies a write: one incarnation writes one end or one doubt to a row at most once.
func (k *Keeper) writeID(row Row) string {
	if row.Doubt != nil {
		return fmt.Sprintf("%s/doubt/%d", k.incarnation, row.Doubt.At.UnixNano())
	}
	return fmt.Sprintf("%s/%d", k.incarnation, row.End.UnixNano())
}

func sortOf(partition int) string {
	return fmt.Sprintf("%05d", partition)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
