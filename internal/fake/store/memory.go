// Package store simulates the platform for tests: table service, object store and instance list, with injectable faults.
package store

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"

	"github.com/skylarkquay/skylarkquay/internal/plat/table"
)

// key is a row's primary key.
type key struct {
	part string
	sort string
}

// Memory is an in-memory table with the semantics of the table service. Server and unit tests use it.
type Memory struct {
	mu   sync.Mutex
	rows map[key]table.Record
	// Reads and Writes count the calls that were executed.
	Reads  int64
	Writes int64
	// Down fails every call before it is executed.
	Down bool
	// LoseEvery executes one in that many writes but returns ErrUnavailable; zero disables it.
	LoseEvery int
	// FailEvery fails one in that many calls before it is executed; zero disables it.
	FailEvery int
	random    *rand.Rand
}

// NewMemory returns an empty table.
func NewMemory() *Memory {
	return &Memory{rows: make(map[key]table.Record), random: rand.New(rand.NewPCG(1, 2))}
}

// SetDown starts or ends a simulated outage.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Down = down
}

// SetLoseEvery sets LoseEvery.
func (m *Memory) SetLoseEvery(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.LoseEvery = n
}

// SetFailEvery sets FailEvery.
func (m *Memory) SetFailEvery(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.FailEvery = n
}

// Counts returns the number of executed reads and writes.
func (m *Memory) Counts() (reads, writes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Reads, m.Writes
}

// Get reads one row.
func (m *Memory) Get(_ context.Context, part, sort string) (table.Record, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Down || m.oneIn(m.FailEvery) {
		return table.Record{}, false, table.ErrUnavailable
	}
	m.Reads++
	r, ok := m.rows[key{part, sort}]
	return r, ok, nil
}

// List reads up to limit rows of a partition after a sort key.
func (m *Memory) List(_ context.Context, part, after string, limit int) ([]table.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Down || m.oneIn(m.FailEvery) {
		return nil, table.ErrUnavailable
	}
	m.Reads++
	return m.list(part, after, limit), nil
}

// Peek returns the rows of a partition without faults or counting.
func (m *Memory) Peek(part string) []table.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list(part, "", len(m.rows))
}

func (m *Memory) list(part, after string, limit int) []table.Record {
	var rows []table.Record
	for k, r := range m.rows {
		if k.part == part && k.sort > after {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Sort < rows[j].Sort })
	if len(rows) > limit {
		rows = rows[:limit]
	}
	return rows
}

// Put writes one row if its revision is p.Prev.
func (m *Memory) Put(ctx context.Context, p table.Put) error {
	return m.Transact(ctx, []table.Put{p})
}

// Transact writes all rows, or none when a revision differs.
func (m *Memory) Transact(_ context.Context, puts []table.Put) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Down || m.oneIn(m.FailEvery) {
		return table.ErrUnavailable
	}
	for _, p := range puts {
		if m.rows[key{p.Record.Part, p.Record.Sort}].Rev != p.Prev {
			return table.ErrConflict
		}
	}
	for _, p := range puts {
		m.rows[key{p.Record.Part, p.Record.Sort}] = p.Record
	}
	m.Writes++
	if m.oneIn(m.LoseEvery) {
		return table.ErrUnavailable
	}
	return nil
}

// oneIn reports true at random for one in n calls; never for zero.
func (m *Memory) oneIn(n int) bool {
	return n > 0 && m.random.IntN(n) == 0
}
