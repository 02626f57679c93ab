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

// Peers sends requests to other instances.
type Peers interface {
	// Probe returns the incarnation that answers at an address.
	Probe(ctx context.Context, address string) (incarnation string, err error)
	// Withdraw requests all live instances to withdraw their support of an incarnation, and returns the votes of those
	// that did.
	Withdraw(ctx context.Context, incarnation string) []int
}

const (
	leasePart = "lease"
	// maxPartitions is the limit of one listing.
	maxPartitions = 4096
)

// Manager manages this instance's leases.
type Manager struct {
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
	ended     map[string]bool
}

// NewManager returns a manager without leases.
func NewManager(t Table, log logr.Logger, self, incarnation string, partitions int, peers Peers) *Manager {
	return &Manager{
		table:       t,
		log:         log,
		self:        self,
		incarnation: incarnation,
		partitions:  partitions,
		peers:       peers,
		votes:       newVotes(partitions),
		held:        make(map[int]Held),
		freeSince:   make(map[int]time.Time),
		ended:       make(map[string]bool),
	}
}

// Get returns the lease of a partition and reports whether this instance may use it now.
func (m *Manager) Get(now time.Time, partition int) (Held, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.held[partition]
	return h, ok && usable(now, h)
}

// usable reports whether a lease is valid and supported.
func usable(now time.Time, h Held) bool {
	return h.Valid(now) && now.Before(h.SupportedUntil)
}

// votingPartitions returns this instance's partitions that count as votes.
func (m *Manager) votingPartitions(now time.Time) []int {
	var own []int
	for p, h := range m.held {
		if usable(now, h) && now.After(h.VotesFrom) {
			own = append(own, p)
		}
	}
	return own
}

// Partitions returns the partitions that this instance may use now.
func (m *Manager) Partitions(now time.Time) []uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []uint32
	for p := range m.partitions {
		if h, ok := m.held[p]; ok && usable(now, h) {
			all = append(all, uint32(p))
		}
	}
	return all
}

// Reconcile reads all rows, decides on the steps and executes them. The clock is read before each step.
func (m *Manager) Reconcile(ctx context.Context, clock func() time.Time, counts map[string]int, leaving bool) error {
	listedAt := clock()
	records, err := m.table.List(ctx, leasePart, "", maxPartitions)
	if err != nil {
		return err
	}
	rows := m.decodeRows(records)
	m.mu.Lock()
	for _, row := range rows {
		m.applyRow(listedAt, row)
	}
	m.mu.Unlock()
	m.collectWithdrawals(ctx, clock, rows)
	for _, step := range m.decide(clock(), rows, counts, leaving) {
		m.execute(ctx, clock, step)
	}
	return nil
}

// decodeRows decodes the listing and fills in absent rows.
func (m *Manager) decodeRows(records []table.Record) []Row {
	rows := make([]Row, m.partitions)
	for i := range rows {
		rows[i] = Row{Partition: i}
	}
	for _, r := range records {
		var row Row
		if json.Unmarshal(r.Data, &row) != nil || row.Partition >= m.partitions {
			continue
		}
		row.Rev = r.Rev
		rows[row.Partition] = row
	}
	return rows
}

func (m *Manager) decide(now time.Time, rows []Row, counts map[string]int, leaving bool) []Step {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts[m.self] = len(m.held)
	seizable := make(map[int]bool)
	for _, row := range rows {
		seizable[row.Partition] = m.votes.seizable(now, row)
	}
	return Decide(now, View{
		Self:        m.self,
		Incarnation: m.incarnation,
		Seizable:    seizable,
		Rows:        rows,
		Held:        m.held,
		Counts:      counts,
		FreeSince:   m.freeSince,
		Ended:       m.ended,
		Leaving:     leaving,
	})
}

// applyRow updates the held leases and the free times from a row whose read began at a time.
func (m *Manager) applyRow(now time.Time, row Row) {
	own := row.Address == m.self && row.Incarnation == m.incarnation
	_, ok := m.held[row.Partition]
	if ok && !own {
		delete(m.held, row.Partition)
		ok = false
	}
	if ok && row.Suspicion == nil {
		h := m.held[row.Partition]
		h.SupportedUntil = now.Add(SupportDuration(m.partitions))
		m.held[row.Partition] = h
	}
	if ok || !Free(now, row, m.ended, m.self) {
		delete(m.freeSince, row.Partition)
		return
	}
	if _, ok := m.freeSince[row.Partition]; !ok {
		m.freeSince[row.Partition] = now
	}
}

