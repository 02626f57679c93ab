package gossip

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	// meshInterval is the time between messages when every instance sends to every other one. Until the next message an
	// instance does not know what the others admit; in a site of 19 instances, the excess over a rate limit in that time can be
	// a twentieth of what one instance may admit in the limit's window.
	meshInterval = 250 * time.Millisecond
	// hubInterval is the time between messages in larger sites. It is shorter, because a report passes through three instances
	// and a placement is over within half a second.
	hubInterval = 100 * time.Millisecond
	// hubScaleSize is the site size above which the interval grows in proportion, so that the traffic of a zone head does not
	// grow with the square of the site size.
	hubScaleSize = 150
	// minGap is the minimum time between messages that are sent ahead of the interval.
	minGap = 30 * time.Millisecond
	// unresponsiveTimeout is the time since a peer's last message after which it is sent messages less often; its address
	// may no longer exist.
	unresponsiveTimeout = 5 * time.Second
	// unresponsiveRounds is the number of rounds between messages to unresponsive peers.
	unresponsiveRounds = 4
	// maxMeshSize is the site size up to which every instance sends to every other one. Above it messages go through the
	// heads of availability zones, so that an instance's traffic does not grow with the site.
	maxMeshSize = 24
	// headerBytes is the size of the header, the part of a message that differs by receiver.
	headerBytes = 16
	// maxBodyBytes bounds a message; datagrams over loopback and switches carry 64 KiB.
	maxBodyBytes = 60000
)

// Instance is the UDP address, zone and size of an instance.
type Instance struct {
	// Address is the UDP address.
	Address string
	Zone    string
	// Size is a measure of the machine's capacity; the largest instance of a zone is its head.
	Size int
}

// precedes reports whether n is chosen before o for tasks on behalf of other instances.
func (n Instance) precedes(o Instance) bool {
	if n.Size != o.Size {
		return n.Size > o.Size
	}
	return n.Address < o.Address
}

type peer struct {
	Instance
	addr *net.UDPAddr
	// stamp is the stamp of the latest message, and receivedAt is when it was read. SentAfter is not later than the state in it, or
	// when it was read if the sender had no message of this instance yet.
	stamp      int64
	receivedAt time.Duration
	sentAfter  time.Duration
	// awaitedSince is when this instance began to expect messages from the peer as a head; zero while it expects none.
	awaitedSince time.Duration
	// suspect heads are skipped until their next message.
	suspect bool
	// last is the latest message, and admitted is what its sender admitted since its first one of the same kind.
	last     *Message
	admitted map[string]float64
}

// Exchange sends messages to the other instances and receives theirs.
type Exchange struct {
	Settings
	mu       sync.Mutex
	peers    map[string]*peer
	sendNow  chan struct{}
	round    int
	lastSent time.Duration
	packer   packer
	// detached holds the instances that have no path to any upstream, and when that was last reported.
	detached map[string]time.Duration
}

// Conn sends and receives datagrams.
type Conn interface {
	ReadFromUDP(b []byte) (int, *net.UDPAddr, error)
	WriteToUDP(b []byte, addr *net.UDPAddr) (int, error)
}

// Settings are the dependencies of an exchange.
type Settings struct {
	Instance
	Conn        Conn
	Incarnation int64
	// Clock includes the time that the machine is suspended.
	Clock  func() time.Duration
	Source Source
	Sink   Sink
	Log    logr.Logger
}

// New returns an exchange without peers.
func New(s Settings) *Exchange {
	return &Exchange{Settings: s, peers: make(map[string]*peer), sendNow: make(chan struct{}, 1), detached: make(map[string]time.Duration)}
}

// AddPeer adds an instance, or updates it when it is known.
func (e *Exchange) AddPeer(n Instance) {
	if n.Address == e.Address {
		return
	}
	addr, err := net.ResolveUDPAddr("udp4", n.Address)
	if err != nil {
		e.Log.Info("peer: cannot resolve the address of an instance", "address", n.Address, "error", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if p, ok := e.peers[n.Address]; ok {
		p.Instance = n
		return
	}
	e.peers[n.Address] = &peer{Instance: n, addr: addr}
}

// Count returns the number of known instances, this one included.
func (e *Exchange) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers) + 1
}

// UsesHead reports whether the site is large and this instance exchanges messages with its zone's head only.
func (e *Exchange) UsesHead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.large() && e.headOf(e.Zone) != nil
}

// FirstLive returns the address of the first peer in order of precedence whose last message is less than
// unresponsiveTimeout/4 old.
func (e *Exchange) FirstLive() (string, bool) {
	live := e.Live(1)
	if len(live) == 0 {
		return "", false
	}
	return live[0], true
}

