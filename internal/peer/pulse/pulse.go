// Package pulse lets instances tell each other several times a second, by datagrams, what decisions need: admitted
// tokens, requests on their way, confirmations of the routing document, upstreams that load weights, and requests that
// kill upstreams. Every message says all of it, so that a lost one is made good by the next.
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

	"github.com/skylarkquay/skylarkquay/internal/limit/quota"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/holder"
)

const (
	// interval is the pause between messages in a small site. In it a site of 19 instances can admit too much by a
	// twentieth of what an instance of the limits' window may.
	interval = 250 * time.Millisecond
	// perPeer stretches the interval with the number of instances, so that one receives at most 80 messages a second.
	perPeer = 12500 * time.Microsecond
	// silence is how long an instance may be unheard before its messages are sent less often; its address may be gone.
	silence = 5 * time.Second
	// headBytes is the size of the part of a message that differs by receiver.
	headBytes = 16
	// mostBytes bounds a message; datagrams over loopback and switches carry 64 KiB.
	mostBytes = 60000
)

// Message is what one instance tells all others.
type Message struct {
	// Name is the address at which the sender is reached.
	Name string `json:"n"`
	// Incarnation grows with each start of the sender.
	Incarnation int64 `json:"i"`
	// Stamp is the sender's clock at sending, which receivers echo.
	Stamp int64 `json:"s"`
	// Revision of the routing document in force at the sender.
	Revision int64 `json:"v,omitempty"`
	// Leaving says that the sender admits nothing any more.
	Leaving bool `json:"q,omitempty"`
	// Duty says that the sender holds the lease for rollouts.
	Duty bool `json:"o,omitempty"`
	// Rates is what the sender admitted of the workspaces' rates.
	Rates quota.Account `json:"u"`
	// Loads are the sender's requests on their way, by upstream.
	Loads map[string]fleet.Load `json:"l,omitempty"`
	// Switching are upstreams that are told to load weights.
	Switching []string `json:"w,omitempty"`
	// Loaded are upstreams that were seen to have loaded a version, by model.
	Loaded []Loaded `json:"d,omitempty"`
	// Following says that the sender has a question for changes of the operators' rows with the store.
	Following bool `json:"f,omitempty"`
	// Announced are versions of weights that the sender or another instance saw announced.
	Announced []Announced `json:"a,omitempty"`
	// List is set by instances that read the list of upstreams from the store.
	List *ListNews `json:"y,omitempty"`
	// Kept says whether the store of kept KV cache answers, or nothing.
	Kept Kept `json:"k,omitempty"`
	// Uses are prompts that engines have read for the sender a moment ago.
	Uses []holder.Use `json:"p,omitempty"`
	// Crashers count deaths of upstreams by the fingerprint of the request that they ran.
	Crashers map[string]int `json:"x,omitempty"`
}

// Kept is what an instance that asks the store of kept KV cache found.
type Kept string

// The values of Kept.
const (
	KeptUp   Kept = "up"
	KeptDown Kept = "down"
)

// Announced is a version of a model's weights with its age.
type Announced struct {
	Model   string `json:"m"`
	Version int64  `json:"v"`
	// Age is in nanoseconds since it was learnt of.
	Age int64 `json:"g"`
}

// ListNews are changes of the list of upstreams.
type ListNews struct {
	// Since and Version are the store's versions between which the changes happened.
	Since   int64 `json:"s"`
	Version int64 `json:"v"`
	// Age is in nanoseconds since the store was read.
	Age int64 `json:"g"`
	// Away is in nanoseconds since the store was last found unreachable; negative when it never was.
	Away    int64        `json:"w"`
	Changes []ListChange `json:"c,omitempty"`
}

// ListChange is one changed entry.
type ListChange struct {
	Version int64 `json:"v"`
	// ID of the upstream.
	ID string `json:"i"`
	// Entry is nil when the upstream is gone.
	Entry *fleet.Entry `json:"e,omitempty"`
}

// Loaded says that an upstream runs a version of a model's weights.
type Loaded struct {
	Upstream string `json:"r"`
	Model    string `json:"m"`
	Version  int64  `json:"v"`
}

// Source fills in what the instance tells. The returned time is when its document was last confirmed.
type Source interface {
	Tell(now time.Duration, m *Message) (confirmed time.Duration, known bool)
}

