package gossip

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/skylarkquay/skylarkquay/internal/limit/quota"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/holder"
)

// benchSource reports what an instance of a large site does: some requests in flight and some prompts since the last message.
type benchSource struct{ number, engines int }

func (s benchSource) Fill(_ time.Duration, m *Message) (time.Duration, bool) {
	m.Revision = 7
	m.Rates = quota.Report{Used: make(map[string]float64), Levels: make(map[string]float64), Ready: true}
	for i := range 10 {
		m.Rates.Used[fmt.Sprintf("workspace%d", (s.number+i)%40)] = 123456 + float64(s.number)
	}
	m.Loads = make(map[string]fleet.Load)
	for i := range 6 {
		m.Loads[fmt.Sprintf("i-%08x", (s.number*7+i*31)%s.engines)] = fleet.Load{Running: 1 + i%2, PendingTokens: 2890}
	}
	m.Uses = []holder.Use{{Holder: fmt.Sprintf("i-%08x", s.number%s.engines), Chain: []uint64{9e18, 8e18 + uint64(s.number)}}}
	return 0, true
}

func (benchSource) Receive(time.Duration, *Message, time.Duration, time.Duration, bool) {}

// countingConn counts the bytes that an instance sends.
type countingConn struct{ bytes, packets int }

func (c *countingConn) ReadFromUDP([]byte) (int, *net.UDPAddr, error) { return 0, nil, net.ErrClosed }

func (c *countingConn) WriteToUDP(b []byte, _ *net.UDPAddr) (int, error) {
	c.bytes += len(b)
	c.packets++
	return len(b), nil
}

// BenchmarkHead measures one round of the head of a zone in a site of six zones, with nine engines for each ten instances.
func BenchmarkHead(b *testing.B) {
	for _, size := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			const zones = 6
			now := time.Hour
			clock := func() time.Duration { return now }
			conn := &countingConn{}
			source := benchSource{engines: size * 9 / 10}
			address := func(i int) string { return fmt.Sprintf("10.%d.%d.%d:7600", i%zones, i/zones/250, i/zones%250+1) }
			head := New(Settings{
				Instance: Instance{Address: address(0), Zone: "z0", Size: 9}, Conn: conn, Clock: clock, Source: source, Sink: source, Log: logr.Discard(),
			})
			for i := 1; i < size; i++ {
				m := &Message{Address: address(i), Zone: fmt.Sprint("z", i%zones), Incarnation: 1, Stamp: 1, Unpacks: true}
				benchSource{i, source.engines}.Fill(now, m)
				if i < zones {
					// The head of another zone sends the total of its members.
					m.Kind, m.Size, m.Covered = KindZone, 8, size/zones
					for j := range size / zones {
						part := &Message{}
						benchSource{i + zones*j, source.engines}.Fill(now, part)
						for id, l := range part.Loads {
							m.Loads[id] = m.Loads[id].Plus(l)
						}
						m.Uses = append(m.Uses, part.Uses...)
					}
				}
				head.AddPeer(Instance{m.Address, m.Zone, m.Size})
				head.record(now, now, m)
			}
			for b.Loop() {
				head.lastSent = 0
				head.send(false)
			}
			b.ReportMetric(float64(conn.bytes)/float64(b.N), "sent-B/op")
			b.ReportMetric(float64(conn.packets)/float64(b.N), "packets/op")
		})
	}
}
