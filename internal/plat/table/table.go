// Package table is a client of the platform's transactional table service, which has the DynamoDB API.
package table

import "errors"

// Record is one row. Its revision starts at 1 and increases by one with each write.
type Record struct {
	// Part is the partition key, Sort the sort key, which is never empty: NoSort when unused.
	Part string
	Sort string
	// Rev is the revision of the row, at least 1 for a stored row.
	Rev int64
	// WriteID is the ID of the write that stored this revision, so that a writer can detect its own write.
	WriteID string
	// Data is the content, encoded by the row's owner.
	Data []byte
}

// Put is one conditional write: it takes effect only when the stored revision equals Prev.
type Put struct {
	// Record is the new row; its Rev must be Prev+1.
	Record Record
	// Prev is the expected stored revision, 0 for an absent row.
	Prev int64
}

// NoSort is the sort key of a row that needs none.
const NoSort = "-"

// ErrConflict reports that a condition failed and nothing was written.
var ErrConflict = errors.New("table: revision conflict")

// ErrUnavailable reports that the service did not respond; a write may or may not have taken effect.
var ErrUnavailable = errors.New("table: service unavailable")
