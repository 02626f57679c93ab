package deaths

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func TestDeathsAddUpOverInstances(t *testing.T) {
	a, b := NewBook(), NewBook()
	a.Crashed(start, 7)
	b.Crashed(start, 7)
	b.Crashed(start, 7)
	a.Hear(start, "b", b.Tell(start))
	a.Hear(start, "b", b.Tell(start))
	must.Eq(t, 3, a.Crashes(start, 7))
	must.Eq(t, 0, a.Crashes(start, 8))
	must.Eq(t, 0, a.Crashes(start.Add(remembered+1), 7))
}

func TestUnreadableCountsArePassedOver(t *testing.T) {
	b := NewBook()
	b.Hear(start, "p", map[string]int{"no number": 3, "7": -1})
	must.Eq(t, 0, b.Crashes(start, 7))
}

func TestTheBookIsBounded(t *testing.T) {
	b := NewBook()
	for i := range uint64(keptMost + 10) {
		b.Crashed(start, i)
	}
	must.Eq(t, keptMost, len(b.records))
	must.Eq(t, toldMost, len(b.Tell(start)))
	b.Crashed(start.Add(remembered+time.Second), keptMost+11)
	must.Eq(t, 1, len(b.records))
}
