// Package claim makes non-idempotent requests run at most once: a claim is
// recorded before the request is sent, and the response is stored and replayed to retries.
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
	"github.com/skylarkquay/skylarkquay/internal/base/pause"
	"github.com/skylarkquay/skylarkquay/internal/plat/table"
)

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// Claimed means that the router may have sent the request.
	Claimed State = "claimed"
	// Done means that the response is stored.
	Done State = "done"
	// Void means that the request was not and will not be sent under this attempt.
	Void State = "void"
)

// Answer is the upstream's response as stored for replay.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Dropped reports whether the body was left out because it was too large.
	Dropped bool `json:"dropped,omitempty"`
}

// Record is the content of a claim row.
type Record struct {
	State State `json:"state"`
	// Attempt is the unique ID of one router's attempt.
	Attempt string `json:"attempt"`
	// Router is the peer address of the claiming router.
	Router string `json:"router"`
	// Body is the hash of the request, which detects a key that is reused for another request.
	Body string `json:"body"`
	// At is when the attempt began.
	At time.Time `json:"at"`
	// Answer is the stored response, set in state Done.
	Answer *Answer `json:"answer,omitempty"`
}

// Table is the part of the table service that claims need.
type Table interface {
	Get(ctx context.Context, part, sort string) (table.Record, bool, error)
	Put(ctx context.Context, p table.Put) error
}

// Resolver asks the claiming router for the state of an attempt, which that router voids if it has not sent it.
// In state Done it also returns the response.
type Resolver func(ctx context.Context, router, attempt string) (State, *Answer, error)

const (
	claimPart        = "claim/"
	maxWriteAttempts = 4
	writeRetryDelay  = 250 * time.Millisecond
	// MaxAnswerBytes limits the body of a stored response.
	MaxAnswerBytes = 256 << 10
	// voidRetention is how long a voided attempt stays in memory.
	voidRetention = time.Hour
	// pruneAbove is the number of attempts in memory above which expired voided ones are removed.
	pruneAbove = 10000
)

// Claim is one router's attempt at a request.
type Claim struct {
	// ID is the hash of workspace, route and idempotency key.
	ID string
	// Attempt is the unique ID of this attempt.
	Attempt string
	rev     int64
	record  Record
}

// progress is the state of a local attempt.
type progress string

const (
	pending progress = "pending"
	sent    progress = "sent"
	voided  progress = "voided"
)

// attempt is the local state of an attempt of this process.
type attempt struct {
	progress  progress
	startedAt time.Time
	// response is set from the upstream's response until the table has stored it.
	response *Answer
}

// Desk creates, resolves and completes claims. It is safe for concurrent use.
type Desk struct {
	table   Table
	router  string
	resolve Resolver
	// sleep is replaced in tests, which do not wait.
	sleep func(ctx context.Context, d time.Duration) error

	mu       sync.Mutex
	attempts map[string]attempt
}

// NewDesk returns a Desk for the router with this peer address.
func NewDesk(t Table, router string, resolve Resolver) *Desk {
	return &Desk{table: t, router: router, resolve: resolve, sleep: pause.For, attempts: make(map[string]attempt)}
}

