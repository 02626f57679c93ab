package serve

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

// Eighteen engines load new weights one after the other. Every half a second a dozen requests of 50 ms of prefill arrive together.
// While the queues of the engines that have loaded are short enough for the objective, requests run on them.
func TestRequestsWaitForTheLatestWeightsWithinTheObjective(t *testing.T) {
	const objective, engines = 600 * time.Millisecond, 18
	costs := place.DefaultCosts()
	onLatest, late, total := 0, 0, 0
	busyUntil := make([]time.Duration, engines)
	for n := range 8 * 12 {
		now := time.Duration(n/12) * 500 * time.Millisecond
		views := make([]fleet.View, engines)
		loaded := 2 + int(now/(500*time.Millisecond))
		for i := range views {
			version := int64(1)
			if i < loaded {
				version = 2
			}
			pending := max(0, busyUntil[i]-now)
			views[i] = fleet.View{
				Entry:         fleet.Entry{ID: fmt.Sprint(i), State: fleet.Ready, Slots: 48, Weights: map[string]int64{"m": version}},
				PendingTokens: int64(pending / costs.PerToken),
			}
		}
		choice, ok := place.Choose(place.Query{Model: "m", Version: 2, OwnTokens: 2000, StalePenalty: latestWait(objective)}, views, costs)
		must.True(t, ok)
		i := 0
		_, err := fmt.Sscan(choice.ID, &i)
		must.NoError(t, err)
		busyUntil[i] = max(now, busyUntil[i]) + 50*time.Millisecond
		total++
		if choice.Version == 2 {
			onLatest++
		}
		if busyUntil[i]-now > objective {
			late++
		}
	}
	t.Logf("%d of %d on the latest weights, %d late", onLatest, total, late)
	must.Eq(t, 0, late)
	must.Greater(t, total*9/10, onLatest)
}
