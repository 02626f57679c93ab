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
	// Renewed is the holder's estimate of the store's clock at the last renewal, in milliseconds.
	Renewed int64 `json:"renewed"`
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
	freeAt := time.Duration(row.Renewed)*time.Millisecond + Validity + leaseTerm + Margin
	if clock >= freeAt {
		return Acquire, 0
	}
	return Wait, freeAt - clock
}

// NextRow returns the row that an instance writes to acquire or renew the lease.
func NextRow(clock time.Duration, row Row, self string) Row {
	token := row.Token
	if row.Holder != self {
		token++
	}
	return Row{Holder: self, Token: token, Renewed: clock.Milliseconds()}
}

// Lease is the holder's state of the lease. Its times are since boot, including suspension.
type Lease struct {
	Token int64
	// Sent is when the last successful renewal was sent.
	Sent time.Duration
	// Version is the row's version after that renewal.
	Version int64
	Row     Row
}

// Valid reports whether orders may be sent.
func (l *Lease) Valid(now time.Duration) bool {
	return l.Token > 0 && now-l.Sent < Validity
}