// ID derives a claim's ID from workspace, route and idempotency key.
func ID(workspace, route, key string) string {
	h := sha256.New()
	for _, s := range []string{workspace, route, key} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Begin claims the request. It returns either a claim, which must pass Send before the request is sent, or the stored
// response of an earlier attempt.
func (d *Desk) Begin(ctx context.Context, now time.Time, id, attemptID, bodyHash string) (*Claim, *Answer, error) {
	d.addAttempt(now, attemptID)
	c := &Claim{ID: id, Attempt: attemptID, record: Record{
		State:   Claimed,
		Attempt: attemptID,
		Router:  d.router,
		Body:    bodyHash,
		At:      now.UTC(),
	}}
	response, err := d.writeClaim(ctx, c)
	if response != nil || err != nil {
		d.setProgress(attemptID, voided, nil)
		return nil, response, err
	}
	return c, nil, nil
}

// writeClaim writes the claim and overwrites a void one.
func (d *Desk) writeClaim(ctx context.Context, c *Claim) (*Answer, error) {
	prev := int64(0)
	for range maxWriteAttempts {
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
		var earlier Record
		if err := json.Unmarshal(row.Data, &earlier); err != nil {
			return nil, oops.Wrapf(err, "claim %s", c.ID)
		}
		if earlier.Attempt == c.Attempt {
			c.rev = row.Rev
			return nil, nil
		}
		response, err := d.checkEarlier(ctx, c, earlier)
		if response != nil || err != nil {
			return response, err
		}
		prev = row.Rev
	}
	return nil, fault.New(fault.ClaimStoreDown, "the request could not be claimed; nothing was sent")
}

// checkEarlier decides whether an earlier attempt stops this one. It returns nil and nil when its claim may be overwritten.
func (d *Desk) checkEarlier(ctx context.Context, c *Claim, earlier Record) (*Answer, error) {
	if earlier.Body != c.record.Body {
		return nil, fault.New(fault.ClaimMismatch, "the idempotency key was used for another request")
	}
	switch earlier.State {
	case Done:
		return earlier.Answer, nil
	case Void:
		return nil, nil
	}
	state, response, err := d.queryRouter(ctx, earlier)
	if err != nil {
		return nil, fault.New(fault.OutcomeUnknown, "an earlier attempt may have run and its router does not answer")
	}
	switch state {
	case Done:
		return response, nil
	case Void:
		return nil, nil
	case Claimed:
		return nil, fault.New(fault.ClaimBusy, "an earlier attempt is still running")
	default:
		return nil, fault.New(fault.OutcomeUnknown, "an earlier attempt may have run; its outcome is unknown")
	}
}

// queryRouter requests the state of an attempt from the router that made it.
func (d *Desk) queryRouter(ctx context.Context, earlier Record) (State, *Answer, error) {
	if earlier.Router == d.router {
		state, response := d.Resolve(earlier.Attempt)
		return state, response, nil
	}
	return d.resolve(ctx, earlier.Router, earlier.Attempt)
}

// Send marks the attempt as sent, right before the request is sent. It returns false when a peer has voided the
// attempt; the request must then not be sent.
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

// Resolve returns the state of an attempt of this router to a peer and voids the attempt if it has not been sent.
// The state is empty for an unknown attempt, which may have been sent before a restart.
func (d *Desk) Resolve(attemptID string) (State, *Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.attempts[attemptID]
	if !ok {
		return "", nil
	}
	if a.progress == sent {
		if a.response != nil {
			return Done, a.response
		}
		return Claimed, nil
	}
	a.progress = voided
	d.attempts[attemptID] = a
	return Void, nil
}

// Finish stores the response. Until that succeeds, Resolve returns the response from memory.
func (d *Desk) Finish(ctx context.Context, c *Claim, a *Answer) error {
	c.record.State = Done
	c.record.Answer = a
	d.setProgress(c.Attempt, sent, a)
	return d.writeFinal(ctx, c)
}

// Cancel records that the request was not and will not be sent.
func (d *Desk) Cancel(ctx context.Context, c *Claim) error {
	d.setProgress(c.Attempt, voided, nil)
	c.record.State = Void
	return d.writeFinal(ctx, c)
}

// Abandon forgets the attempt and leaves its claim in the table, because its outcome is unknown.
func (d *Desk) Abandon(c *Claim) {
	d.removeAttempt(c.Attempt)
}

// writeFinal writes the claim's final state, with retries.
func (d *Desk) writeFinal(ctx context.Context, c *Claim) error {
	var err error
	for range maxWriteAttempts {
		err = d.put(ctx, c, c.rev)
		if err == nil {
			d.removeAttempt(c.Attempt)
			return nil
		}
		if errors.Is(err, table.ErrConflict) {
			return d.checkConflict(ctx, c)
		}
		if err := d.sleep(ctx, writeRetryDelay); err != nil {
			return err
		}
	}
	return err
}

// checkConflict returns nil if the conflicting write was this attempt's own, whose acknowledgement was lost, or if the
// claim was to be voided, since another attempt has overwritten it.
func (d *Desk) checkConflict(ctx context.Context, c *Claim) error {
	row, ok, err := d.table.Get(ctx, claimPart+c.ID, table.NoSort)
	if err != nil {
		return err
	}
	if ok && row.Write == writeID(c) {
		d.removeAttempt(c.Attempt)
		return nil
	}
	if c.record.State == Void {
		d.removeAttempt(c.Attempt)
		return nil
	}
	return oops.Errorf("claim %s was overwritten by another attempt", c.ID)
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

// addAttempt adds a new attempt and removes expired voided ones.
func (d *Desk) addAttempt(now time.Time, attemptID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.attempts) > pruneAbove {
		for id, a := range d.attempts {
			if a.progress == voided && now.Sub(a.startedAt) > voidRetention {
				delete(d.attempts, id)
			}
		}
	}
	d.attempts[attemptID] = attempt{progress: pending, startedAt: now}
}

func (d *Desk) setProgress(attemptID string, p progress, response *Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.attempts[attemptID]
	a.progress = p
	a.response = response
	d.attempts[attemptID] = a
}

func (d *Desk) removeAttempt(attemptID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.attempts, attemptID)
}
