package policy

import (
	"cmp"
	"slices"
	"time"
)

// Basis is what the date of an announcement was taken from.
type Basis string

// The bases of dates.
const (
	// Observed dates are those at which an instance received the announcement.
	Observed Basis = "observed"
	// Bounded dates are the latest times at which the version is known not to have been announced.
	Bounded Basis = "bounded"
	// Assumed dates are AssumedAge before the instance learned of the version, or earlier.
	Assumed Basis = "assumed"
)

// Weights is an announced version of a model's weights. Times are on this instance's boot-time clock, which counts suspensions.
type Weights struct {
	Model   string
	Version int64
	// FirstSeen is the date of the announcement: when an instance first saw the version, or otherwise a time that is early rather than late.
	FirstSeen time.Duration
	// Observed reports whether an instance received the announcement.
	Observed bool
	// Unannounced is the latest time at which the version is known not to have been announced; valid if Bounded is set.
	Unannounced time.Duration
	Bounded     bool
}

// Basis returns what FirstSeen was taken from.
func (w Weights) Basis() Basis {
	switch {
	case w.Observed:
		return Observed
	case w.Bounded:
		return Bounded
	default:
		return Assumed
	}
}

// Change is a version that is new or has a new date.
type Change struct {
	// Before is the zero value if the version is new.
	Before, After Weights
}

// IsNew reports whether the version is new.
func (c Change) IsNew() bool { return c.Before.Version == 0 }

// instant is a time that may be unknown.
type instant struct {
	at    time.Duration
	known bool
}

// raise replaces the instant by a later one.
func (i *instant) raise(at time.Duration) {
	if !i.known || at > i.at {
		*i = instant{at, true}
	}
}

// announcement is what is known of an announced version.
type announcement struct {
	version int64
	// learnedAt is when this instance learned of the version.
	learnedAt time.Duration
	// observed is when an instance received the announcement.
	observed instant
	// unannounced is the latest time at which the version is known not to have been announced.
	unannounced instant
	// confirmed is the latest confirmation before this instance knew this version or a later one. The store shows only the latest
	// version, so that confirmations after that say nothing about when this one was announced.
	confirmed instant
	// assumed is the date without the above.
	assumed time.Duration
}

// date returns when the version counts as announced.
func (a *announcement) date() time.Duration {
	switch {
	case a.observed.known:
		return a.observed.at
	case a.unannounced.known:
		return a.unannounced.at
	default:
		return a.assumed
	}
}

// announcedBy returns a time by which the version was announced. It never rises, unlike the date.
func (a *announcement) announcedBy() time.Duration {
	if a.observed.known {
		return a.observed.at
	}
	return a.learnedAt
}

func (a *announcement) weights(model string) Weights {
	return Weights{
		Model: model, Version: a.version, FirstSeen: a.date(), Observed: a.observed.known,
		Unannounced: a.unannounced.at, Bounded: a.unannounced.known,
	}
}

// announcements are a model's announcements, sorted by version.
type announcements []announcement

// find returns the index of a version, or where it is to be inserted.
func (all announcements) find(version int64) (int, bool) {
	return slices.BinarySearchFunc(all, version, func(a announcement, version int64) int { return cmp.Compare(a.version, version) })
}

// insert inserts a version at an index. Confirmed is the latest confirmation of the newest version.
func (all announcements) insert(i int, version int64, now, assumed time.Duration, confirmed instant) announcements {
	if i < len(all) {
		confirmed = all[i].confirmed
	}
	return slices.Insert(all, i, announcement{version: version, learnedAt: now, unannounced: confirmed, confirmed: confirmed, assumed: assumed})
}

// announcedBy returns a time by which the version at an index was announced: a version is announced before later ones are.
func (all announcements) announcedBy(i int) time.Duration {
	by := all[i].announcedBy()
	for _, later := range all[i+1:] {
		by = min(by, later.announcedBy())
	}
	return by
}

// merge adds what was learned of the version at an index. Times that contradict what is known are ignored: a row that is written
// again is not the announcement, and instances of earlier builds may date superseded versions too late.
func (all announcements) merge(i int, w Weights) {
	a, by := &all[i], all.announcedBy(i)
	if w.Bounded && w.Unannounced <= by {
		a.unannounced.raise(w.Unannounced)
	}
	if !w.Observed {
		a.assumed = min(a.assumed, w.FirstSeen)
		return
	}
	if w.FirstSeen > by {
		return
	}
	a.observed = instant{w.FirstSeen, true}
	for j := range all[:i] {
		if all[j].observed.known && all[j].observed.at > w.FirstSeen {
			all[j].observed = instant{}
		}
	}
}

