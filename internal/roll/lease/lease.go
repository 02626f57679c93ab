// Package lease decides who may order engines: one instance at a time, by a row in the platform's store that its holder
// renews while there is work. Engines may not check fencing tokens, so a successor also waits until no order of its
// predecessor can come any more.
package lease

import "time"

// Row is the lease as it lies in the store.
type Row struct {
	// Holder is the instance's address.
	Holder string `json:"holder"`
	// Token grows with each change of the holder.
	Token int64 `json:"token"`
	// Renewed is the store's clock at the last renewal in milliseconds, as the holder knew it.
	Renewed int64 `json:"renewed"`
}

const (
	// Valid is how long after a renewal was sent its holder may give orders. Three renewals fit into it.
	Valid = 900 * time.Millisecond
	// Renew is the pause between renewals.
	Renew = 300 * time.Millisecond
	// Margin covers an order's way and the error of the holder's idea of the store's clock.
	Margin = 300 * time.Millisecond
)

// Verdict is what may be done about a lease.
type Verdict string

// The verdicts.
const (
	// Take it: it is free, one's own, or its holder can give no orders any more.
	Take Verdict = "take"
	// Wait for the returned time.
	Wait Verdict = "wait"
)

// Judge decides whether an instance may take the lease at a time of the store's clock. Turn is how far apart the orders
// of two holders must be.
func Judge(clock time.Duration, row Row, exists bool, me string, turn time.Duration) (Verdict, time.Duration) {
	if !exists || row.Holder == me {
		return Take, 0
	}
	free := time.Duration(row.Renewed)*time.Millisecond + Valid + turn + Margin
	if clock >= free {
		return Take, 0
	}
	return Wait, free - clock
}

// Next returns the row that an instance writes to take or renew the lease.
func Next(clock time.Duration, row Row, me string) Row {
	token := row.Token
	if row.Holder != me {
		token++
	}
	return Row{Holder: me, Token: token, Renewed: clock.Milliseconds()}
}

// Held is the lease as its holder knows it, by the clock that counts suspensions.
type Held struct {
	Token int64
	// Sent is when the last successful renewal was sent.
	Sent time.Duration
	// Version is the row's version after it.
	Version int64
	Row     Row
}

// Holds tells whether orders may be given.
func (h *Held) Holds(now time.Duration) bool {
	return h.Token > 0 && now-h.Sent < Valid
}
