package serve

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/front/link"
)

// init fixes seed and number of checks, so that every run gives the same result; flags override them.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "1000")
}

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
		text := "id: 7\n" + "x:" + strings.Repeat("x", size-len("x:")) + "\ndata: b\n\n"
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

// Each line shows whether it belongs to an event.
func TestEventLines(t *testing.T) {
	for line, want := range map[string]bool{
		"id: 1": true, "id:1": true, "data:": true, "data": true, "data: {\"a\": [1]}": true, "retry: 100": true, ": comment": true, ":": true,
		"x-weight-versions: 2": true, "X_other-Field9: y": true, "data: HTTP/1.1 200 OK": true, "error: out of memory": true,
		"internal error": false, "internal error: no memory": false, "error": false, "id": false, "{\"error\":\"no memory\"}": false,
		"<html>": false, "HTTP/1.1 500 Internal Server Error": false, " ": false, "\t": false, " data: a": false, "\x00": false,
	} {
		reader := newEventReader(strings.NewReader("data: first\n"+line+"\n\n"), memory())
		_, rest, err := reader.next()
		if want {
			must.NoError(t, err, must.Sprint(line))
			continue
		}
		must.ErrorIs(t, err, errNoField, must.Sprint(line))
		must.Eq(t, "data: first\n", string(rest), must.Sprint(line))
	}
}

// eventPattern matches one event, with blank lines before it.
var eventPattern = regexp.MustCompile(`^(?:\r*\n)*(?:(?:[A-Za-z0-9_-]*:[^\n]*|data\r*)\n)+\r*\n$`)

// checkEvents reads a text, and checks that all that comes out are events and that nothing is lost before an error. It returns the
// events.
func checkEvents(t must.T, text string) (read []string) {
	t.Helper()
	reader := newEventReader(strings.NewReader(text), memory())
	defer reader.release()
	got := ""
	for {
		ev, rest, err := reader.next()
		if err != nil {
			must.True(t, errors.Is(err, io.EOF) || errors.Is(err, link.ErrMalformed))
			must.StrHasPrefix(t, got+string(rest), text)
			if errors.Is(err, io.EOF) {
				must.Eq(t, text, got+string(rest))
			}
			return read
		}
		got += string(ev.raw)
		read = append(read, string(ev.raw))
		must.True(t, eventPattern.Match(ev.raw), must.Sprintf("%q", ev.raw))
	}
}

// Of the bytes that follow a stream, only those that are events come out as events.
func TestBytesAfterAStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 4).Draw(t, "events")
		var stream []string
		for i := range count {
			stream = append(stream, fmt.Sprintf("id: %d\ndata: a\n\n", i+1))
		}
		piece := rapid.SampledFrom([]string{
			"HTTP/1.1 500 Internal Server Error\r\n", "internal error", "{\"error\":1}", "id: 9", "id:", "data", "data: x", ": c", "X-A: b", "\r\n", "\n", "\r",
			" ", "\x00", "é",
		})
		after := rapid.OneOf(rapid.String(), rapid.Map(rapid.SliceOfN(piece, 0, 12), func(p []string) string { return strings.Join(p, "") })).Draw(t, "after")
		read := checkEvents(t, strings.Join(stream, "")+after)
		must.GreaterEq(t, count, len(read))
		must.Eq(t, stream, append([]string(nil), read[:count]...))
	})
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Add("id: 1\ndata: a\n\nHTTP/1.1 500 Internal Server Error\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) { checkEvents(t, text) })
}
