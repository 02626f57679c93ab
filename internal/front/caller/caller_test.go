package caller

import (
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"
)

func newConns(connections int, bytes int64) *Conns {
	return New(Limits{Connections: connections, Bytes: bytes, BodyTimeout: time.Minute, WriteTimeout: time.Minute}, logr.Discard(), tally.NoopScope)
}

func (s *Conns) addPipe(now time.Time) (*Conn, bool) {
	inner, _ := net.Pipe()
	return s.add(now, inner)
}

func TestIdleConnectionMakesRoomForNewOne(t *testing.T) {
	now := time.Now()
	s := newConns(2, 1<<20)
	running, _ := s.addPipe(now)
	running.enter(now, Run)
	idle, _ := s.addPipe(now)
	_, ok := s.addPipe(now)
	must.False(t, ok, must.Sprint("a connection that has just come is kept"))
	idle.enter(now, Idle)
	_, ok = s.addPipe(now)
	must.True(t, ok)
	must.True(t, idle.WasCut())
	must.False(t, running.WasCut())
	must.Eq(t, 2, s.Open())
}

func TestStalledBodyMakesRoomAndSendingOneDoesNot(t *testing.T) {
	now := time.Now()
	s := newConns(10, 1<<20)
	first, _ := s.addPipe(now)
	first.enter(now, Body)
	must.NoError(t, first.Grow(now, 1<<20))
	second, _ := s.addPipe(now)
	second.enter(now, Body)
	must.ErrorIs(t, second.Grow(now, 1<<19), ErrNoRoom)
	must.NoError(t, second.Grow(now, freeBytes))
	later := now.Add(stallGrace)
	must.NoError(t, second.Grow(later, 1<<19))
	must.True(t, first.WasCut())
	must.ErrorIs(t, first.Grow(later, 1<<20), ErrNoRoom)
	must.Eq(t, 1<<19, s.Taken())
	first.end()
	second.end()
	must.Eq(t, 0, s.Taken())
}

func TestHeaderCounts(t *testing.T) {
	now := time.Now()
	s := newConns(10, 10_000)
	c, _ := s.addPipe(now)
	must.True(t, c.arrived(now, freeBytes/headFactor))
	must.Eq(t, 0, s.Taken())
	must.True(t, c.arrived(now, 3000))
	must.Between(t, 8000, s.Taken(), 10_000)
	must.False(t, c.arrived(now, 3000))
	must.NoError(t, c.Close())
	must.Eq(t, 0, s.Taken())
	must.Eq(t, 0, s.Open())
}

// What is taken is never more than the account, and all of it comes back on every path.
func TestAccountIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		s := newConns(8, 200_000)
		var conns []*Conn
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			if c, ok := s.addPipe(now); ok {
				conns = append(conns, c)
			}
			c := rapid.SampledFrom(conns).Draw(t, "conn")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				c.arrived(now, rapid.IntRange(1, 30_000).Draw(t, "bytes"))
			case 1:
				c.enter(now, Body)
			case 2:
				_ = c.Grow(now, rapid.Int64Range(1, 150_000).Draw(t, "bytes"))
			case 3:
				c.BodyRead(now)
			case 4:
				c.end()
				c.enter(now, Idle)
			case 5:
				must.NoError(t, c.Close())
			}
			must.Between(t, 0, s.Taken(), 200_000)
			must.LessEq(t, 8, s.Open())
		}
		for _, c := range conns {
			c.end()
			must.NoError(t, c.Close())
		}
		must.Eq(t, 0, s.Taken())
		must.Eq(t, 0, s.Open())
	})
}

func TestLongResponseIsWrittenWhole(t *testing.T) {
	s := newConns(1, 1<<20)
	inner, far := net.Pipe()
	c, ok := s.add(time.Now(), inner)
	must.True(t, ok)
	got := make(chan int)
	go func() {
		total, buffer := 0, make([]byte, 1000)
		for {
			n, err := far.Read(buffer)
			total += n
			if err != nil {
				got <- total
				return
			}
		}
	}()
	n, err := c.Write(make([]byte, 3*writePiece+1))
	must.NoError(t, err)
	must.Eq(t, 3*writePiece+1, n)
	must.NoError(t, c.Close())
	must.Eq(t, n, <-got)
}
