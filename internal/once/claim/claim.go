// Package claim runs non-idempotent requests at most once: it records a claim before sending and stores the response for
// retries.
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

// Response is the upstream's response as stored for replay.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Dropped reports whether the body was too large to store.
	Dropped bool `json:"dropped,omitempty"`
}

// Record is the content of a claim row.
type Record struct {
	State State `json:"state"`
	// Attempt is the unique ID of one router's attempt.
	Attempt string `json:"attempt"`
	// Router is the peer address of the claiming router.
	Router string `json:"router"`
	// Body is the hash of the request, to detect a key reused for another request.
	Body string `json:"body"`
	// At is when the attempt began.
	At time.Time `json:"at"`
	// Response is the stored response, set in state Done.
	Response *Response `json:"answer,omitempty"`
}

// Table is the part of the table service that claims need.
type Table interface {
	Get(ctx context.Context, part, sort string) (table.Record, bool, error)
	Put(ctx context.Context, p table.Put) error
}

// Resolver requests the state of an attempt from the claiming router, which voids an unsent one. In state Done it also
// returns the response.
type Resolver func(ctx context.Context, router, attempt string) (State, *Response, error)

const (
	claimPart        = "claim/"
	maxWriteAttempts = 4
	writeRetryDelay  = 250 * time.Millisecond
	// MaxResponseBytes limits the body of a stored response.
	MaxResponseBytes = 256 << 10
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
	// response is set until the table has stored it.
	response *Response
}

// Manager creates, resolves and completes claims. It is safe for concurrent use.
type Manager struct {
	table   Table
	router  string
	resolve Resolver
	// sleep is replaced in tests.
	sleep func(ctx context.Context, d time.Duration) error

	mu       sync.Mutex
	attempts map[string]attempt
}

// NewManager returns a Manager for one router.
func NewManager(t Table, router string, resolve Resolver) *Manager {
	return &Manager{table: t, router: router, resolve: resolve, sleep: sleep.For, attempts: make(map[string]attempt)}
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

// Begin claims the request. It returns a claim, to be passed to MarkSent before sending, or the stored response.
func (m *Manager) Begin(ctx context.Context, now time.Time, id, attemptID, bodyHash string) (*Claim, *Response, error) {
	m.addAttempt(now, attemptID)
	c := &Claim{ID: id, Attempt: attemptID, record: Record{
		State:   Claimed,
		Attempt: attemptID,
		Router:  m.router,
		Body:    bodyHash,
		At:      now.UTC(),
	}}
	response, err := m.writeClaim(ctx, c)
	if response != nil || err != nil {
		m.setProgress(attemptID, voided, nil)
		return nil, response, err
	}
	return c, nil, nil
}

// writeClaim writes the claim, replacing a void one.
func (m *Manager) writeClaim(ctx context.Context, c *Claim) (*Response, error) {
	prev := int64(0)
	for range maxWriteAttempts {
		err := m.put(ctx, c, prev)
		if err == nil {
			c.rev = prev + 1
			return nil, nil
		}
		row, ok, readErr := m.table.Get(ctx, claimPart+c.ID, table.NoSort)
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
		response, err := m.checkEarlier(ctx, c, earlier)
		if response != nil || err != nil {
			return response, err
		}
		prev = row.Rev
	}
	return nil, fault.New(fault.ClaimStoreDown, "the request could not be claimed; nothing was sent")
}

// checkEarlier decides whether an earlier attempt rules out this one. It returns nil, nil if its claim may be overwritten.
func (m *Manager) checkEarlier(ctx context.Context, c *Claim, earlier Record) (*Response, error) {
	if earlier.Body != c.record.Body {
		return nil, fault.New(fault.ClaimMismatch, "the idempotency key was used for another request")
	}
	switch earlier.State {
	case Done:
		return earlier.Response, nil
	case Void:
		return nil, nil
	}
	state, response, err := m.queryRouter(ctx, earlier)
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
func (m *Manager) queryRouter(ctx context.Context, earlier Record) (State, *Response, error) {
	if earlier.Router == m.router {
		state, response := m.Resolve(earlier.Attempt)
		return state, response, nil
	}
	return m.resolve(ctx, earlier.Router, earlier.Attempt)
}

// MarkSent marks the attempt as sent. It returns false if a peer has voided it; the request must then not be sent.
func (m *Manager) MarkSent(c *Claim) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.attempts[c.Attempt]
	if a.progress != pending {
		return false
	}
	a.progress = sent
	m.attempts[c.Attempt] = a
	return true
}

// Resolve returns the state of an attempt of this router to a peer and voids an unsent one. The state is empty for an
// unknown attempt, which may have been sent.
func (m *Manager) Resolve(attemptID string) (State, *Response) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a, ok := m.attempts[attemptID]
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
	m.attempts[attemptID] = a
	return Void, nil
}

