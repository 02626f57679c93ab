package policy

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "50") }

const (
	testLimit = 7 * time.Second
	// feedWait is how long the store holds a request for changes.
	feedWait = 600 * time.Millisecond
	wholeRow = int64(-1)
)

// testSite simulates a store whose row holds the latest version only, and instances that read it and report to each other, in virtual
// time. Any call and any report may take any time, be lost, or be overtaken.
type testSite struct {
	now time.Duration
	// announced holds when each version was announced first; versions begin at 1.
	announced []time.Duration
	// version and row are those of the store's row, and epoch counts restores.
	version, row, epoch int64
	// rewriteBy is when the operators have written again what a restore has lost; zero if nothing is.
	rewriteBy time.Duration
	members   []*testMember
	reports   []testReport
}

// testMember is an instance. Its clock differs from that of the site by offset.
type testMember struct {
	replica *Replica
	offset  time.Duration
	// epoch and row are the position in the feed; live reports whether the previous answer has just been handled.
	epoch, feedEpoch, row int64
	live                  bool
	call                  *testCall
	// stamps holds the latest stamp of each other member, and when it was received.
	stamps map[int]testStamp
	// learned holds when each version became known, on the site's clock, and how long after its announcement the instance whose
	// observation is used saw it.
	learned map[int64]time.Duration
	late    map[int64]lateness
}

// lateness is how much later than its announcement a version was seen, and how much later than that of the first version that its
// observer did not know.
type lateness struct{ own, first time.Duration }

type testStamp struct{ stamp, receivedAt time.Duration }

// testCall is a call of the store. It is answered once, by the state at that time.
type testCall struct {
	sentAt              time.Duration
	after               int64
	answered            bool
	version, row, epoch int64
}

// testReport is a datagram.
type testReport struct {
	from, to      int
	sentAt        time.Duration
	stamp, echo   time.Duration
	since         time.Duration
	known         bool
	epoch         int64
	announcements []testAnnouncement
}

type testAnnouncement struct {
	version          int64
	age, unannounced time.Duration
	observed         bool
	bounded          bool
	late             lateness
}

func newTestSite(members int) *testSite {
	s := &testSite{announced: []time.Duration{0}, version: 1, row: 1}
	for i := range members {
		m := &testMember{offset: time.Hour * time.Duration(i+1)}
		m.restart()
		s.members = append(s.members, m)
	}
	return s
}

// restart starts the instance's process anew.
func (m *testMember) restart() {
	m.replica = NewReplica()
	m.replica.AssumedAge = testLimit
	m.epoch, m.feedEpoch, m.row, m.live, m.call = 0, 0, wholeRow, false, nil
	m.stamps, m.learned, m.late = make(map[int]testStamp), make(map[int64]time.Duration), make(map[int64]lateness)
}

func (s *testSite) clock(m *testMember) time.Duration { return s.now + m.offset }

// announce names the next version. Operators wait for what they write again.
func (s *testSite) announce() {
	if s.rewriteBy > 0 {
		s.rewrite()
	}
	s.announced = append(s.announced, s.now)
	s.write(int64(len(s.announced)))
}

func (s *testSite) write(version int64) {
	s.version = version
	s.row++
	for _, m := range s.members {
		s.answer(m)
	}
}

// restore brings a copy of the store back.
func (s *testSite) restore(version int64) {
	s.epoch++
	s.row = max(1, s.row-2)
	s.version = min(version, s.version)
	s.rewriteBy = s.now + RestoreSettleTime
}

func (s *testSite) rewrite() {
	s.rewriteBy = 0
	s.write(int64(len(s.announced)))
}

// pass lets time pass.
func (s *testSite) pass(d time.Duration) {
	if s.rewriteBy > 0 && s.now+d >= s.rewriteBy {
		d -= s.rewriteBy - s.now
		s.now = s.rewriteBy
		s.rewrite()
	}
	s.now += d
}

