package picker

import (
	"math"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
)

const (
	// heatHalfLife is the time in which the measured traffic of a prefix halves.
	heatHalfLife = 20 * time.Second
	// perEngine is the part of an engine's time that one prefix may fill before another engine is added.
	perEngine = 0.35
	maxHeats  = 4096
)

// heat is the decayed sum of engine seconds that a prefix has used.
type heat struct {
	seconds float64
	at      time.Time
}

// Heats measures the traffic of first pieces on this instance. It is safe for concurrent use.
type Heats struct {
	mu    sync.Mutex
	heats map[prefix.Hash]heat
}

// NewHeats returns an empty measure.
func NewHeats() *Heats {
	return &Heats{heats: make(map[prefix.Hash]heat)}
}

// Add records that a request with the first piece uses so much engine time, and returns the number of engines that the
// prefix needs, taking all instances to see the same traffic.
func (t *Heats) Add(now time.Time, first prefix.Hash, busy time.Duration, instances int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.heats[first]
	h.seconds = h.seconds*decay(now.Sub(h.at)) + busy.Seconds()
	h.at = now
	if len(t.heats) >= maxHeats {
		t.prune(now)
	}
	t.heats[first] = h
	rate := h.seconds * math.Ln2 / heatHalfLife.Seconds()
	return int(math.Ceil(rate * float64(instances) / perEngine))
}

func decay(age time.Duration) float64 {
	return math.Exp2(-age.Seconds() / heatHalfLife.Seconds())
}

func (t *Heats) prune(now time.Time) {
	for k, h := range t.heats {
		if now.Sub(h.at) > heatHalfLife {
			delete(t.heats, k)
		}
	}
	if len(t.heats) >= maxHeats {
		clear(t.heats)
	}
}
