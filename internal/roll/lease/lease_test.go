package lease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const turn = 3 * time.Second

func TestJudge(t *testing.T) {
	row := Row{Holder: "a", Token: 4, Renewed: 10000}
	for _, c := range []struct {
		name   string
		clock  time.Duration
		exists bool
		me     string
		want   Verdict
		wait   time.Duration
	}{
		{"no row", 0, false, "b", Take, 0},
		{"own", 10 * time.Second, true, "a", Take, 0},
		{"renewed now", 10 * time.Second, true, "b", Wait, Valid + turn + Margin},
		{"too early", 14 * time.Second, true, "b", Wait, Valid + turn + Margin - 4*time.Second},
		{"free", 10*time.Second + Valid + turn + Margin, true, "b", Take, 0},
	} {
		verdict, wait := Judge(c.clock, row, c.exists, c.me, turn)
		must.Eq(t, c.want, verdict, must.Sprint(c.name))
		must.Eq(t, c.wait, wait, must.Sprint(c.name))
	}
}

func TestTokensGrowWithTheHolder(t *testing.T) {
	row := Next(time.Second, Row{Holder: "a", Token: 4}, "b")
	must.Eq(t, Row{Holder: "b", Token: 5, Renewed: 1000}, row)
	must.Eq(t, 5, Next(2*time.Second, row, "b").Token)
}

// instance is a holder that renews, pauses and is cut from the store in virtual time.
type instance struct {
	name  string
	held  Held
	awake time.Duration
}

// Orders of two instances are never closer than a turn, and their tokens never fall, whatever pauses and lost writes come.
func TestOrdersOfTwoHoldersKeepTheirDistance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var row Row
		version := int64(0)
		all := []*instance{{name: "a"}, {name: "b"}, {name: "c"}}
		type order struct {
			by    string
			at    time.Duration
			token int64
		}
		var last order
		for now := time.Second; now < 60*time.Second; now += 100 * time.Millisecond {
			in := all[rapid.IntRange(0, 2).Draw(t, "who")]
			if now < in.awake {
				continue
			}
			if rapid.IntRange(0, 20).Draw(t, "pause") == 0 {
				in.awake = now + time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks"))*100*time.Millisecond
				continue
			}
			lost := rapid.IntRange(0, 5).Draw(t, "lost") == 0
			if !in.held.Holds(now) || now-in.held.Sent >= Renew {
				if verdict, _ := Judge(now, row, version > 0, in.name, turn); verdict == Take {
					next := Next(now, row, in.name)
					row, version = next, version+1
					if !lost {
						in.held = Held{Token: next.Token, Sent: now, Version: version, Row: next}
					}
				}
			}
			if !in.held.Holds(now) {
				continue
			}
			if last.by != "" && last.by != in.name {
				must.GreaterEq(t, turn, now-last.at)
				must.Greater(t, last.token, in.held.Token)
			}
			last = order{in.name, now, in.held.Token}
		}
	})
}
