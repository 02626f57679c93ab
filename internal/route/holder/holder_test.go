package holder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

// interval is the pause between messages, told the time in which a use is told twice.
const (
	interval = 250 * time.Millisecond
	told     = 550 * time.Millisecond
)

func TestDepthsCountLeadingPrefixes(t *testing.T) {
	b := NewBook()
	b.Used(start, Use{"a", []uint64{1, 2}})
	b.Used(start, Use{"b", []uint64{1}})
	b.Used(start, Use{"c", []uint64{9, 2}})
	must.Eq(t, map[string]int{"a": 2, "b": 1}, b.Depths(start, []uint64{1, 2}))
}

func TestEnginesAreBelievedForLessThanTheStore(t *testing.T) {
	b := NewBook()
	b.Used(start, Use{"a", []uint64{1}})
	b.Used(start, Use{Store, []uint64{1}})
	must.Eq(t, map[string]int{Store: 1}, b.Depths(start.Add(Believed), []uint64{1}))
	must.MapEmpty(t, b.Depths(start.Add(StoreBelieved), []uint64{1}))
}

func TestUsesAreToldOnceToTheOthers(t *testing.T) {
	b, other := NewBook(), NewBook()
	u := Use{"a", []uint64{1, 2}}
	b.Used(start, u)
	must.Eq(t, []Use{u}, b.Tell(start, interval))
	other.Hear(start, b.Tell(start, interval))
	must.SliceEmpty(t, other.Tell(start, interval))
	must.Eq(t, map[string]int{"a": 2}, other.Depths(start, []uint64{1, 2}))
	must.SliceEmpty(t, b.Tell(start.Add(told+1), interval))
	b.Used(start.Add(told+1), u)
	must.SliceEmpty(t, b.Tell(start.Add(told+1), interval))
	b.Used(start.Add(renewed+time.Second), u)
	must.SliceLen(t, 1, b.Tell(start.Add(renewed+time.Second), interval))
}

func TestForget(t *testing.T) {
	b := NewBook()
	b.Used(start, Use{Store, []uint64{1}})
	b.Forget(Store)
	must.MapEmpty(t, b.Depths(start, []uint64{1}))
}

func TestTheBookIsBounded(t *testing.T) {
	b := NewBook()
	for i := range uint64(most + 10) {
		b.Hear(start, []Use{{"a", []uint64{i}}})
	}
	must.Eq(t, most, len(b.prefixes))
	b.Hear(start.Add(StoreBelieved), []Use{{"a", []uint64{0}}})
	must.Eq(t, 1, len(b.prefixes))
}
