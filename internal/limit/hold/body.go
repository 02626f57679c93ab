package hold

import (
	"context"
	"errors"
	"io"
	"time"
)

const (
	// announcedBytes is the memory for a body of which nothing has arrived, if its length is known, and firstBytes if it is not.
	announcedBytes = 16 << 10
	firstBytes     = 4 << 10
)

// Grant is memory that a request has taken. A nil Grant takes nothing.
type Grant struct {
	conn *Conn
	kind Kind
	n    int64
}

// NewGrant returns an empty grant. The connection may be nil, which is not counted.
func NewGrant(c *Conn, k Kind) *Grant { return &Grant{conn: c, kind: k} }

// Grow takes memory until the grant has n bytes, or returns ErrShort.
func (g *Grant) Grow(ctx context.Context, now time.Time, n int64) error {
	if g == nil || g.conn == nil || n <= g.n {
		return nil
	}
	if err := g.conn.account.take(ctx, now, g.conn, g.kind, n-g.n); err != nil {
		return err
	}
	g.n = n
	return nil
}

// Note counts n bytes that are held whether or not there is room, and so come out of what others may take.
func (g *Grant) Note(n int64) {
	if g == nil || g.conn == nil {
		return
	}
	a := g.conn.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(g.conn, g.kind, n-g.n)
	g.n = n
}

// Release gives the memory back.
func (g *Grant) Release() { g.Note(0) }

// ReadBody reads a body to its end into memory that grows as bytes arrive. Announced is its length, or negative if it is not known. A
// body that makes no progress for the stall time is cut; zero means no limit. The error is ErrShort if it was cut for others.
func (g *Grant) ReadBody(ctx context.Context, now time.Time, r io.Reader, announced int64, stall time.Duration) ([]byte, error) {
	if c := g.conn; c != nil {
		c.mu.Lock()
		c.stall = stall
		c.mu.Unlock()
		defer func() { c.Begin(time.Now(), Running) }()
		c.Begin(now, Body)
	}
	var data []byte
	for {
		if len(data) == cap(data) && (announced < 0 || int64(len(data)) < announced) {
			size := max(firstBytes, 2*int64(cap(data)))
			if announced >= 0 {
				size = min(max(size, announcedBytes), announced)
			}
			if err := g.Grow(ctx, now, size); err != nil {
				return nil, err
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			data = grown
		}
		if announced >= 0 && int64(len(data)) == announced {
			return data, nil
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if n > 0 {
			now = time.Now()
		}
		switch {
		case errors.Is(err, io.EOF) && announced >= 0 && int64(len(data)) < announced:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil && g.conn.CutReason() != "":
			return nil, ErrShort
		case err != nil:
			return nil, err
		}
	}
}