// Finish stores the response. Until that succeeds, Resolve returns it from memory.
func (m *Manager) Finish(ctx context.Context, c *Claim, response *Response) error {
	c.record.State = Done
	c.record.Response = response
	m.setProgress(c.Attempt, sent, response)
	return m.close(ctx, c)
}

// Cancel records that the request was not and will not be sent.
func (m *Manager) Cancel(ctx context.Context, c *Claim) error {
	m.setProgress(c.Attempt, voided, nil)
	c.record.State = Void
	return m.close(ctx, c)
}

// Abandon forgets the attempt and leaves its claim in the table, because its outcome is unknown.
func (m *Manager) Abandon(c *Claim) {
	m.removeAttempt(c.Attempt)
}

// close writes the claim's final state, with retries.
func (m *Manager) close(ctx context.Context, c *Claim) error {
	var err error
	for range maxWriteAttempts {
		err = m.put(ctx, c, c.rev)
		if err == nil {
			m.removeAttempt(c.Attempt)
			return nil
		}
		if errors.Is(err, table.ErrConflict) {
			return m.checkConflict(ctx, c)
		}
		if err := m.sleep(ctx, writeRetryDelay); err != nil {
			return err
		}
	}
	return err
}

// checkConflict returns nil if the conflicting write was this attempt's own, whose reply was lost, or replaced a claim
// that was to be voided.
func (m *Manager) checkConflict(ctx context.Context, c *Claim) error {
	row, ok, err := m.table.Get(ctx, claimPart+c.ID, table.NoSort)
	if err != nil {
		return err
	}
	if ok && row.WriteID == writeID(c) {
		m.removeAttempt(c.Attempt)
		return nil
	}
	if c.record.State == Void {
		m.removeAttempt(c.Attempt)
		return nil
	}
	return oops.Errorf("claim %s was overwritten by another attempt", c.ID)
}

func (m *Manager) put(ctx context.Context, c *Claim, prev int64) error {
	data, err := json.Marshal(c.record)
	if err != nil {
		return err
	}
	return m.table.Put(ctx, table.Put{Prev: prev, Record: table.Record{
		Part:    claimPart + c.ID,
		Sort:    table.NoSort,
		Rev:     prev + 1,
		WriteID: writeID(c),
		Data:    data,
	}})
}

func writeID(c *Claim) string {
	return c.Attempt + "/" + string(c.record.State)
}

// addAttempt adds a new attempt and removes expired voided ones.
func (m *Manager) addAttempt(now time.Time, attemptID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.attempts) > pruneAbove {
		for id, a := range m.attempts {
			if a.progress == voided && now.Sub(a.startedAt) > voidRetention {
				delete(m.attempts, id)
			}
		}
	}
	m.attempts[attemptID] = attempt{progress: pending, startedAt: now}
}

func (m *Manager) setProgress(attemptID string, p progress, response *Response) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.attempts[attemptID]
	a.progress = p
	a.response = response
	m.attempts[attemptID] = a
}

func (m *Manager) removeAttempt(attemptID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.attempts, attemptID)
}