// Live returns the addresses of at most that many such peers in order of precedence.
func (e *Exchange) Live(most int) []string {
	now := e.Clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	var live []*peer
	for _, p := range e.peers {
		if p.stamp != 0 && now-p.receivedAt < unresponsiveTimeout/4 {
			live = append(live, p)
		}
	}
	slices.SortFunc(live, func(p, q *peer) int {
		if p.precedes(q.Instance) {
			return -1
		}
		return 1
	})
	var addresses []string
	for _, p := range live[:min(most, len(live))] {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// detachedTTL is how long a report that an instance has no path to any upstream is valid.
const detachedTTL = 1500 * time.Millisecond

// Attached returns, in random order, the addresses of the other instances that may have a path to the upstreams. In a large site it
// includes those that this instance gets no messages from.
func (e *Exchange) Attached() []string {
	now := e.Clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	var addresses []string
	// Maps are iterated in random order, but not uniformly.
	for address, p := range e.peers {
		silent := p.stamp == 0 || now-p.receivedAt >= unresponsiveTimeout/4
		if silent && !e.large() || e.isDetached(now, address) {
			continue
		}
		addresses = append(addresses, address)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// IsDetached reports whether an instance is known to have no path to any upstream.
func (e *Exchange) IsDetached(address string) bool {
	now := e.Clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isDetached(now, address)
}

// isDetached is IsDetached for callers that hold the lock.
func (e *Exchange) isDetached(now time.Duration, address string) bool {
	at, ok := e.detached[address]
	return ok && now-at < detachedTTL
}

// recordDetached records which instances have no path to any upstream. The caller holds the lock.
func (e *Exchange) recordDetached(now time.Duration, m *Message) {
	if m.Kind == KindOwn {
		delete(e.detached, m.Address)
	}
	for _, address := range m.Detached {
		e.detached[address] = now
	}
	for address := range e.detached {
		if !e.isDetached(now, address) {
			delete(e.detached, address)
		}
	}
}

// large reports whether messages go through the heads of availability zones. The caller holds the lock.
func (e *Exchange) large() bool { return len(e.peers) >= maxMeshSize }

// PropagationDelay returns how long a report may take to reach all instances when one message is lost: two intervals, or five
// in a large site, where the report also passes through the heads of two availability zones.
func (e *Exchange) PropagationDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.large() {
		return 5 * e.currentInterval()
	}
	return 2 * e.currentInterval()
}

// Interval returns the time between messages.
func (e *Exchange) Interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.currentInterval()
}

// currentInterval is Interval for callers that hold the lock.
func (e *Exchange) currentInterval() time.Duration {
	if !e.large() {
		return meshInterval
	}
	return hubInterval * time.Duration(max(len(e.peers)+1, hubScaleSize)) / hubScaleSize
}

// TriggerSend makes Run send a message without waiting for the interval.
func (e *Exchange) TriggerSend() {
	select {
	case e.sendNow <- struct{}{}:
	default:
	}
}

// Run sends messages until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-e.sendNow:
			urgent = true
		case <-timer.C:
		}
		e.send(urgent)
		gapTimer := time.NewTimer(minGap)
		select {
		case <-ctx.Done():
			gapTimer.Stop()
			return
		case <-gapTimer.C:
		}
		timer.Reset(e.Interval() - minGap)
	}
}

// Send sends one urgent message to the others before it returns.
func (e *Exchange) Send() { e.send(true) }

// send sends this instance's state to all others in a small site. In a large one a member sends it to its zone's head, and a
// head sends the totals to the other heads and to its members.
func (e *Exchange) send(urgent bool) {
	now := e.Clock()
	m := Message{
		Address: e.Address, Zone: e.Zone, Size: e.Instance.Size, Incarnation: e.Incarnation, Stamp: int64(now), Urgent: urgent,
		Unpacks: true,
	}
	confirmed, known := e.Source.Fill(now, &m)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.round++
	for _, d := range e.deliveries(now, &m) {
		e.transmit(now, d, confirmed, known)
	}
	e.lastSent = now
}

// delivery is a message with its recipients.
type delivery struct {
	message *Message
	to      []*peer
	// packed reports whether the message is a total that contains what its recipients reported themselves.
	packed bool
}

func (e *Exchange) deliveries(now time.Duration, m *Message) []delivery {
	if !e.large() {
		return []delivery{{message: m, to: e.recipients(now)}}
	}
	return e.hubDeliveries(now, m)
}

// recipients returns all peers, but unresponsive ones only every unresponsiveRounds rounds.
func (e *Exchange) recipients(now time.Duration) []*peer {
	var to []*peer
	for _, p := range e.peers {
		if p.stamp != 0 && now-p.receivedAt <= unresponsiveTimeout || e.round%unresponsiveRounds == 0 {
			to = append(to, p)
		}
	}
	return to
}

