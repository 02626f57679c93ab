// Package caller bounds the connections of callers, and the memory that their requests take before they run. Callers may send most of a
// request and stay.
package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
)

const (
	// freeBytes is what each request takes without counting, so that those of the usual size are read while large ones have used up
	// the account.
	freeBytes = 16 << 10
	// ConnBytes is the memory of one connection: freeBytes, the server's buffers and its stacks.
	ConnBytes = freeBytes + 24<<10
	// headFactor is the memory of a parsed header by its bytes.
	headFactor = 3
	// writePiece is what a caller has to read within the write timeout.
	writePiece = 64 << 10
)

// ErrNoRoom is returned when the memory for requests is in use.
var ErrNoRoom = errors.New("the memory for requests is in use")

// Limits bound what callers take together.
type Limits struct {
	// Connections is the largest number of open connections.
	Connections int
	// Bytes is the size of the account from which requests take memory.
	Bytes int64
	// BodyTimeout is the longest silence in a body.
	BodyTimeout time.Duration
	// WriteTimeout is the longest time for a caller to read a part of a response.
	WriteTimeout time.Duration
}

// Conns are the open connections of callers. It is safe for concurrent use.
type Conns struct {
	limits  Limits
	log     logr.Logger
	metrics tally.Scope

	mu   sync.Mutex
	open map[*Conn]bool
	// taken is the sum over all connections that have not been cut, at most limits.Bytes.
	taken int64
}

// New returns no connections.
func New(limits Limits, log logr.Logger, metrics tally.Scope) *Conns {
	return &Conns{limits: limits, log: log, metrics: metrics, open: make(map[*Conn]bool)}
}

// Listener returns a listener for the server, and makes the server report what its connections do. It is called before the server
// serves.
func (s *Conns) Listener(server *http.Server, l net.Listener) net.Listener {
	inner := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok && state == http.StateIdle {
			conn.enter(time.Now(), Idle)
		}
	}
	server.Handler = handler{server.Handler}
	return listener{l, s}
}

type listener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener. A connection for which there is no room is closed at once.
func (l listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.conns.add(time.Now(), inner); ok {
			return c, nil
		}
		l.conns.count("refused connections")
		_ = inner.Close()
	}
}

// add adds a connection if there is room or another one can be closed.
func (s *Conns) add(now time.Time, inner net.Conn) (*Conn, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.limits.Connections {
		victim := s.first(now, func(State) bool { return true })
		if victim == nil {
			return nil, false
		}
		s.cut(now, victim, "connections")
		delete(s.open, victim)
		_ = victim.Conn.Close()
	}
	c := &Conn{Conn: inner, conns: s, state: State{Phase: Head, Last: now}}
	s.open[c] = true
	return c, true
}

// first returns the connection to close first among those that qualify, or nil. The caller holds the lock.
func (s *Conns) first(now time.Time, qualifies func(State) bool) *Conn {
	var best *Conn
	for c := range s.open {
		if !c.wasCut && qualifies(c.state) && c.state.closable(now) && (best == nil || c.state.before(best.state)) {
			best = c
		}
	}
	return best
}

// makeRoom cuts stalled callers until n bytes of the account are free, and reports whether they are. The caller holds the lock.
func (s *Conns) makeRoom(now time.Time, n int64) bool {
	for s.taken+n > s.limits.Bytes {
		victim := s.first(now, func(state State) bool { return state.Taken > 0 })
		if victim == nil {
			return false
		}
		s.cut(now, victim, "memory")
	}
	return true
}

// cut ends the reads of a caller, which makes its handler refuse the request. The caller holds the lock.
func (s *Conns) cut(now time.Time, c *Conn, reason string) {
	s.log.Info("gate: caller cut", "reason", reason, "phase", c.state.Phase, "silent_ms", now.Sub(c.state.Last).Milliseconds(), "taken", c.state.Taken, "open", len(s.open))
	s.metrics.Tagged(map[string]string{"reason": reason}).Counter("cut").Inc(1)
	s.taken -= c.state.Taken
	c.state.Taken = 0
	c.wasCut = true
	_ = c.Conn.SetReadDeadline(past)
}

func (s *Conns) count(name string) { s.metrics.Counter(name).Inc(1) }

// Open returns the number of open connections.
func (s *Conns) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Taken returns the bytes that requests have taken from the account.
func (s *Conns) Taken() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.taken
}
