package place

import (
	"math"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

// flowTime is the time constant of a flow; an instance of a large site places some ten prompts in it.
const flowTime = 4 * time.Second

// Flow measures how many tokens this instance gives engines to read. It is safe for concurrent use.
type Flow struct {
	mu   sync.Mutex
	at   time.Time
	rate float64
}

// Add records a placed prompt.
func (f *Flow) Add(now time.Time, tokens int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rate = f.decayed(now) + float64(tokens)/flowTime.Seconds()
	f.at = now
}

// Rate returns tokens a second.
func (f *Flow) Rate(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decayed(now)
}

func (f *Flow) decayed(now time.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp(-now.Sub(f.at).Seconds()/flowTime.Seconds())
}

// Unseen returns the wait that prompts placed by other instances and not yet heard of add, on the mean, to each engine
// that serves the newest weights, beyond what they add when all engines do. Prefixes spread prompts over a whole fleet, but
// not over its first engines with new weights, which hold none. Rate is this instance's flow in tokens a second, delay the
// time that word of a placement takes.
func Unseen(rate float64, others int, delay time.Duration, newest, all int, costs Costs) time.Duration {
	if newest <= 0 || newest >= all || others <= 0 {
		return 0
	}
	tokens := rate * float64(others) * delay.Seconds()
	return time.Duration(tokens * (1/float64(newest) - 1/float64(all)) * float64(costs.PerToken))
}

// Serving counts the engines that serve a model, and those of them that do with a version or a newer one.
func Serving(views []fleet.View, model string, version int64) (newest, all int) {
	for i := range views {
		v := &views[i]
		if v.State != fleet.Ready || v.Weights[model] == 0 {
			continue
		}
		all++
		if v.Weights[model] >= version && !v.Switching && !v.Ejected && v.Healthy() {
			newest++
		}
	}
	return newest, all
}
