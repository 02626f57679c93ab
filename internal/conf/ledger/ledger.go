// Package ledger commits edits of the routing document to a log in the table service and reads it back.
package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/plat/table"
)

// Table is the subset of the table service that the ledger uses.
type Table interface {
	Get(ctx context.Context, part, sort string) (table.Record, bool, error)
	List(ctx context.Context, part, after string, limit int) ([]table.Record, error)
	Transact(ctx context.Context, puts []table.Put) error
}

// Objects is the subset of the object store that the ledger uses.
type Objects interface {
	Get(ctx context.Context, key string) ([]byte, bool, error)
	Put(ctx context.Context, key string, data []byte) error
}

const (
	headPart        = "config-head"
	logPart         = "config-log"
	editPart        = "config-edit"
	snapshotKey     = "config/snapshot"
	pageRows        = 200
	commitAttempts  = 5
	resolveAttempts = 3
	// SnapshotInterval is the number of revisions between snapshots.
	SnapshotInterval = 64
)

// Ledger reads and commits the routing document.
type Ledger struct {
	table   Table
	objects Objects
}

// New returns a ledger on a table and an object store.
func New(t Table, o Objects) *Ledger {
	return &Ledger{table: t, objects: o}
}

// Edit is one operator's replacement of a section.
type Edit struct {
	// ID identifies the edit; a retry with the same ID returns the first outcome.
	ID string
	// Section is replaced by Text.
	Section rules.Section
	Text    string
	// Base is the section's revision on which the edit is based.
	Base int64
	// Operator is the author of the edit.
	Operator string
}

// Outcome is the result of a commit.
type Outcome struct {
	// Entry is the log entry of the accepted edit.
	Entry rules.Entry
	// Document is the document at the entry's revision; nil when the edit had been accepted before.
	Document *rules.Document
	// AlreadyAccepted reports whether the edit had been accepted before.
	AlreadyAccepted bool
}

// Head returns the latest committed revision by one strongly consistent read.
func (l *Ledger) Head(ctx context.Context) (int64, error) {
	r, _, err := l.table.Get(ctx, headPart, table.NoSort)
	return r.Rev, err
}

