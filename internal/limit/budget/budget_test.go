package budget

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// All instances together stay within ratio and slack in every window, whatever the load and the retries of each.
func TestAllInstancesStayWithinTheBounds(t *testing.T) {
	bounds := Bounds{Ratio: 0.2, Slack: 122, Window: 10 * time.Second}
	const step = 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 19).Draw(t, "instances")
		budgets := make([]*Budget, instances)
		for i := range budgets {
			budgets[i] = New(bounds, instances)
		}
		var sent, retried []int
		for tick := range 300 {
			now := start.Add(time.Duration(tick) * step)
			first, retries := 0, 0
			load := rapid.IntRange(0, 3).Draw(t, "load")
			for _, b := range budgets {
				for range load {
					b.Earn(now, "s")
					first++
				}
				for range 20 {
					if b.Spend(now, "s") {
						retries++
					}
				}
			}
			sent, retried = append(sent, first), append(retried, retries)
		}
		n := int(bounds.Window / step)
		for end := n; end <= len(sent); end++ {
			sumSent, sumRetried := 0, 0
			for i := end - n; i < end; i++ {
				sumSent += sent[i]
				sumRetried += retried[i]
			}
			// An instance may spend at the start of a window what it earned right before it.
			must.LessEq(t, bounds.Ratio*float64(sumSent)+bounds.Slack, float64(sumRetried))
		}
	})
}

func TestEachServiceHasItsOwnBudget(t *testing.T) {
	b := New(Bounds{Window: time.Second}, 1)
	must.True(t, b.Spend(start, "a"))
	must.False(t, b.Spend(start, "a"))
	must.True(t, b.Spend(start, "b"))
}
