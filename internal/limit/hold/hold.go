// Package hold accounts for the memory and descriptors that a process holds for its callers, and cuts connections when they run short.
package hold

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	// ConnBytes is the memory of a caller's connection: its goroutine, buffers and header.
	ConnBytes = 16 << 10
	// RequestBytes is the memory of a request that runs, beside its connection, body and answer: the stacks of its goroutines and its
	// connection to an upstream.
	RequestBytes = 24 << 10
)

// ErrShort is returned when there is no memory and no connection of another caller may be cut for it.
var ErrShort = errors.New("no memory for the request now")

// Kind is what memory is held for.
type Kind string

// The kinds of memory.
const (
	Connections Kind = "connections"
	Heads       Kind = "heads"
	Bodies      Kind = "bodies"
	Requests    Kind = "requests"
	Answers     Kind = "answers"
)

// Limits bounds an account.
type Limits struct {
	// Bytes is the memory that may be held.
	Bytes int64
	// Conns is the number of connections of callers that may be open.
	Conns int
}

const (
	// neededBytes is the memory of a process without callers.
	neededBytes = 12 << 20
	// reservedFiles is the number of descriptors that sockets can't use.
	reservedFiles = 200
)

// LimitsFor returns the limits of a process with that much memory and that many descriptors. A quarter of both is left to connections to
// upstreams and the platform; garbage takes up to half of the memory.
func LimitsFor(memory int64, descriptors int) Limits {
	bytes := max(memory/2-neededBytes, memory/16)
	conns := bytes * 3 / 4 / ConnBytes
	if descriptors > 0 {
		conns = min(conns, int64(descriptors-min(reservedFiles, descriptors/4))*3/4)
	}
	return Limits{Bytes: bytes, Conns: int(max(conns, 1))}
}

// Account counts what a process holds for its callers. It is safe for concurrent use.
type Account struct {
	limits Limits
	log    logr.Logger
	// onCut is called for each connection that is cut or refused.
	onCut func(Reason)

	mu    sync.Mutex
	conns []*Conn
	used  int64
	kinds map[Kind]int64
	// pending is the memory of connections that were cut and have not ended yet, pendingConns their number.
	pending      int64
	pendingConns int
	// released is closed when memory has been given back.
	released chan struct{}
	// held is the memory of the latest snapshot.
	held []Held
}

// NewAccount returns an account. onCut may be nil.
func NewAccount(l Limits, log logr.Logger, onCut func(Reason)) *Account {
	if onCut == nil {
		onCut = func(Reason) {}
	}
	return &Account{limits: l, log: log, onCut: onCut, kinds: make(map[Kind]int64), released: make(chan struct{})}
}

// Used returns the bytes held by kind.
func (a *Account) Used() map[Kind]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	used := make(map[Kind]int64, len(a.kinds))
	for k, n := range a.kinds {
		used[k] = n
	}
	return used
}

// Count returns the number of connections.
func (a *Account) Count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// maxWait is how long a request waits for the memory of connections that were cut.
const maxWait = 2 * time.Second

// add counts memory of a connection.
func (a *Account) add(c *Conn, k Kind, n int64) {
	a.used += n
	a.kinds[k] += n
	c.held += n
	if c.cut != "" {
		a.pending += n
	}
	if n < 0 {
		close(a.released)
		a.released = make(chan struct{})
	}
}

// take takes memory for a connection. It cuts others if there is too little, and waits until they have ended.
func (a *Account) take(ctx context.Context, now time.Time, c *Conn, k Kind, n int64) error {
	end := now.Add(maxWait)
	for {
		a.mu.Lock()
		if c.cut != "" {
			a.mu.Unlock()
			return ErrShort
		}
		if a.used+n <= a.limits.Bytes {
			a.add(c, k, n)
			a.mu.Unlock()
			return nil
		}
		for a.used-a.pending+n > a.limits.Bytes {
			if !a.cutOne(now, c) {
				a.mu.Unlock()
				return ErrShort
			}
		}
		released := a.released
		a.mu.Unlock()
		timer := time.NewTimer(end.Sub(now))
		select {
		case <-released:
			timer.Stop()
		case <-timer.C:
			return ErrShort
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		now = time.Now()
		c.touch(now)
	}
}

// cutOne cuts the connection that goes first. It returns false if there is none, or if it is the given one.
func (a *Account) cutOne(now time.Time, self *Conn) bool {
	a.held = a.held[:0]
	for _, c := range a.conns {
		a.held = append(a.held, c.snapshot())
	}
	i, reason := Pick(now, a.held)
	if i < 0 || a.conns[i] == self {
		return false
	}
	a.cut(now, a.conns[i], a.held[i], reason)
	return true
}

// cut ends a connection.
func (a *Account) cut(now time.Time, c *Conn, h Held, reason Reason) {
	c.cut = reason
	a.pending += c.held
	a.pendingConns++
	a.onCut(reason)
	a.log.Info("hold: connection cut", "reason", string(reason), "phase", string(h.Phase), "owner", h.Owner, "bytes", h.Bytes,
		"silent_ms", now.Sub(h.Progress).Milliseconds(), "moved", h.Moved, "used", a.used, "limit", a.limits.Bytes, "open", len(a.conns))
	c.interrupt(now, h.Phase)
}

// admit adds a new connection. It returns false if there is no room and no other connection may be cut for it.
func (a *Account) admit(now time.Time, c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.conns)-a.pendingConns >= a.limits.Conns || a.used-a.pending+ConnBytes > a.limits.Bytes {
		if !a.cutOne(now, nil) {
			a.onCut(Full)
			return false
		}
	}
	// Connections that were cut end at once, but at most a quarter more may be open meanwhile.
	if len(a.conns) >= a.limits.Conns+max(1, a.limits.Conns/4) {
		a.onCut(Full)
		return false
	}
	c.index = len(a.conns)
	a.conns = append(a.conns, c)
	a.add(c, Connections, ConnBytes)
	return true
}

// remove removes a connection that has ended.
func (a *Account) remove(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.index < 0 {
		return
	}
	last := len(a.conns) - 1
	a.conns[c.index] = a.conns[last]
	a.conns[c.index].index = c.index
	a.conns = slices.Delete(a.conns, last, last+1)
	c.index = -1
	if c.cut != "" {
		a.pendingConns--
	}
	a.add(c, Connections, -ConnBytes)
	a.add(c, Heads, -c.head)
	c.head = 0
}

// noteHead counts the memory of a head that arrives, and cuts connections if that is too much. A head is not made to wait.
func (a *Account) noteHead(now time.Time, c *Conn, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.index < 0 || n <= c.head {
		return
	}
	a.add(c, Heads, n-c.head)
	c.head = n
	for a.used-a.pending > a.limits.Bytes {
		if !a.cutOne(now, nil) {
			return
		}
	}
}

// releaseHead gives back the memory of the head of a request that has ended.
func (a *Account) releaseHead(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.head > 0 {
		a.add(c, Heads, -c.head)
		c.head = 0
	}
}

// Sweep cuts the connections whose callers have sent or read nothing until the deadline of their phase.
func (a *Account) Sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		if c.cut != "" {
			continue
		}
		if h, limit := c.snapshot(), c.limit(); h.moving() && limit > 0 && now.Sub(h.Progress) > limit {
			a.cut(now, c, h, Overdue)
		}
	}
}
