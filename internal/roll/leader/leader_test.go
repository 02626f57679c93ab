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
	row := NextRow(time.Second, Row{Holder: "a", Token: 4}, "b")
	must.Eq(t, Row{Holder: "b", Token: 5, Renewed: 1000}, row)
	must.Eq(t, 5, NextRow(2*time.Second, row, "b").Token)
}

// instance is a candidate in virtual time that renews, pauses and loses the replies of the store.
type instance struct {
	name        string
	lease       Lease
	pausedUntil time.Duration
}

// Under random pauses and lost replies, the orders of two instances are at least a lease term apart and tokens grow.
func TestOrdersOfTwoHoldersAreALeaseTermApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var row Row
		version := int64(0)
		instances := []*instance{{name: "a"}, {name: "b"}, {name: "c"}}
		type order struct {
			holder string
			at     time.Duration
			token  int64
		}
		var last order
		for now := time.Second; now < 60*time.Second; now += 100 * time.Millisecond {
			inst := instances[rapid.IntRange(0, 2).Draw(t, "who")]
			if now < inst.pausedUntil {
				continue
			}
			if rapid.IntRange(0, 20).Draw(t, "pause") == 0 {
				inst.pausedUntil = now + time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks"))*100*time.Millisecond
				continue
			}
			lost := rapid.IntRange(0, 5).Draw(t, "lost") == 0
			if !inst.lease.Valid(now) || now-inst.lease.Sent >= RenewInterval {
				if decision, _ := Decide(now, row, version > 0, inst.name, leaseTerm); decision == Acquire {
					next := NextRow(now, row, inst.name)
					row, version = next, version+1
					if !lost {
						inst.lease = Lease{Token: next.Token, Sent: now, Version: version, Row: next}
					}
				}
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
