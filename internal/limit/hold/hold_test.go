package hold

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
)

// testConn returns a counted connection whose read deadline makes nothing happen.
func testConn(t *testing.T, a *Account, now time.Time) *Conn {
	t.Helper()
	ours, theirs := net.Pipe()
	t.Cleanup(func() {
		_ = ours.Close()
		_ = theirs.Close()
	})
	c := &Conn{Conn: ours, account: a, index: -1, phase: Head, since: now, progress: now}
	must.True(t, a.admit(now, c))
	return c
}

func TestBodiesTakeWhatHasArrived(t *testing.T) {
	a := NewAccount(Limits{Bytes: 1 << 20, Conns: 10}, logr.Discard(), nil)
	c := testConn(t, a, start)
	for _, size := range []int{0, 1, firstBytes, announcedBytes - 1, announcedBytes, announcedBytes + 1, 100_000} {
		content := strings.Repeat("x", size)
		for _, announced := range []int64{int64(size), -1} {
			g := NewGrant(c, Bodies)
			data, err := g.ReadBody(context.Background(), start, iotest.HalfReader(strings.NewReader(content)), announced, 0)
			must.NoError(t, err)
			must.Eq(t, content, string(data))
			must.LessEq(t, int64(max(2*size, announcedBytes)), a.Used()[Bodies])
			g.Release()
			must.Zero(t, a.Used()[Bodies])
		}
	}
	g := NewGrant(c, Bodies)
	_, err := g.ReadBody(context.Background(), start, strings.NewReader("short"), 1<<19, 0)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	must.LessEq(t, announcedBytes, a.Used()[Bodies])
}

// Load: one caller holds nearly everything and sends nothing more.
func TestStalledBodyGivesWayToAnother(t *testing.T) {
	a := NewAccount(Limits{Bytes: 200 << 10, Conns: 10}, logr.Discard(), nil)
	holder, other := testConn(t, a, start), testConn(t, a, start)
	held := NewGrant(holder, Bodies)
	must.NoError(t, held.Grow(context.Background(), start, 150<<10))
	holder.Begin(start, Body)
	other.Begin(start, Body)
	later := start.Add(time.Second)
	other.touch(later)
	taken := make(chan error)
	grant := NewGrant(other, Bodies)
	go func() { taken <- grant.Grow(context.Background(), later, 100<<10) }()
	for holder.CutReason() == "" {
		time.Sleep(time.Millisecond)
	}
	held.Release()
	must.NoError(t, <-taken)
	must.Eq(t, Stalled, holder.CutReason())
	must.Eq(t, 100<<10, a.Used()[Bodies])
	grant.Release()
	a.remove(holder)
	a.remove(other)
	must.Zero(t, a.Count())
	must.Zero(t, a.used)
	must.Zero(t, a.pending)
}

// Load: more memory than there is, with nobody to cut.
func TestRunningRequestsAreNotCut(t *testing.T) {
	a := NewAccount(Limits{Bytes: 100 << 10, Conns: 2}, logr.Discard(), nil)
	one, two := testConn(t, a, start), testConn(t, a, start)
	one.Begin(start, Running)
	two.Begin(start, Running)
	later := start.Add(time.Minute)
	must.ErrorIs(t, NewGrant(two, Bodies).Grow(context.Background(), later, 1<<20), ErrShort)
	must.False(t, a.admit(later, &Conn{account: a, index: -1}))
	one.Begin(start, Idle)
	must.True(t, a.admit(later, &Conn{Conn: two.Conn, account: a, index: -1}))
	must.Eq(t, Unused, one.CutReason())
}

// Load: heads without an end.
func TestHeadsAreCounted(t *testing.T) {
	a := NewAccount(Limits{Bytes: 100 << 10, Conns: 10}, logr.Discard(), nil)
	first, second := testConn(t, a, start), testConn(t, a, start)
	later := start.Add(time.Second)
	a.noteHead(start, first, 50<<10)
	must.Eq(t, "", first.CutReason())
	second.touch(later)
	a.noteHead(later, second, 50<<10)
	must.Eq(t, Stalled, first.CutReason())
	must.Eq(t, "", second.CutReason())
	a.remove(first)
	must.Eq(t, 50<<10, a.Used()[Heads])
	a.releaseHead(second)
	must.Zero(t, a.Used()[Heads])
	must.Zero(t, a.pending)
}

func TestSweepCutsOverdueCallers(t *testing.T) {
	a := NewAccount(Limits{Bytes: 1 << 20, Conns: 10}, logr.Discard(), nil)
	body, answer, running := testConn(t, a, start), testConn(t, a, start), testConn(t, a, start)
	body.stall = 5 * time.Second
	body.Begin(start, Body)
	answer.Begin(start, Sending)
	running.Begin(start, Running)
	a.Sweep(start.Add(5 * time.Second))
	must.Eq(t, "", body.CutReason())
	a.Sweep(start.Add(6 * time.Second))
	must.Eq(t, Overdue, body.CutReason())
	must.Eq(t, "", answer.CutReason())
	a.Sweep(start.Add(time.Minute))
	must.Eq(t, Overdue, answer.CutReason())
	must.Eq(t, "", running.CutReason())
}

func TestLimitsLeaveRoomForTheProcess(t *testing.T) {
	for _, c := range []struct {
		memory      int64
		descriptors int
	}{{40 << 20, 700}, {88 << 20, 2870}, {120 << 20, 2870}, {120 << 20, 0}} {
		l := LimitsFor(c.memory, c.descriptors)
		must.LessEq(t, c.memory/2, l.Bytes)
		must.Greater(t, 4<<20, l.Bytes)
		must.LessEq(t, l.Bytes*3/4, int64(l.Conns)*ConnBytes)
		must.True(t, c.descriptors == 0 || l.Conns < c.descriptors-reservedFiles)
	}
}
