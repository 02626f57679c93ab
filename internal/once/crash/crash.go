// Package crash counts the upstreams that crashed while running the same request and rejects that request at a limit. The
// counts are stored in the table service and reported to peers in heartbeats.
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
	// Limit is the number of crashes at which a request is rejected.
	Limit = 2
	// Window is how long a crash counts.
	Window = 30 * time.Minute
	// MaxReported is the maximum number of counters in one heartbeat.
	MaxReported      = 16
	crashPart        = "crash"
	maxWriteAttempts = 4
	loadLimit        = 500
)

// Counter is the crash counter of one request.
type Counter struct {
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

// Tracker holds the counters known to this instance. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	counters map[string]Counter
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{counters: make(map[string]Counter)}
}

// Fingerprint identifies a request by its workspace and body, so that no workspace can block another's request.
func Fingerprint(workspace string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(workspace))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Check rejects a request with Limit or more crashes within Window.
func (tr *Tracker) Check(now time.Time, fingerprint string) error {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	c, ok := tr.counters[fingerprint]
	if !ok || c.Count < Limit || now.Sub(c.At) > Window {
		return nil
	}
	return fault.New(fault.CrashingRequest, "upstreams died %d times while they ran this request", c.Count)
}

// IsSuspect reports whether an upstream crashed while running the request within Window.
func (tr *Tracker) IsSuspect(now time.Time, fingerprint string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	c, ok := tr.counters[fingerprint]
	return ok && c.Count > 0 && now.Sub(c.At) <= Window
}

// Completed resets the counter of a request that has completed. The zero counter stays, so that Merge ignores older reports.
func (tr *Tracker) Completed(now time.Time, fingerprint string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.counters[fingerprint] = Counter{Fingerprint: fingerprint, At: now}
}

// Crashed counts one crash and returns the counter.
func (tr *Tracker) Crashed(now time.Time, fingerprint string) Counter {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	c := tr.counters[fingerprint]
	c.Fingerprint = fingerprint
	c.Count++
	c.At = now
	tr.counters[fingerprint] = c
	return c
}

// Merge adopts a peer's counter if it is newer than the local one.
func (tr *Tracker) Merge(now time.Time, c Counter) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if now.Sub(c.At) > Window {
		return
	}
	known, ok := tr.counters[c.Fingerprint]
	if ok && !c.At.After(known.At) {
		return
	}
	tr.counters[c.Fingerprint] = c
}

// Recent returns the latest counters for peers, at most MaxReported, and removes expired ones.
func (tr *Tracker) Recent(now time.Time) []Counter {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	all := make([]Counter, 0, len(tr.counters))
	for f, c := range tr.counters {
		if now.Sub(c.At) > Window {
			delete(tr.counters, f)
			continue
		}
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].At.After(all[j].At) })
	return all[:min(MaxReported, len(all))]
}

// Store adds crashes to the request's row in the table, so that the count survives restarts and includes all instances. A
// negative number resets the count. A retry with the same writeID counts once.
func (tr *Tracker) Store(ctx context.Context, now time.Time, t Table, fingerprint, writeID string, crashes int) error {
	for range maxWriteAttempts {
		row, ok, err := t.Get(ctx, crashPart, fingerprint)
		if err != nil {
			return err
		}
		if ok && row.WriteID == writeID {
			return nil
		}
		c := Counter{Fingerprint: fingerprint}
		if ok {
			_ = json.Unmarshal(row.Data, &c)
		}
		if now.Sub(c.At) > Window {
			c.Count = 0
		}
		c.Count = max(0, c.Count+crashes)
		if crashes < 0 {
			c.Count = 0
		}
		c.At = now.UTC()
		data, err := json.Marshal(c)
		if err != nil {
			return err
		}
		err = t.Put(ctx, table.Put{Prev: row.Rev, Record: table.Record{
			Part: crashPart, Sort: fingerprint, Rev: row.Rev + 1, WriteID: writeID, Data: data,
		}})
		if err == nil {
			tr.Merge(now, c)
			return nil
		}
	}
	return table.ErrUnavailable
}

// Load merges the counters stored in the table.
func (tr *Tracker) Load(ctx context.Context, now time.Time, t Table) error {
	rows, err := t.List(ctx, crashPart, "", loadLimit)
	if err != nil {
		return err
	}
	for _, r := range rows {
		var c Counter
		if json.Unmarshal(r.Data, &c) == nil {
			tr.Merge(now, c)
		}
	}
	return nil
}
