package relay

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

var errStalled = errors.New("stalled")

// Each stream held up to 2 MB of an event without end, however many there were.
func TestUnfinishedEventsShareABudget(t *testing.T) {
	const (
		budget = 4 << 20
		size   = maxEventBytes - 1000
	)
	for _, c := range []struct{ name, text string }{
		{"one line", "data: " + strings.Repeat("x", size)},
		{"many lines", strings.Repeat("data: xxxxxxxxxxxxxxxx\n", size/len("data: xxxxxxxxxxxxxxxx\n"))},
		{"a comment", ": " + strings.Repeat("x", size)},
	} {
		t.Run(c.name, func(t *testing.T) {
			memory := bound.NewBudget(budget)
			held := 0
			var readers []*EventReader
			for range 50 {
				e := NewEventReader(io.MultiReader(strings.NewReader(c.text), iotest.ErrReader(errStalled)), memory)
				readers = append(readers, e)
				_, err := e.Next()
				must.ErrorIs(t, err, ErrTruncated)
				if errors.Is(err, errStalled) {
					held++
				}
			}
			must.Positive(t, held)
			must.LessEq(t, 2*budget/size, held)
			for _, e := range readers {
				e.Close()
			}
			must.Eq(t, 0, memory.Used())
		})
	}
}

func TestLongEventsAreReleased(t *testing.T) {
	memory := bound.NewBudget(4 << 20)
	long := strings.Repeat("x", 100<<10)
	e := NewEventReader(strings.NewReader("id: 1\ndata: "+long+"\r\n\ndata: short\n\ndata:\n\n"), memory)
	first, err := e.Next()
	must.NoError(t, err)
	second, err := e.Next()
	must.NoError(t, err)
	third, err := e.Next()
	must.NoError(t, err)
	must.Eq(t, long, string(first.Data))
	must.Eq(t, "short", string(second.Data))
	must.Eq(t, "", string(third.Data))
	e.Close()
	must.Positive(t, memory.Used())
	first.Release()
	second.Release()
	must.Eq(t, 0, memory.Used())
}

// The reader went on for as long as the engine sent lines without data.
func TestLinesWithoutDataAreCutOff(t *testing.T) {
	for _, line := range []string{"\n", ": x\n", "id: 1\n", "x"} {
		text := "data: one\n\n" + strings.Repeat(line, 2*maxEventBytes/len(line)) + "\ndata: two\n\n"
		e := NewEventReader(strings.NewReader(text), bound.NewBudget(4<<20))
		_, err := e.Next()
		must.NoError(t, err)
		_, err = e.Next()
		must.ErrorIs(t, err, ErrTruncated, must.Sprint(line))
		must.ErrorIs(t, err, bound.ErrTooLong, must.Sprint(line))
	}
}

// Guards against a response whose memory is reused for another one while it is still read: a claim may hand it to another instance.
func TestReleasedResponseIsNotOverwritten(t *testing.T) {
	p := NewPool(DialTCP)
	p.SetMemory(4 << 20)
	read := func(letter string) Event {
		e, err := p.ReadWhole(&http.Response{Body: io.NopCloser(strings.NewReader(strings.Repeat(letter, 32<<10)))})
		must.NoError(t, err)
		return e
	}
	first := read("a")
	data := first.Data
	first.Release()
	must.Eq(t, 0, p.Memory.Used())
	second := read("b")
	defer second.Release()
	must.Eq(t, strings.Repeat("a", 32<<10), string(data))
}
