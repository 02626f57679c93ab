package budget

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// All instances together stay within ratio and slack in every window, whatever each of them is sent and retries.
func TestAllInstancesStayWithinTheBounds(t *testing.T) {
	bounds := Bounds{Ratio: 0.2, Slack: 122, Window: 10 * time.Second}
	const step = 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 19).Draw(t, "instances")
		budgets := make([]*Budget, size)
		for i := range budgets {
			budgets[i] = New(bounds, size)
		}
		var asked, again []int
		for tick := range 300 {
			now := start.Add(time.Duration(tick) * step)
			a, r := 0, 0
			load := rapid.IntRange(0, 3).Draw(t, "load")
			for _, b := range budgets {
				for range load {
					b.Earn(now, "s")
					a++
				}
				for range 20 {
					if b.Spend(now, "s") {
						r++
					}
				}
			}
			asked, again = append(asked, a), append(again, r)
		}
		n := int(bounds.Window / step)
		for end := n; end <= len(asked); end++ {
			sumAsked, sumAgain := 0, 0
			for i := end - n; i < end; i++ {
				sumAsked += asked[i]
				sumAgain += again[i]
			}
			// An instance may spend at the start of a window what it earned right before it.
			must.LessEq(t, bounds.Ratio*float64(sumAsked)+bounds.Slack, float64(sumAgain))
		}
	})
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	b := New(Bounds{Window: time.Second}, 1)
	must.True(t, b.Spend(start, "a"))
	must.False(t, b.Spend(start, "a"))
	must.True(t, b.Spend(start, "b"))
}
