package bound

import (
	"errors"
	"io"
	"math/bits"
	"sync"
	"sync/atomic"
)

// freeBytes is what each buffer may hold whether or not its budget has room, so that short responses are read while long ones have used
// up the budget.
const freeBytes = 4 << 10

// Budget limits the memory that the buffers of a process take together. It keeps released arrays for the next buffers, because buffers
// that grow faster than the garbage collector runs would take several times the limit. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64

	mu sync.Mutex
	// idle holds the arrays that no buffer uses, by the logarithm of their size, idleBytes their size together.
	idle      [bits.UintSize][][]byte
	idleBytes int64
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

// Trim drops the arrays that no buffer uses.
func (b *Budget) Trim() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.idle[:])
	b.idleBytes = 0
}

// array returns an empty array of a size, whose memory has been taken.
func (b *Budget) array(size int64) []byte {
	if !isKept(size) {
		return make([]byte, 0, size)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	array := b.pop(bits.Len64(uint64(size)))
	for class := len(b.idle) - 1; class > 0 && !b.hasRoom(0); class-- {
		for len(b.idle[class]) > 0 && !b.hasRoom(0) {
			b.pop(class)
		}
	}
	if array == nil {
		array = make([]byte, 0, size)
	}
	return array
}

// pop removes an idle array of a class and returns it, or nil if there is none. The budget is locked.
func (b *Budget) pop(class int) []byte {
	last := len(b.idle[class]) - 1
	if last < 0 {
		return nil
	}
	array := b.idle[class][last]
	b.idle[class][last] = nil
	b.idle[class] = b.idle[class][:last]
	b.idleBytes -= int64(cap(array))
	return array
}

// hasRoom reports whether n more bytes may be idle: arrays in use and idle ones take one and a half times the limit at most. The budget
// is locked.
func (b *Budget) hasRoom(n int64) bool { return b.used.Load()+b.idleBytes+n <= b.limit+b.limit/2 }

// keep keeps an array that is no longer used, if there is room.
func (b *Budget) keep(array []byte) {
	size := int64(cap(array))
	if !isKept(size) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasRoom(size) {
		return
	}
	class := bits.Len64(uint64(size))
	b.idle[class] = append(b.idle[class], array[:0])
	b.idleBytes += size
}

// isKept reports whether arrays of a size are kept: powers of two, from the first size that takes memory from the budget.
func isKept(size int64) bool { return size > freeBytes && size&(size-1) == 0 }

// Buffer is a byte buffer with a maximum size whose memory comes from a budget. It must be released after its last use,
// and its content not be used after that.
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
	b.budget.keep(b.data)
	b.taken, b.data = 0, nil
}

// Discard returns the buffer's memory to the budget without reusing it, for content that others may still read.
func (b *Buffer) Discard() {
	b.budget.used.Add(-b.taken)
	b.taken, b.data = 0, nil
}

// Append adds bytes, or returns ErrTooLong and releases the buffer if the limit or the budget does not allow them.
func (b *Buffer) Append(p []byte) error {
	if err := b.grow(len(p)); err != nil {
		b.Release()
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
	capacity := min(max(int64(1)<<bits.Len64(uint64(size-1)), 1<<10), b.limit)
	more := capacity - b.taken
	if capacity <= freeBytes {
		b.budget.used.Add(more)
	} else if !b.budget.take(more) {
		return ErrTooLong
	}
	b.taken += more
	grown := append(b.budget.array(capacity), b.data...)
	b.budget.keep(b.data)
	b.data = grown
	return nil
}

// ReadFrom appends all that r has. If that is too long, it releases the buffer.
func (b *Buffer) ReadFrom(r io.Reader) (int64, error) {
	total := int64(0)
	for {
		if len(b.data) == cap(b.data) {
			if err := b.growOrEnd(r); err != nil {
				if errors.Is(err, ErrTooLong) {
					b.Release()
				}
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
