package serve

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestEventOrder(t *testing.T) {
	for _, c := range []struct {
		name, resumed, text string
		// read is how many events come out before the end or one that is out of order.
		read  int
		whole bool
	}{
		{"rising", "", "id: 1\n\nid: 2\n\nid: 9\n\n", 3, true},
		{"by number", "", "id: 9\n\nid: 10\n\n", 2, true},
		{"the same", "", "id: 1\n\nid: 1\n\n", 1, false},
		{"lower", "", "id: 10\n\nid: 9\n\n", 1, false},
		{"none", "", "data: a\n\ndata: b\n\n", 2, true},
		{"none at first", "", "data: a\n\nid: 1\n\n", 2, true},
		{"none later", "", "id: 1\n\ndata: a\n\n", 1, false},
		{"empty", "", "id: 1\n\nid:\n\n", 1, false},
		{"two", "", "id: 1\nid: 2\n\n", 0, false},
		{"comments and delays", "", "id: 1\n\n: c\n\nretry: 5\n\nid: 2\n\n", 4, true},
		{"a comment and text", "", "id: 1\n\n: c\ndata: a\n\n", 1, false},
		{"no number later", "", "id: 1\n\nid: x\n\n", 1, false},
		{"no numbers", "", "id: b\n\nid: a\n\n", 2, true},
		{"no numbers, the same", "", "id: b\n\nid: b\n\n", 1, false},
		{"repeated after a take-up", "3", "id: 2\n\nid: 3\n\nid: 4\n\n", 3, true},
		{"none after a take-up", "3", "data: a\n\n", 0, false},
		{"no number after a take-up", "3", "id: x\n\n", 0, false},
		{"no numbers after a take-up", "x", "id: y\n\n", 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			reader := newEventReader(strings.NewReader(c.text), memory())
			reader.order.resumed = c.resumed
			for range c.read {
				_, _, err := reader.next()
				must.NoError(t, err)
			}
			_, _, err := reader.next()
			must.Eq(t, c.whole, errors.Is(err, io.EOF))
			must.Eq(t, !c.whole, errors.Is(err, errEventOrder))
		})
	}
}
