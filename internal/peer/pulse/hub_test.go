package pulse

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/limit/quota"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

// member is an instance of a large site in virtual time.
type member struct {
	*Exchange
	site *large
	used float64
	// peers are the last totals heard, by sender and role.
	peers map[string]float64
	heard float64
	loads map[string]fleet.Load
	dead  bool
	sends int
}

func (m *member) ReadFromUDP([]byte) (int, *net.UDPAddr, error) { return 0, nil, net.ErrClosed }

func (m *member) WriteToUDP(b []byte, addr *net.UDPAddr) (int, error) {
	m.sends++
	m.site.flying = append(m.site.flying, flight{append([]byte(nil), b...), addr.String()})
	return len(b), nil
}

func (m *member) Tell(_ time.Duration, msg *Message) (time.Duration, bool) {
	msg.Rates = quota.Report{Used: map[string]float64{"w": m.used}}
	msg.Loads = map[string]fleet.Load{"e": {Running: 1}}
	return 0, false
}

func (m *member) Hear(_ time.Duration, msg *Message, _ time.Duration, _ bool) {
	key := msg.Name + string(msg.Kind)
	if before, ok := m.peers[key]; ok {
		m.heard += msg.Rates.Used["w"] - before
	}
	m.peers[key] = msg.Rates.Used["w"]
	if msg.Kind == All {
		m.loads = msg.Loads
	}
}

type flight struct {
	packet []byte
	to     string
}

type large struct {
	now     time.Duration
	members map[string]*member
	order   []*member
	flying  []flight
}

func newLarge(zones, each int) *large {
	s := &large{now: time.Hour, members: make(map[string]*member)}
	for z := range zones {
		for i := range each {
			m := &member{site: s, peers: map[string]float64{}}
			n := Node{Name: fmt.Sprintf("10.0.%d.%d:7", z, i+11), Zone: fmt.Sprint(z), Size: 100 - i%3}
			m.Exchange = New(Settings{Node: n, Conn: m, Incarnation: 1, Clock: func() time.Duration { return s.now }, Source: m, Sink: m, Log: logr.Discard()})
			s.members[n.Name] = m
			s.order = append(s.order, m)
		}
	}
	for _, a := range s.order {
		for _, b := range s.order {
			a.Meet(b.Node)
		}
	}
	return s
}

func (s *large) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += hubInterval {
		for _, m := range s.order {
			if !m.dead {
				m.send(false)
			}
		}
		flying := s.flying
		s.flying = nil
		s.now += time.Millisecond
		for _, f := range flying {
			if to := s.members[f.to]; !to.dead {
				to.receive(f.packet)
			}
		}
	}
}

func TestALargeSiteHearsAllAdmissionsOnce(t *testing.T) {
	s := newLarge(4, 10)
	s.run(5 * time.Second)
	for _, m := range s.order {
		m.heard, m.sends = 0, 0
	}
	for _, m := range s.order {
		m.used += 7
	}
	s.run(2 * time.Second)
	for _, m := range s.order {
		must.Eq(t, 7.0*39, m.heard, must.Sprint(m.Name))
		heard, known := m.Cover()
		must.Eq(t, 40, heard)
		must.Eq(t, 40, known)
	}
	rounds := int(2 * time.Second / hubInterval)
	most, members := 0, 0
	for _, m := range s.order {
		most = max(most, m.sends)
		if m.sends <= rounds+2 {
			members++
		}
		if m.loads != nil {
			must.Eq(t, 39, m.loads["e"].Running)
		}
	}
	must.Eq(t, 36, members)
	must.LessEq(t, (rounds+1)*(9+3), most)
}

// The head of a zone dies: the next one takes its place, and the first one takes it back when it returns.
func TestAHeadIsReplaced(t *testing.T) {
	s := newLarge(4, 10)
	s.run(3 * time.Second)
	first := s.members["10.0.1.11:7"]
	must.Nil(t, first.headOf("1"))
	first.dead = true
	s.run(3 * time.Second)
	second := s.members["10.0.1.14:7"]
	must.Nil(t, second.headOf("1"))
	for _, m := range s.order {
		if m.dead {
			continue
		}
		heard, _ := m.Cover()
		must.Eq(t, 39, heard, must.Sprint(m.Name))
		m.heard = 0
	}
	for _, m := range s.order {
		m.used += 7
	}
	s.run(2 * time.Second)
	for _, m := range s.order {
		if !m.dead {
			must.Eq(t, 7.0*38, m.heard, must.Sprint(m.Name))
		}
	}
	first.dead = false
	s.run(4 * time.Second)
	must.Eq(t, "10.0.1.11:7", second.headOf("1").Name)
	for _, m := range s.order {
		heard, _ := m.Cover()
		must.Eq(t, 40, heard, must.Sprint(m.Name))
	}
}

// A zone is lost whole: the others go on, knowing that a quarter is not heard.
func TestALostZone(t *testing.T) {
	s := newLarge(4, 10)
	s.run(3 * time.Second)
	for _, m := range s.order {
		m.dead = m.Zone == "2"
	}
	s.run(15 * time.Second)
	for _, m := range s.order {
		if m.dead {
			continue
		}
		heard, known := m.Cover()
		must.Eq(t, 30, heard, must.Sprint(m.Name))
		must.Eq(t, 40, known)
	}
}
