package gossip

import (
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/limit/quota"
	"github.com/skylarkquay/skylarkquay/internal/roll/count"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/origin"
)

// simInstance is an instance of a large site in virtual time.
type simInstance struct {
	*Exchange
	site *simSite
	used float64
	// lastTotals are the latest totals received, by sender and kind.
	lastTotals map[string]float64
	received   float64
	loads      map[string]fleet.Load
	down       bool
	sends      int
	// detached reports whether the instance has no path to any upstream.
	detached bool
	// counts are what the instance reports of builds, counted what heads last reported to it, by kind and zone.
	counts  []count.Report
	counted map[string][]count.Report
}

func (m *simInstance) ReadFromUDP([]byte) (int, *net.UDPAddr, error) { return 0, nil, net.ErrClosed }

func (m *simInstance) WriteToUDP(b []byte, addr *net.UDPAddr) (int, error) {
	m.sends++
	m.site.inFlight = append(m.site.inFlight, datagram{append([]byte(nil), b...), addr.String()})
	return len(b), nil
}

func (m *simInstance) Fill(_ time.Duration, msg *Message) (time.Duration, bool) {
	msg.Rates = quota.Report{Used: map[string]float64{"w": m.used}}
	msg.Loads = map[string]fleet.Load{"e": {Running: 1}}
	if m.detached {
		msg.Detached = []string{m.Address}
	}
	msg.Counts = m.counts
	return 0, false
}

func (m *simInstance) Receive(_ time.Duration, msg *Message, _, _ time.Duration, _ bool) {
	key := msg.Address + string(msg.Kind)
	if previous, ok := m.lastTotals[key]; ok {
		m.received += msg.Rates.Used["w"] - previous
	}
	m.lastTotals[key] = msg.Rates.Used["w"]
	if msg.Kind == KindAll {
		m.loads = msg.Loads
	}
	if msg.Kind != KindOwn {
		m.counted[string(msg.Kind)+msg.Zone] = msg.Counts
	}
}

type datagram struct {
	packet []byte
	to     string
}

type simSite struct {
	now       time.Duration
	byAddress map[string]*simInstance
	instances []*simInstance
	inFlight  []datagram
}

func newSimSite(zones, each int) *simSite {
	s := &simSite{now: time.Hour, byAddress: make(map[string]*simInstance)}
	for z := range zones {
		for i := range each {
			m := &simInstance{site: s, lastTotals: map[string]float64{}, counted: map[string][]count.Report{}}
			n := Instance{Address: fmt.Sprintf("10.0.%d.%d:7", z, i+11), Zone: fmt.Sprint(z), Size: 100 - i%3}
			m.Exchange = New(Settings{Instance: n, Conn: m, Incarnation: 1, Clock: func() time.Duration { return s.now }, Source: m, Sink: m, Log: logr.Discard()})
			s.byAddress[n.Address] = m
			s.instances = append(s.instances, m)
		}
	}
	for _, a := range s.instances {
		for _, b := range s.instances {
			a.AddPeer(b.Instance)
		}
	}
	return s
}

func (s *simSite) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += hubInterval {
		for _, m := range s.instances {
			if !m.down {
				m.send(false)
			}
		}
		due := s.inFlight
		s.inFlight = nil
		s.now += time.Millisecond
		for _, f := range due {
			if to := s.byAddress[f.to]; !to.down {
				to.receive(f.packet)
			}
		}
	}
}

func TestLargeSiteCountsEachAdmissionOnce(t *testing.T) {
	s := newSimSite(4, 10)
	s.run(5 * time.Second)
	for _, m := range s.instances {
		m.received, m.sends = 0, 0
	}
	for _, m := range s.instances {
		m.used += 7
	}
	s.run(2 * time.Second)
	for _, m := range s.instances {
		must.Eq(t, 7.0*39, m.received, must.Sprint(m.Address))
		covered, known := m.Coverage()
		must.Eq(t, 40, covered)
		must.Eq(t, 40, known)
	}
	rounds := int(2 * time.Second / hubInterval)
	maxSends, nonHeads := 0, 0
	for _, m := range s.instances {
		maxSends = max(maxSends, m.sends)
		if m.sends <= rounds+2 {
			nonHeads++
		}
		if m.loads != nil {
			must.Eq(t, 39, m.loads["e"].Running)
		}
	}
	must.Eq(t, 36, nonHeads)
	must.LessEq(t, (rounds+1)*(9+3), maxSends)
}

