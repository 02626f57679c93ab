package place

import (
	"math"
	"sync"
	"time"
)

// rateTimeConstant is the time constant of the exponential decay; an instance of a large site places about ten prompts in it.
const rateTimeConstant = 4 * time.Second

// Flow measures the rate of prompt tokens that this instance sends to engines. It is safe for concurrent use.
type Flow struct {
	mu      sync.Mutex
	updated time.Time
	rate    float64
}

// Add records the tokens of a placed prompt that the engine has to read.
func (f *Flow) Add(now time.Time, tokens int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rate = f.decayed(now) + float64(tokens)/rateTimeConstant.Seconds()
	f.updated = now
}

// Rate returns the rate in tokens per second.
func (f *Flow) Rate(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decayed(now)
}

func (f *Flow) decayed(now time.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp(-now.Sub(f.updated).Seconds()/rateTimeConstant.Seconds())
}

// Unseen estimates the work that other instances have placed but not reported yet, in engine time. The rate is this
// instance's in tokens per second, and delay is the time until a placement is reported.
func Unseen(rate float64, others int, delay time.Duration, costs Costs) time.Duration {
	return time.Duration(rate * float64(others) * delay.Seconds() * float64(costs.PerToken))
}
