// Package table is the adapter to the platform's transactional table service, spoken to by the DynamoDB protocol.
package table

import "errors"

// Record is one row. Its revision starts at 1 and grows by one with each write.
type Record struct {
	// Part and Sort together are the primary key; Sort may be "-" when unused, never empty.
	Part string
	Sort string
	// Rev is the revision of the row, at least 1 for a stored row.
	Rev int64
	// Write identifies the write that stored this revision, so that a writer can find its own effect.
	Write string
	// Data is the content, in the owner's encoding.
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

// ErrConflict says that a condition did not hold and nothing was written.
var ErrConflict = errors.New("table: revision conflict")

// ErrUnavailable says that the service did not answer; a write may or may not have taken effect.
var ErrUnavailable = errors.New("table: service unavailable")
