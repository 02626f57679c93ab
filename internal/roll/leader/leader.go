// Package leader elects the instance that may send orders to engines. The lease is a row in the platform's store that its
// holder renews while a rollout is pending. Engines do not necessarily check fencing tokens, so the next holder also waits
// until no order of the previous one can still arrive.
package leader

import "time"

// Row is the lease as stored.
type Row struct {
	// Holder is the address of the instance.
	Holder string `json:"holder"`
	// Token is the fencing token, which grows with each change of holder.
	Token int64 `json:"token"`
	// Renewed is the holder's estimate of the store's clock at the last renewal, in milliseconds. It is not too early.
	Renewed int64 `json:"renewed"`
}

// OrdersEnd returns the time on the store's clock by which the last order of the holder has arrived.
func (r Row) OrdersEnd() time.Duration {
	return time.Duration(r.Renewed)*time.Millisecond + Validity + Margin
}

const (
	// Validity is how long after sending a renewal the holder may send orders. It covers three renewals.
	Validity = 900 * time.Millisecond
	// RenewInterval is the interval between renewals.
	RenewInterval = 300 * time.Millisecond
	// Margin covers an order's network delay and the error of the holder's estimate of the store's clock.
	Margin = 300 * time.Millisecond
)

// Decision is what an instance may do about the lease.
type Decision string

// The possible decisions.
const (
	// Acquire means that the lease is free or the instance's own, or that its holder may no longer send orders.
	Acquire Decision = "take"
	// Wait means that the instance must wait for the returned time.
	Wait Decision = "wait"
)

// Decide decides whether an instance may acquire the lease when the store's clock reads clock. The orders of two holders
// must be at least leaseTerm apart.
func Decide(clock time.Duration, row Row, exists bool, self string, leaseTerm time.Duration) (Decision, time.Duration) {
	if !exists || row.Holder == self {
		return Acquire, 0
	}
	freeAt := row.OrdersEnd() + leaseTerm
	if clock >= freeAt {
		return Acquire, 0
	}
	return Wait, freeAt - clock
}

// AfterRestore returns how long an instance must wait before it may acquire the lease of a store that was restored from a copy.
// The copy may lack the row of a later holder, which may have sent orders until its lease expired. Only an instance that renewed
// so recently that no other one can have acquired the lease since need not wait. Times are since boot: when the instance learned
// of the restore, and when it sent its last renewal; zero if there was none.
func AfterRestore(now, restoredAt, lastRenewal, leaseTerm time.Duration) time.Duration {
	if restoredAt == 0 || lastRenewal > 0 && restoredAt-lastRenewal < Validity+leaseTerm {
		return 0
	}
	return max(0, restoredAt+Validity+leaseTerm+Margin-now)
}

// epochTokens is the number of tokens of one epoch of the store.
const epochTokens = 1 << 32

// MinToken returns the smallest token of a holder that acquires the lease after it has read the store at a version of an epoch.
// Every acquisition writes a row and so increases the version or, after a restore, meets a later epoch. A token of a holder whose
// row the copy lacks is thus never given out again.
func MinToken(epoch, version int64) int64 { return epoch*epochTokens + version + 1 }

// Acquisition returns the row that an instance writes to acquire the lease.
func Acquisition(clock time.Duration, row Row, self string, minToken int64) Row {
	return Row{Holder: self, Token: max(row.Token+1, minToken), Renewed: clock.Milliseconds()}
}

// Renewal returns the row that the holder writes to renew the lease.
func Renewal(clock time.Duration, row Row) Row {
	return Row{Holder: row.Holder, Token: row.Token, Renewed: clock.Milliseconds()}
}

// Lease is the holder's state of the lease. Its times are since boot, including suspension.
type Lease struct {
	Token int64
	// Sent is when the last successful renewal was sent.
	Sent time.Duration
	// Epoch is the store's epoch, and Version the row's version after that renewal.
	Epoch   int64
	Version int64
	Row     Row
}

// Valid reports whether orders may be sent.
func (l *Lease) Valid(now time.Duration) bool {
	return l.Token > 0 && now-l.Sent < Validity
}
