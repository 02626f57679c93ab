package leader

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const leaseTerm = 3 * time.Second

func TestDecide(t *testing.T) {
	row := Row{Holder: "a", Token: 4, Renewed: 10000}
	for _, c := range []struct {
		name   string
		clock  time.Duration
		exists bool
		self   string
		want   Decision
		wait   time.Duration
	}{
		{"no row", 0, false, "b", Acquire, 0},
		{"own", 10 * time.Second, true, "a", Acquire, 0},
		{"renewed now", 10 * time.Second, true, "b", Wait, Validity + leaseTerm + Margin},
		{"too early", 14 * time.Second, true, "b", Wait, Validity + leaseTerm + Margin - 4*time.Second},
		{"free", 10*time.Second + Validity + leaseTerm + Margin, true, "b", Acquire, 0},
	} {
		decision, wait := Decide(c.clock, row, c.exists, c.self, leaseTerm)
		must.Eq(t, c.want, decision, must.Sprint(c.name))
		must.Eq(t, c.wait, wait, must.Sprint(c.name))
	}
}

func TestTokenGrowsWithHolder(t *testing.T) {
	row := Acquisition(time.Second, Row{Holder: "a", Token: 4}, "b", 0)
	must.Eq(t, Row{Holder: "b", Token: 5, Renewed: 1000}, row)
	must.Eq(t, Row{Holder: "b", Token: 5, Renewed: 2000}, Renewal(2*time.Second, row))
	must.Eq(t, 90, Acquisition(time.Second, row, "a", 90).Token)
}

func TestAfterRestore(t *testing.T) {
	const restored = time.Minute
	for _, c := range []struct {
		name                         string
		now, restoredAt, lastRenewal time.Duration
		want                         time.Duration
	}{
		{"never restored", restored, 0, 0, 0},
		{"never held", restored, restored, 0, Validity + leaseTerm + Margin},
		{"later", restored + time.Second, restored, 0, Validity + leaseTerm + Margin - time.Second},
		{"over", restored + 10*time.Second, restored, 0, 0},
		{"held until now", restored, restored, restored - 100*time.Millisecond, 0},
		{"held long ago", restored, restored, restored - Validity - leaseTerm, Validity + leaseTerm + Margin},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, AfterRestore(c.now, c.restoredAt, c.lastRenewal, leaseTerm))
		})
	}
}

// instance is a candidate in virtual time that renews, pauses and loses the replies of the store.
type instance struct {
	name        string
	lease       Lease
	pausedUntil time.Duration
	// epoch and restoredAt are what it knows of the store's restores.
	epoch                   int64
	restoredAt, lastRenewal time.Duration
}

// observe handles the epoch of a response.
func (n *instance) observe(now time.Duration, epoch int64) {
	if epoch > n.epoch {
		n.epoch, n.restoredAt, n.lease = epoch, now, Lease{}
	}
}

// storeState is the lease's row and the store's latest version.
type storeState struct {
	row             Row
	version, latest int64
}

// Under random pauses, lost replies and restores of the store from older copies, the orders of two instances are at least a lease
// term apart and tokens grow.
func TestOrdersOfTwoHoldersAreALeaseTermApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store storeState
		epoch := int64(0)
		var copies []storeState
		instances := []*instance{{name: "a"}, {name: "b"}, {name: "c"}}
		type order struct {
			holder string
			at     time.Duration
			token  int64
		}
		var last order
		for now := time.Second; now < 60*time.Second; now += 100 * time.Millisecond {
			copies = append(copies, store)
			if rapid.IntRange(0, 60).Draw(t, "restore") == 0 {
				store = copies[max(0, len(copies)-1-rapid.IntRange(0, 80).Draw(t, "ticks old"))]
				epoch++
			}
			inst := instances[rapid.IntRange(0, 2).Draw(t, "who")]
			if now < inst.pausedUntil {
				continue
			}
			if rapid.IntRange(0, 20).Draw(t, "pause") == 0 {
				inst.pausedUntil = now + time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks"))*100*time.Millisecond
				continue
			}
			// Other rows are written too.
			store.latest += int64(rapid.IntRange(0, 2).Draw(t, "writes"))
			lost := rapid.IntRange(0, 5).Draw(t, "lost") == 0
			if !inst.lease.Valid(now) || now-inst.lease.Sent >= RenewInterval {
				inst.renewOrAcquire(now, &store, epoch, lost)
			}
			if !inst.lease.Valid(now) {
				continue
			}
			if last.holder != "" && last.holder != inst.name {
				must.GreaterEq(t, leaseTerm, now-last.at)
				must.Greater(t, last.token, inst.lease.Token)
			}
			last = order{inst.name, now, inst.lease.Token}
		}
	})
}

// renewOrAcquire does what the rollout does in one step: a conditional write of the known row, or a read and a write.
func (n *instance) renewOrAcquire(now time.Duration, store *storeState, epoch int64, lost bool) {
	next, version, writeEpoch := Renewal(now, n.lease.Row), n.lease.Version, n.lease.Epoch
	if n.lease.Token == 0 {
		n.observe(now, epoch)
		if AfterRestore(now, n.restoredAt, n.lastRenewal, leaseTerm) > 0 {
			return
		}
		if decision, _ := Decide(now, store.row, store.version > 0, n.name, leaseTerm); decision == Wait {
			return
		}
		next, version, writeEpoch = Acquisition(now, store.row, n.name, MinToken(epoch, store.latest)), store.version, epoch
	}
	if version != store.version {
		n.lease = Lease{}
		n.observe(now, epoch)
		return
	}
	store.latest++
	store.row, store.version = next, store.latest
	if lost {
		n.lease = Lease{}
		return
	}
	n.observe(now, epoch)
	if writeEpoch != epoch {
		n.lease = Lease{}
		return
	}
	n.lease = Lease{Token: next.Token, Sent: now, Epoch: epoch, Version: store.version, Row: next}
	n.lastRenewal = now
}
