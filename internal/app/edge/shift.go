package edge

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/skylarkquay/skylarkquay/internal/peer/gossip"
	"github.com/skylarkquay/skylarkquay/internal/roll/count"
	"github.com/skylarkquay/skylarkquay/internal/roll/shift"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

const (
	// maxShifts bounds the services of which a move to another build is known.
	maxShifts = 16
	// maxEarlier bounds the orders that are remembered after others replaced them.
	maxEarlier = 64
	// acknowledgeDelay is how long an instance sends by a step before it acknowledges it. A request that was placed before is reported
	// as in flight by then.
	acknowledgeDelay = 100 * time.Millisecond
	// countedPeerTTL is how long after its last message another instance is asked for an acknowledgement.
	countedPeerTTL = 2 * time.Second
	// unknownAge is the age of a record that was never known to be the store's.
	unknownAge = time.Duration(math.MaxInt64)
)

// move is what this instance knows of a service's move to another build.
type move struct {
	record shift.Record
	gate   shift.Gate
	// confirmed is when the record was known to be the store's, in time since boot; zero if it never was.
	confirmed time.Duration
	// appliedAt is since when this instance sends by the record.
	appliedAt time.Duration
	// row is the version of the record's row as this instance last read or wrote it; zero if there is none. Unsaved reports whether the
	// store has an earlier record.
	row     int64
	unsaved bool
	// status is what this instance last wrote or read as the operators' status, in a row of a version.
	status    string
	statusRow int64
}

func (m *move) age(boot time.Duration) time.Duration {
	if m.confirmed == 0 {
		return unknownAge
	}
	return boot - m.confirmed
}

// peerCounts is what another instance, or a head for several, reported last.
type peerCounts struct {
	kind        gossip.Kind
	zone        string
	incarnation int64
	reports     []count.Report
	// before are the counts of earlier starts of the instance.
	before []count.Report
	// at is a time before which nothing of the report happened, received when it arrived.
	at, received time.Duration
}

// shifts are the moves of services to other builds. It is safe for concurrent use.
type shifts struct {
	log     logr.Logger
	boot    func() time.Duration
	counter *count.Counter
	// active reports whether an order or a record is known.
	active atomic.Bool

	mu     sync.Mutex
	orders map[string]shift.Order
	// earlier are the orders that others replaced, the latest last. A store that comes back from a copy may hold one of them.
	earlier []shift.Order
	moves   map[string]*move
	peers   map[string]*peerCounts
}

func newShifts(log logr.Logger, boot func() time.Duration) *shifts {
	return &shifts{
		log: log, boot: boot, counter: count.NewCounter(), orders: make(map[string]shift.Order), moves: make(map[string]*move),
		peers: make(map[string]*peerCounts),
	}
}

// order records an order and reports whether it is new.
func (s *shifts) order(o shift.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.orders[o.Service]
	if ok && (o.Epoch < known.Epoch || o.Epoch == known.Epoch && o.Row <= known.Row) || !ok && len(s.orders) >= maxShifts {
		return false
	}
	if ok && s.isReplaced(o) {
		return false
	}
	if ok && (known.Row != o.Row || known.To != o.To) {
		s.earlier = append(s.earlier, known)
		s.earlier = s.earlier[max(0, len(s.earlier)-maxEarlier):]
	}
	s.orders[o.Service] = o
	s.active.Store(true)
	return true
}

// isReplaced reports whether a copy of the store holds an order that another one has replaced since. The caller holds the lock.
func (s *shifts) isReplaced(o shift.Order) bool {
	return slices.ContainsFunc(s.earlier, func(e shift.Order) bool {
		return e.Service == o.Service && e.To == o.To && e.Row == o.Row && e.Epoch < o.Epoch
	})
}

// newer reports whether a record replaces another one. A verdict is never taken back.
func newer(a, b shift.Record) bool {
	if a.Started != b.Started || a.To != b.To {
		return a.Started > b.Started
	}
	if ended, was := a.Phase != shift.Running, b.Phase != shift.Running; ended != was {
		return ended
	}
	return a.Step > b.Step || a.Step == b.Step && a.Token > b.Token
}

