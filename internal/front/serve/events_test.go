package serve

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

func memory() *bound.Budget { return bound.NewBudget(4 << 20) }

func TestEventsPreserveBytes(t *testing.T) {
	text := "id: 1\ndata: a\n\n" + "x-version: 2\nid:2\r\ndata: b\r\ndata: c\r\n\r\n" + ": comment\n\n"
	reader := newEventReader(iotest.OneByteReader(strings.NewReader(text)), memory())
	var got string
	var ids []string
	for {
		ev, rest, err := reader.next()
		if errors.Is(err, io.EOF) {
			must.SliceEmpty(t, rest)
			break
		}
		must.NoError(t, err)
		got += string(ev.raw)
		ids = append(ids, ev.id)
	}
	must.Eq(t, text, got)
	must.Eq(t, []string{"1", "2", ""}, ids)
}

func TestPartialEventIsNotReturned(t *testing.T) {
	reader := newEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n"), memory())
	_, _, err := reader.next()
	must.NoError(t, err)
	ev, rest, err := reader.next()
	must.ErrorIs(t, err, io.EOF)
	must.SliceEmpty(t, ev.raw)
	must.Eq(t, "id: 2\ndata: b\n", string(rest))
}

// A line that fills the read buffer exactly is not taken for the blank line at the end of an event.
func TestLineAsLongAsTheBuffer(t *testing.T) {
	for size := 2040; size < 2060; size++ {
		text := "id: 7\n" + strings.Repeat("x", size) + "\ndata: b\n\n"
		for _, prefix := range []string{"", "id: 6\n\n"} {
			reader := newEventReader(strings.NewReader(prefix+text), memory())
			if prefix != "" {
				_, _, err := reader.next()
				must.NoError(t, err)
			}
			ev, _, err := reader.next()
			must.NoError(t, err)
			must.Eq(t, text, string(ev.raw), must.Sprint(size))
			must.Eq(t, "7", ev.id)
		}
	}
}

func TestOversizedEventIsRejected(t *testing.T) {
	_, _, err := newEventReader(strings.NewReader(strings.Repeat("data: x", maxEventBytes/4)), memory()).next()
	must.ErrorIs(t, err, bound.ErrTooLong)
}

// answerBound is the shortest timeout of a route that users describe, with the time in which its answer is due after it.
const answerBound = 5500 * time.Millisecond

// Guards against requests without an answer in time, because an engine that sends empty lines without end takes all processor time.
func TestEmptyLinesWithoutEndAreCutOff(t *testing.T) {
	ended := make(chan error, 1)
	go func() {
		_, _, err := newEventReader(strings.NewReader(strings.Repeat("\n", 2*maxEventBytes)), memory()).next()
		ended <- err
	}()
	select {
	case err := <-ended:
		must.ErrorIs(t, err, bound.ErrTooLong)
	case <-time.After(answerBound):
		t.Fatal("empty lines are still being read")
	}
}

// BenchmarkEventsWithoutEnd reads text that never becomes an event. The time grows with the length.
func BenchmarkEventsWithoutEnd(b *testing.B) {
	for name, line := range map[string]string{"empty lines": "\n", "short fields": "a:\n", "comments": ": c\n"} {
		for _, size := range []int{1 << 10, 32 << 10, maxEventBytes} {
			text := strings.Repeat(line, size/len(line))
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				b.SetBytes(int64(len(text)))
				for b.Loop() {
					reader := newEventReader(strings.NewReader(text), memory())
					if _, _, err := reader.next(); err == nil {
						b.Fatal("an event")
					}
					reader.release()
				}
			})
		}
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		reader := newEventReader(strings.NewReader(text), memory())
		got := ""
		for {
			ev, rest, err := reader.next()
			got += string(ev.raw) + string(rest)
			if err != nil {
				must.ErrorIs(t, err, io.EOF)
				break
			}
		}
		must.Eq(t, text, got)
	})
}
