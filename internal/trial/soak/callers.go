package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

const (
	// think is the mean pause of a caller between calls.
	think = 60 * time.Millisecond
	// comeBackMost bounds how long a refused caller stays away, so that a run keeps its load.
	comeBackMost = 500 * time.Millisecond
	// stay is the part of calls for which a caller uses an open connection although it could take another router.
	stay = 0.85
	// deadline is the time that callers give in milliseconds, patience how long they wait.
	deadline = 3000
	patience = 4 * time.Second
	// promptTokens is the size of a prompt.
	promptTokens = 400
)

// mix is how often each kind of call is made.
var mix = []struct {
	kind Kind
	part float64
}{{Booking, 0.3}, {Look, 0.15}, {Quote, 0.2}, {Brief, 0.1}, {Narrow, 0.1}, {Withdrawn, 0.08}, {Later, 0.07}}

// caller makes calls one after another over connections that it keeps until they end.
type caller struct {
	site  *edgeSite
	draw  *rand.Rand
	lines map[int]*fake.Conn
	last  int
}

func newCaller(s *edgeSite, n int) *caller {
	return &caller{site: s, draw: rand.New(rand.NewPCG(s.seed, uint64(n)+1)), lines: make(map[int]*fake.Conn)}
}

// run calls until the context ends.
func (c *caller) run(ctx context.Context) {
	defer func() {
		for _, l := range c.lines {
			l.Close()
		}
	}()
	for ctx.Err() == nil {
		wait := time.Duration(c.draw.ExpFloat64() * float64(think))
		if sent := c.call(); sent != nil {
			c.site.sent(sent)
			wait += min(comeBackMost, sent.Reply.RetryAfter)
		}
		// The loop sees the end of the context.
		_ = sleep.For(ctx, wait)
	}
}

// call makes one call; nil when no router takes it.
func (c *caller) call() *Sent {
	router, line := c.line()
	if line == nil {
		return nil
	}
	s := &Sent{Kind: c.kind(), Router: router, At: time.Now()}
	s.Call = c.compose(s.Kind)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var open bool
	var err error
	s.Reply, s.Written, open, err = line.Send(ctx, s.Call)
	s.Answered = err == nil
	s.Done = time.Now()
	if !open {
		line.Close()
		delete(c.lines, router)
	}
	return s
}

// line returns a connection to a router, an open one as a rule.
func (c *caller) line() (int, *fake.Conn) {
	if l := c.lines[c.last]; l != nil && c.draw.Float64() < stay {
		return c.last, l
	}
	router, ok := c.site.pick(c.draw)
	if !ok {
		return 0, nil
	}
	if c.lines[router] == nil {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		l, err := fake.Dial(ctx, c.site.nodes[router].listen)
		if err != nil {
			return 0, nil
		}
		c.lines[router] = l
	}
	c.last = router
	return router, c.lines[router]
}

func (c *caller) kind() Kind {
	at := c.draw.Float64()
	for _, m := range mix {
		if at -= m.part; at < 0 {
			return m.kind
		}
	}
	return Booking
}

func (c *caller) compose(k Kind) fake.Call {
	n := c.site.ids.Add(1)
	id := fmt.Sprintf("%016x", n)
	call := fake.Call{
		Method: http.MethodPost, Path: fake.BookPath + id, ID: id, Key: fake.Key, Body: "call " + id, Deadline: deadline,
	}
	switch k {
	case Look:
		call.Method, call.Path, call.Key = http.MethodGet, fake.OpenPath+id, ""
	case Later:
		call.Method, call.Path = http.MethodGet, fake.ExtraPath+id
	case Withdrawn:
		call.Method, call.Path, call.Key = http.MethodGet, fake.LookPath+id, keys[1+c.draw.IntN(spareKeys)]
	case Quote:
		call.Path, call.Prompt = fake.QuotePath+id, promptTokens
	case Brief:
		call.Path, call.Prompt = fake.BriefPath+id, promptTokens
	case Narrow:
		call.Path, call.Prompt, call.Key = fake.QuotePath+id, promptTokens, fake.NarrowKey
	}
	return call
}
