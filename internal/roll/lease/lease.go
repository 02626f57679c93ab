// Package lease elects the instance that may send orders to engines. The lease is a row in the platform's store that its
// holder renews while a rollout is pending. Engines do not necessarily check fencing tokens, so the next holder also waits
// until no order of the previous one can still arrive.
package lease

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
	// Valid is how long after sending a renewal the holder may send orders. It covers three renewals.
	Valid = 900 * time.Millisecond
	// Renew is the interval between renewals.
	Renew = 300 * time.Millisecond
	// Margin covers an order's network delay and the error of the holder's estimate of the store's clock.
	Margin = 300 * time.Millisecond
)

// Verdict is what an instance may do about the lease.
type Verdict string

// The verdicts.
const (
	// Take means that the lease is free, the instance's own, or that its holder may no longer send orders.
	Take Verdict = "take"
	// Wait means that the instance must wait for the returned time.
	Wait Verdict = "wait"
)

// Judge decides whether an instance may acquire the lease when the store's clock reads clock. The orders of two holders
// must be at least leaseTerm apart.
func Judge(clock time.Duration, row Row, exists bool, self string, leaseTerm time.Duration) (Verdict, time.Duration) {
	if !exists || row.Holder == self {
		return Take, 0
	}
	freeAt := time.Duration(row.Renewed)*time.Millisecond + Valid + leaseTerm + Margin
	if clock >= freeAt {
		return Take, 0
	}
	return Wait, freeAt - clock
}

// Next returns the row that an instance writes to acquire or renew the lease.
func Next(clock time.Duration, row Row, self string) Row {
	token := row.Token
	if row.Holder != self {
		token++
	}
	return Row{Holder: self, Token: token, Renewed: clock.Milliseconds()}
}

// Held is the holder's state of the lease. Its times are of a clock that keeps running while the machine is suspended.
type Held struct {
	Token int64
	// Sent is when the last successful renewal was sent.
	Sent time.Duration
	// Version is the row's version after that renewal.
	Version int64
	Row     Row
}

// Holds reports whether orders may be sent.
func (h *Held) Holds(now time.Duration) bool {
	return h.Token > 0 && now-h.Sent < Valid
}
