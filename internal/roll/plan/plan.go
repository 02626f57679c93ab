// Package plan decides which engines load new weights next. It compares what each engine runs with what was announced,
// so that versions that were superseded are skipped and a successor goes on where its predecessor stopped.
package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

// Mode says what happens to requests that run when new weights are loaded.
type Mode string

// The modes of loading.
const (
	// Finish lets them run to their end first.
	Finish Mode = "finish"
	// Cut ends their streams.
	Cut Mode = "cut"
	// Continue goes on with them on the new weights.
	Continue Mode = "continue"
)

// Outcome is an engine's answer to an order.
type Outcome string

// The outcomes of orders.
const (
	Accepted Outcome = "accepted"
	Already  Outcome = "already"
	Busy     Outcome = "busy"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
)

// Report is what an engine says of itself, as of some hundred milliseconds ago.
type Report struct {
	// Weights is the loaded version by model.
	Weights map[string]int64
	// Busy tells that an order is in progress.
	Busy bool
	// Orders is the number of orders accepted since the engine's start.
	Orders  int64
	Waiting int
	Running int
}

// Order tells one engine to load a version.
type Order struct {
	Upstream string
	Address  string
	Model    string
	Version  int64
	Mode     Mode
	// Holder names this instance, Token is the fencing token of its lease.
	Holder string
	Token  int64
	// After is the number of orders that the engine must have accepted before.
	After int64
}

// Progress is what this instance has done about one engine.
type Progress struct {
	// Started is when loading was begun; zero when it is not in progress.
	Started time.Time
	// Retry is the earliest next try after a failure.
	Retry time.Time
}

// AtOnce returns how many engines may be out for loading at the same time: a third of them, which brings the whole
// fleet to a version in three rounds of draining and loading, within the users' bound of 8 s.
func AtOnce(engines int) int {
	return max(1, (engines+2)/3)
}

// Next returns the engines that should begin to load a version now, those with the least work first so that least has
// to be waited for.
func Next(now time.Time, model string, version int64, engines []fleet.View, progress map[string]Progress) []fleet.View {
	var open []fleet.View
	busy, size := 0, 0
	for i := range engines {
		e := &engines[i]
		if e.State != fleet.Ready || e.Weights[model] == 0 {
			continue
		}
		size++
		p := progress[e.ID]
		if !p.Started.IsZero() {
			busy++
			continue
		}
		if e.Weights[model] < version && !now.Before(p.Retry) {
			open = append(open, *e)
		}
	}
	slices.SortFunc(open, func(a, b fleet.View) int {
		return cmp.Or(cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	return open[:max(0, min(len(open), AtOnce(size)-busy))]
}

// Pending returns the number of engines that run an older version than announced.
func Pending(model string, version int64, engines []fleet.View) int {
	n := 0
	for i := range engines {
		if e := &engines[i]; e.State == fleet.Ready && e.Weights[model] > 0 && e.Weights[model] < version {
			n++
		}
	}
	return n
}
