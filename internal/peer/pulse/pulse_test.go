package pulse

import (
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"pgregory.net/rapid"
)

// fake is a source and sink with a clock of its own.
type fake struct {
	mu        sync.Mutex
	now       time.Duration
	confirmed time.Duration
	known     bool
	heard     []Message
	bounds    []time.Duration
	bounded   bool
}

func (f *fake) clock() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fake) Tell(_ time.Duration, m *Message) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.Revision = 5
	return f.confirmed, f.known
}

func (f *fake) Hear(_ time.Duration, m *Message, confirmed time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = append(f.heard, *m)
	f.bounds = append(f.bounds, confirmed)
	f.bounded = known
}

func exchange(t *testing.T, f *fake) *Exchange {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return New(Settings{Conn: conn, Node: Node{Name: conn.LocalAddr().String()}, Incarnation: 1, Clock: f.clock, Source: f, Sink: f, Log: logr.Discard()})
}

func TestInstancesMeetByMessages(t *testing.T) {
	fa, fb := &fake{now: time.Second}, &fake{now: time.Hour}
	a, b := exchange(t, fa), exchange(t, fb)
	go a.Listen()
	go b.Listen()
	a.Meet(b.Node)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond), wait.BoolFunc(func() bool {
		a.Send()
		return b.Count() == 2
	})))
	must.Wait(t, wait.InitialSuccess(wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond), wait.BoolFunc(func() bool {
		b.Send()
		fa.mu.Lock()
		defer fa.mu.Unlock()
		return len(fa.heard) > 0 && fa.heard[0].Revision == 5
	})))
}

// The bound on a peer's confirmation is never later than the confirmation was, whatever delays and pauses come between.
func TestConfirmationsAreNeverDatedTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// True time is that of a; b's clock is off by an unknown amount.
		offset := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset"))
		truth := time.Hour
		fa, fb := &fake{}, &fake{}
		ea := New(Settings{Node: Node{Name: "127.0.0.1:1"}, Clock: func() time.Duration { return truth }, Source: fa, Sink: fa, Log: logr.Discard()})
		eb := New(Settings{Node: Node{Name: "127.0.0.1:2"}, Clock: func() time.Duration { return truth + offset }, Source: fb, Sink: fb, Log: logr.Discard()})
		confirmed := truth - time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "before"))
		pass := func() { truth += time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "delay")) }
		first := packetOf(ea, nil, 0, false)
		pass()
		eb.receive(first)
		pass()
		if rapid.Bool().Draw(t, "again") {
			confirmed = truth
			pass()
		}
		second := packetOf(eb, eb.contacts["127.0.0.1:1"], confirmed+offset, true)
		pass()
		ea.receive(second)
		must.True(t, fa.bounded)
		must.LessEq(t, confirmed, fa.bounds[0])
	})
}

// packetOf returns a message as e would send it.
func packetOf(e *Exchange, c *contact, confirmed time.Duration, known bool) []byte {
	if c == nil {
		c = &contact{}
	}
	body := []byte(`{"n":"` + e.Name + `","i":1,"s":` + strconv.FormatInt(int64(e.Clock()), 10) + `}`)
	packet := append(make([]byte, headBytes), body...)
	writeHead(packet, c, confirmed, known)
	return packet
}

func TestUnreadableMessagesArePassedOver(t *testing.T) {
	f := &fake{}
	e := New(Settings{Node: Node{Name: "127.0.0.1:1"}, Clock: f.clock, Source: f, Sink: f, Log: logr.Discard()})
	for _, packet := range [][]byte{nil, make([]byte, headBytes), append(make([]byte, headBytes), `{"n":""}`...), []byte("short")} {
		e.receive(packet)
	}
	must.SliceEmpty(t, f.heard)
	must.Eq(t, 1, e.Count())
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte("0123456789abcdef{\"n\":\"127.0.0.1:9\",\"u\":{\"u\":{\"w\":1}}}"))
	f.Fuzz(func(t *testing.T, packet []byte) {
		f := &fake{}
		e := New(Settings{Node: Node{Name: "127.0.0.1:1"}, Clock: f.clock, Source: f, Sink: f, Log: logr.Discard()})
		e.receive(packet)
	})
}