// since returns the latest version that was certainly announced by a time, whatever else is learned, and all later ones. Without such a
// version, it returns all.
func (all announcements) since(by time.Duration) (kept announcements, settled bool) {
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].announcedBy() <= by {
			return all[i:], true
		}
	}
	return all, false
}

// maxSettledAge is the age from which a version makes the earlier ones superfluous at instances that serve no request of the model. It
// is longer than any limit on superseded weights.
const maxSettledAge = 10 * time.Minute

// AddAnnouncement records what is learned of a version of a model's weights, and returns the versions that are new or have another date.
// Superseded versions are recorded too, because a restarted instance reads only the latest from the store, without its time.
//
// An observed date goes first, the earliest one if there are several. Without one, the version is dated by the latest
// confirmation before this instance knew it or a later one, or by a later time at which another instance knows it was not announced.
func (r *Replica) AddAnnouncement(now time.Duration, w Weights) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.weights[w.Model]
	before := all.list(w.Model)
	i, known := all.find(w.Version)
	if !known {
		if w.Version < r.prunedBelow[w.Model] {
			return nil
		}
		all = all.insert(i, w.Version, now, now-r.AssumedAge, instant{r.confirmedAt, r.everConfirmed})
	}
	all.merge(i, w)
	r.weights[w.Model] = all
	changes := compare(before, all.list(w.Model))
	if !known {
		r.prune(w.Model, now-maxSettledAge)
	}
	return changes
}

// list returns the announcements of a model.
func (all announcements) list(model string) []Weights {
	list := make([]Weights, 0, len(all))
	for i := range all {
		list = append(list, all[i].weights(model))
	}
	return list
}

// compare returns the versions that are new or have another date.
func compare(before, after []Weights) []Change {
	var changes []Change
	for _, w := range after {
		i := slices.IndexFunc(before, func(o Weights) bool { return o.Version == w.Version })
		switch {
		case i < 0:
			changes = append(changes, Change{After: w})
		case before[i].FirstSeen != w.FirstSeen || before[i].Basis() != w.Basis():
			changes = append(changes, Change{Before: before[i], After: w})
		}
	}
	return changes
}

// prune drops the versions before the latest one that was certainly announced by a time.
func (r *Replica) prune(model string, by time.Duration) {
	if kept, settled := r.weights[model].since(by); settled {
		r.weights[model], r.prunedBelow[model] = kept, kept[0].version
	}
}

// MinVersion returns the latest version of a model that was first seen at or before a time, or zero. Each version has its
// own time, so that a later announcement does not extend the deadline of an earlier one.
func (r *Replica) MinVersion(model string, before time.Duration) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A date that may still rise keeps the earlier versions.
	r.prune(model, before)
	all := r.weights[model]
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].date() <= before {
			return all[i].version
		}
	}
	return 0
}

// SupersededSince returns when the first of the versions that are later than the given one was first seen, or false if there is none.
func (r *Replica) SupersededSince(model string, version int64) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, superseded := time.Duration(0), false
	for _, a := range r.weights[model] {
		if a.version > version && (!superseded || a.date() < since) {
			since, superseded = a.date(), true
		}
	}
	return since, superseded
}

// latest returns the latest version, or the zero value.
func (all announcements) latest(model string) Weights {
	if len(all) == 0 {
		return Weights{}
	}
	return all[len(all)-1].weights(model)
}

// Weights returns the latest announced version of a model, or the zero value.
func (r *Replica) Weights(model string) Weights {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.weights[model].latest(model)
}

// LatestWeights returns the latest announced version of each model.
func (r *Replica) LatestWeights() []Weights {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := make([]Weights, 0, len(r.weights))
	for model, all := range r.weights {
		latest = append(latest, all.latest(model))
	}
	return latest
}

// RecentAnnouncements returns the announcements that were first seen after a time, and the latest one of each model that was certainly
// announced by then. An instance that knows none of them, and does not learn of that one, starts requests on weights that it supersedes.
func (r *Replica) RecentAnnouncements(after time.Duration) []Weights {
	r.mu.Lock()
	defer r.mu.Unlock()
	var recent []Weights
	for model, all := range r.weights {
		kept, _ := all.since(after)
		recent = append(recent, kept.list(model)...)
	}
	return recent
}
