// Package crash counts the upstreams that died while they ran one request and refuses the request after a few.
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
	// Limit is the number of deaths after which a request is refused.
	Limit = 2
	// Keep is how long a death counts.
	Keep = 30 * time.Minute
	// ToldPeers bounds the marks that one heartbeat carries.
	ToldPeers = 16
	crashPart = "crash"
	writeTry  = 4
	pageRows  = 500
)

// Mark counts the deaths of one request.
type Mark struct {
	// Fingerprint identifies workspace and content.
	Fingerprint string `json:"fingerprint"`
	// Count is the number of deaths since the request last ran to its end.
	Count int `json:"count"`
	// At is the time of the last death.
	At time.Time `json:"at"`
}

// Table is the part of the table service that marks use.
type Table interface {
	Get(ctx context.Context, part, sort string) (table.Record, bool, error)
	List(ctx context.Context, part, after string, limit int) ([]table.Record, error)
	Put(ctx context.Context, p table.Put) error
}

// Book holds the marks known to this instance. It is safe for concurrent use.
type Book struct {
	mu    sync.Mutex
	marks map[string]Mark
}

// NewBook returns a book without marks.
func NewBook() *Book {
	return &Book{marks: make(map[string]Mark)}
}

// Fingerprint identifies a request by its workspace and content, so that no workspace can bar another's request.
func Fingerprint(workspace string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(workspace))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Check refuses a request that has killed too many upstreams.
func (b *Book) Check(now time.Time, fingerprint string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.marks[fingerprint]
	if !ok || m.Count < Limit || now.Sub(m.At) > Keep {
		return nil
	}
	return fault.New(fault.CrashingRequest, "upstreams died %d times while they ran this request", m.Count)
}

// Marked tells whether an upstream died while it ran the request.
func (b *Book) Marked(now time.Time, fingerprint string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.marks[fingerprint]
	return ok && m.Count > 0 && now.Sub(m.At) <= Keep
}

// Survived clears the deaths of a request that has run to its end.
func (b *Book) Survived(now time.Time, fingerprint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.marks[fingerprint] = Mark{Fingerprint: fingerprint, At: now}
}

// Died counts one death and returns the mark.
func (b *Book) Died(now time.Time, fingerprint string) Mark {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.marks[fingerprint]
	m.Fingerprint = fingerprint
	m.Count++
	m.At = now
	b.marks[fingerprint] = m
	return m
}

// Merge takes a mark over when it is newer than the one at hand.
func (b *Book) Merge(now time.Time, m Mark) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(m.At) > Keep {
		return
	}
	old, ok := b.marks[m.Fingerprint]
	if ok && !m.At.After(old.At) {
		return
	}
	b.marks[m.Fingerprint] = m
}

// Recent returns the newest marks for peers and drops those out of date.
func (b *Book) Recent(now time.Time) []Mark {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]Mark, 0, len(b.marks))
	for f, m := range b.marks {
		if now.Sub(m.At) > Keep {
			delete(b.marks, f)
			continue
		}
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].At.After(all[j].At) })
	return all[:min(ToldPeers, len(all))]
}

// Store adds deaths to the table's row, so that the count lasts over restarts and adds up over instances. A negative
// number of deaths clears the count.
func (b *Book) Store(ctx context.Context, now time.Time, t Table, fingerprint, write string, deaths int) error {
	for range writeTry {
		row, ok, err := t.Get(ctx, crashPart, fingerprint)
		if err != nil {
			return err
		}
		if ok && row.Write == write {
			return nil
		}
		m := Mark{Fingerprint: fingerprint}
		if ok {
			_ = json.Unmarshal(row.Data, &m)
		}
		if now.Sub(m.At) > Keep {
			m.Count = 0
		}
		m.Count = max(0, m.Count+deaths)
		if deaths < 0 {
			m.Count = 0
		}
		m.At = now.UTC()
		data, err := json.Marshal(m)
		if err != nil {
			return err
		}
		err = t.Put(ctx, table.Put{Prev: row.Rev, Record: table.Record{
			Part: crashPart, Sort: fingerprint, Rev: row.Rev + 1, Write: write, Data: data,
		}})
		if err == nil {
			b.Merge(now, m)
			return nil
		}
	}
	return table.ErrUnavailable
}

// Load merges the table's marks.
func (b *Book) Load(ctx context.Context, now time.Time, t Table) error {
	rows, err := t.List(ctx, crashPart, "", pageRows)
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