// EntriesAfter returns the entries that follow a revision, at most one page.
func (l *Ledger) EntriesAfter(ctx context.Context, revision int64) ([]rules.Entry, error) {
	rows, err := l.table.List(ctx, logPart, sortKey(revision), pageRows)
	if err != nil {
		return nil, err
	}
	entries := make([]rules.Entry, 0, len(rows))
	for _, r := range rows {
		var e rules.Entry
		if err := json.Unmarshal(r.Data, &e); err != nil {
			return nil, oops.Wrapf(err, "config entry %s", r.Sort)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// Load returns the latest document, built by applying entries to from, which may be empty.
func (l *Ledger) Load(ctx context.Context, from *rules.Document) (*rules.Document, error) {
	doc := from
	if doc.Revision == 0 {
		doc = l.snapshot(ctx, doc)
	}
	for {
		entries, err := l.EntriesAfter(ctx, doc.Revision)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			doc, err = doc.Apply(e)
			if err != nil {
				return nil, err
			}
		}
		if len(entries) < pageRows {
			return doc, nil
		}
	}
}

// snapshot returns the stored snapshot, or doc when it is missing or unreadable.
func (l *Ledger) snapshot(ctx context.Context, doc *rules.Document) *rules.Document {
	data, ok, err := l.objects.Get(ctx, snapshotKey)
	if err != nil || !ok {
		return doc
	}
	decoded, err := rules.Decode(data)
	if err != nil {
		return doc
	}
	return decoded
}

// SaveSnapshot stores a snapshot of the document.
func (l *Ledger) SaveSnapshot(ctx context.Context, d *rules.Document) error {
	data, err := d.Encode()
	if err != nil {
		return err
	}
	return l.objects.Put(ctx, snapshotKey, data)
}

// Commit validates and stores an edit. If the response to the write is lost, the outcome is looked up by ID.
func (l *Ledger) Commit(ctx context.Context, now time.Time, from *rules.Document, e Edit) (Outcome, error) {
	for range commitAttempts {
		if out, ok, err := l.find(ctx, e.ID); err != nil || ok {
			return out, storeError(err)
		}
		doc, err := l.Load(ctx, from)
		if err != nil {
			return Outcome{}, storeError(err)
		}
		from = doc
		if doc.Changed[e.Section] != e.Base {
			return Outcome{}, fault.New(fault.Conflict, "section %s is at revision %d; the edit started from %d", e.Section, doc.Changed[e.Section], e.Base)
		}
		next, entry, err := prepare(now, doc, e)
		if err != nil {
			return Outcome{}, err
		}
		err = l.write(ctx, entry)
		if errors.Is(err, table.ErrConflict) {
			continue
		}
		if err != nil {
			return l.resolve(ctx, e, next)
		}
		return Outcome{Entry: entry, Document: next}, nil
	}
	return Outcome{}, fault.NewRetryAfter(fault.Conflict, time.Second, "too many operators commit at once; apply the edit again")
}

// resolve checks whether a commit without a response took effect.
func (l *Ledger) resolve(ctx context.Context, e Edit, next *rules.Document) (Outcome, error) {
	for range resolveAttempts {
		out, ok, err := l.find(ctx, e.ID)
		if err != nil {
			continue
		}
		if !ok {
			return Outcome{}, fault.NewRetryAfter(fault.ClaimStoreDown, time.Second, "the table service failed; the edit was not accepted so far; apply it again with id %s", e.ID)
		}
		if out.Entry.Revision == next.Revision {
			out.Document = next
		}
		return out, nil
	}
	return Outcome{}, fault.New(fault.OutcomeUnknown, "the table service does not answer; apply the edit again with id %s to learn its outcome", e.ID)
}

// prepare builds the document after the edit, and its log entry.
func prepare(now time.Time, doc *rules.Document, e Edit) (*rules.Document, rules.Entry, error) {
	next, err := doc.Replace(e.Section, e.Text)
	if err != nil {
		return nil, rules.Entry{}, fault.New(fault.BadRequest, "%s", err.Error())
	}
	changes, err := doc.Diff(next, e.Section)
	if err != nil {
		return nil, rules.Entry{}, err
	}
	return next, rules.Entry{
		Revision: next.Revision,
		Section:  e.Section,
		Edit:     e.ID,
		Operator: e.Operator,
		At:       now.UTC(),
		Changes:  changes,
		Digest:   next.Digest,
	}, nil
}

// write stores head, log entry and edit ID in one transaction.
func (l *Ledger) write(ctx context.Context, entry rules.Entry) error {
	data, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	return l.table.Transact(ctx, []table.Put{
		{Prev: entry.Revision - 1, Record: table.Record{Part: headPart, Sort: table.NoSort, Rev: entry.Revision, WriteID: entry.Edit, Data: []byte("{}")}},
		{Record: table.Record{Part: logPart, Sort: sortKey(entry.Revision), Rev: 1, WriteID: entry.Edit, Data: data}},
		{Record: table.Record{Part: editPart, Sort: entry.Edit, Rev: 1, WriteID: entry.Edit, Data: data}},
	})
}

// find looks up an accepted edit by its ID.
func (l *Ledger) find(ctx context.Context, id string) (Outcome, bool, error) {
	r, ok, err := l.table.Get(ctx, editPart, id)
	if err != nil || !ok {
		return Outcome{}, false, err
	}
	var e rules.Entry
	if err := json.Unmarshal(r.Data, &e); err != nil {
		return Outcome{}, false, oops.Wrapf(err, "edit %s", id)
	}
	return Outcome{Entry: e, AlreadyAccepted: true}, true, nil
}

func storeError(err error) error {
	if errors.Is(err, table.ErrUnavailable) {
		return fault.New(fault.ClaimStoreDown, "the table service does not answer; nothing was changed by this call")
	}
	return err
}

// sortKey pads a revision with zeros, so that lexical order is numeric order.
func sortKey(revision int64) string {
	return fmt.Sprintf("%012d", revision)
}
