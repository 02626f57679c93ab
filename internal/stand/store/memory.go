// Package store is the stand-in for the platform: table service, object store and instance list, with faults that can be switched on.
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

// Memory is an in-memory table with the semantics of the table service. It serves both the stand-in server and tests.
type Memory struct {
	mu   sync.Mutex
	rows map[key]table.Record
	// Reads and Writes count the calls that took effect.
	Reads  int64
	Writes int64
	// Down makes every call fail before it takes effect.
	Down bool
	// LoseEvery makes one in that many writes take effect with its answer lost; zero is never.
	LoseEvery int
	// FailEvery makes one in that many calls fail before its effect; zero is never.
	FailEvery int
	random    *rand.Rand
}

// NewMemory returns an empty table.
func NewMemory() *Memory {
	return &Memory{rows: make(map[key]table.Record), random: rand.New(rand.NewPCG(1, 2))}
}

// SetDown switches the outage on or off.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Down = down
}

// SetLoseEvery sets how often a write's answer is lost.
func (m *Memory) SetLoseEvery(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.LoseEvery = n
}

// SetFailEvery sets how often a call fails.
func (m *Memory) SetFailEvery(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.FailEvery = n
}

// Counts returns the calls that took effect so far.
func (m *Memory) Counts() (reads, writes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Reads, m.Writes
}

// Get reads one row.
func (m *Memory) Get(_ context.Context, part, sort string) (table.Record, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Down || m.strikes(m.FailEvery) {
		return table.Record{}, false, table.ErrUnavailable
	}
	m.Reads++
	r, ok := m.rows[key{part, sort}]
	return r, ok, nil
}

// List reads the rows of a part after a sort key.
func (m *Memory) List(_ context.Context, part, after string, limit int) ([]table.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Down || m.strikes(m.FailEvery) {
		return nil, table.ErrUnavailable
	}
	m.Reads++
	return m.list(part, after, limit), nil
}

// Peek returns the rows of a part, whatever the faults.
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

// Put writes one row under its condition.
func (m *Memory) Put(ctx context.Context, p table.Put) error {
	return m.Transact(ctx, []table.Put{p})
}

// Transact writes all rows or none.
func (m *Memory) Transact(_ context.Context, puts []table.Put) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Down || m.strikes(m.FailEvery) {
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
	if m.strikes(m.LoseEvery) {
		return table.ErrUnavailable
	}
	return nil
}

// strikes tells whether a fault that hits one in so many writes hits this one.
func (m *Memory) strikes(every int) bool {
	return every > 0 && m.random.IntN(every) == 0
}
