package policy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func document() *Document {
	d := &Document{Revision: 1, Routes: []*Route{
		{Name: "all", Host: "a.example", Prefix: "/", Targets: []Target{{"s", 1}}},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/", Targets: []Target{{"s", 1}}},
		{Name: "shallow", Host: "a.example", Prefix: "/x/", Targets: []Target{{"s", 1}}},
		{Name: "other", Host: "B.example", Prefix: "/x/", Targets: []Target{{"s", 1}}},
	}}
	d.Index()
	return d
}

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"A.example", "/x/y", "shallow"},
		{"a.example", "/q", "all"},
		{"b.example", "/x/1", "other"},
	} {
		must.Eq(t, c.want, document().Match(c.host, c.path).Name)
	}
	must.Nil(t, document().Match("b.example", "/q"))
	must.Nil(t, document().Match("c.example", "/x/"))
}

func TestServiceIsChosenInProportionToWeights(t *testing.T) {
	r := &Route{Targets: []Target{{"big", 90}, {"small", 10}}}
	counts := map[string]int{}
	for i := range 10000 {
		counts[r.ServiceFor(string(rune(i))+"id")]++
	}
	must.Between(t, 800, counts["small"], 1200)
	must.Eq(t, r.ServiceFor("one"), r.ServiceFor("one"))
}

func TestRepeatable(t *testing.T) {
	must.True(t, (&Route{Kind: Idempotent}).Repeatable())
	must.True(t, (&Route{Kind: Streaming, Resumable: true}).Repeatable())
	must.False(t, (&Route{Kind: Streaming}).Repeatable())
	must.False(t, (&Route{Kind: NonIdempotent, Resumable: true}).Repeatable())
}

func TestCost(t *testing.T) {
	w := &Workspace{ByTokens: true, PlainTokens: 200}
	must.Eq(t, 130.0, w.Cost(100, 30))
	must.Eq(t, 200.0, w.Cost(0, 0))
	must.Eq(t, 1.0, (&Workspace{}).Cost(100, 30))
}

func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewReplica()
		latest := int64(0)
		for _, revision := range rapid.SliceOfN(rapid.Int64Range(1, 20), 1, 30).Draw(t, "revisions") {
			must.Eq(t, revision > latest, r.InstallIfNewer(&Document{Revision: revision}))
			latest = max(latest, revision)
			must.Eq(t, latest, r.Document().Revision)
		}
	})
}

func TestConfirmationTimeNeverDecreases(t *testing.T) {
	r := NewReplica()
	_, known := r.ConfirmationAge(time.Second)
	must.False(t, known)
	r.Confirm(5 * time.Second)
	r.Confirm(3 * time.Second)
	age, known := r.ConfirmationAge(6 * time.Second)
	must.True(t, known)
	must.Eq(t, time.Second, age)
}

// learned is when the replicas of these tests learn of announcements.
const learned = 10 * time.Second

// isNew reports whether the first change is a version that is new.
func isNew(changes []Change) bool { return len(changes) > 0 && changes[0].IsNew() }

// A later announcement must not extend the deadline of an earlier one.
func TestMinVersionUsesTimeOfEachVersion(t *testing.T) {
	r := NewReplica()
	must.True(t, isNew(r.AddAnnouncement(learned, Weights{Model: "m", Version: 2, FirstSeen: 2 * time.Second, Observed: true})))
	must.True(t, isNew(r.AddAnnouncement(learned, Weights{Model: "m", Version: 3, FirstSeen: 6 * time.Second, Observed: true})))
	must.Eq(t, 0, r.MinVersion("m", time.Second))
	must.Eq(t, 2, r.MinVersion("m", 3*time.Second))
	must.Eq(t, 3, r.MinVersion("m", 6*time.Second))
	must.Eq(t, 3, r.Weights("m").Version)
}

// A version counts as superseded from the first later one on, however many follow.
func TestSupersededSinceTheFirstLaterVersion(t *testing.T) {
	r := NewReplica()
	r.AddAnnouncement(learned, Weights{Model: "m", Version: 2, FirstSeen: 2 * time.Second, Observed: true})
	r.AddAnnouncement(learned, Weights{Model: "m", Version: 5, FirstSeen: 9 * time.Second, Observed: true})
	r.AddAnnouncement(learned, Weights{Model: "m", Version: 3, FirstSeen: 6 * time.Second, Observed: true})
	for version, want := range map[int64]time.Duration{1: 2 * time.Second, 2: 6 * time.Second, 3: 9 * time.Second, 4: 9 * time.Second} {
		since, superseded := r.SupersededSince("m", version)
		must.True(t, superseded)
		must.Eq(t, want, since, must.Sprint(version))
	}
	for _, model := range []string{"m", "other"} {
		_, superseded := r.SupersededSince(model, 5)
		must.False(t, superseded)
	}
	must.Eq(t, 3, r.MinVersion("m", 6*time.Second))
	since, _ := r.SupersededSince("m", 1)
	must.Eq(t, 6*time.Second, since, must.Sprint("version 2 is no longer kept"))
}