// adopt makes a record this instance's and returns the move, or nil if too many are known. The caller holds the lock.
func (s *shifts) adopt(boot time.Duration, r shift.Record, from string) *move {
	m, ok := s.moves[r.Service]
	if !ok {
		if len(s.moves) >= maxShifts {
			return nil
		}
		m = &move{}
		s.moves[r.Service] = m
		s.active.Store(true)
	}
	if ok && !newer(r, m.record) {
		return m
	}
	m.record, m.appliedAt, m.confirmed = r, boot, 0
	known := m.gate.Known(r)
	if known.Phase == shift.Running {
		s.counter.Begin(r.Service, r.To, r.Started)
	} else {
		s.counter.End(r.Service)
	}
	s.log.Info("shift: record known", "service", r.Service, "to", r.To, "phase", string(r.Phase), "stage", string(r.Stage), "step", r.Step,
		"share", r.Share, "spread", r.Spread, "token", r.Token, "reason", r.Reason, "in_force", string(known.Phase), "from", from)
	return m
}

// Builds implements serve.Shifts.
func (s *shifts) Builds(service string, seed uint64, begun *string, again bool) (place.Builds, *place.Builds) {
	if !s.active.Load() {
		return place.Builds{}, nil
	}
	boot := s.boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ordered := s.orders[service]
	m, ok := s.moves[service]
	switch {
	case !ok && !ordered:
		return place.Builds{}, nil
	case !ok:
		// The record may say anything.
		return place.Builds{Never: []string{o.To}}, nil
	}
	r, age := m.gate.Known(m.record), m.age(boot)
	if ordered && o.To != r.To && (o.Epoch > r.Epoch || o.Epoch == r.Epoch && o.Row > r.Row) && !slices.Contains(r.Old, o.To) {
		// The record of the newer order isn't known yet.
		r.Drop = append(slices.Clip(r.Drop), o.To)
	}
	return sides(r, m.gate.Side(boot, m.record, age, seed), age, begun, again)
}

// sides returns the builds that may run a request by a record that is in force.
func sides(r shift.Record, side shift.Side, age time.Duration, begun *string, again bool) (place.Builds, *place.Builds) {
	old := place.Builds{Never: append(slices.Clip(r.Drop), r.To)}
	switch {
	case side == shift.Any:
		return place.Builds{}, nil
	case r.Phase == shift.Completed:
		// Builds that came later without an order may serve.
		return place.Builds{Never: append(slices.Clip(r.Drop), r.Old...)}, nil
	case r.Phase == shift.RolledBack:
		return old, nil
	}
	trial := r.Stage != shift.Full && r.Stage != shift.Alone
	fresh := place.Builds{Only: r.To, Most: r.Spread, Never: r.Drop}
	switch {
	case begun != nil && *begun == r.To && r.Share > 0 && age <= shift.Fresh:
		// The stream began there.
		return place.Builds{Only: r.To}, nil
	case trial && again, side == shift.Old:
		return old, nil
	case trial && begun != nil:
		return old, nil
	case trial:
		return fresh, &old
	default:
		return fresh, nil
	}
}

// Sent implements serve.Shifts.
func (s *shifts) Sent(service, build string) {
	if s.active.Load() {
		s.counter.Sent(service, build)
	}
}

// Answered implements serve.Shifts.
func (s *shifts) Answered(service, build, route string, took time.Duration, slow bool) {
	if s.active.Load() {
		s.counter.Answered(service, build, route, took, slow)
	}
}

// Failed implements serve.Shifts.
func (s *shifts) Failed(service, build, route string) {
	if s.active.Load() {
		s.counter.Failed(service, build, route)
	}
}

// report adds the records and counts to a message.
func (s *shifts) report(boot time.Duration, m *gossip.Message) {
	if !s.active.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(s.moves)) {
		mv := s.moves[service]
		age := int64(-1)
		if mv.confirmed > 0 {
			age = int64(mv.age(boot))
		}
		r := mv.gate.Known(mv.record)
		r.OldBase, r.NewBase = nil, nil
		m.Shifts = append(m.Shifts, gossip.Shift{Record: r, Age: age})
	}
	m.Counts = s.ownReports(boot)
}

