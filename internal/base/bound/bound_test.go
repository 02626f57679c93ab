package bound

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// endless is a body without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func TestReader(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
		err  error
	}{{"shorter", 9, nil}, {"as long", 10, nil}, {"longer", 11, ErrTooLong}} {
		t.Run(c.name, func(t *testing.T) {
			data, err := io.ReadAll(Reader(iotest.OneByteReader(strings.NewReader(strings.Repeat("x", c.size))), 10))
			must.ErrorIs(t, err, c.err)
			must.Eq(t, min(c.size, 10), len(data))
		})
	}
}

func TestBufferReadsUpToItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 100_000).Draw(t, "limit")
		size := rapid.Int64Range(0, 120_000).Draw(t, "size")
		budget := NewBudget(1 << 20)
		b := budget.Buffer(limit)
		content := bytes.Repeat([]byte("y"), int(size))
		n, err := b.ReadFrom(iotest.HalfReader(bytes.NewReader(content)))
		if size > limit {
			must.ErrorIs(t, err, ErrTooLong)
		} else {
			must.NoError(t, err)
			must.Eq(t, size, n)
			must.True(t, bytes.Equal(content, b.Bytes()))
		}
		must.LessEq(t, limit, int64(len(b.Bytes())))
		b.Release()
		must.Eq(t, 0, budget.Used())
	})
}

// Responses without end take the whole budget and no more; one of the usual size is still read.
func TestEndlessResponsesLeaveRoomForShortOnes(t *testing.T) {
	budget := NewBudget(1 << 20)
	var held int64
	for range 500 {
		b := budget.Buffer(16 << 20)
		_, err := b.ReadFrom(endless{})
		must.ErrorIs(t, err, ErrTooLong)
		held += int64(cap(b.Bytes()))
		must.LessEq(t, int64(1<<20), budget.Used())
	}
	must.LessEq(t, int64(1<<20+500*freeBytes), held)
	short := budget.Buffer(16 << 20)
	_, err := short.ReadFrom(strings.NewReader(strings.Repeat("x", 8<<10)))
	must.NoError(t, err)
}

// Endless responses one after the other use the same memory: the garbage collector would not keep up with new arrays for each.
func TestEndlessResponsesReuseMemory(t *testing.T) {
	budget := NewBudget(1 << 20)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 100 {
		b := budget.Buffer(1 << 18)
		_, err := b.ReadFrom(endless{})
		must.ErrorIs(t, err, ErrTooLong)
	}
	runtime.ReadMemStats(&after)
	must.LessEq(t, uint64(5<<20), after.TotalAlloc-before.TotalAlloc)
	budget.Trim()
	must.Zero(t, budget.idleBytes)
}

// A buffer that fails gives its memory to others at once.
func TestEndlessResponseReleasesItsMemory(t *testing.T) {
	budget := NewBudget(1 << 20)
	b := budget.Buffer(1 << 19)
	_, err := b.ReadFrom(endless{})
	must.ErrorIs(t, err, ErrTooLong)
	must.Zero(t, budget.Used())
	c := budget.Buffer(1 << 10)
	must.ErrorIs(t, c.Append(make([]byte, 2<<10)), ErrTooLong)
	must.Zero(t, budget.Used())
}

func TestBufferReset(t *testing.T) {
	b := NewBudget(1 << 20).Buffer(1 << 20)
	must.NoError(t, b.Append([]byte("first")))
	b.Reset()
	must.NoError(t, b.Append([]byte("second")))
	must.Eq(t, "second", string(b.Bytes()))
}

func TestTransportBoundsBodies(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// The write fails when the client closes the connection.
		_, _ = io.Copy(w, endless{})
	}))
	defer server.Close()
	client := &http.Client{Transport: Transport(&http.Transport{}, 1000)}
	resp, err := client.Get(server.URL)
	must.NoError(t, err)
	data, err := io.ReadAll(resp.Body)
	must.ErrorIs(t, err, ErrTooLong)
	must.Eq(t, 1000, len(data))
	must.NoError(t, resp.Body.Close())
}
