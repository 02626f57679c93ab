// Package crash counts the upstreams that crashed while running the same request and rejects that request at a limit.
package crash

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/plat/table"
)

const (
	// Limit is the number of crashes from which on a request is rejected.
	Limit = 2
	// Keep is how long a crash counts.
	Keep = 30 * time.Minute
	// ToldPeers is the maximum number of counters in one heartbeat.
	ToldPeers        = 16
	crashPart        = "crash"
	maxWriteAttempts = 4
	loadLimit        = 500
)

// Mark is the crash counter of one request.
type Mark struct {
	// Fingerprint identifies the request by its workspace and body.
	Fingerprint string `json:"fingerprint"`
	// Count is the number of crashes since the request last completed.
	Count int `json:"count"`
	// At is the time of the last crash or completion.
	At time.Time `json:"at"`
}

// Table is the part of the table service that counters need.
type Table interface {
	Get(ctx context.Context, part, sort string) (table.Record, bool, error)
	List(ctx context.Context, part, after string, limit int) ([]table.Record, error)
	Put(ctx context.Context, p table.Put) error
}

// Book holds the counters of this instance, including those received from peers. It is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	counters map[string]Mark
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{counters: make(map[string]Mark)}
}

// Fingerprint identifies a request by its workspace and body, so that no workspace can block another's request.
func Fingerprint(workspace string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(workspace))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Check rejects a request with Limit or more crashes within Keep.
func (b *Book) Check(now time.Time, fingerprint string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.counters[fingerprint]
	if !ok || m.Count < Limit || now.Sub(m.At) > Keep {
		return nil
	}
	return fault.New(fault.Crasher, "upstreams died %d times while they ran this request", m.Count)
}

// Marked reports whether an upstream crashed while running the request within Keep.
func (b *Book) Marked(now time.Time, fingerprint string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.counters[fingerprint]
	return ok && m.Count > 0 && now.Sub(m.At) <= Keep
}

// Survived resets the counter of a request that has completed. The zero counter stays, so that Merge ignores older reports.
func (b *Book) Survived(now time.Time, fingerprint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counters[fingerprint] = Mark{Fingerprint: fingerprint, At: now}
}

// Died counts one crash and returns the counter.
func (b *Book) Died(now time.Time, fingerprint string) Mark {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.counters[fingerprint]
	m.Fingerprint = fingerprint
	m.Count++
	m.At = now
	b.counters[fingerprint] = m
	return m
}

// Merge adopts a peer's counter if it is newer than the local one.
func (b *Book) Merge(now time.Time, m Mark) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(m.At) > Keep {
		return
	}
	known, ok := b.counters[m.Fingerprint]
	if ok && !m.At.After(known.At) {
		return
	}
	b.counters[m.Fingerprint] = m
}

// Recent returns the latest counters for peers, at most ToldPeers, and removes expired ones.
func (b *Book) Recent(now time.Time) []Mark {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]Mark, 0, len(b.counters))
	for f, m := range b.counters {
		if now.Sub(m.At) > Keep {
			delete(b.counters, f)
			continue
		}
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].At.After(all[j].At) })
	return all[:min(ToldPeers, len(all))]
}

// Store adds crashes to the table's row, so that the count survives restarts and includes all instances. A negative
// number resets the count. A retry with the same writeID counts once.
func (b *Book) Store(ctx context.Context, now time.Time, t Table, fingerprint, writeID string, crashes int) error {
	for range maxWriteAttempts {
		row, ok, err := t.Get(ctx, crashPart, fingerprint)
		if err != nil {
			return err
		}
		if ok && row.Write == writeID {
			return nil
		}
		m := Mark{Fingerprint: fingerprint}
		if ok {
			_ = json.Unmarshal(row.Data, &m)
		}
		if now.Sub(m.At) > Keep {
			m.Count = 0
		}
		m.Count = max(0, m.Count+crashes)
		if crashes < 0 {
			m.Count = 0
		}
		m.At = now.UTC()
		data, err := json.Marshal(m)
		if err != nil {
			return err
		}
		err = t.Put(ctx, table.Put{Prev: row.Rev, Record: table.Record{
			Part: crashPart, Sort: fingerprint, Rev: row.Rev + 1, Write: writeID, Data: data,
		}})
		if err == nil {
			b.Merge(now, m)
			return nil
		}
	}
	return table.ErrUnavailable
}

// Load merges the counters of the table.
func (b *Book) Load(ctx context.Context, now time.Time, t Table) error {
	rows, err := t.List(ctx, crashPart, "", loadLimit)
	if err != nil {
		return err
	}
	for _, r := range rows {
		var m Mark
		if json.Unmarshal(r.Data, &m) == nil {
			b.Merge(now, m)
		}
	}
	return nil
}