// A restarted instance assumes an early time until another instance reports the observed one. An assumed time never
// replaces an observed one, and the earliest observed one is used.
func TestObservedTimeReplacesAssumedTime(t *testing.T) {
	r := NewReplica()
	must.True(t, isNew(r.AddAnnouncement(learned, Weights{Model: "m", Version: 2, FirstSeen: -5 * time.Second})))
	must.Eq(t, []Weights{{Model: "m", Version: 2, FirstSeen: -5 * time.Second}}, r.RecentAnnouncements(-time.Hour))
	must.False(t, isNew(r.AddAnnouncement(learned, Weights{Model: "m", Version: 2, FirstSeen: 4 * time.Second, Observed: true})))
	must.Eq(t, 0, r.MinVersion("m", 3*time.Second))
	must.False(t, isNew(r.AddAnnouncement(learned, Weights{Model: "m", Version: 2, FirstSeen: 9 * time.Second, Observed: true})))
	must.False(t, isNew(r.AddAnnouncement(learned, Weights{Model: "m", Version: 2, FirstSeen: 8 * time.Second})))
	must.Eq(t, 2, r.MinVersion("m", 4*time.Second))
	must.False(t, isNew(r.AddAnnouncement(learned, Weights{Model: "m", Version: 1, FirstSeen: 9 * time.Second, Observed: true})))
	must.Eq(t, 2, r.Weights("m").Version)
}

// A restarted instance reads the latest version from the store without its time and treats it as due. Others then report
// its time, and an earlier version that is due.
func TestMinVersionDropsWhenAssumedTimeIsCorrected(t *testing.T) {
	r := NewReplica()
	must.True(t, isNew(r.AddAnnouncement(learned, Weights{Model: "m", Version: 4, FirstSeen: 0})))
	must.Eq(t, 4, r.MinVersion("m", 5*time.Second))
	must.True(t, isNew(r.AddAnnouncement(learned, Weights{Model: "m", Version: 3, FirstSeen: 4 * time.Second, Observed: true})))
	must.False(t, isNew(r.AddAnnouncement(learned, Weights{Model: "m", Version: 4, FirstSeen: 8 * time.Second, Observed: true})))
	must.Eq(t, 4, r.Weights("m").Version)
	must.Eq(t, 3, r.MinVersion("m", 5*time.Second))
	must.Eq(t, 4, r.MinVersion("m", 9*time.Second))
	must.False(t, isNew(r.AddAnnouncement(learned, Weights{Model: "m", Version: 3, FirstSeen: 4 * time.Second, Observed: true})), must.Sprint("reported again"))
	must.Eq(t, 4, r.MinVersion("m", 9*time.Second))
}

// No instance received the announcement: the instance that polls the store changed, and its successor read the version from
// the store. The others must accept it and date it by their last confirmation, at 3 s, that the store had nothing newer.
func TestUnobservedVersionIsDatedByLastConfirmation(t *testing.T) {
	r := NewReplica()
	r.AddAnnouncement(learned, Weights{Model: "m", Version: 3, FirstSeen: time.Second, Observed: true})
	r.Confirm(3 * time.Second)
	must.True(t, isNew(r.AddAnnouncement(learned, Weights{Model: "m", Version: 4, FirstSeen: -2 * time.Second})))
	must.Eq(t, Weights{Model: "m", Version: 4, FirstSeen: 3 * time.Second, Unannounced: 3 * time.Second, Bounded: true}, r.Weights("m"))
	// A repeated report after a later confirmation does not change the time.
	r.Confirm(6 * time.Second)
	must.False(t, isNew(r.AddAnnouncement(learned, Weights{Model: "m", Version: 4, FirstSeen: -2 * time.Second})))
	must.Eq(t, 3*time.Second, r.Weights("m").FirstSeen)
	// An instance without a confirmation keeps the reported time, also when reported again.
	unconfirmed := NewReplica()
	must.True(t, isNew(unconfirmed.AddAnnouncement(learned, Weights{Model: "m", Version: 4, FirstSeen: -2 * time.Second})))
	unconfirmed.Confirm(6 * time.Second)
	must.False(t, isNew(unconfirmed.AddAnnouncement(learned, Weights{Model: "m", Version: 4, FirstSeen: -2 * time.Second})))
	must.Eq(t, 4, unconfirmed.MinVersion("m", 0))
}

// An instance that was partitioned for long must receive the latest version, however old.
func TestRecentAnnouncementsIncludeLatestVersion(t *testing.T) {
	r := NewReplica()
	r.AddAnnouncement(learned, Weights{Model: "m", Version: 3, FirstSeen: time.Second, Observed: true})
	r.AddAnnouncement(learned, Weights{Model: "m", Version: 4, FirstSeen: 2 * time.Second, Observed: true})
	must.Len(t, 1, r.RecentAnnouncements(time.Hour))
	must.Len(t, 2, r.RecentAnnouncements(0))
}