// ask sends a call, unless one is open.
func (s *testSite) ask(m *testMember) {
	if m.call == nil {
		m.call = &testCall{sentAt: s.clock(m), after: m.row}
	}
}

// answer lets the store answer an open call, if it has something to say.
func (s *testSite) answer(m *testMember) {
	c := m.call
	if c == nil || c.answered || c.after >= s.row && s.clock(m)-c.sentAt < feedWait {
		return
	}
	c.answered = true
	c.version, c.row, c.epoch = s.version, s.row, s.epoch
}

// handle handles the answer to a call.
func (s *testSite) handle(m *testMember) {
	c := m.call
	if c == nil || !c.answered {
		return
	}
	m.call = nil
	s.observeEpoch(m, c.epoch)
	if c.after != wholeRow && c.epoch != m.feedEpoch || c.epoch < m.epoch {
		m.row, m.live = wholeRow, false
		return
	}
	if c.after == wholeRow || c.row > c.after {
		s.read(m, c.version)
	}
	m.live, m.feedEpoch, m.row = true, c.epoch, c.row
	m.replica.Confirm(c.sentAt)
}

// read handles a row with a version.
func (s *testSite) read(m *testMember, version int64) {
	w := Weights{Model: "m", Version: version, FirstSeen: s.clock(m), Observed: m.live}
	if !m.live {
		w.FirstSeen -= testLimit
	}
	latest := m.replica.Weights("m").Version
	if m.live && version > latest {
		m.late[version] = lateness{s.now - s.announced[version-1], s.now - s.announced[latest]}
	}
	s.add(m, w)
}

func (s *testSite) add(m *testMember, w Weights) {
	if _, ok := m.learned[w.Version]; !ok {
		m.learned[w.Version] = s.now
	}
	m.replica.AddAnnouncement(s.clock(m), w)
}

// fail loses an open call or its answer.
func (m *testMember) fail() { m.call, m.live, m.row = nil, false, wholeRow }

// leave ends the following of changes; another instance does that.
func (m *testMember) leave() {
	if m.row != wholeRow {
		m.call, m.live = nil, false
	}
}

func (s *testSite) observeEpoch(m *testMember, epoch int64) {
	if epoch > m.epoch {
		m.epoch = epoch
		m.replica.Restored(s.clock(m) + RestoreSettleTime)
	}
}

// report sends a report.
func (s *testSite) report(from, to int) {
	m := s.members[from]
	boot := s.clock(m)
	r := testReport{from: from, to: to, sentAt: s.now, stamp: boot, epoch: m.epoch}
	age, known := m.replica.ConfirmationAge(boot)
	if stamp, ok := m.stamps[to]; ok && known {
		r.known, r.echo, r.since = true, stamp.stamp, boot-age-stamp.receivedAt
	}
	for _, w := range m.replica.RecentAnnouncements(boot - 2*testLimit) {
		r.announcements = append(r.announcements, testAnnouncement{
			version: w.Version, age: boot - w.FirstSeen, observed: w.Observed, bounded: w.Bounded, unannounced: boot - w.Unannounced,
			late: m.late[w.Version],
		})
	}
	s.reports = append(s.reports, r)
}

// receive handles a report.
func (s *testSite) receive(i int) {
	r := s.reports[i]
	s.reports = slices.Delete(s.reports, i, i+1)
	m := s.members[r.to]
	boot := s.clock(m)
	if r.stamp > m.stamps[r.from].stamp {
		m.stamps[r.from] = testStamp{r.stamp, boot}
	}
	for _, a := range r.announcements {
		w := Weights{Model: "m", Version: a.version, FirstSeen: boot - a.age, Observed: a.observed}
		if a.bounded && r.known {
			w.Bounded, w.Unannounced = true, r.echo-a.unannounced
		}
		if a.observed {
			way := s.now - r.sentAt
			late, ok := m.late[a.version]
			if told := (lateness{a.late.own + way, a.late.first + way}); !ok || told.own < late.own {
				m.late[a.version] = told
			}
		}
		s.add(m, w)
	}
	s.observeEpoch(m, r.epoch)
	if r.known && r.epoch >= m.epoch {
		m.replica.Confirm(r.echo + r.since)
	}
}

