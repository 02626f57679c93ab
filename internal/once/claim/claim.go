// Package claim makes non-idempotent requests run at most once: a claim is recorded before the send, and its answer is kept for resends.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/plat/table"
)

// State of a claim.
type State string

// The states of a claim.
const (
	// Claimed: the router may have sent the request.
	Claimed State = "claimed"
	// Done: the answer is kept.
	Done State = "done"
	// Void: the request was never sent and never will be under this attempt.
	Void State = "void"
)

// Answer is the upstream's answer as kept for resends.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Dropped tells that the body was too large to keep.
	Dropped bool `json:"dropped,omitempty"`
}

// Record is the content of a claim row.
type Record struct {
	State State `json:"state"`
	// Attempt is unique to one try of one router.
	Attempt string `json:"attempt"`
	// Router is the peer address of the claiming router.
	Router string `json:"router"`
	// Body is the hash of the request, so that a key reused for another request is noticed.
	Body string `json:"body"`
	// At is when the claim was made.
	At time.Time `json:"at"`
	// Answer is set in state Done.
	Answer *Answer `json:"answer,omitempty"`
}

// Table is the part of the table service that claims use.
type Table interface {
	Get(ctx context.Context, part, sort string) (table.Record, bool, error)
	Put(ctx context.Context, p table.Put) error
}

// Resolver asks the claiming router to void an attempt that it has not sent. It returns what the router says,
// with the answer in state Done.
type Resolver func(ctx context.Context, router, attempt string) (State, *Answer, error)

const (
	claimPart   = "claim/"
	finishTries = 4
	finishPause = 250 * time.Millisecond
	// MaxAnswerBytes bounds a kept answer's body.
	MaxAnswerBytes = 256 << 10
	// keepVoid is how long a voided attempt stays known.
	keepVoid = time.Hour
	// pruneAbove is the number of known attempts at which old voided ones are dropped.
	pruneAbove = 10000
)

// Claim is one router's attempt at a request.
type Claim struct {
	// ID names the request: workspace and idempotency key.
	ID string
	// Attempt is unique to this try.
	Attempt string
	rev     int64
	record  Record
}

// progress is how far a local attempt got.
type progress string

const (
	pending progress = "pending"
	sent    progress = "sent"
	voided  progress = "voided"
)

// attempt is what this process knows of one of its attempts.
type attempt struct {
	progress progress
	// at is when the attempt began.
	at time.Time
	// answer is set once the upstream has answered, until the table has it.
	answer *Answer
}

// Desk makes and settles claims. It is safe for concurrent use.
type Desk struct {
	table   Table
	router  string
	resolve Resolver
	// sleep waits; tests replace it by virtual time.
	sleep func(ctx context.Context, d time.Duration) error

	mu       sync.Mutex
	attempts map[string]attempt
}

// NewDesk returns a desk for one router.
func NewDesk(t Table, router string, resolve Resolver) *Desk {
	return &Desk{table: t, router: router, resolve: resolve, sleep: sleep.For, attempts: make(map[string]attempt)}
}

// ID derives a claim's identity from workspace, route and idempotency key.
func ID(workspace, route, key string) string {
	h := sha256.New()
	for _, s := range []string{workspace, route, key} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Begin claims the request. It returns either a claim, after which Send must be asked, or the first answer.
func (d *Desk) Begin(ctx context.Context, now time.Time, id, name, bodyHash string) (*Claim, *Answer, error) {
	d.start(now, name)
	c := &Claim{ID: id, Attempt: name, record: Record{
		State:   Claimed,
		Attempt: name,
		Router:  d.router,
		Body:    bodyHash,
		At:      now.UTC(),
	}}
	answer, err := d.record(ctx, c)
	if answer != nil || err != nil {
		d.set(name, voided, nil)
		return nil, answer, err
	}
	return c, nil, nil
}

// record writes the claim, over a void one if need be.
func (d *Desk) record(ctx context.Context, c *Claim) (*Answer, error) {
	prev := int64(0)
	for range finishTries {
		err := d.put(ctx, c, prev)
		if err == nil {
			c.rev = prev + 1
			return nil, nil
		}
		row, ok, readErr := d.table.Get(ctx, claimPart+c.ID, table.NoSort)
		if readErr != nil {
			return nil, fault.New(fault.ClaimStoreDown, "the request could not be claimed; nothing was sent")
		}
		if !ok {
			prev = 0
			continue
		}
		var old Record
		if err := json.Unmarshal(row.Data, &old); err != nil {
			return nil, oops.Wrapf(err, "claim %s", c.ID)
		}
		if old.Attempt == c.Attempt {
			c.rev = row.Rev
			return nil, nil
		}
		answer, err := d.judge(ctx, c, old)
		if answer != nil || err != nil {
			return answer, err
		}
		prev = row.Rev
	}
	return nil, fault.New(fault.ClaimStoreDown, "the request could not be claimed; nothing was sent")
}

// judge decides what an earlier attempt means for this one; nil and nil say that it may be written over.
func (d *Desk) judge(ctx context.Context, c *Claim, old Record) (*Answer, error) {
	if old.Body != c.record.Body {
		return nil, fault.New(fault.ClaimMismatch, "the idempotency key was used for another request")
	}
	switch old.State {
	case Done:
		return old.Answer, nil
	case Void:
		return nil, nil
	}
	state, answer, err := d.ask(ctx, old)
	if err != nil {
		return nil, fault.New(fault.OutcomeUnknown, "an earlier attempt may have run and its router does not answer")
	}
	switch state {
	case Done:
		return answer, nil
	case Void:
		return nil, nil
	case Claimed:
		return nil, fault.New(fault.ClaimBusy, "an earlier attempt is still running")
	default:
		return nil, fault.New(fault.OutcomeUnknown, "an earlier attempt may have run; its outcome is unknown")
	}
}

// ask resolves an attempt at the router that made it.
func (d *Desk) ask(ctx context.Context, old Record) (State, *Answer, error) {
	if old.Router == d.router {
		state, answer := d.Resolve(old.Attempt)
		return state, answer, nil
	}
	return d.resolve(ctx, old.Router, old.Attempt)
}

// Send marks the attempt as sent. It returns false when a peer has voided the attempt, which must then not be sent.
func (d *Desk) Send(c *Claim) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.attempts[c.Attempt]
	if a.progress != pending {
		return false
	}
	a.progress = sent
	d.attempts[c.Attempt] = a
	return true
}

