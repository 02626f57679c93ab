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

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
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

func TestServiceFollowsTheWeights(t *testing.T) {
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

func TestOfferNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFeed()
		newest := int64(0)
		for _, revision := range rapid.SliceOfN(rapid.Int64Range(1, 20), 1, 30).Draw(t, "revisions") {
			must.Eq(t, revision > newest, f.Offer(&Document{Revision: revision}))
			newest = max(newest, revision)
			must.Eq(t, newest, f.Document().Revision)
		}
	})
}

func TestConfirmationsNeverGoBack(t *testing.T) {
	f := NewFeed()
	_, known := f.Age(time.Second)
	must.False(t, known)
	f.Confirm(5 * time.Second)
	f.Confirm(3 * time.Second)
	age, known := f.Age(6 * time.Second)
	must.True(t, known)
	must.Eq(t, time.Second, age)
}

// A later announcement gives no more time to an earlier one.
func TestFloorIsKeptForEachVersion(t *testing.T) {
	f := NewFeed()
	must.True(t, f.Announce(Weights{Model: "m", Version: 2, Learnt: 2 * time.Second, Seen: true}))
	must.True(t, f.Announce(Weights{Model: "m", Version: 3, Learnt: 6 * time.Second, Seen: true}))
	must.Eq(t, 0, f.Floor("m", time.Second))
	must.Eq(t, 2, f.Floor("m", 3*time.Second))
	must.Eq(t, 3, f.Floor("m", 6*time.Second))
	must.Eq(t, 3, f.Weights("m").Version)
}

// A restarted instance assumes an old announcement until another one tells when it was seen; an assumed time never replaces
// a seen one, and the earliest seen one holds.
func TestSeenAnnouncementsGoBeforeAssumedOnes(t *testing.T) {
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

// A restarted instance reads the newest version from the store without its time and counts it as due; the others then tell
// its time, and that an earlier version is due by its own.
func TestAnEarlierVersionIsDueWhenANewerOneWasOnlyAssumedToBe(t *testing.T) {
	f := NewFeed()
	must.True(t, f.Announce(Weights{Model: "m", Version: 4, Learnt: 0}))
	must.Eq(t, 4, f.Floor("m", 5*time.Second))
	must.True(t, f.Announce(Weights{Model: "m", Version: 3, Learnt: 4 * time.Second, Seen: true}))
	must.False(t, f.Announce(Weights{Model: "m", Version: 4, Learnt: 8 * time.Second, Seen: true}))
	must.Eq(t, 4, f.Weights("m").Version)
	must.Eq(t, 3, f.Floor("m", 5*time.Second))
	must.Eq(t, 4, f.Floor("m", 9*time.Second))
	must.False(t, f.Announce(Weights{Model: "m", Version: 3, Learnt: 4 * time.Second, Seen: true}), must.Sprint("told again"))
	must.Eq(t, 4, f.Floor("m", 9*time.Second))
}

// Nobody saw the announcement: the instance that asks the store changed at that moment, and its successor read the version
// from the store. The others must learn of it, and were told at 3 s that there was nothing newer.
func TestAVersionThatNobodySawAnnouncedIsBoundedByTheLastConfirmation(t *testing.T) {
	f := NewFeed()
	f.Announce(Weights{Model: "m", Version: 3, Learnt: time.Second, Seen: true})
	f.Confirm(3 * time.Second)
	must.True(t, f.Announce(Weights{Model: "m", Version: 4, Learnt: -2 * time.Second}))
	must.Eq(t, Weights{Model: "m", Version: 4, Learnt: 3 * time.Second, Seen: true}, f.Weights("m"))
	// Told again after a later confirmation it is no younger.
	f.Confirm(6 * time.Second)
	must.False(t, f.Announce(Weights{Model: "m", Version: 4, Learnt: -2 * time.Second}))
	must.Eq(t, 3*time.Second, f.Weights("m").Learnt)
	// An instance that knows nothing assumes what the other assumes, also when it is told again.
	g := NewFeed()
	must.True(t, g.Announce(Weights{Model: "m", Version: 4, Learnt: -2 * time.Second}))
	g.Confirm(6 * time.Second)
	must.False(t, g.Announce(Weights{Model: "m", Version: 4, Learnt: -2 * time.Second}))
	must.Eq(t, 4, g.Floor("m", 0))
}

// An instance that was cut off for long is told the newest version however old it is.
func TestTheNewestVersionIsAlwaysTold(t *testing.T) {
	f := NewFeed()
	f.Announce(Weights{Model: "m", Version: 3, Learnt: time.Second, Seen: true})
	f.Announce(Weights{Model: "m", Version: 4, Learnt: 2 * time.Second, Seen: true})
	must.Len(t, 1, f.Recent(time.Hour))
	must.Len(t, 2, f.Recent(0))
}
