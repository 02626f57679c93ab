package lease

import (
	"context"
	"slices"
	"time"
)

// GrantSupport returns this instance's votes for an incarnation that requests support, or none while they are withdrawn.
func (m *Manager) GrantSupport(now time.Time, incarnation string) []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until, ok := m.votes.withdrawnUntil[incarnation]; ok && now.Before(until) {
		return nil
	}
	delete(m.votes.withdrawnUntil, incarnation)
	m.votes.grantedAt[incarnation] = now
	return m.votingPartitions(now)
}

// RecordSupport records the votes received in response to a request, and extends the leases that are still supported. Sent is
// when the request was sent.
func (m *Manager) RecordSupport(now, sent time.Time, votes []int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range votes {
		if sent.After(m.votes.supportedAt[p]) {
			m.votes.supportedAt[p] = sent
		}
	}
	until := m.votes.supportedUntil(now, m.votingPartitions(now))
	for p, h := range m.held {
		if now.Before(h.SupportedUntil) && until.After(h.SupportedUntil) {
			h.SupportedUntil = until
			m.held[p] = h
		}
	}
}

// WithdrawSupport stops supporting an incarnation for WithdrawalDuration and returns this instance's votes. It does nothing
// and returns none if the incarnation is its own or was granted support within the last half of SupportDuration.
func (m *Manager) WithdrawSupport(now time.Time, incarnation string) []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if incarnation == m.incarnation || now.Sub(m.votes.grantedAt[incarnation]) < SupportDuration(m.partitions)/2 {
		return nil
	}
	m.votes.withdrawnUntil[incarnation] = now.Add(WithdrawalDuration(m.partitions))
	return m.votingPartitions(now)
}

// HasSuspicions reports whether this instance is waiting for the support of a suspected holder to expire.
func (m *Manager) HasSuspicions() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.votes.suspicions) > 0
}

// collectWithdrawals requests that all instances withdraw their support of the holders that this one suspects.
func (m *Manager) collectWithdrawals(ctx context.Context, clock func() time.Time, rows []Row) {
	for _, holder := range m.openSuspicions(rows) {
		startedAt := clock()
		withdrawn := make(map[int]bool)
		for _, p := range m.peers.Withdraw(ctx, holder) {
			withdrawn[p] = true
		}
		for _, p := range m.WithdrawSupport(clock(), holder) {
			withdrawn[p] = true
		}
		m.recordMajority(holder, startedAt, clock(), len(withdrawn))
	}
}

// openSuspicions drops the suspicions whose rows have changed and returns the holders that still lack a majority of
// withdrawals.
func (m *Manager) openSuspicions(rows []Row) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var open []string
	for p, s := range m.votes.suspicions {
		if rows[p].Rev != s.rev {
			delete(m.votes.suspicions, p)
			continue
		}
		if s.majorityAt.IsZero() && !slices.Contains(open, s.holder) {
			open = append(open, s.holder)
		}
	}
	return open
}

// recordMajority records when a majority of votes had withdrawn their support of a holder, if it has.
func (m *Manager) recordMajority(holder string, startedAt, endedAt time.Time, withdrawn int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.votes.isMajority(withdrawn) {
		return
	}
	for p, s := range m.votes.suspicions {
		if s.holder == holder && s.majorityAt.IsZero() {
			s.withdrawalsFrom = startedAt
			s.majorityAt = endedAt
			m.votes.suspicions[p] = s
		}
	}
}

// suspect writes a suspicion into a row. If the response is lost, this instance does not act on the suspicion.
func (m *Manager) suspect(ctx context.Context, clock func() time.Time, row Row) {
	next := row
	next.Suspicion = &Suspicion{By: m.incarnation, At: clock().Round(0).UTC()}
	if err := m.put(ctx, row.Rev, next); err != nil {
		return
	}
	m.log.Info("lease: holder does not answer; requesting withdrawal of its support", "partition", row.Partition, "address", row.Address)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.votes.suspicions[row.Partition] = suspicionState{rev: row.Rev + 1, holder: row.Incarnation}
}
