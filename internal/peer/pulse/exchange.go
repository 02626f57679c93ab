package pulse

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	// interval is the pause between messages. In it a site of 19 instances can admit too much by a twentieth of what an
	// instance of the limits' window may.
	interval = 250 * time.Millisecond
	// hubInterval is the same in larger sites, where word goes through three instances and a placement is over in half a
	// second.
	hubInterval = 100 * time.Millisecond
	// hubSize is the size of a site above which the interval grows with it, so that what a head sends does not grow with the
	// square of the site.
	hubSize = 150
	// gap is the shortest pause between messages that do not wait for the interval.
	gap = 30 * time.Millisecond
	// silence is how long an instance may be unheard before its messages are sent less often; its address may be gone.
	silence = 5 * time.Second
	// seldom is the number of rounds between messages to silent instances.
	seldom = 4
	// meshMost is the size of a site up to which every instance tells every other one. Above it messages go through the
	// heads of availability zones, so that what an instance sends does not grow with the site.
	meshMost = 24
	// headBytes is the size of the part of a message that differs by receiver.
	headBytes = 16
	// mostBytes bounds a message; datagrams over loopback and switches carry 64 KiB.
	mostBytes = 60000
)

// Node is an instance as others address it.
type Node struct {
	// Name is its address for datagrams.
	Name string
	Zone string
	// Size is a measure of what its machine can bear; heads are the largest.
	Size int
}

// before is the order in which instances take duties for others.
func (n Node) before(o Node) bool {
	if n.Size != o.Size {
		return n.Size > o.Size
	}
	return n.Name < o.Name
}

type contact struct {
	Node
	addr *net.UDPAddr
	// stamp is the newest stamp heard, at is when.
	stamp int64
	at    time.Duration
	// awaited is since when the contact should have been heard as a head; zero while it need not be.
	awaited time.Duration
	// suspect heads are passed over until they are heard again.
	suspect bool
	// last is the newest message, and given is what its sender admitted since it was first heard.
	last  *Message
	given map[string]float64
}

// Exchange sends and receives messages.
type Exchange struct {
	Settings
	mu       sync.Mutex
	contacts map[string]*contact
	now      chan struct{}
	round    int
	sent     time.Duration
}

// Conn sends and receives datagrams.
type Conn interface {
	ReadFromUDP(b []byte) (int, *net.UDPAddr, error)
	WriteToUDP(b []byte, addr *net.UDPAddr) (int, error)
}

// Settings are the parts of an exchange.
type Settings struct {
	Node
	Conn        Conn
	Incarnation int64
	// Clock counts suspensions.
	Clock  func() time.Duration
	Source Source
	Sink   Sink
	Log    logr.Logger
}

// New returns an exchange without contacts.
func New(s Settings) *Exchange {
	return &Exchange{Settings: s, contacts: make(map[string]*contact), now: make(chan struct{}, 1)}
}

// Meet adds an instance.
func (e *Exchange) Meet(n Node) {
	if n.Name == e.Name {
		return
	}
	addr, err := net.ResolveUDPAddr("udp4", n.Name)
	if err != nil {
		e.Log.Info("peer: address of an instance cannot be read", "address", n.Name, "error", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if c, ok := e.contacts[n.Name]; ok {
		c.Node = n
		return
	}
	e.contacts[n.Name] = &contact{Node: n, addr: addr}
}

// Count returns the number of known instances, this one included.
func (e *Exchange) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.contacts) + 1
}

// Member tells whether the instance leaves exchanges with the rest of a large site to the head of its zone.
func (e *Exchange) Member() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.large() && e.headOf(e.Zone) != nil
}

// Awake returns the first instance in order that was heard lately.
func (e *Exchange) Awake() (string, bool) {
	now := e.Clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	var first *contact
	for _, c := range e.contacts {
		if c.stamp != 0 && now-c.at < silence/4 && (first == nil || c.before(first.Node)) {
			first = c
		}
	}
	if first == nil {
		return "", false
	}
	return first.Name, true
}

// large tells whether the site is so large that messages go through the heads of availability zones. The lock is held.
func (e *Exchange) large() bool { return len(e.contacts) >= meshMost }

// Delay returns how long a message takes to all instances when one of them is lost: one interval, and in a large site one
// for each of the two heads between.
func (e *Exchange) Delay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.large() {
		return 5 * e.pause()
	}
	return 2 * e.pause()
}

// Interval returns the pause between messages.
func (e *Exchange) Interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pause()
}

// pause is the pause between messages. The lock is held.
func (e *Exchange) pause() time.Duration {
	if !e.large() {
		return interval
	}
	return hubInterval * time.Duration(max(len(e.contacts)+1, hubSize)) / hubSize
}

