package serve

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestNumberingSkips(t *testing.T) {
	for _, c := range []struct {
		name string
		ids  []string
		next string
		want bool
	}{
		{"next", []string{"1", "2"}, "3", false},
		{"one left out", []string{"1", "2"}, "4", true},
		{"repeated", []string{"1", "2"}, "2", false},
		{"not consecutive before", []string{"1", "2", "5"}, "9", false},
		{"a single event", []string{"7"}, "9", false},
		{"none", nil, "9", false},
		{"no numbers", []string{"a", "b"}, "d", false},
		{"no number", []string{"1", "2"}, "x", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var n numbering
			for _, id := range c.ids {
				n.add(id)
			}
			must.Eq(t, c.want, n.skips(c.next))
		})
	}
}
