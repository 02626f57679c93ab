package outage

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const limit = 1800 * time.Millisecond

func at(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

func read(ms int) Span { return Span{at(ms), at(ms)} }

// step is something that an instance learns.
type step func(tr *Tracker)

func fails(ms int) step { return func(tr *Tracker) { tr.Failed(at(ms)) } }

func served(since, until, returned int) step {
	return func(tr *Tracker) { tr.Served(Span{at(since), at(until)}, at(returned)) }
}

func TestOutageIsATimeInWhichNoInstanceReadsTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		steps    []step
		returned int
	}{
		"own reads fail while others read": {[]step{served(100, 100, 0), fails(700), served(1000, 1000, 0), fails(1600), served(2000, 2000, 0)}, 0},
		"nobody reads":                     {[]step{served(100, 100, 0), fails(700), fails(1500), served(3000, 3000, 0)}, 3000},
		"nobody reads for a short time":    {[]step{served(100, 100, 0), fails(700), served(1900, 1900, 0)}, 0},
		"no read was tried":                {[]step{served(100, 100, 0), served(5000, 5000, 0)}, 0},
		"cut off while others read":        {[]step{served(100, 100, 0), fails(700), fails(5000), served(100, 5100, 0)}, 0},
		"others say so later":              {[]step{served(100, 100, 0), fails(700), served(5000, 5000, 0), served(100, 5200, 0)}, 0},
		"learned from another instance":    {[]step{served(100, 100, 0), served(6000, 6500, 6000)}, 6000},
		"another one was cut off":          {[]step{served(100, 6000, 0), served(6000, 6500, 6000)}, 0},
		"another one of an earlier build":  {[]step{served(100, 6000, 0), served(6500, 6500, 6300)}, 0},
		"it fails after its last read":     {[]step{served(100, 6000, 0), served(6000, 6000, 6300), served(6600, 6600, 6300)}, 0},
		"that failure is in an outage":     {[]step{served(100, 6000, 0), served(6000, 6000, 6300), served(9000, 9000, 0)}, 9000},
		"older news":                       {[]step{served(5000, 6000, 5000), served(100, 200, 0)}, 5000},
		"the first news":                   {[]step{served(5000, 6000, 5000)}, 5000},
	} {
		t.Run(name, func(t *testing.T) {
			tr := NewTracker(limit)
			for _, s := range c.steps {
				s(tr)
			}
			returned, ok := tr.ReturnedAt()
			must.Eq(t, at(c.returned), returned)
			must.Eq(t, c.returned != 0, ok)
		})
	}
}

// A copy may lack rows although the store was read all the while.
func TestRestoreIsAnOutage(t *testing.T) {
	tr := NewTracker(limit)
	tr.Served(read(100), 0)
	tr.Restored(at(5000))
	tr.Served(Span{at(100), at(5100)}, 0)
	tr.Served(Span{at(100), at(9000)}, 0)
	returned, ok := tr.ReturnedAt()
	must.True(t, ok)
	must.Eq(t, at(5000), returned)
	span, ok := tr.Latest()
	must.True(t, ok)
	must.Eq(t, Span{at(5000), at(9000)}, span)
}

// Instances that exchange what they know agree, whatever part of the reads each makes, on whether there was an outage.
func TestInstancesAgreeOnOutages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := make([]*Tracker, rapid.IntRange(2, 5).Draw(t, "instances"))
		for i := range trackers {
			trackers[i] = NewTracker(limit)
		}
		exchange := func() {
			for _, from := range trackers {
				s, known := from.Latest()
				returned, _ := from.ReturnedAt()
				for _, to := range trackers {
					if known && to != from {
						to.Served(s, returned)
					}
				}
			}
		}
		now, away := at(1000), rapid.Bool().Draw(t, "away")
		turnedAway := rapid.IntRange(0, len(trackers)-1).Draw(t, "turned away")
		round := func() {
			for i, tr := range trackers {
				switch {
				case i == turnedAway:
					tr.Failed(now)
				case rapid.Bool().Draw(t, "reads"):
					tr.Served(Span{now, now}, 0)
				}
			}
			trackers[(turnedAway+1)%len(trackers)].Served(Span{now, now}, 0)
			exchange()
			now += 600 * time.Millisecond
		}
		for range 5 {
			round()
		}
		if away {
			for range 5 {
				for _, tr := range trackers {
					tr.Failed(now)
				}
				now += 600 * time.Millisecond
			}
		}
		returnedAt := now
		for range 5 {
			round()
		}
		for _, tr := range trackers {
			returned, ok := tr.ReturnedAt()
			must.Eq(t, away, ok)
			if away {
				must.Eq(t, returnedAt, returned)
			}
		}
	})
}