// When the head of a zone fails, the next instance replaces it until it recovers.
func TestZoneHeadIsReplacedWhileDown(t *testing.T) {
	s := newSimSite(4, 10)
	s.run(3 * time.Second)
	first := s.byAddress["10.0.1.11:7"]
	must.Nil(t, first.headOf("1"))
	first.down = true
	s.run(3 * time.Second)
	second := s.byAddress["10.0.1.14:7"]
	must.Nil(t, second.headOf("1"))
	for _, m := range s.instances {
		if m.down {
			continue
		}
		covered, _ := m.Coverage()
		must.Eq(t, 39, covered, must.Sprint(m.Address))
		m.received = 0
	}
	for _, m := range s.instances {
		m.used += 7
	}
	s.run(2 * time.Second)
	for _, m := range s.instances {
		if !m.down {
			must.Eq(t, 7.0*38, m.received, must.Sprint(m.Address))
		}
	}
	first.down = false
	s.run(4 * time.Second)
	must.Eq(t, "10.0.1.11:7", second.headOf("1").Address)
	for _, m := range s.instances {
		covered, _ := m.Coverage()
		must.Eq(t, 40, covered, must.Sprint(m.Address))
	}
}

// When a whole zone fails, the others keep running and report that a quarter of the instances is not covered.
func TestLostZoneReducesCoverage(t *testing.T) {
	s := newSimSite(4, 10)
	s.run(3 * time.Second)
	for _, m := range s.instances {
		m.down = m.Zone == "2"
	}
	s.run(15 * time.Second)
	for _, m := range s.instances {
		if m.down {
			continue
		}
		covered, known := m.Coverage()
		must.Eq(t, 30, covered, must.Sprint(m.Address))
		must.Eq(t, 40, known)
	}
}

// pendingSink records whether a message was to be forwarded when it was received.
type pendingSink struct {
	e       *Exchange
	pending int
}

func (s *pendingSink) Receive(time.Duration, *Message, time.Duration, time.Duration, bool) {
	s.pending = len(s.e.sendNow)
}

// The head of a zone could forward an urgent message before it had merged it, without what it said.
func TestUrgentMessageIsMergedBeforeItIsForwarded(t *testing.T) {
	sink := &pendingSink{}
	e := New(Settings{
		Instance: Instance{Address: "127.0.0.1:1", Zone: "a", Size: 2}, Clock: func() time.Duration { return time.Second }, Sink: sink, Log: logr.Discard(),
	})
	sink.e = e
	for port := range maxMeshSize {
		e.AddPeer(Instance{Address: fmt.Sprintf("127.0.0.1:%d", port+2), Zone: "a", Size: 1})
	}
	body, err := json.Marshal(Message{Address: "127.0.0.1:2", Zone: "a", Size: 1, Urgent: true})
	must.NoError(t, err)
	e.receive(append(make([]byte, headerBytes), body...))
	must.Eq(t, 0, sink.pending)
	must.Eq(t, 1, len(e.sendNow))
}

// A head forwards a report of the list some time after it has received it.
func TestForwardedListUpdateAges(t *testing.T) {
	u := &ListUpdate{Version: 3, Age: 10, ReturnedAge: 20, ServedAge: 30}
	must.Eq(t, &ListUpdate{Version: 3, Age: 15, ReturnedAge: 25, ServedAge: 35}, u.aged(5))
	// Neither an outage nor a span is known.
	u = &ListUpdate{Version: 3, Age: 10, ReturnedAge: -1}
	must.Eq(t, &ListUpdate{Version: 3, Age: 15, ReturnedAge: -1}, u.aged(5))
}