// Sink takes what others told. Confirmed is when the sender's document was last confirmed, by the receiver's clock;
// known is false when that cannot be bounded.
type Sink interface {
	Hear(now time.Duration, m *Message, confirmed time.Duration, known bool)
}

type contact struct {
	addr *net.UDPAddr
	// stamp is the newest stamp heard, at is when.
	stamp int64
	at    time.Duration
}

// Exchange sends and receives messages. Clock counts suspensions.
type Exchange struct {
	conn        *net.UDPConn
	name        string
	incarnation int64
	clock       func() time.Duration
	source      Source
	sink        Sink
	log         logr.Logger
	mu          sync.Mutex
	contacts    map[string]*contact
	now         chan struct{}
	round       int
}

// Settings are the parts of an exchange.
type Settings struct {
	Conn        *net.UDPConn
	Name        string
	Incarnation int64
	Clock       func() time.Duration
	Source      Source
	Sink        Sink
	Log         logr.Logger
}

// New returns an exchange without contacts.
func New(s Settings) *Exchange {
	return &Exchange{
		conn: s.Conn, name: s.Name, incarnation: s.Incarnation, clock: s.Clock, source: s.Source, sink: s.Sink, log: s.Log,
		contacts: make(map[string]*contact), now: make(chan struct{}, 1),
	}
}

// Meet adds an instance by its address.
func (e *Exchange) Meet(name string) {
	if name == e.name {
		return
	}
	addr, err := net.ResolveUDPAddr("udp4", name)
	if err != nil {
		e.log.Info("peer: address of an instance cannot be read", "address", name, "error", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.contacts[name]; !ok {
		e.contacts[name] = &contact{addr: addr}
	}
}

// Size returns the number of known instances, this one included.
func (e *Exchange) Size() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.contacts) + 1
}

// Now sends a message without waiting for the interval.
func (e *Exchange) Now() {
	select {
	case e.now <- struct{}{}:
	default:
	}
}

// Interval returns the pause between messages for a number of instances.
func Interval(size int) time.Duration {
	return max(interval, time.Duration(size)*perPeer)
}

// Run sends until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.now:
		case <-timer.C:
		}
		e.Send()
		timer.Reset(Interval(e.Size()))
	}
}

// Send tells all contacts at once. Silent ones are told in every fourth round.
func (e *Exchange) Send() {
	now := e.clock()
	m := Message{Name: e.name, Incarnation: e.incarnation, Stamp: int64(now)}
	confirmed, known := e.source.Tell(now, &m)
	body, err := json.Marshal(&m)
	if err != nil || len(body) > mostBytes {
		e.log.Info("peer: a message could not be written", "bytes", len(body), "error", err)
		return
	}
	packet := make([]byte, headBytes+len(body))
	copy(packet[headBytes:], body)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.round++
	for _, c := range e.contacts {
		if c.stamp == 0 && e.round%4 != 0 || c.stamp != 0 && now-c.at > silence && e.round%4 != 0 {
			continue
		}
		writeHead(packet, c, confirmed, known)
		// Datagrams may be lost at any time; the next round makes that good.
		_, _ = e.conn.WriteToUDP(packet, c.addr)
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
		n, _, err := e.conn.ReadFromUDP(packet)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.log.Info("peer: receiving failed", "error", err.Error())
			time.Sleep(interval)
			continue
		}
		e.receive(packet[:n])
	}
}

// receive takes one message. The sender's confirmation is placed on this instance's clock by the echo of its own
// stamp: what came after the echo's arrival at the sender came after the stamp was sent.
func (e *Exchange) receive(packet []byte) {
	now := e.clock()
	var m Message
	if len(packet) < headBytes {
		return
	}
	if err := json.Unmarshal(packet[headBytes:], &m); err != nil || m.Name == "" {
		e.log.Info("peer: message cannot be read", "bytes", len(packet), "error", err)
		return
	}
	echo := int64(binary.LittleEndian.Uint64(packet))
	since := int64(binary.LittleEndian.Uint64(packet[8:]))
	e.Meet(m.Name)
	e.mu.Lock()
	c, ok := e.contacts[m.Name]
	if ok {
		c.stamp = m.Stamp
		c.at = now
	}
	e.mu.Unlock()
	known := echo != 0 && echo <= int64(now)
	e.sink.Hear(now, &m, time.Duration(echo+since), known)
}
