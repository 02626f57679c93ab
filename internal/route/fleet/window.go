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
	now, last struct{ good, bad int }
}

// turn begins a new span when the current one is over and something was counted in it, or the failures are too old.
func (w *window) turn(now time.Time) {
	since := now.Sub(w.began)
	if since < span {
		return
	}
	unasked := w.now.good == 0 && w.now.bad == 0
	if unasked && now.Sub(w.failed) < remembered {
		return
	}
	w.last = w.now
	if since >= 2*span && now.Sub(w.failed) >= remembered {
		w.last.good, w.last.bad = 0, 0
	}
	w.now.good, w.now.bad = 0, 0
	w.began = now
}

func (w *window) add(now time.Time, good bool) {
	w.turn(now)
	if good {
		w.now.good++
	} else {
		w.now.bad++
		w.failed = now
	}
}

func (w *window) count(now time.Time) (good, bad int) {
	w.turn(now)
	return w.now.good + w.last.good, w.now.bad + w.last.bad
}

// failingShare returns the share of failures, with one good answer assumed so that a single failure does not count in full.
func failingShare(good, bad int) float64 {
	if bad <= 0 {
		return 0
	}
	return float64(bad) / float64(max(0, good)+bad+1)
}
