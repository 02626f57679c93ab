package serve

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

func TestEventsPreserveBytes(t *testing.T) {
	text := "id: 1\ndata: a\n\n" + "x-version: 2\nid:2\r\ndata: b\r\ndata: c\r\n\r\n" + ": comment\n\n"
	reader := newEventReader(iotest.OneByteReader(strings.NewReader(text)))
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
	reader := newEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n"))
	_, _, err := reader.next()
	must.NoError(t, err)
	ev, rest, err := reader.next()
	must.ErrorIs(t, err, io.EOF)
	must.SliceEmpty(t, ev.raw)
	must.Eq(t, "id: 2\ndata: b\n", string(rest))
}

func TestOversizedEventIsRejected(t *testing.T) {
	_, _, err := newEventReader(strings.NewReader(strings.Repeat("data: x", maxEventBytes/4))).next()
	must.ErrorIs(t, err, errEventTooLong)
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		reader := newEventReader(strings.NewReader(text))
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
