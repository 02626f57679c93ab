package place

import (
	"math"
	"sync"
	"time"
)

// rateTimeConstant is the time constant of the rate's decay. An instance of a large site places about ten prompts in it.
const rateTimeConstant = 4 * time.Second

// PrefillRate measures the rate of prompt tokens that this instance sends to engines. It is safe for concurrent use.
type PrefillRate struct {
	mu      sync.Mutex
	updated time.Time
	rate    float64
}

// Add records the tokens that an engine has to read of a placed prompt.
func (r *PrefillRate) Add(now time.Time, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate = r.decayed(now) + float64(tokens)/rateTimeConstant.Seconds()
	r.updated = now
}

// Rate returns the rate in tokens per second.
func (r *PrefillRate) Rate(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decayed(now)
}

func (r *PrefillRate) decayed(now time.Time) float64 {
	if r.rate == 0 {
		return 0
	}
	return r.rate * math.Exp(-now.Sub(r.updated).Seconds()/rateTimeConstant.Seconds())
}

// Unreported estimates the work that other instances have placed but not reported yet, in engine time. The rate is that of
// this instance in tokens per second, others the number of other instances, and delay the time until a placement is reported.
func Unreported(rate float64, others int, delay time.Duration, costs Costs) time.Duration {
	return time.Duration(rate * float64(others) * delay.Seconds() * float64(costs.PerToken))
}
