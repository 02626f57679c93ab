package place

import (
	"math"
	"sync"
	"time"
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

// Unseen returns the work that other instances have placed and that is not heard of yet, in an engine's time. Rate is this
// instance's flow in tokens a second, delay the time that word of a placement takes.
func Unseen(rate float64, others int, delay time.Duration, costs Costs) time.Duration {
	return time.Duration(rate * float64(others) * delay.Seconds() * float64(costs.PerToken))
}
