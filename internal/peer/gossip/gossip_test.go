package gossip

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
	received  []Message
	bounds    []time.Duration
	sent      []time.Duration
	bounded   bool
}

func (f *fake) clock() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fake) Fill(_ time.Duration, m *Message) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.Revision = 5
	return f.confirmed, f.known
}

func (f *fake) Receive(_ time.Duration, m *Message, sentAfter, confirmed time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, *m)
	f.bounds = append(f.bounds, confirmed)
	f.sent = append(f.sent, sentAfter)
	f.bounded = known
}

func newExchange(t *testing.T, f *fake) *Exchange {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return New(Settings{Conn: conn, Instance: Instance{Address: conn.LocalAddr().String()}, Incarnation: 1, Clock: f.clock, Source: f, Sink: f, Log: logr.Discard()})
}

func TestMessageAddsSenderAsPeer(t *testing.T) {
	fa, fb := &fake{now: time.Second}, &fake{now: time.Hour}
	a, b := newExchange(t, fa), newExchange(t, fb)
	go a.Listen()
	go b.Listen()
	a.AddPeer(b.Instance)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond), wait.BoolFunc(func() bool {
		a.Send()
		return b.Count() == 2
	})))
	must.Wait(t, wait.InitialSuccess(wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond), wait.BoolFunc(func() bool {
		b.Send()
		fa.mu.Lock()
		defer fa.mu.Unlock()
		return len(fa.received) > 0 && fa.received[0].Revision == 5
	})))
}

// The converted times of a peer's state and confirmation are never later than the true ones, whatever the delays and process pauses.
func TestConfirmationTimeIsNeverTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// True time is a's clock; b's clock is off by an unknown offset.
		offset := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset"))
		trueTime := time.Hour
		fa, fb := &fake{}, &fake{}
		ea := New(Settings{Instance: Instance{Address: "127.0.0.1:1"}, Clock: func() time.Duration { return trueTime }, Source: fa, Sink: fa, Log: logr.Discard()})
		eb := New(Settings{Instance: Instance{Address: "127.0.0.1:2"}, Clock: func() time.Duration { return trueTime + offset }, Source: fb, Sink: fb, Log: logr.Discard()})
		confirmed := trueTime - time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "before"))
		advance := func() { trueTime += time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "delay")) }
		first := packetOf(ea, ea.Clock(), nil, 0, false)
		advance()
		// The state of b's message may be older than the arrival of a's.
		filled := trueTime
		pausedBefore := rapid.Bool().Draw(t, "pausedBefore")
		advance()
		eb.receive(first)
		if !pausedBefore {
			filled = trueTime
		}
		advance()
		if rapid.Bool().Draw(t, "again") {
			confirmed = trueTime
			advance()
		}
		second := packetOf(eb, filled+offset, eb.peers["127.0.0.1:1"], confirmed+offset, true)
		advance()
		ea.receive(second)
		must.True(t, fa.bounded || pausedBefore)
		if fa.bounded {
			must.LessEq(t, confirmed, fa.bounds[0])
			must.LessEq(t, filled, fa.sent[0])
		}
	})
}

// packetOf returns a datagram with the state of a time as e sends it to p.
func packetOf(e *Exchange, filled time.Duration, p *peer, confirmed time.Duration, known bool) []byte {
	if p == nil {
		p = &peer{}
	}
	body := []byte(`{"n":"` + e.Address + `","i":1,"s":` + strconv.FormatInt(int64(e.Clock()), 10) + `}`)
	packet := append(make([]byte, headerBytes), body...)
	writeHeader(packet, filled, p, confirmed, known)
	return packet
}

func TestMalformedMessagesAreIgnored(t *testing.T) {
	f := &fake{}
	e := New(Settings{Instance: Instance{Address: "127.0.0.1:1"}, Clock: f.clock, Source: f, Sink: f, Log: logr.Discard()})
	for _, packet := range [][]byte{nil, make([]byte, headerBytes), append(make([]byte, headerBytes), `{"n":""}`...), []byte("short")} {
		e.receive(packet)
	}
	must.SliceEmpty(t, f.received)
	must.Eq(t, 1, e.Count())
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte("0123456789abcdef{\"n\":\"127.0.0.1:9\",\"u\":{\"u\":{\"w\":1}}}"))
	f.Fuzz(func(t *testing.T, packet []byte) {
		f := &fake{}
		e := New(Settings{Instance: Instance{Address: "127.0.0.1:1"}, Clock: f.clock, Source: f, Sink: f, Log: logr.Discard()})
		e.receive(packet)
	})
}
