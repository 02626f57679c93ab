// Package member keeps what this instance knows of the other entry instances, from heartbeats and from the platform's list as a hint.
package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
	"github.com/skylarkquay/skylarkquay/internal/plat/roster"
)

const (
	// Suspect is the silence after which an instance gets no questions; it proves nothing about its death.
	Suspect = 20 * time.Second
	// forget is the silence after which an unlisted instance is dropped.
	forget = 5 * time.Minute
	// FanOut is the number of peers that one heartbeat goes to.
	FanOut = 3
	// sampleSize is the number of members that one heartbeat tells of.
	sampleSize = 8
	// fresh is how lately a member was heard of to be told of first.
	fresh = 3 * time.Second
)

// Member is one entry instance.
type Member struct {
	// Address is the peer address, HOST:PORT.
	Address string
	// Zone is the availability zone.
	Zone string
	// Incarnation is unique to one run of the process and sorts by start time.
	Incarnation string
	// Counter grows with each heartbeat of the incarnation.
	Counter uint64
	// Leaving tells that the instance takes no new work.
	Leaving bool
	// Partitions are the limit partitions that the instance holds.
	Partitions []uint32
	// Heard is when the counter last grew here.
	Heard time.Time
}

// Table holds the members known to one instance. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	self    Member
	members map[string]*Member
	hinted  map[string]roster.Entry
}

// New returns a table that knows only this instance.
func New(self Member) *Table {
	return &Table{self: self, members: make(map[string]*Member), hinted: make(map[string]roster.Entry)}
}

// Self returns this instance.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Leave marks this instance as leaving.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Leaving = true
}

// Hold records the partitions that this instance holds.
func (t *Table) Hold(partitions []uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Partitions = partitions
}

// Beat advances this instance's counter and returns its message.
func (t *Table) Beat() *wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Counter++
	return encode(t.self)
}

// Hint records the platform's list.
func (t *Table) Hint(list []roster.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hinted = make(map[string]roster.Entry, len(list))
	for _, e := range list {
		if e.Address != t.self.Address {
			t.hinted[e.Address] = e
		}
	}
}

// Merge takes in what a peer said of a member. A direct word is one of the member itself.
func (t *Table) Merge(now time.Time, w *wire.Member, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w == nil || w.Address == "" || w.Address == t.self.Address {
		return
	}
	m, ok := t.members[w.Address]
	if ok && !direct && !newer(m, w) {
		return
	}
	if ok && direct && m.Incarnation == w.Incarnation && w.Counter < m.Counter {
		return
	}
	t.members[w.Address] = &Member{
		Address:     w.Address,
		Zone:        w.Zone,
		Incarnation: w.Incarnation,
		Counter:     w.Counter,
		Leaving:     w.Leaving,
		Partitions:  w.Partitions,
		Heard:       now,
	}
}

// newer tells whether a word of a third instance goes beyond what is known.
func newer(m *Member, w *wire.Member) bool {
	if w.Incarnation != m.Incarnation {
		return w.Incarnation > m.Incarnation
	}
	return w.Counter > m.Counter
}

// Live returns the members heard of lately, this instance included, in order of address.
func (t *Table) Live(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := []Member{t.self}
	for address, m := range t.members {
		silent := now.Sub(m.Heard)
		if silent <= Suspect {
			live = append(live, *m)
		}
		if _, listed := t.hinted[address]; silent > forget && !listed {
			delete(t.members, address)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Address < live[j].Address })
	return live
}

// Holder returns the address of the live member that was last heard to hold a partition, or "".
func (t *Table) Holder(now time.Time, partition uint32) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := ""
	var latest time.Time
	for _, m := range t.members {
		if now.Sub(m.Heard) > Suspect || !m.Heard.After(latest) {
			continue
		}
		for _, p := range m.Partitions {
			if p == partition {
				address = m.Address
				latest = m.Heard
			}
		}
	}
	return address
}

// Size returns how many instances there may be: those heard of lately and those listed as live.
func (t *Table) Size(now time.Time) int {
	live := t.Live(now)
	known := make(map[string]bool, len(live))
	for _, m := range live {
		known[m.Address] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, e := range t.hinted {
		if e.State == roster.Live {
			known[address] = true
		}
	}
	return len(known)
}

// Targets draws the addresses for one heartbeat from members and list.
func (t *Table) Targets(now time.Time, random *rand.Rand) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []string
	for address, m := range t.members {
		if now.Sub(m.Heard) <= Suspect {
			all = append(all, address)
		}
	}
	for address := range t.hinted {
		if m, ok := t.members[address]; !ok || now.Sub(m.Heard) > Suspect {
			all = append(all, address)
		}
	}
	sort.Strings(all)
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(FanOut, len(all))]
}

// Sample draws members to tell a peer of, those heard of lately first.
func (t *Table) Sample(now time.Time, random *rand.Rand) []*wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	recent := make([]*Member, 0, len(t.members))
	for _, m := range t.members {
		if now.Sub(m.Heard) <= Suspect {
			recent = append(recent, m)
		}
	}
	sort.Slice(recent, func(i, j int) bool { return recent[i].Address < recent[j].Address })
	random.Shuffle(len(recent), func(i, j int) { recent[i], recent[j] = recent[j], recent[i] })
	slices.SortStableFunc(recent, func(a, b *Member) int { return cmp.Compare(stale(now, a), stale(now, b)) })
	recent = recent[:min(sampleSize, len(recent))]
	sample := make([]*wire.Member, 0, len(recent))
	for _, m := range recent {
		sample = append(sample, encode(*m))
	}
	return sample
}

// stale is 0 for a member heard of lately and 1 for another.
func stale(now time.Time, m *Member) int {
	if now.Sub(m.Heard) <= fresh {
		return 0
	}
	return 1
}

func encode(m Member) *wire.Member {
	return &wire.Member{
		Address:     m.Address,
		Zone:        m.Zone,
		Incarnation: m.Incarnation,
		Counter:     m.Counter,
		Leaving:     m.Leaving,
		Partitions:  m.Partitions,
	}
}
