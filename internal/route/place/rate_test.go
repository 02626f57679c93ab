package place

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestPrefillRate(t *testing.T) {
	start := time.Unix(1000, 0)
	var r PrefillRate
	must.Eq(t, 0.0, r.Rate(start))
	for i := range 400 {
		r.Add(start.Add(time.Duration(i)*100*time.Millisecond), 300)
	}
	end := start.Add(40 * time.Second)
	must.Between(t, 2800, r.Rate(end), 3200)
	must.Less(t, 100, r.Rate(end.Add(20*time.Second)))
}

func TestUnreported(t *testing.T) {
	costs := DefaultCosts()
	must.Eq(t, 0, Unreported(7000, 0, 600*time.Millisecond, costs))
	// 441,000 tokens at 25 us each.
	must.Eq(t, 11025*time.Millisecond, Unreported(7000, 105, 600*time.Millisecond, costs))
}

func TestWaitFloor(t *testing.T) {
	for _, c := range []struct {
		unreported time.Duration
		waits      []time.Duration
		want       time.Duration
	}{
		{0, nil, 0},
		{10, nil, 0},
		{0, []time.Duration{5, 3}, 3},
		{4, []time.Duration{5, 3}, 6},
		{2, []time.Duration{9, 5, 3}, 5},
		{3, []time.Duration{9, 5, 3}, 5},
		{12, []time.Duration{9, 5, 3}, 9},
		{1, []time.Duration{9, 1, 1}, 1},
		{30, []time.Duration{0, 0, 0}, 10},
	} {
		must.Eq(t, c.want, waitFloor(c.unreported, c.waits), must.Sprintf("%d over %v", c.unreported, c.waits))
	}
}