func (m *Manager) execute(ctx context.Context, clock func() time.Time, step Step) {
	switch step.Action {
	case Probe:
		m.probe(ctx, step.Row)
	case Release:
		m.release(ctx, step.Row)
	case Suspect:
		m.suspect(ctx, clock, step.Row)
	default:
		m.acquireOrRenew(ctx, clock, step)
	}
}

// probe checks whether another incarnation answers at the holder's address.
func (m *Manager) probe(ctx context.Context, row Row) {
	answered, err := m.peers.Probe(ctx, row.Address)
	if err != nil || answered == row.Incarnation {
		return
	}
	m.log.Info("lease: another incarnation answers at the holder's address", "partition", row.Partition, "address", row.Address)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended[row.Incarnation] = true
}

// release returns a partition. The lease is dropped before the write, so that it is unused even if the response is lost.
func (m *Manager) release(ctx context.Context, row Row) {
	m.mu.Lock()
	h := m.held[row.Partition]
	delete(m.held, row.Partition)
	m.mu.Unlock()
	next := Row{Partition: row.Partition, Epoch: h.Row.Epoch}
	err := m.put(ctx, row.Rev, next)
	m.log.Info("lease: released", "partition", row.Partition, "error", errorText(err))
}

// acquireOrRenew writes a row that grants or extends a lease.
func (m *Manager) acquireOrRenew(ctx context.Context, clock func() time.Time, step Step) {
	now := clock()
	row := step.Row
	next := Row{
		Partition:   row.Partition,
		Address:     m.self,
		Incarnation: m.incarnation,
		Epoch:       row.Epoch,
		End:         now.Round(0).Add(Duration).UTC(),
	}
	m.mu.Lock()
	h := m.held[row.Partition]
	if step.Action == Acquire {
		next.Epoch++
		h = Held{BudgetFrom: budgetStart(now, row, m.ended), FirstHolder: row.Rev == 0, VotesFrom: now.Add(WithdrawalDuration(m.partitions))}
		delete(m.votes.suspicions, row.Partition)
	}
	m.mu.Unlock()
	err := m.put(ctx, row.Rev, next)
	if errors.Is(err, table.ErrUnavailable) {
		err = m.confirmWrite(ctx, row.Rev+1, next)
	}
	if err != nil {
		m.log.Info("lease: write failed", "action", step.Action, "partition", row.Partition, "error", err.Error())
		return
	}
	next.Rev = row.Rev + 1
	h.Row = next
	h.Granted = now
	h.SupportedUntil = now.Add(SupportDuration(m.partitions))
	m.mu.Lock()
	m.held[row.Partition] = h
	m.mu.Unlock()
	m.log.V(1).Info("lease: granted", "action", step.Action, "partition", row.Partition, "epoch", next.Epoch)
}

// confirmWrite checks whether a write whose response was lost took effect.
func (m *Manager) confirmWrite(ctx context.Context, rev int64, want Row) error {
	r, ok, err := m.table.Get(ctx, leasePart, sortKey(want.Partition))
	if err != nil {
		return err
	}
	if !ok || r.Rev != rev || r.WriteID != m.writeID(want) {
		return table.ErrConflict
	}
	return nil
}

func (m *Manager) put(ctx context.Context, prev int64, row Row) error {
	data, err := json.Marshal(row)
	if err != nil {
		return err
	}
	return m.table.Put(ctx, table.Put{Prev: prev, Record: table.Record{
		Part:    leasePart,
		Sort:    sortKey(row.Partition),
		Rev:     prev + 1,
		WriteID: m.writeID(row),
		Data:    data,
	}})
}

// writeID identifies a write: an incarnation writes the same end or suspicion to a row at most once.
func (m *Manager) writeID(row Row) string {
	if row.Suspicion != nil {
		return fmt.Sprintf("%s/doubt/%d", m.incarnation, row.Suspicion.At.UnixNano())
	}
	return fmt.Sprintf("%s/%d", m.incarnation, row.End.UnixNano())
}

func sortKey(partition int) string {
	return fmt.Sprintf("%05d", partition)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
