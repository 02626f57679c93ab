package shift

import (
	"slices"
	"time"
)

// Side is which builds the next request may go to.
type Side string

// Sides.
const (
	Any Side = "any" // no order: whatever is there
	Old Side = "old" // not To, and none of Drop
	New Side = "new" // To alone; before the stage Full an old one if none of To is ready
)

const (
	// Fresh is how long ago a record must have been known to be the current one for a build on trial to get requests.
	Fresh = 2 * time.Second
	// Hold is the same at the stage Full: longer than AckAge and the write of the verdict, since what an instance has
	// acknowledged it keeps while the verdict is on its way.
	Hold = 3 * time.Second
)

// Gate is what one instance may send, for one service. It keeps the last verdict.
type Gate struct {
	verdict Record
}

// Side tells where the next request goes. The age is the time since the record was known to be the current one,
// the seed is the request's own.
func (g *Gate) Side(now time.Duration, r Record, age time.Duration, seed uint64) Side {
	r = g.Known(r)
	switch {
	case r.Phase == Completed:
		return New
	case r.Phase == RolledBack:
		return Old
	case r.Phase != Running:
		return Any
	case r.Stage == Full && age <= Hold:
		return New
	case r.Stage == Full || age > Fresh || age < 0:
		return Old
	}
	if float64(mixed(seed)>>11)/(1<<53) < r.Share {
		return New
	}
	return Old
}

// Known is the record, or the verdict on its order if this instance knows one: a store that comes back from a copy
// may have lost it.
func (g *Gate) Known(r Record) Record {
	if g.verdict.Phase != "" && (r.Phase == "" || r.Started <= g.verdict.Changed) && r.Changed <= g.verdict.Changed {
		return g.verdict
	}
	if r.Phase == Completed || r.Phase == RolledBack {
		if g.verdict.Phase != "" && r.To == g.verdict.To && r.Started == g.verdict.Started {
			return g.verdict
		}
		g.verdict = r
	} else if g.verdict.Phase != "" && r.To == g.verdict.To && r.Started == g.verdict.Started {
		return g.verdict
	}
	return r
}

// Sends tells whether a build may get a request on the given side.
func (r Record) Sends(side Side, build string) bool {
	switch {
	case side == Any:
		return true
	case slices.Contains(r.Drop, build):
		return false
	case side == New:
		return build == r.To
	}
	return build != r.To
}

// Acknowledges tells whether an instance that has applied the record sends nothing to the old build any more.
func (r Record) Acknowledges(age time.Duration) bool {
	return r.Phase == Running && r.Stage == Full && age <= AckAge
}

func mixed(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
