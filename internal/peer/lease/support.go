package lease

import (
	"context"
	"slices"
	"time"
)

// Support answers an incarnation that asks for support, with the votes that it gets.
func (k *Keeper) Support(now time.Time, incarnation string) []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if until, ok := k.votes.withdrawn[incarnation]; ok && now.Before(until) {
		return nil
	}
	delete(k.votes.withdrawn, incarnation)
	k.votes.heard[incarnation] = now
	return k.voting(now)
}

// Supported records votes that were given to a question sent at a time, and extends the leases that are still good.
func (k *Keeper) Supported(now, sent time.Time, votes []int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range votes {
		if sent.After(k.votes.supported[p]) {
			k.votes.supported[p] = sent
		}
	}
	until := k.votes.until(now, k.voting(now))
	for p, h := range k.held {
		if now.Before(h.Good) && until.After(h.Good) {
			h.Good = until
			k.held[p] = h
		}
	}
}

// Withdraw promises not to support an incarnation for a while, unless it was heard lately, and returns the votes that count.
func (k *Keeper) Withdraw(now time.Time, incarnation string) []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if incarnation == k.incarnation || now.Sub(k.votes.heard[incarnation]) < SupportFor(k.partitions)/2 {
		return nil
	}
	k.votes.withdrawn[incarnation] = now.Add(PromiseFor(k.partitions))
	return k.voting(now)
}

// Doubting tells whether this instance waits for the support of a doubted holder to lapse.
func (k *Keeper) Doubting() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.votes.doubts) > 0
}

// collect asks for the withdrawal of support from the holders that this instance doubts.
func (k *Keeper) collect(ctx context.Context, clock func() time.Time, rows []Row) {
	for _, holder := range k.openDoubts(rows) {
		begun := clock()
		withdrawn := make(map[int]bool)
		for _, p := range k.peers.Withdraw(ctx, holder) {
			withdrawn[p] = true
		}
		for _, p := range k.Withdraw(clock(), holder) {
			withdrawn[p] = true
		}
		k.settleDoubts(holder, begun, clock(), len(withdrawn))
	}
}

// openDoubts drops the doubts whose rows have changed and returns the holders of those that lack withdrawals.
func (k *Keeper) openDoubts(rows []Row) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var open []string
	for p, d := range k.votes.doubts {
		if rows[p].Rev != d.rev {
			delete(k.votes.doubts, p)
			continue
		}
		if d.complete.IsZero() && !slices.Contains(open, d.holder) {
			open = append(open, d.holder)
		}
	}
	return open
}

func (k *Keeper) settleDoubts(holder string, begun, ended time.Time, withdrawn int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.votes.enough(withdrawn) {
		return
	}
	for p, d := range k.votes.doubts {
		if d.holder == holder && d.complete.IsZero() {
			d.first = begun
			d.complete = ended
			k.votes.doubts[p] = d
		}
	}
}

// suspect writes a doubt into a row. When the answer is lost the doubt is not acted upon.
func (k *Keeper) suspect(ctx context.Context, clock func() time.Time, row Row) {
	next := row
	next.Doubt = &Doubt{By: k.incarnation, At: clock().Round(0).UTC()}
	if err := k.put(ctx, row.Rev, next); err != nil {
		return
	}
	k.log.Info("lease: holder is silent; asking for its support to be withdrawn", "partition", row.Partition, "address", row.Address)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.votes.doubts[row.Partition] = doubt{rev: row.Rev + 1, holder: row.Incarnation}
}
