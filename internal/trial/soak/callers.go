package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

const (
	// meanThinkTime is the mean pause of a caller between calls.
	meanThinkTime = 60 * time.Millisecond
	// maxRetryDelay caps the retry delay that a rejected caller respects, so that the load of a run does not drop.
	maxRetryDelay = 500 * time.Millisecond
	// reuseRatio is the share of calls for which a caller reuses its open connection instead of choosing a router again.
	reuseRatio = 0.85
	// openRatio is the share of the other calls that use any open connection, also to a router that is not ready.
	openRatio = 0.5
	// deadlineMs is the deadline that callers send. longDeadlineMs exceeds the grace period of a router; longRatio is the share of
	// calls that send it.
	deadlineMs     = 3000
	longDeadlineMs = 8000
	longRatio      = 0.2
	// patience is how long callers wait beyond the deadline, dialTimeout how long for a connection.
	patience     = time.Second
	dialTimeout  = 4 * time.Second
	promptTokens = 400
)

// callMix is the share of each kind of call.
var callMix = []struct {
	kind  Kind
	ratio float64
}{{Booking, 0.3}, {Look, 0.15}, {Quote, 0.2}, {Brief, 0.1}, {Narrow, 0.1}, {RevokedKey, 0.08}, {AddedRoute, 0.07}}

// caller makes calls one after another over persistent connections.
type caller struct {
	site       *edgeSite
	rng        *rand.Rand
	conns      map[int]*fake.Conn
	lastRouter int
}

func newCaller(s *edgeSite, n int) *caller {
	return &caller{site: s, rng: rand.New(rand.NewPCG(s.seed, uint64(n)+1)), conns: make(map[int]*fake.Conn)}
}

// run makes calls until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		wait := time.Duration(c.rng.ExpFloat64() * float64(meanThinkTime))
		if record := c.call(c.drawKind); record != nil {
			c.site.addCall(record)
			wait += min(maxRetryDelay, record.Reply.RetryAfter)
		}
		// The loop condition checks the context.
		_ = sleep.For(ctx, wait)
	}
}

// close closes the connections.
func (c *caller) close() {
	for _, conn := range c.conns {
		conn.Close()
	}
}

// call makes one call of the kind that draw returns. It returns nil if no router is ready or the connection fails.
func (c *caller) call(draw func() Kind) *CallRecord {
	router, conn := c.conn()
	if conn == nil {
		return nil
	}
	record := &CallRecord{Kind: draw(), Router: router, At: time.Now()}
	record.Call = c.newCall(record.Kind)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(record.Deadline)*time.Millisecond+patience)
	defer cancel()
	var open bool
	var err error
	record.Reply, record.Written, open, err = conn.Send(ctx, record.Call)
	record.Answered = err == nil
	record.Done = time.Now()
	if !open {
		conn.Close()
		delete(c.conns, router)
	}
	return record
}

// conn returns a connection to a router, in most cases one that is already open.
func (c *caller) conn() (int, *fake.Conn) {
	if conn := c.conns[c.lastRouter]; conn != nil && c.rng.Float64() < reuseRatio {
		return c.lastRouter, conn
	}
	router, ok := c.openRouter()
	if !ok || c.rng.Float64() >= openRatio {
		router, ok = c.site.pickRouter(c.rng)
	}
	if !ok {
		return 0, nil
	}
	if c.conns[router] == nil {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		conn, err := fake.Dial(ctx, c.site.routers[router].listen)
		if err != nil {
			return 0, nil
		}
		c.conns[router] = conn
	}
	c.lastRouter = router
	return router, c.conns[router]
}

// openRouter returns a random router to which a connection is open, or false if there is none.
func (c *caller) openRouter() (int, bool) {
	open := slices.Sorted(maps.Keys(c.conns))
	if len(open) == 0 {
		return 0, false
	}
	return open[c.rng.IntN(len(open))], true
}

func (c *caller) drawKind() Kind {
	at := c.rng.Float64()
	for _, m := range callMix {
		if at -= m.ratio; at < 0 {
			return m.kind
		}
	}
	return Booking
}

func (c *caller) newCall(k Kind) fake.Call {
	n := c.site.lastID.Add(1)
	id := fmt.Sprintf("%016x", n)
	call := fake.Call{
		Method: http.MethodPost, Path: fake.BookPath + id, ID: id, Key: fake.Key, Body: "call " + id, Deadline: deadlineMs,
	}
	if c.rng.Float64() < longRatio {
		call.Deadline = longDeadlineMs
	}
	switch k {
	case Look:
		call.Method, call.Path, call.Key = http.MethodGet, fake.OpenPath+id, ""
	case AddedRoute:
		call.Method, call.Path = http.MethodGet, fake.ExtraPath+id
	case RevokedKey:
		call.Method, call.Path, call.Key = http.MethodGet, fake.LookPath+id, ampleKeys[1+c.rng.IntN(spareKeys)]
	case Quote:
		call.Path, call.Prompt = fake.QuotePath+id, promptTokens
	case Brief:
		call.Path, call.Prompt = fake.BriefPath+id, promptTokens
	case Narrow:
		call.Path, call.Prompt, call.Key = fake.QuotePath+id, promptTokens, fake.NarrowKey
	}
	return call
}