// A head forwards the latest that any instance of its zone saw of a limit, with its age.
func TestHeadForwardsTheLatestLimits(t *testing.T) {
	rate := 2.0
	older := fleet.Limit{ID: "u", Born: 1, Rate: &rate, Age: int64(900 * time.Millisecond)}
	newer := fleet.Limit{ID: "u", Born: 1, Age: int64(100 * time.Millisecond)}
	other := fleet.Limit{ID: "u", Born: 2, Rate: &rate, Age: int64(5 * time.Second)}
	e := New(Settings{Instance: Instance{Address: "10.0.0.1:1", Zone: "a"}, Log: logr.Discard()})
	own := Message{Limits: []fleet.Limit{older}}
	total := own
	now := 10 * time.Second
	e.mergePeer(now, &total, &peer{last: &Message{Limits: []fleet.Limit{newer, other}}, receivedAt: now - 50*time.Millisecond}, KindOwn)
	newer.Age += int64(50 * time.Millisecond)
	other.Age += int64(50 * time.Millisecond)
	must.Eq(t, []fleet.Limit{newer, other}, total.Limits)
	must.Eq(t, []fleet.Limit{older}, own.Limits)
}

// A head forwards the streams of its zone once, and keeps its own apart.
func TestHeadForwardsStreamsOnce(t *testing.T) {
	e := New(Settings{Instance: Instance{Address: "10.0.0.1:1", Zone: "a"}, Log: logr.Discard()})
	own := Message{Streams: origin.Streams{"v1": []byte("11111111")}}
	member := &peer{last: &Message{Streams: origin.Streams{"v1": []byte("22222222"), "v2": []byte("33333333")}}, receivedAt: time.Second}
	total := own
	e.mergePeer(time.Second, &total, member, KindOwn)
	must.Eq(t, origin.Streams{"v1": []byte("1111111122222222"), "v2": []byte("33333333")}, total.Streams)
	must.Eq(t, origin.Streams{"v1": []byte("11111111")}, own.Streams)
	e.lastSent = time.Second
	again := own
	e.mergePeer(2*time.Second-time.Millisecond, &again, member, KindOwn)
	must.Eq(t, own.Streams, again.Streams)
}

// Instances of a zone that has lost its paths to the upstreams know which instances still have theirs.
func TestDetachedZoneIsKnown(t *testing.T) {
	for _, size := range []struct{ zones, each int }{{3, 4}, {5, 59}} {
		s := newSimSite(size.zones, size.each)
		s.run(2 * time.Second)
		for _, m := range s.instances {
			m.detached = m.Zone == "0"
		}
		s.run(time.Second)
		for _, m := range s.instances {
			attached := m.Attached()
			must.GreaterEq(t, (size.zones-1)*size.each-1, len(attached), must.Sprint(m.Address))
			for _, address := range attached {
				must.NotEq(t, "0", s.byAddress[address].Zone)
			}
		}
		for _, m := range s.instances {
			m.detached = false
		}
		s.run(3 * time.Second)
		for _, m := range s.instances {
			must.Eq(t, size.zones*size.each-1, len(m.Attached()))
		}
	}
}

// In a large site each instance's counts of builds are in the totals once, and its acknowledgement while it is live.
func TestHeadsAddCountsOfBuilds(t *testing.T) {
	for _, size := range []struct{ zones, each int }{{4, 31}, {5, 59}} {
		checkCountsOfBuilds(t, size.zones, size.each)
	}
}

func checkCountsOfBuilds(t *testing.T, zones, each int) {
	t.Helper()
	s := newSimSite(zones, each)
	for _, m := range s.instances {
		m.counts = []count.Report{{Service: "s", Started: 5, Step: 3, Acked: 1, Arrived: 10, Exposed: 1}}
	}
	s.run(2 * time.Second)
	check := func(arrived int64, acked int) {
		t.Helper()
		for _, m := range s.instances {
			if all, ok := m.counted[string(KindAll)+m.Zone]; ok && !m.down {
				must.SliceLen(t, 1, all)
				must.Eq(t, arrived, all[0].Arrived)
				must.Eq(t, acked, all[0].Acked)
			}
		}
	}
	check(10*int64(zones*each), zones*each)
	down := 0
	for _, m := range s.instances {
		if m.Size < 100 && m.Zone == "1" {
			m.down = true
			down++
		}
	}
	must.Positive(t, down)
	s.run(3 * time.Second)
	check(10*int64(zones*each), zones*each-down)
}