// act draws what happens next.
func (s *testSite) act(t *rapid.T) {
	i := rapid.IntRange(0, len(s.members)-1).Draw(t, "member")
	m := s.members[i]
	other := func() int { return (i + rapid.IntRange(1, len(s.members)-1).Draw(t, "other")) % len(s.members) }
	switch rapid.SampledFrom([]string{
		"poll", "poll", "poll", "ask", "answer", "handle", "fail", "leave", "exchange", "exchange", "exchange", "report", "report", "receive", "receive",
		"drop", "restart", "announce", "announce", "restore", "pass", "pass", "long",
	}).Draw(t, "action") {
	case "poll":
		s.ask(m)
		s.answer(m)
		s.handle(m)
	case "ask":
		s.ask(m)
	case "answer":
		s.answer(m)
	case "handle":
		s.handle(m)
		s.ask(m)
	case "fail":
		m.fail()
	case "leave":
		m.leave()
	case "exchange":
		s.report(i, other())
		s.receive(len(s.reports) - 1)
	case "report":
		s.report(i, other())
	case "receive", "drop":
		if len(s.reports) == 0 {
			return
		}
		k := rapid.IntRange(0, len(s.reports)-1).Draw(t, "report")
		if rapid.Bool().Draw(t, "lost") {
			s.reports = slices.Delete(s.reports, k, k+1)
			return
		}
		s.receive(k)
	case "restart":
		m.restart()
	case "announce":
		s.announce()
	case "restore":
		s.restore(rapid.Int64Range(1, s.version).Draw(t, "copy"))
	case "pass":
		s.pass(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
	case "long":
		s.pass(time.Duration(rapid.IntRange(500, 9000).Draw(t, "ms")) * time.Millisecond)
	}
}

// run lets things happen and calls check after each.
func (s *testSite) run(t *rapid.T, check func(m *testMember)) {
	for range rapid.IntRange(10, 120).Draw(t, "actions") {
		s.act(t)
		s.pass(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond)
		for _, m := range s.members {
			check(m)
		}
	}
}

// announcedAt returns when a version was announced, on an instance's clock.
func (s *testSite) announcedAt(m *testMember, version int64) time.Duration {
	return s.announced[version-1] + m.offset
}

// checkNotLate checks the date of a version.
func (s *testSite) checkNotLate(t *rapid.T, m *testMember, w Weights) {
	due := func(date time.Duration) bool { return date <= m.learned[w.Version]+m.offset-testLimit }
	must.True(t, w.FirstSeen <= s.announcedAt(m, w.Version)+m.late[w.Version].own || due(w.FirstSeen),
		must.Sprintf("version %d: %s dated %s after its announcement", w.Version, w.Basis(), w.FirstSeen-s.announcedAt(m, w.Version)))
}

// checkSuperseded checks when versions that may still start requests were superseded.
func (s *testSite) checkSuperseded(t *rapid.T, m *testMember) {
	known := m.replica.RecentAnnouncements(-time.Hour)
	latest := m.replica.Weights("m").Version
	for version := max(1, m.replica.MinVersion("m", s.clock(m)-testLimit)); version < latest; version++ {
		since, superseded := m.replica.SupersededSince("m", version)
		must.True(t, superseded)
		first := known[slices.IndexFunc(known, func(w Weights) bool { return w.Version > version })]
		must.LessEq(t, s.announcedAt(m, version+1)+m.late[first.Version].first, since, must.Sprintf("version %d, superseded first by %d", version, first.Version))
	}
}

// No instance dates an announcement later than it was made, plus the time that the instance that observed it and the reports of it took.
func TestDatesAreNotTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestSite(rapid.IntRange(2, 4).Draw(t, "members"))
		s.run(t, func(m *testMember) {
			s.checkSuperseded(t, m)
			for _, w := range m.replica.RecentAnnouncements(-time.Hour) {
				s.checkNotLate(t, m, w)
			}
		})
	})
}

