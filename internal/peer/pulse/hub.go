package pulse

import (
	"maps"
	"time"
)

const (
	// headSilence is how long a head may be unheard before the next one takes its place.
	headSilence = 900 * time.Millisecond
	// counted is how long an instance counts among those for which a message speaks.
	counted = time.Second
)

// headOf returns the head of a zone: the first in order that is not suspect. It is nil when that is this instance.
func (e *Exchange) headOf(zone string) *contact {
	var head *contact
	for _, c := range e.contacts {
		if c.Zone == zone && !c.suspect && (head == nil || c.before(head.Node)) {
			head = c
		}
	}
	if zone == e.Zone && (head == nil || e.Node.before(head.Node)) {
		return nil
	}
	return head
}

// await returns the head of a zone, passing over those that should have been heard and were not.
func (e *Exchange) await(now time.Duration, zone string) *contact {
	for {
		head := e.headOf(zone)
		if head == nil {
			return nil
		}
		if head.awaited == 0 {
			head.awaited = now
		}
		if now-max(head.awaited, head.at) <= headSilence {
			return head
		}
		if !e.others(zone, head) {
			// There is no better one; it may come back.
			return head
		}
		head.suspect = true
	}
}

// others tells whether a zone has another instance that is not suspect.
func (e *Exchange) others(zone string, head *contact) bool {
	if zone == e.Zone {
		return true
	}
	for _, c := range e.contacts {
		if c != head && c.Zone == zone && !c.suspect {
			return true
		}
	}
	// All are suspect: they are tried again from the first.
	for _, c := range e.contacts {
		if c.Zone == zone {
			c.suspect, c.awaited = false, 0
		}
	}
	return false
}

// hub returns what this instance sends in a large site. A member tells its head. A head tells the other heads what its
// zone does, and each member what all do but the member.
func (e *Exchange) hub(now time.Duration, m *Message) []letter {
	if head := e.await(now, e.Zone); head != nil {
		return []letter{{m, []*contact{head}}}
	}
	var members, heads []*contact
	for _, c := range e.contacts {
		if c.Zone == e.Zone {
			members = append(members, c)
		}
	}
	for zone := range e.zones() {
		if head := e.await(now, zone); zone != e.Zone && head != nil {
			heads = append(heads, head)
		}
	}
	zone := *m
	zone.Kind, zone.Heard = Zone, 1
	zone.Rates.Used = cloned(m.Rates.Used)
	zone.Loads = cloned(m.Loads)
	zone.Crashers = cloned(m.Crashers)
	for _, c := range members {
		e.merge(now, &zone, c, Own)
	}
	letters := []letter{{&zone, heads}}
	all := zone
	all.Kind = All
	all.Rates.Used = cloned(zone.Rates.Used)
	all.Loads = cloned(zone.Loads)
	all.Crashers = cloned(zone.Crashers)
	for _, c := range e.contacts {
		if c.Zone != e.Zone {
			e.merge(now, &all, c, Zone)
		}
	}
	for _, c := range members {
		if c.stamp != 0 && now-c.at <= silence || e.round%seldom == 0 {
			letters = append(letters, letter{without(now, &all, c), []*contact{c}})
		}
	}
	return letters
}

func (e *Exchange) zones() map[string]bool {
	zones := make(map[string]bool)
	for _, c := range e.contacts {
		zones[c.Zone] = true
	}
	return zones
}

// merge adds to a message what a contact told in a role.
func (e *Exchange) merge(now time.Duration, m *Message, c *contact, kind Kind) {
	if c.last == nil || c.last.Kind != kind {
		return
	}
	for workspace, units := range c.given {
		m.Rates.Used[workspace] += units
	}
	if now-c.at > counted {
		return
	}
	m.Heard += max(1, c.last.Heard)
	for id, l := range c.last.Loads {
		m.Loads[id] = m.Loads[id].Plus(l)
	}
	for fingerprint, n := range c.last.Crashers {
		m.Crashers[fingerprint] += n
	}
	if m.Duty == "" {
		m.Duty = c.last.Duty
	}
	if m.Kept == nil {
		m.Kept = c.last.Kept
	}
	if n := c.last.List; n != nil && (m.List == nil || n.Version > m.List.Version) {
		aged := *n
		aged.Age += int64(now - c.at)
		m.List = &aged
	}
	m.Switching = append(m.Switching, c.last.Switching...)
	m.Loaded = append(m.Loaded, c.last.Loaded...)
	if c.at > e.sent {
		m.Uses = append(m.Uses, c.last.Uses...)
	}
}

// without takes out of a message what its receiver told itself.
func without(now time.Duration, all *Message, c *contact) *Message {
	m := *all
	if c.last == nil || c.last.Kind != Own {
		return &m
	}
	m.Rates.Used = cloned(all.Rates.Used)
	for workspace, units := range c.given {
		m.Rates.Used[workspace] -= units
	}
	if now-c.at > counted {
		return &m
	}
	m.Loads = cloned(all.Loads)
	for id, l := range c.last.Loads {
		m.Loads[id] = m.Loads[id].Minus(l)
	}
	m.Crashers = cloned(all.Crashers)
	for fingerprint, n := range c.last.Crashers {
		m.Crashers[fingerprint] -= n
	}
	return &m
}

// cloned copies a map that may be nil.
func cloned[K comparable, V any](m map[K]V) map[K]V {
	out := make(map[K]V, len(m))
	maps.Copy(out, m)
	return out
}

// Cover returns for how many instances, this one included, what is known here is fresh, and how many there are. It is
// meant for large sites, where not all are heard; in small ones known is zero.
func (e *Exchange) Cover() (heard, known int) {
	now := e.Clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.large() {
		return 0, 0
	}
	heard = 1
	head := e.headOf(e.Zone)
	if head != nil {
		if head.last != nil && head.last.Kind == All && now-head.at <= counted {
			heard = head.last.Heard
		}
		return heard, len(e.contacts) + 1
	}
	for _, c := range e.contacts {
		if c.last == nil || now-c.at > counted {
			continue
		}
		if c.Zone == e.Zone && c.last.Kind == Own || c.Zone != e.Zone && c.last.Kind == Zone {
			heard += max(1, c.last.Heard)
		}
	}
	return heard, len(e.contacts) + 1
}
