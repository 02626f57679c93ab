package lease

import (
	"context"
	"slices"
	"time"
)

// Support returns this instance's votes for an incarnation that requests support, none while they are withdrawn.
func (k *Keeper) Support(now time.Time, incarnation string) []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if until, ok := k.votes.withdrawnUntil[incarnation]; ok && now.Before(until) {
		return nil
	}
	delete(k.votes.withdrawnUntil, incarnation)
	k.votes.answeredAt[incarnation] = now
	return k.votingPartitions(now)
}

// Supported records the votes received for a request sent at a time, and extends the leases that are still supported.
func (k *Keeper) Supported(now, sent time.Time, votes []int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range votes {
		if sent.After(k.votes.supportedAt[p]) {
			k.votes.supportedAt[p] = sent
		}
	}
	until := k.votes.supportedUntil(now, k.votingPartitions(now))
	for p, h := range k.held {
		if now.Before(h.Good) && until.After(h.Good) {
			h.Good = until
			k.held[p] = h
		}
	}
}

// Withdraw stops supporting an incarnation for PromiseFor, unless it was answered within half of SupportFor. It returns this
// instance's votes, or none when it refuses.
func (k *Keeper) Withdraw(now time.Time, incarnation string) []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if incarnation == k.incarnation || now.Sub(k.votes.answeredAt[incarnation]) < SupportFor(k.partitions)/2 {
		return nil
	}
	k.votes.withdrawnUntil[incarnation] = now.Add(PromiseFor(k.partitions))
	return k.votingPartitions(now)
}

// Doubting reports whether this instance is waiting for the support of a suspected holder to expire.
func (k *Keeper) Doubting() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.votes.suspicions) > 0
}

// collectWithdrawals requests that all instances withdraw their support of the holders that this one suspects.
func (k *Keeper) collectWithdrawals(ctx context.Context, clock func() time.Time, rows []Row) {
	for _, holder := range k.openSuspicions(rows) {
		startedAt := clock()
		withdrawn := make(map[int]bool)
		for _, p := range k.peers.Withdraw(ctx, holder) {
			withdrawn[p] = true
		}
		for _, p := range k.Withdraw(clock(), holder) {
			withdrawn[p] = true
		}
		k.recordMajority(holder, startedAt, clock(), len(withdrawn))
	}
}

// openSuspicions drops the suspicions whose rows have changed and returns the holders that still lack a majority of
// withdrawals.
func (k *Keeper) openSuspicions(rows []Row) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var open []string
	for p, s := range k.votes.suspicions {
		if rows[p].Rev != s.rev {
			delete(k.votes.suspicions, p)
			continue
		}
		if s.majorityAt.IsZero() && !slices.Contains(open, s.holder) {
			open = append(open, s.holder)
		}
	}
	return open
}

func (k *Keeper) recordMajority(holder string, startedAt, endedAt time.Time, withdrawn int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.votes.isMajority(withdrawn) {
		return
	}
	for p, s := range k.votes.suspicions {
		if s.holder == holder && s.majorityAt.IsZero() {
			s.earliest = startedAt
			s.majorityAt = endedAt
			k.votes.suspicions[p] = s
		}
	}
}

// suspect writes a suspicion into a row. When the response is lost, this instance does not act on the suspicion.
func (k *Keeper) suspect(ctx context.Context, clock func() time.Time, row Row) {
	next := row
	next.Doubt = &Doubt{By: k.incarnation, At: clock().Round(0).UTC()}
	if err := k.put(ctx, row.Rev, next); err != nil {
		return
	}
	k.log.Info("lease: holder does not answer; requesting withdrawal of its support", "partition", row.Partition, "address", row.Address)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.votes.suspicions[row.Partition] = suspicionState{rev: row.Rev + 1, holder: row.Incarnation}
}
