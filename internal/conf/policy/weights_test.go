package policy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// observed returns an announcement that an instance received.
func observed(version int64, at time.Duration) Weights {
	return Weights{Model: "m", Version: version, FirstSeen: at, Observed: true}
}

// unobserved returns an announcement whose date is assumed.
func unobserved(version int64, at time.Duration) Weights {
	return Weights{Model: "m", Version: version, FirstSeen: at}
}

// Guards against a superseded version that is dated by a confirmation of the version that supersedes it.
func TestSupersededVersionIsNotDatedByLaterConfirmation(t *testing.T) {
	r := NewReplica()
	r.Confirm(9 * time.Second)
	r.AddAnnouncement(14*time.Second, observed(4, 14*time.Second))
	r.Confirm(17 * time.Second)
	r.AddAnnouncement(18*time.Second, unobserved(3, 10*time.Second))
	must.Eq(t, 3, r.MinVersion("m", 13*time.Second))
	since, _ := r.SupersededSince("m", 2)
	must.Eq(t, 9*time.Second, since)
	must.Eq(t, 14*time.Second, r.Weights("m").FirstSeen)
}

// Guards against a version that counts as due although instances observed its announcement later than it was bounded here.
func TestBoundedDateIsReplacedByObservedDate(t *testing.T) {
	r := NewReplica()
	r.Confirm(3 * time.Second)
	r.AddAnnouncement(10*time.Second, unobserved(4, 5*time.Second))
	must.Eq(t, 3*time.Second, r.Weights("m").FirstSeen)
	changes := r.AddAnnouncement(11*time.Second, observed(4, 9*time.Second))
	must.Len(t, 1, changes)
	must.Eq(t, Bounded, changes[0].Before.Basis())
	must.Eq(t, 3*time.Second, changes[0].Before.FirstSeen)
	must.Eq(t, Observed, changes[0].After.Basis())
	must.Eq(t, 9*time.Second, r.Weights("m").FirstSeen)
	must.SliceEmpty(t, r.AddAnnouncement(12*time.Second, observed(4, 9*time.Second)))
}

// Guards against earlier versions that are dropped because of a later one that was not due yet.
func TestVersionWhoseDateMayRiseKeepsEarlierOnes(t *testing.T) {
	for name, bounded := range map[string]bool{"bounded": true, "assumed": false} {
		t.Run(name, func(t *testing.T) {
			r := NewReplica()
			if bounded {
				r.Confirm(2 * time.Second)
			}
			r.AddAnnouncement(4*time.Second, observed(3, 4*time.Second))
			r.AddAnnouncement(11*time.Second, unobserved(4, 3*time.Second))
			must.Eq(t, 4, r.MinVersion("m", 6*time.Second))
			r.AddAnnouncement(12*time.Second, observed(4, 10*time.Second))
			must.Eq(t, 3, r.MinVersion("m", 7*time.Second))
			must.Eq(t, 4, r.MinVersion("m", 10*time.Second))
		})
	}
}

// Guards against an instance that starts and does not learn which version is due, because the others report the latest one only.
func TestReportsIncludeTheVersionThatIsDue(t *testing.T) {
	r, started := NewReplica(), NewReplica()
	r.AddAnnouncement(time.Second, observed(2, time.Second))
	r.AddAnnouncement(2*time.Second, observed(3, 2*time.Second))
	r.AddAnnouncement(19*time.Second, observed(4, 19*time.Second))
	recent := r.RecentAnnouncements(5 * time.Second)
	must.Len(t, 2, recent)
	for _, w := range recent {
		started.AddAnnouncement(20*time.Second, w)
	}
	must.Eq(t, 3, started.MinVersion("m", 13*time.Second))
}

// Guards against assumed dates that are not due: those of builds with a shorter limit, and those that were reported late.
func TestAssumedDateIsDueAtOnce(t *testing.T) {
	r := NewReplica()
	r.AssumedAge = 7 * time.Second
	r.AddAnnouncement(20*time.Second, unobserved(3, 16*time.Second))
	must.Eq(t, 3, r.MinVersion("m", 13*time.Second))
	must.Eq(t, Assumed, r.Weights("m").Basis())
	r.AddAnnouncement(21*time.Second, unobserved(3, 8*time.Second))
	must.Eq(t, 8*time.Second, r.Weights("m").FirstSeen)
}

// Guards against a row that operators write again, such as after a restore of the store, and that is taken for the announcement.
func TestRowWrittenAgainIsNoAnnouncement(t *testing.T) {
	r := NewReplica()
	r.AddAnnouncement(10*time.Second, unobserved(3, 3*time.Second))
	must.SliceEmpty(t, r.AddAnnouncement(15*time.Second, observed(3, 15*time.Second)))
	r.AddAnnouncement(16*time.Second, observed(2, 16*time.Second))
	must.Eq(t, 3, r.MinVersion("m", 9*time.Second))
	since, _ := r.SupersededSince("m", 1)
	must.LessEq(t, 3*time.Second, since)
}

// Guards against the dates of instances of earlier builds, which take a confirmation for the observation of a superseded version.
func TestDateThatLaterVersionContradictsIsIgnored(t *testing.T) {
	announcements := []Weights{observed(3, 17*time.Second), observed(4, 14*time.Second)}
	for name, order := range map[string][]int{"ascending": {0, 1}, "descending": {1, 0}} {
		t.Run(name, func(t *testing.T) {
			r := NewReplica()
			r.Confirm(9 * time.Second)
			for _, i := range order {
				r.AddAnnouncement(18*time.Second, announcements[i])
			}
			since, _ := r.SupersededSince("m", 2)
			must.Eq(t, 9*time.Second, since)
			must.Eq(t, 14*time.Second, r.Weights("m").FirstSeen)
			r.AddAnnouncement(19*time.Second, observed(3, 10*time.Second))
			since, _ = r.SupersededSince("m", 2)
			must.Eq(t, 10*time.Second, since)
		})
	}
}

// The latest bound of any instance goes first. It says nothing about earlier versions, and one after the version is known is wrong.
func TestBoundsOfOtherInstances(t *testing.T) {
	told := func(version int64, at time.Duration) Weights {
		return Weights{Model: "m", Version: version, FirstSeen: at, Unannounced: at, Bounded: true}
	}
	r := NewReplica()
	r.Confirm(5 * time.Second)
	r.AddAnnouncement(10*time.Second, told(4, 9*time.Second))
	must.Eq(t, 9*time.Second, r.Weights("m").FirstSeen)
	for _, at := range []time.Duration{8 * time.Second, 11 * time.Second} {
		must.SliceEmpty(t, r.AddAnnouncement(12*time.Second, told(4, at)))
	}
	r.AddAnnouncement(12*time.Second, unobserved(3, 0))
	since, _ := r.SupersededSince("m", 2)
	must.Eq(t, 5*time.Second, since)
	r.AddAnnouncement(13*time.Second, told(3, 7*time.Second))
	since, _ = r.SupersededSince("m", 2)
	must.Eq(t, 7*time.Second, since)
	r.AddAnnouncement(13*time.Second, observed(4, 10*time.Second))
	must.Eq(t, 10*time.Second, r.Weights("m").FirstSeen)
}

// Replicas that serve no request of a model, and so never ask for the floor, keep few versions.
func TestSettledVersionsAreDropped(t *testing.T) {
	r := NewReplica()
	for version := int64(1); version < 1000; version++ {
		now := time.Duration(version) * time.Minute
		r.AddAnnouncement(now, observed(version, now))
	}
	must.LessEq(t, int(maxSettledAge/time.Minute)+2, len(r.weights["m"]))
}
