package fleet

import "time"

// bucketDuration is the length of one of the two buckets of a window. At 140 instances and 90 engines, one instance sends to
// one engine every 30 s. All instances together send to it 4 times a second, so that a window holds about ten outcomes.
const bucketDuration = 1500 * time.Millisecond

// failureTTL is how long failures count while the upstream gets no requests. Each retry of an unresponsive upstream costs
// the site about four requests before the failure has reached all instances.
const failureTTL = 6 * time.Second

// window counts the outcomes of the last one to two buckets, and keeps failures for longer while nothing newer is counted.
type window struct {
	// started is the start of the current bucket.
	started           time.Time
	lastFailure       time.Time
	current, previous outcomes
}

// outcomes counts requests by their outcome.
type outcomes struct {
	// good counts responses that are not failures, bad counts failures, and unanswered counts requests that got no data for
	// a long time.
	good, bad, unanswered int
}

func (o outcomes) plus(p outcomes) outcomes {
	return outcomes{o.good + p.good, o.bad + p.bad, o.unanswered + p.unanswered}
}

// rotate starts a new bucket when the current one is over and either has counts or the last failure has expired.
func (w *window) rotate(now time.Time) {
	elapsed := now.Sub(w.started)
	if elapsed < bucketDuration {
		return
	}
	if w.current == (outcomes{}) && now.Sub(w.lastFailure) < failureTTL {
		return
	}
	w.previous = w.current
	if elapsed >= 2*bucketDuration && now.Sub(w.lastFailure) >= failureTTL {
		w.previous = outcomes{}
	}
	w.current = outcomes{}
	w.started = now
}

func (w *window) addGood(now time.Time) {
	w.rotate(now)
	w.current.good++
}

func (w *window) addBad(now time.Time) {
	w.rotate(now)
	w.current.bad++
	w.lastFailure = now
}

func (w *window) addUnanswered(now time.Time) {
	w.rotate(now)
	w.current.unanswered++
	w.lastFailure = now
}

func (w *window) total(now time.Time) outcomes {
	w.rotate(now)
	return w.current.plus(w.previous)
}

// failureRate returns the share of failures. One more good response is assumed, so that a single failure is not a
// rate of 1. Unanswered requests count only if no instance got a response: an engine that responds to others has a long
// queue, and if all instances avoided it the queues of the next engines would grow as well.
func (o outcomes) failureRate() float64 {
	bad := o.bad
	if o.good <= 0 {
		bad += o.unanswered
	}
	if bad <= 0 {
		return 0
	}
	return float64(bad) / float64(max(0, o.good)+bad+1)
}