// Resolve answers a peer about an attempt of this router and voids it when it has not been sent.
// An attempt that this process does not know is not proven unsent.
func (d *Desk) Resolve(name string) (State, *Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.attempts[name]
	if !ok {
		return "", nil
	}
	if a.progress == sent {
		if a.answer != nil {
			return Done, a.answer
		}
		return Claimed, nil
	}
	a.progress = voided
	d.attempts[name] = a
	return Void, nil
}

// Finish keeps the answer. The attempt stays known to this process until the answer is stored.
func (d *Desk) Finish(ctx context.Context, c *Claim, a *Answer) error {
	c.record.State = Done
	c.record.Answer = a
	d.set(c.Attempt, sent, a)
	return d.close(ctx, c)
}

// Cancel records that the request was not sent and never will be.
func (d *Desk) Cancel(ctx context.Context, c *Claim) error {
	d.set(c.Attempt, voided, nil)
	c.record.State = Void
	return d.close(ctx, c)
}

// Abandon leaves a claim whose outcome is unknown as it is in the table.
func (d *Desk) Abandon(c *Claim) {
	d.forget(c.Attempt)
}

// close writes the claim's last state, with a few tries.
func (d *Desk) close(ctx context.Context, c *Claim) error {
	var err error
	for range finishTries {
		err = d.put(ctx, c, c.rev)
		if err == nil {
			d.forget(c.Attempt)
			return nil
		}
		if errors.Is(err, table.ErrConflict) {
			return d.checkClosed(ctx, c)
		}
		if err := d.sleep(ctx, finishPause); err != nil {
			return err
		}
	}
	return err
}

// checkClosed tells whether a conflicting write was this attempt's own, whose answer had been lost.
func (d *Desk) checkClosed(ctx context.Context, c *Claim) error {
	row, ok, err := d.table.Get(ctx, claimPart+c.ID, table.NoSort)
	if err != nil {
		return err
	}
	if ok && row.Write == writeID(c) {
		d.forget(c.Attempt)
		return nil
	}
	if c.record.State == Void {
		d.forget(c.Attempt)
		return nil
	}
	return oops.Errorf("claim %s was written over", c.ID)
}

func (d *Desk) put(ctx context.Context, c *Claim, prev int64) error {
	data, err := json.Marshal(c.record)
	if err != nil {
		return err
	}
	return d.table.Put(ctx, table.Put{Prev: prev, Record: table.Record{
		Part:  claimPart + c.ID,
		Sort:  table.NoSort,
		Rev:   prev + 1,
		Write: writeID(c),
		Data:  data,
	}})
}

func writeID(c *Claim) string {
	return c.Attempt + "/" + string(c.record.State)
}

// start makes a new attempt known and drops voided ones that are out of date.
func (d *Desk) start(now time.Time, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.attempts) > pruneAbove {
		for n, a := range d.attempts {
			if a.progress == voided && now.Sub(a.at) > keepVoid {
				delete(d.attempts, n)
			}
		}
	}
	d.attempts[name] = attempt{progress: pending, at: now}
}

func (d *Desk) set(name string, p progress, answer *Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.attempts[name]
	a.progress = p
	a.answer = answer
	d.attempts[name] = a
}

func (d *Desk) forget(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.attempts, name)
}