func (e *Exchange) transmit(now time.Duration, d delivery, confirmed time.Duration, known bool) {
	if d.packed {
		e.transmitPacked(now, d, confirmed, known)
		return
	}
	body, err := json.Marshal(d.message)
	if err != nil || len(body) > maxBodyBytes {
		e.Log.Info("peer: message not sent: encoding failed or too large", "bytes", len(body), "error", err)
		return
	}
	packet := make([]byte, headerBytes+len(body))
	copy(packet[headerBytes:], body)
	for _, p := range d.to {
		writeHeader(packet, now, p, confirmed, known)
		// A lost datagram is made up for by the next round.
		_, _ = e.Conn.WriteToUDP(packet, p.addr)
	}
}

// transmitPacked compresses a total once and sends it to each recipient with what that one reported itself.
func (e *Exchange) transmitPacked(now time.Duration, d delivery, confirmed time.Duration, known bool) {
	compressed, err := e.packer.compress(d.message)
	if err != nil {
		e.Log.Info("peer: message not sent: compression failed", "error", err.Error())
		return
	}
	for _, p := range d.to {
		body, err := pack(p.ownPart(now), compressed)
		if err != nil || len(body) > maxBodyBytes {
			e.Log.Info("peer: message not sent: encoding failed or too large", "bytes", len(body), "error", err)
			return
		}
		packet := append(make([]byte, headerBytes, headerBytes+len(body)), body...)
		writeHeader(packet, now, p, confirmed, known)
		// A lost datagram is made up for by the next round.
		_, _ = e.Conn.WriteToUDP(packet, p.addr)
	}
}

// writeHeader echoes the receiver's latest stamp with the time from its arrival to the confirmation, unless it arrived later than the
// state in the message.
func writeHeader(packet []byte, now time.Duration, p *peer, confirmed time.Duration, known bool) {
	stamp, since := int64(0), int64(0)
	if known && p.stamp != 0 && p.receivedAt <= now {
		stamp = p.stamp
		since = int64(confirmed - p.receivedAt)
	}
	binary.LittleEndian.PutUint64(packet, uint64(stamp))
	binary.LittleEndian.PutUint64(packet[8:], uint64(since))
}

// Listen receives messages until the connection is closed.
func (e *Exchange) Listen() {
	packet := make([]byte, headerBytes+maxBodyBytes)
	for {
		n, _, err := e.Conn.ReadFromUDP(packet)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.Log.Info("peer: cannot receive", "error", err.Error())
			time.Sleep(meshInterval)
			continue
		}
		e.receive(packet[:n])
	}
}

// receive handles one message. The echo of this instance's own stamp converts the sender's confirmation to the local
// clock: what happened after the stamp arrived at the sender happened after it was sent.
func (e *Exchange) receive(packet []byte) {
	now := e.Clock()
	if len(packet) < headerBytes {
		return
	}
	m, err := unpack(packet[headerBytes:])
	if err != nil || m.Address == "" {
		e.Log.Info("peer: cannot decode a message", "bytes", len(packet), "error", err)
		return
	}
	echo := int64(binary.LittleEndian.Uint64(packet))
	since := int64(binary.LittleEndian.Uint64(packet[8:]))
	e.AddPeer(Instance{m.Address, m.Zone, m.Size})
	known := echo != 0 && echo <= int64(now)
	sentAfter := time.Duration(echo)
	if !known {
		// The sender has not received a message of this instance yet.
		sentAfter = now
	}
	forward := e.record(now, sentAfter, m)
	e.Sink.Receive(now, m, sentAfter, time.Duration(echo+since), known)
	if forward {
		// After Receive, so that the message contains what it has merged.
		e.TriggerSend()
	}
}

// record stores a message and reports whether it must be forwarded at once.
func (e *Exchange) record(now, sentAfter time.Duration, m *Message) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.peers[m.Address]
	if !ok {
		return false
	}
	p.addAdmitted(m)
	e.recordDetached(now, m)
	p.stamp, p.receivedAt, p.sentAfter, p.awaitedSince, p.suspect, p.last = m.Stamp, now, sentAfter, 0, false, m
	return m.Urgent && m.Kind != KindAll && e.large() && e.headOf(e.Zone) == nil
}

// addAdmitted counts what the sender admitted since its first message of this kind, and also before it if the sender has just
// started.
func (p *peer) addAdmitted(m *Message) {
	if p.admitted == nil || p.last == nil || p.last.Kind != m.Kind {
		p.admitted = make(map[string]float64)
		if m.Kind == KindOwn && m.Rates.Starting {
			maps.Copy(p.admitted, m.Rates.Used)
		}
		return
	}
	previous := p.last.Rates.Used
	if p.last.Incarnation != m.Incarnation {
		previous = nil
	}
	for workspace, total := range m.Rates.Used {
		p.admitted[workspace] += total - previous[workspace]
	}
}
