package fleet

import "time"

// span is the time in which answers are counted in one half of a window. An instance among a hundred and forty asks one of
// ninety engines every half minute, and all of them together four times a second, so that a window holds some ten answers.
const span = 1500 * time.Millisecond

// remembered is how long failures count while the upstream is not asked again. Each new try of a silent upstream costs some
// four requests of the site until all instances know.
const remembered = 6 * time.Second

// window counts answers of the last one to two spans, and failures for longer while nothing else is known.
type window struct {
	began time.Time
	// failed is the time of the newest failure.
	failed time.Time
	// now and last are the counts of the current and the former span.
	now, last answers
}

// answers are counts of what an upstream did for requests.
type answers struct {
	// good and bad are answers and failures, silent are requests to which nothing came for long.
	good, bad, silent int
}

func (a answers) plus(b answers) answers {
	return answers{a.good + b.good, a.bad + b.bad, a.silent + b.silent}
}

// turn begins a new span when the current one is over and something was counted in it, or the failures are too old.
func (w *window) turn(now time.Time) {
	since := now.Sub(w.began)
	if since < span {
		return
	}
	if w.now == (answers{}) && now.Sub(w.failed) < remembered {
		return
	}
	w.last = w.now
	if since >= 2*span && now.Sub(w.failed) >= remembered {
		w.last = answers{}
	}
	w.now = answers{}
	w.began = now
}

func (w *window) good(now time.Time) {
	w.turn(now)
	w.now.good++
}

func (w *window) bad(now time.Time) {
	w.turn(now)
	w.now.bad++
	w.failed = now
}

func (w *window) silent(now time.Time) {
	w.turn(now)
	w.now.silent++
	w.failed = now
}

func (w *window) count(now time.Time) answers {
	w.turn(now)
	return w.now.plus(w.last)
}

// failing returns the share of failures, with one good answer assumed so that a single failure does not count in full.
// Silence counts only where no instance got an answer: an engine that others get answers from has a long queue, and if all
// passed it over the next ones would queue as well.
func (a answers) failing() float64 {
	bad := a.bad
	if a.good <= 0 {
		bad += a.silent
	}
	if bad <= 0 {
		return 0
	}
	return float64(bad) / float64(max(0, a.good)+bad+1)
}
