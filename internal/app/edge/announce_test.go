package edge

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/peer/gossip"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// Guards against an instance that starts after a version was announced, and does not learn that the one before it has long been due.
func TestInstanceThatStartsLearnsWhichVersionIsDue(t *testing.T) {
	for name, limit := range map[string]time.Duration{"short limit": 8 * time.Second, "long limit": 30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, 1)
			start := func() *router {
				settings := testSettings(t, s)
				settings.Weights = limit.Milliseconds()
				r := startRouter(t, settings)
				eventually(t, "ready", r.isReady)
				return r
			}
			first := start()
			boot := clock.SinceBoot()
			for version, age := range map[int64]time.Duration{2: minAnnouncementTTL + limit, 3: limit - 2*time.Second} {
				first.addAnnouncement(policy.Weights{Model: fake.Model, Version: version, FirstSeen: boot - age, Observed: true}, "test")
			}
			s.PublishWeights(3)
			second := start()
			eventually(t, "version 3 dated", func() bool { return second.replica.Weights(fake.Model).Observed })
			must.Eq(t, 2, second.replica.MinVersion(fake.Model, boot-second.handler.Settings.SupersededLimit))
		})
	}
}

// Guards against an instance that starts and dates a version, which no instance observed, by a confirmation of the version after it.
func TestInstanceThatStartsDatesSupersededVersions(t *testing.T) {
	s := newSite(t, 2, 1)
	limit := 3 * time.Second
	start := func() *router {
		settings := testSettings(t, s)
		settings.Weights = (limit + weightsMargin).Milliseconds()
		return startRouter(t, settings)
	}
	s.Engines[0].SetFaults(fake.Faults{IgnoreOrders: true})
	s.PublishWeights(2)
	announced := clock.SinceBoot()
	first := start()
	eventually(t, "first ready", first.isReady)
	time.Sleep(limit - (clock.SinceBoot() - announced))
	s.PublishWeights(3)
	eventually(t, "version 3 observed", func() bool { return first.replica.Weights(fake.Model).Observed })
	second := start()
	eventually(t, "both ready", func() bool { return second.isReady() && second.replica.Weights(fake.Model).Observed })
	for _, r := range []*router{first, second} {
		since, superseded := r.replica.SupersededSince(fake.Model, 1)
		must.True(t, superseded)
		must.LessEq(t, announced, since)
		must.Eq(t, 2, r.replica.MinVersion(fake.Model, clock.SinceBoot()-limit))
	}
	for range 10 {
		must.Eq(t, http.StatusOK, second.send(t, newPromptCall(fake.QuotePath+"1")).Status)
	}
	must.SliceEmpty(t, s.Engines[0].Runs())
}

// Guards against an announcement that is dated by the read of the store's response, before which the process stood still.
func TestAnnouncementIsNotDatedLateAfterADelay(t *testing.T) {
	const lag = weightsMargin + 200*time.Millisecond
	for name, c := range map[string]struct {
		// before is written just before the version, to which the store responds as well.
		before  bool
		version int64
	}{
		"after requests without changes": {false, 2},
		"after a change":                 {true, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, r := startSite(t, 1, 1)
			eventually(t, "following", func() bool { return r.following.Load() && s.Store.Calls(fake.CallChanges) > 2 })
			if c.before {
				s.PublishWeights(c.version - 1)
				eventually(t, "version before announced", func() bool { return r.replica.Weights(fake.Model).Version == c.version-1 })
			}
			calls := s.Store.Calls(fake.CallChanges)
			eventually(t, "next request for changes", func() bool { return s.Store.Calls(fake.CallChanges) > calls })
			s.Store.SetLag(fake.CallChanges, lag)
			s.PublishWeights(c.version)
			announced := clock.SinceBoot()
			eventually(t, "announced", func() bool { return r.replica.Weights(fake.Model).Version == c.version })
			must.LessEq(t, announced+weightsMargin, r.replica.Weights(fake.Model).FirstSeen)
		})
	}
}

// Guards against an announcement that is dated by the read of a report, before which the process stood still. The next report may not come.
func TestReportThatWasUnderWayForLongDatesNoAnnouncement(t *testing.T) {
	boot := clock.SinceBoot()
	for name, c := range map[string]struct {
		age      time.Duration
		known    bool
		observed bool
	}{
		"recent":      {100 * time.Millisecond, true, true},
		"old":         {weightsMargin, true, false},
		"age unknown": {weightsMargin, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := weights(boot, gossip.Announcement{Model: fake.Model, Version: 2, Age: 1}, boot-c.age, c.known)
			must.Eq(t, c.observed, w.Observed)
		})
	}
}

// Guards against reports that confirm a state of the store that they do not hold: what was applied while the report was filled in.
func TestReportConfirmsNoMoreThanItHolds(t *testing.T) {
	_, r := startSite(t, 1, 1)
	stop, done := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	written := []time.Duration{0, 0}
	go func() {
		defer close(done)
		for version := int64(2); ; version++ {
			select {
			case <-stop:
				return
			default:
			}
			mu.Lock()
			written = append(written, clock.SinceBoot())
			mu.Unlock()
			r.replica.InstallIfNewer(&policy.Document{Revision: 1000 + version})
			r.replica.AddAnnouncement(clock.SinceBoot(), policy.Weights{Model: fake.Model, Version: version, FirstSeen: clock.SinceBoot(), Observed: true})
			r.replica.Confirm(clock.SinceBoot())
			time.Sleep(100 * time.Microsecond)
		}
	}()
	for range 3000 {
		var m gossip.Message
		confirmed, known := r.Fill(clock.SinceBoot(), &m)
		must.True(t, known)
		held := int64(1)
		for _, a := range m.Announcements {
			held = max(held, a.Version)
		}
		mu.Lock()
		for _, next := range []int64{held + 1, m.Revision - 1000 + 1} {
			if next > 1 && next < int64(len(written)) {
				must.LessEq(t, written[next], confirmed, must.Sprint("confirmed, held"))
			}
		}
		mu.Unlock()
	}
	close(stop)
	<-done
}

// The log says what the date of an announcement was taken from, and when that changes.
func TestDatesOfAnnouncementsAreLogged(t *testing.T) {
	_, r := startSite(t, 1, 1)
	w := policy.Weights{Model: "other", Version: 2, FirstSeen: clock.SinceBoot()}
	r.stopAndWait(t)
	var lines []string
	r.log = funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	r.addAnnouncement(w, fromStore)
	w.Observed = true
	r.addAnnouncement(w, "127.0.0.1:9")
	w.FirstSeen -= minLoggedShift - time.Millisecond
	r.addAnnouncement(w, "127.0.0.1:9")
	w.FirstSeen -= time.Second
	r.addAnnouncement(w, "127.0.0.1:9")
	w.Version = 3
	r.addAnnouncement(w, fromStore)
	must.Len(t, 4, lines)
	for i, want := range []string{
		`"weights: announced" "model"="other" "version"=2 "from"="store" "seen"=false "dated"="bounded"`,
		`"weights: date changed" "model"="other" "version"=2 "from"="127.0.0.1:9" "was"="bounded" "dated"="peer"`,
		`"weights: date changed" "model"="other" "version"=2 "from"="127.0.0.1:9" "was"="observed" "dated"="peer"`,
		`"weights: announced" "model"="other" "version"=3 "from"="store" "seen"=true "dated"="observed"`,
	} {
		must.StrContains(t, lines[i], want)
	}
}
