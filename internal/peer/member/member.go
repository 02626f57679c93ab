// Package member tracks the other entry instances by their heartbeats, with the platform's list as a hint.
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
	// SuspectTimeout is the idle time after which an instance is sent no requests. It does not prove that the instance has ended.
	SuspectTimeout = 20 * time.Second
	// dropTimeout is the idle time after which an unlisted instance is dropped.
	dropTimeout = 5 * time.Minute
	// FanOut is the number of peers that each heartbeat is sent to.
	FanOut = 3
	// sampleSize is the number of members that each heartbeat reports.
	sampleSize = 8
	// recentAge is the idle time up to which a member is reported first.
	recentAge = 3 * time.Second
)

// Member is one entry instance.
type Member struct {
	// Address is the peer address, HOST:PORT.
	Address string
	// Zone is the availability zone.
	Zone string
	// Incarnation is unique to one run of the process and sorts by start time.
	Incarnation string
	// Counter increases with each heartbeat of the incarnation.
	Counter uint64
	// Leaving reports whether the instance has stopped accepting work.
	Leaving bool
	// Partitions are the limit partitions that the instance holds.
	Partitions []uint32
	// LastSeen is when Merge last accepted a report on the member.
	LastSeen time.Time
}

// Table holds the members known to one instance. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	self    Member
	members map[string]*Member
	listed  map[string]roster.Entry
}

// New returns a table that holds only this instance.
func New(self Member) *Table {
	return &Table{self: self, members: make(map[string]*Member), listed: make(map[string]roster.Entry)}
}

// Self returns this instance.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// SetLeaving marks this instance as leaving.
func (t *Table) SetLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Leaving = true
}

// SetPartitions sets the partitions that this instance holds.
func (t *Table) SetPartitions(partitions []uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Partitions = partitions
}

// Heartbeat increments this instance's counter and returns its heartbeat.
func (t *Table) Heartbeat() *wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Counter++
	return encode(t.self)
}

// SetList replaces the platform's list, from which heartbeat targets are also drawn.
func (t *Table) SetList(list []roster.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = make(map[string]roster.Entry, len(list))
	for _, e := range list {
		if e.Address != t.self.Address {
			t.listed[e.Address] = e
		}
	}
}

// Merge applies a report on a member, unless it is older than the known state. Direct reports whether the member itself sent
// it.
func (t *Table) Merge(now time.Time, w *wire.Member, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w == nil || w.Address == "" || w.Address == t.self.Address {
		return
	}
	m, ok := t.members[w.Address]
	if ok && !direct && !isNewer(m, w) {
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
		LastSeen:    now,
	}
}

// isNewer reports whether a relayed report is newer than the known state.
func isNewer(m *Member, w *wire.Member) bool {
	if w.Incarnation != m.Incarnation {
		return w.Incarnation > m.Incarnation
	}
	return w.Counter > m.Counter
}

// Live returns the members that are not suspect, this instance included, sorted by address. It also drops unlisted members
// that have been idle for more than dropTimeout.
func (t *Table) Live(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := []Member{t.self}
	for address, m := range t.members {
		idle := now.Sub(m.LastSeen)
		if idle <= SuspectTimeout {
			live = append(live, *m)
		}
		if _, isListed := t.listed[address]; idle > dropTimeout && !isListed {
			delete(t.members, address)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Address < live[j].Address })
	return live
}

// Holder returns the address of the most recently seen live member that holds a partition, or "".
func (t *Table) Holder(now time.Time, partition uint32) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := ""
	var latest time.Time
	for _, m := range t.members {
		if now.Sub(m.LastSeen) > SuspectTimeout || !m.LastSeen.After(latest) {
			continue
		}
		for _, p := range m.Partitions {
			if p == partition {
				address = m.Address
				latest = m.LastSeen
			}
		}
	}
	return address
}

// Size returns how many instances there may be: the live members and those that the platform lists as live.
func (t *Table) Size(now time.Time) int {
	live := t.Live(now)
	known := make(map[string]bool, len(live))
	for _, m := range live {
		known[m.Address] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, e := range t.listed {
		if e.State == roster.Live {
			known[address] = true
		}
	}
	return len(known)
}

// Targets draws the addresses for one heartbeat at random from the members and the list.
func (t *Table) Targets(now time.Time, random *rand.Rand) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []string
	for address, m := range t.members {
		if now.Sub(m.LastSeen) <= SuspectTimeout {
			all = append(all, address)
		}
	}
	for address := range t.listed {
		if m, ok := t.members[address]; !ok || now.Sub(m.LastSeen) > SuspectTimeout {
			all = append(all, address)
		}
	}
	sort.Strings(all)
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(FanOut, len(all))]
}

// Sample draws members to report to a peer, recently seen ones first.
func (t *Table) Sample(now time.Time, random *rand.Rand) []*wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	recent := make([]*Member, 0, len(t.members))
	for _, m := range t.members {
		if now.Sub(m.LastSeen) <= SuspectTimeout {
			recent = append(recent, m)
		}
	}
	sort.Slice(recent, func(i, j int) bool { return recent[i].Address < recent[j].Address })
	random.Shuffle(len(recent), func(i, j int) { recent[i], recent[j] = recent[j], recent[i] })
	slices.SortStableFunc(recent, func(a, b *Member) int { return cmp.Compare(recencyKey(now, a), recencyKey(now, b)) })
	recent = recent[:min(sampleSize, len(recent))]
	sample := make([]*wire.Member, 0, len(recent))
	for _, m := range recent {
		sample = append(sample, encode(*m))
	}
	return sample
}

// recencyKey is the sort key of a member: 0 when it was seen within recentAge, else 1.
func recencyKey(now time.Time, m *Member) int {
	if now.Sub(m.LastSeen) <= recentAge {
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