// ownReports returns what this instance counted and acknowledges. The caller holds the lock.
func (s *shifts) ownReports(boot time.Duration) []count.Report {
	reports := s.counter.Reports()
	for i := range reports {
		mv := s.moves[reports[i].Service]
		if mv == nil || mv.record.Started != reports[i].Started {
			continue
		}
		if boot-mv.appliedAt >= acknowledgeDelay && mv.record.Acknowledges(mv.age(boot)) {
			reports[i].Step, reports[i].Acked = mv.record.Step, 1
		}
	}
	return reports
}

// merge applies another instance's message. Nothing in it happened before sentAfter, if that is known.
func (s *shifts) merge(boot, sentAfter time.Duration, known bool, m *gossip.Message) {
	if !s.active.Load() && len(m.Shifts) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, news := range m.Shifts[:min(len(m.Shifts), maxShifts)] {
		if !validRecord(news.Record) {
			s.log.Info("shift: invalid record", "service", news.Record.Service, "phase", string(news.Record.Phase), "from", m.Address)
			continue
		}
		mv := s.adopt(boot, news.Record, m.Address)
		if mv != nil && known && news.Age >= 0 && isSame(mv.record, news.Record) {
			mv.confirmed = max(mv.confirmed, sentAfter-time.Duration(news.Age))
		}
	}
	s.mergeCounts(boot, sentAfter, known, m)
}

// isSame reports whether two records are the same one.
func isSame(a, b shift.Record) bool {
	return a.Started == b.Started && a.To == b.To && a.Step == b.Step && a.Token == b.Token && a.Phase == b.Phase
}

const maxServiceBytes = 200

// validRecord reports whether a record names a service and a phase.
func validRecord(r shift.Record) bool {
	known := r.Phase == shift.Running || r.Phase == shift.Completed || r.Phase == shift.RolledBack
	return known && r.Service != "" && len(r.Service) <= maxServiceBytes && r.To != "" && r.Started >= 0
}

// mergeCounts records what another instance counted. The caller holds the lock.
func (s *shifts) mergeCounts(boot, sentAfter time.Duration, known bool, m *gossip.Message) {
	key := m.Address
	switch m.Kind {
	case gossip.KindZone:
		key = "zone " + m.Zone
	case gossip.KindAll:
		key = "all"
	}
	p, ok := s.peers[key]
	if !ok {
		p = &peerCounts{kind: m.Kind, zone: m.Zone, incarnation: m.Incarnation}
		s.peers[key] = p
	}
	if m.Kind == gossip.KindOwn && p.incarnation != m.Incarnation {
		p.before = count.Add(p.before, p.reports, false)
	}
	p.incarnation, p.reports, p.received, p.at = m.Incarnation, m.Counts, boot, 0
	if known {
		p.at = sentAfter
	}
}

// counted returns what all instances have counted of a service's move, and how many others are live. Those of a large site are
// counted by the exchange, and acknowledgements in messages of heads stand for headAge.
func (s *shifts) counted(boot, headAge time.Duration, service string) (total count.Report, live int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if all, ok := s.peers["all"]; ok && boot-all.received < countedPeerTTL {
		return pick(all.current(boot, headAge), service), 0
	}
	sum := s.ownReports(boot)
	for key, p := range s.peers {
		if _, summed := s.peers["zone "+p.zone]; key == "all" || summed && p.kind == gossip.KindOwn {
			// A head has added the counts to its zone's.
			continue
		}
		if p.kind == gossip.KindOwn && boot-p.received < countedPeerTTL {
			live++
		}
		sum = count.Add(sum, p.current(boot, headAge), true)
	}
	return pick(sum, service), live
}

// current returns the reports with the acknowledgements that are recent enough.
func (p *peerCounts) current(boot, headAge time.Duration) []count.Report {
	limit := shift.AckAge
	if p.kind != gossip.KindOwn {
		limit = headAge
	}
	return count.Add(slices.Clip(p.before), p.reports, p.at > 0 && boot-p.at <= limit)
}

func pick(reports []count.Report, service string) count.Report {
	for _, r := range reports {
		if r.Service == service {
			return r
		}
	}
	return count.Report{Service: service}
}
