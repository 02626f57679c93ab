package bound

import (
	"errors"
	"io"
	"sync/atomic"
)

// freeBytes is what each buffer may hold without taking memory from its budget, so that responses of the usual size are read
// while long ones have used up the budget.
const freeBytes = 16 << 10

// Budget limits the memory that the buffers of a process take together. Arrays that a buffer has outgrown do not count: the
// garbage collector frees them, so that twice the budget may be in use for a moment. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// take takes n bytes, or returns false if fewer are left.
func (b *Budget) take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// Buffer is a byte buffer with a maximum size whose memory comes from a budget. It must be released after its last use.
type Buffer struct {
	budget *Budget
	limit  int64
	data   []byte
	// taken is what the buffer has taken from the budget.
	taken int64
}

// Buffer returns an empty buffer of at most limit bytes.
func (b *Budget) Buffer(limit int64) *Buffer { return &Buffer{budget: b, limit: limit} }

// Bytes returns the content, which is valid until the next change.
func (b *Buffer) Bytes() []byte { return b.data }

// Reset empties the buffer and keeps its memory.
func (b *Buffer) Reset() { b.data = b.data[:0] }

// Release returns the buffer's memory to the budget.
func (b *Buffer) Release() {
	b.budget.used.Add(-b.taken)
	b.taken, b.data = 0, nil
}

// Append adds bytes, or returns ErrTooLong if the limit or the budget does not allow them.
func (b *Buffer) Append(p []byte) error {
	if err := b.grow(len(p)); err != nil {
		return err
	}
	b.data = append(b.data, p...)
	return nil
}

// grow makes room for n more bytes.
func (b *Buffer) grow(n int) error {
	size := int64(len(b.data) + n)
	if size > b.limit {
		return ErrTooLong
	}
	if size <= int64(cap(b.data)) {
		return nil
	}
	capacity := min(max(size, 2*int64(cap(b.data)), 1<<10), b.limit)
	if more := capacity - freeBytes - b.taken; more > 0 {
		if !b.budget.take(more) {
			return ErrTooLong
		}
		b.taken += more
	}
	grown := make([]byte, len(b.data), capacity)
	copy(grown, b.data)
	b.data = grown
	return nil
}

// ReadFrom appends all that r has.
func (b *Buffer) ReadFrom(r io.Reader) (int64, error) {
	total := int64(0)
	for {
		if len(b.data) == cap(b.data) {
			if err := b.growOrEnd(r); err != nil {
				return total, endOfInput(err)
			}
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		total += int64(n)
		if err != nil {
			return total, endOfInput(err)
		}
	}
}

// growOrEnd makes room for more bytes. A full buffer of the maximum size is no error if r has nothing left.
func (b *Buffer) growOrEnd(r io.Reader) error {
	if int64(len(b.data)) < b.limit {
		return b.grow(1)
	}
	_, err := Reader(r, 0).Read(make([]byte, 1))
	return err
}

func endOfInput(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