// Now sends a message without waiting for the interval.
func (e *Exchange) Now() {
	select {
	case e.now <- struct{}{}:
	default:
	}
}

// Run sends until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-e.now:
			urgent = true
		case <-timer.C:
		}
		e.send(urgent)
		pause := time.NewTimer(gap)
		select {
		case <-ctx.Done():
			pause.Stop()
			return
		case <-pause.C:
		}
		timer.Reset(e.Interval() - gap)
	}
}

// Send tells the others once.
func (e *Exchange) Send() { e.send(true) }

// send tells all others in a small site; in a large one it tells the head of the zone, or as head the others' heads and
// the members.
func (e *Exchange) send(urgent bool) {
	now := e.Clock()
	m := Message{
		Name: e.Name, Zone: e.Zone, Size: e.Node.Size, Incarnation: e.Incarnation, Stamp: int64(now), Urgent: urgent,
	}
	confirmed, known := e.Source.Tell(now, &m)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.round++
	for _, l := range e.letters(now, &m) {
		e.post(l, confirmed, known)
	}
	e.sent = now
}

// letter is a message with those that get it.
type letter struct {
	message *Message
	to      []*contact
}

func (e *Exchange) letters(now time.Duration, m *Message) []letter {
	if !e.large() {
		return []letter{{m, e.reachable(now)}}
	}
	return e.hub(now, m)
}

// reachable returns all contacts; silent ones only in some rounds.
func (e *Exchange) reachable(now time.Duration) []*contact {
	var to []*contact
	for _, c := range e.contacts {
		if c.stamp != 0 && now-c.at <= silence || e.round%seldom == 0 {
			to = append(to, c)
		}
	}
	return to
}

func (e *Exchange) post(l letter, confirmed time.Duration, known bool) {
	body, err := json.Marshal(l.message)
	if err != nil || len(body) > mostBytes {
		e.Log.Info("peer: a message could not be written", "bytes", len(body), "error", err)
		return
	}
	packet := make([]byte, headBytes+len(body))
	copy(packet[headBytes:], body)
	for _, c := range l.to {
		writeHead(packet, c, confirmed, known)
		// Datagrams may be lost at any time; the next round makes that good.
		_, _ = e.Conn.WriteToUDP(packet, c.addr)
	}
}

// writeHead echoes the receiver's newest stamp with the time from its arrival to the confirmation.
func writeHead(packet []byte, c *contact, confirmed time.Duration, known bool) {
	stamp, since := int64(0), int64(0)
	if known && c.stamp != 0 {
		stamp = c.stamp
		since = int64(confirmed - c.at)
	}
	binary.LittleEndian.PutUint64(packet, uint64(stamp))
	binary.LittleEndian.PutUint64(packet[8:], uint64(since))
}

// Listen receives until the connection is closed.
func (e *Exchange) Listen() {
	packet := make([]byte, headBytes+mostBytes)
	for {
		n, _, err := e.Conn.ReadFromUDP(packet)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.Log.Info("peer: receiving failed", "error", err.Error())
			time.Sleep(interval)
			continue
		}
		e.receive(packet[:n])
	}
}

// receive takes one message. The sender's confirmation is placed on this instance's clock by the echo of its own
// stamp: what came after the echo's arrival at the sender came after the stamp was sent.
func (e *Exchange) receive(packet []byte) {
	now := e.Clock()
	if len(packet) < headBytes {
		return
	}
	m := &Message{}
	if err := json.Unmarshal(packet[headBytes:], m); err != nil || m.Name == "" {
		e.Log.Info("peer: message cannot be read", "bytes", len(packet), "error", err)
		return
	}
	echo := int64(binary.LittleEndian.Uint64(packet))
	since := int64(binary.LittleEndian.Uint64(packet[8:]))
	e.Meet(Node{m.Name, m.Zone, m.Size})
	if e.take(now, m) {
		e.Now()
	}
	e.Sink.Hear(now, m, time.Duration(echo+since), echo != 0 && echo <= int64(now))
}

// take records a message and tells whether it must be passed on at once.
func (e *Exchange) take(now time.Duration, m *Message) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.contacts[m.Name]
	if !ok {
		return false
	}
	c.add(m)
	c.stamp, c.at, c.awaited, c.suspect, c.last = m.Stamp, now, 0, false, m
	return m.Urgent && m.Kind != All && e.large() && e.headOf(e.Zone) == nil
}

// add counts what the sender admitted since it was first heard in this role.
func (c *contact) add(m *Message) {
	if c.given == nil || c.last == nil || c.last.Kind != m.Kind {
		c.given = make(map[string]float64)
		return
	}
	before := c.last.Rates.Used
	if c.last.Incarnation != m.Incarnation {
		before = nil
	}
	for workspace, total := range m.Rates.Used {
		c.given[workspace] += total - before[workspace]
	}
}
