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
		counts[r.Service(string(rune(i))+"id")]++
	}
	must.Between(t, 800, counts["small"], 1200)
	must.Eq(t, r.Service("one"), r.Service("one"))
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
		f := NewFeed()
		latest := int64(0)
		for _, revision := range rapid.SliceOfN(rapid.Int64Range(1, 20), 1, 30).Draw(t, "revisions") {
			must.Eq(t, revision > latest, f.Offer(&Document{Revision: revision}))
			latest = max(latest, revision)
			must.Eq(t, latest, f.Document().Revision)
		}
	})
}

func TestConfirmationTimeNeverDecreases(t *testing.T) {
	f := NewFeed()
	_, known := f.Age(time.Second)
	must.False(t, known)
	f.Confirm(5 * time.Second)
	f.Confirm(3 * time.Second)
	age, known := f.Age(6 * time.Second)
	must.True(t, known)
	must.Eq(t, time.Second, age)
}

// A later announcement must not extend the deadline of an earlier one.
func TestFloorUsesTimeOfEachVersion(t *testing.T) {
	f := NewFeed()
	must.True(t, f.Announce(Weights{Model: "m", Version: 2, Learnt: 2 * time.Second, Seen: true}))
	must.True(t, f.Announce(Weights{Model: "m", Version: 3, Learnt: 6 * time.Second, Seen: true}))
	must.Eq(t, 0, f.Floor("m", time.Second))
	must.Eq(t, 2, f.Floor("m", 3*time.Second))
	must.Eq(t, 3, f.Floor("m", 6*time.Second))
	must.Eq(t, 3, f.Weights("m").Version)
}

// A restarted instance assumes an early time until another instance reports the observed one. An assumed time never
// replaces an observed one, and the earliest observed one is used.
func TestObservedTimeReplacesAssumedTime(t *testing.T) {
	f := NewFeed()
	must.True(t, f.Announce(Weights{Model: "m", Version: 2, Learnt: -5 * time.Second}))
	must.Eq(t, []Weights{{Model: "m", Version: 2, Learnt: -5 * time.Second}}, f.Recent(-time.Hour))
	must.False(t, f.Announce(Weights{Model: "m", Version: 2, Learnt: 4 * time.Second, Seen: true}))
	must.Eq(t, 0, f.Floor("m", 3*time.Second))
	must.False(t, f.Announce(Weights{Model: "m", Version: 2, Learnt: 9 * time.Second, Seen: true}))
	must.False(t, f.Announce(Weights{Model: "m", Version: 2, Learnt: 8 * time.Second}))
	must.Eq(t, 2, f.Floor("m", 4*time.Second))
	must.False(t, f.Announce(Weights{Model: "m", Version: 1, Learnt: 9 * time.Second, Seen: true}))
	must.Eq(t, 2, f.Weights("m").Version)
}

// A restarted instance reads the latest version from the store without its time and treats it as due. Others then report
// its time, and an earlier version that is due.
func TestFloorFallsBackWhenAssumedTimeIsCorrected(t *testing.T) {
	f := NewFeed()
	must.True(t, f.Announce(Weights{Model: "m", Version: 4, Learnt: 0}))
	must.Eq(t, 4, f.Floor("m", 5*time.Second))
	must.True(t, f.Announce(Weights{Model: "m", Version: 3, Learnt: 4 * time.Second, Seen: true}))
	must.False(t, f.Announce(Weights{Model: "m", Version: 4, Learnt: 8 * time.Second, Seen: true}))
	must.Eq(t, 4, f.Weights("m").Version)
	must.Eq(t, 3, f.Floor("m", 5*time.Second))
	must.Eq(t, 4, f.Floor("m", 9*time.Second))
	must.False(t, f.Announce(Weights{Model: "m", Version: 3, Learnt: 4 * time.Second, Seen: true}), must.Sprint("reported again"))
	must.Eq(t, 4, f.Floor("m", 9*time.Second))
}

// No instance received the announcement: the instance that polls the store changed, and its successor read the version from
// the store. The others must accept it; at 3 s they had a confirmation of nothing newer.
func TestUnobservedVersionIsDatedByLastConfirmation(t *testing.T) {
	f := NewFeed()
	f.Announce(Weights{Model: "m", Version: 3, Learnt: time.Second, Seen: true})
	f.Confirm(3 * time.Second)
	must.True(t, f.Announce(Weights{Model: "m", Version: 4, Learnt: -2 * time.Second}))
	must.Eq(t, Weights{Model: "m", Version: 4, Learnt: 3 * time.Second, Seen: true}, f.Weights("m"))
	// A repeated report after a later confirmation does not change the time.
	f.Confirm(6 * time.Second)
	must.False(t, f.Announce(Weights{Model: "m", Version: 4, Learnt: -2 * time.Second}))
	must.Eq(t, 3*time.Second, f.Weights("m").Learnt)
	// An instance without a confirmation keeps the reported time, also when reported again.
	g := NewFeed()
	must.True(t, g.Announce(Weights{Model: "m", Version: 4, Learnt: -2 * time.Second}))
	g.Confirm(6 * time.Second)
	must.False(t, g.Announce(Weights{Model: "m", Version: 4, Learnt: -2 * time.Second}))
	must.Eq(t, 4, g.Floor("m", 0))
}

// An instance that was partitioned for long must receive the latest version, however old.
func TestRecentAlwaysIncludesLatestVersion(t *testing.T) {
	f := NewFeed()
	f.Announce(Weights{Model: "m", Version: 3, Learnt: time.Second, Seen: true})
	f.Announce(Weights{Model: "m", Version: 4, Learnt: 2 * time.Second, Seen: true})
	must.Len(t, 1, f.Recent(time.Hour))
	must.Len(t, 2, f.Recent(0))
}