// Observed dates are not before the announcement, and bounds not after it.
func TestDatesContainTheAnnouncement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestSite(rapid.IntRange(2, 4).Draw(t, "members"))
		s.run(t, func(m *testMember) {
			for _, w := range m.replica.RecentAnnouncements(-time.Hour) {
				if w.Observed {
					must.GreaterEq(t, s.announcedAt(m, w.Version), w.FirstSeen)
				}
				if w.Bounded {
					must.LessEq(t, s.announcedAt(m, w.Version), w.Unannounced)
				}
			}
		})
	})
}

const (
	calmTick = 10 * time.Millisecond
	// calmDelay bounds the time that a report takes, and calmInterval is the time between reports.
	calmDelay    = 3 * calmTick
	calmInterval = 250 * time.Millisecond
	// calmSettle is the time in which all instances learn of a version.
	calmSettle = 2*calmInterval + calmDelay
)

// calm lets instances exchange reports in time while one of them follows the store.
func (s *testSite) calm(t *rapid.T, follower int, d time.Duration) {
	for end := s.now + d; s.now < end; s.pass(calmTick) {
		f := s.members[follower]
		s.answer(f)
		s.handle(f)
		s.ask(f)
		if s.now/calmTick%(calmInterval/calmTick) == 0 {
			for i := range s.members {
				for j := range s.members {
					if i != j {
						s.report(i, j)
					}
				}
			}
		}
		for k := len(s.reports) - 1; k >= 0; k-- {
			if s.now-s.reports[k].sentAt >= calmDelay || rapid.Bool().Draw(t, "arrives") {
				s.receive(k)
			}
		}
	}
}

// checkCalm checks that the dates that an instance has are at most that early.
func (s *testSite) checkCalm(t *rapid.T, m *testMember, early time.Duration) {
	must.Eq(t, s.version, m.replica.Weights("m").Version)
	for _, w := range m.replica.RecentAnnouncements(-time.Hour) {
		if w.Version == 1 {
			// Nobody observed it.
			continue
		}
		date := w.FirstSeen - s.announcedAt(m, w.Version)
		must.Between(t, -early, date, calmTick+calmDelay, must.Sprintf("version %d %s", w.Version, w.Basis()))
		must.True(t, early > 0 || w.Observed)
	}
}

// Dates are not earlier than needed when instances read the store and hear of each other in time, also when one of them starts.
func TestDatesInCalm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestSite(3)
		s.now = calmTick
		s.calm(t, 0, time.Second)
		for range rapid.IntRange(1, 5).Draw(t, "versions") {
			s.announce()
			s.calm(t, 0, time.Duration(rapid.IntRange(20, 2000).Draw(t, "ms"))*time.Millisecond)
		}
		s.calm(t, 0, calmSettle)
		for _, m := range s.members {
			s.checkCalm(t, m, 0)
		}
		started := s.members[2]
		started.restart()
		s.ask(started)
		s.answer(started)
		s.handle(started)
		started.leave()
		s.calm(t, 0, calmSettle)
		s.checkCalm(t, started, 0)
	})
}

// A version that is announced while no instance follows the store is dated by the time for which none did.
func TestDatesAfterTheFollowingInstanceStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestSite(3)
		s.now = calmTick
		s.calm(t, 0, time.Second)
		stopped := s.now
		s.members[0].restart()
		s.pass(time.Duration(rapid.IntRange(1, 2000).Draw(t, "before")) * time.Millisecond)
		s.announce()
		// A confirmation dates from the beginning of its call, and the next call is open.
		early := s.now - stopped + 2*feedWait + calmInterval + 2*calmDelay + calmTick
		s.pass(time.Duration(rapid.IntRange(1, 2000).Draw(t, "after")) * time.Millisecond)
		s.calm(t, 1, calmSettle)
		for _, m := range s.members {
			s.checkCalm(t, m, early)
		}
	})
}
