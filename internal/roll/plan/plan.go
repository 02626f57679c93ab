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
	// Version is what it was begun for.
	Version int64
	// Retry is the earliest next try after a failure.
	Retry time.Time
}

const (
	// firstWave is the divisor of the fleet that loads first. New requests go to it, so that the others drain by
	// themselves.
	firstWave = 3
	// drained is the number of requests with which an engine counts as drained: ending them on the new weights costs less
	// than the load itself.
	drained = 2
	// patience is how long after the announcement engines may drain by themselves. Long answers take some seconds, and
	// the users' bound for the whole rollout is 8 s.
	patience = 3 * time.Second
	// urgent is how long after the announcement engines no longer wait for their requests; the users' bound for all
	// engines is 11 s, and no request begins on superseded weights by then.
	urgent = 6 * time.Second
)

// Move is an engine that should begin to load, and what happens to its requests.
type Move struct {
	Engine fleet.View
	Mode   Mode
}

// Target is the version to which a model's engines are brought.
type Target struct {
	Model   string
	Version int64
	// Age is the time since its announcement.
	Age time.Duration
}

// Next returns the engines that should begin to load now, those with the least work first. The first wave goes on with
// its few requests on the new weights, which costs a part of their worth and gives new requests a place seconds earlier.
// The others follow when they have drained, or when patience is over by finishing first, never more of them at once than
// already serve the new weights.
func Next(now time.Time, t Target, engines []fleet.View, progress map[string]Progress) []Move {
	var open []fleet.View
	busy, size, done := 0, 0, 0
	for i := range engines {
		e := &engines[i]
		if e.State != fleet.Ready || e.Weights[t.Model] == 0 {
			continue
		}
		size++
		p := progress[e.ID]
		switch {
		case !p.Started.IsZero():
			if p.Version == t.Version {
				busy++
			}
		case e.Weights[t.Model] >= t.Version:
			done++
		case !now.Before(p.Retry):
			open = append(open, *e)
		}
	}
	slices.SortFunc(open, func(a, b fleet.View) int {
		return cmp.Or(cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	first := max(1, size/firstWave)
	var moves []Move
	for _, e := range open {
		switch {
		case done+busy+len(moves) < first:
			moves = append(moves, Move{Engine: e, Mode: Continue})
		case busy+len(moves) >= max(first, done):
			return moves
		case done < first:
			return moves
		case e.Running <= drained || t.Age > urgent:
			moves = append(moves, Move{Engine: e, Mode: Continue})
		case t.Age > patience:
			moves = append(moves, Move{Engine: e, Mode: Finish})
		}
	}
	return moves
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
