package gossip

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/limit/quota"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/holder"
)

func packed(t testing.TB, m *Message, own *ownPart) []byte {
	t.Helper()
	var p packer
	compressed, err := p.compress(m)
	must.NoError(t, err)
	body, err := pack(own, compressed)
	must.NoError(t, err)
	return body
}

func TestUnpackSubtractsTheReceiversPart(t *testing.T) {
	m, err := unpack(packed(t, &Message{
		Address: "a", Rates: quota.Report{Used: map[string]float64{"w": 10, "v": 3}},
		Loads: map[string]fleet.Load{"e": {Running: 5, PendingTokens: 70}}, Crashes: map[string]int{"f": 2},
	}, &ownPart{
		Used: map[string]float64{"w": 4, "u": 1}, Loads: map[string]fleet.Load{"e": {Running: 2, PendingTokens: 20}}, Crashes: map[string]int{"f": 1},
	}))
	must.NoError(t, err)
	must.Eq(t, map[string]float64{"w": 6, "v": 3, "u": -1}, m.Rates.Used)
	must.Eq(t, map[string]fleet.Load{"e": {Running: 3, PendingTokens: 50}}, m.Loads)
	must.Eq(t, map[string]int{"f": 1}, m.Crashes)
}

// Builds before learned costs send no samples and no held tokens, and ignore those of others.
func TestLoadsOfEarlierBuilds(t *testing.T) {
	m, err := unpack([]byte(`{"l":{"e":{"r":2,"t":30}}}`))
	must.NoError(t, err)
	must.Eq(t, fleet.Load{Running: 2, PendingTokens: 30}, m.Loads["e"])
	sum := m.Loads["e"].Plus(fleet.Load{Running: 1, Held: 9000, Samples: 2, Pace: -5})
	must.Eq(t, fleet.Load{Running: 3, PendingTokens: 30, Held: 9000, Samples: 2, Pace: -5}, sum)
	must.Eq(t, m.Loads["e"], sum.Minus(fleet.Load{Running: 1, Held: 9000, Samples: 2, Pace: -5}))
	body, err := json.Marshal(m.Loads["e"])
	must.NoError(t, err)
	must.Eq(t, `{"r":2,"t":30}`, string(body))
}

func TestUnpackRejectsMalformedMessages(t *testing.T) {
	good := packed(t, &Message{Address: "a"}, &ownPart{})
	for name, body := range map[string][]byte{
		"empty": nil, "mark only": {packedMark}, "long part": {packedMark, 0xff, 0xff, 0x7f}, "cut": good[:len(good)/2],
		"part is no JSON":     {packedMark, 1, '['},
		"expands without end": packed(t, &Message{Address: strings.Repeat("a", 2*maxUnpackedBytes)}, &ownPart{}),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := unpack(body)
			must.Error(t, err)
		})
	}
}

// Instances of an earlier release get plain messages.
func TestMembersThatDoNotUnpackGetPlainMessages(t *testing.T) {
	s := newSimSite(4, 10)
	s.run(2 * time.Second)
	head, member := s.byAddress["10.0.0.11:7"], "10.0.0.12:7"
	head.peers[member].last.Unpacks = false
	head.send(false)
	plain, compressed := 0, 0
	for _, d := range s.inFlight {
		if d.to == member {
			must.Eq(t, '{', rune(d.packet[headerBytes]))
			plain++
		} else if d.packet[headerBytes] == packedMark {
			compressed++
		}
	}
	must.Eq(t, 1, plain)
	must.Eq(t, 8, compressed)
}

// In a burst of prompts, what was admitted and is in flight still reaches the members. Load pattern: nine times the usual prompts
// at 300 instances.
func TestTotalsFitInADatagramDuringABurst(t *testing.T) {
	total := &Message{Address: "a", Rates: quota.Report{Used: map[string]float64{}}, Loads: map[string]fleet.Load{}}
	for i := range 256 {
		total.Loads[fmt.Sprintf("i-%08x", i*2654435761)] = fleet.Load{Running: 40, PendingTokens: int64(9000 * i)}
	}
	for i := range 3000 {
		total.Uses = append(total.Uses, holder.Use{Holder: fmt.Sprintf("i-%08x", i*2654435761), Chain: []uint64{uint64(i) * 0x9e3779b97f4a7c15, uint64(i) * 0xbf58476d1ce4e5b9}})
	}
	limitUses(total)
	must.SliceLen(t, maxUses, total.Uses)
	must.Less(t, maxBodyBytes, len(packed(t, total, &ownPart{})))
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte(`{"n":"a"}`))
	f.Add(packed(f, &Message{Address: "a"}, &ownPart{Crashes: map[string]int{"f": 1}}))
	f.Fuzz(func(_ *testing.T, body []byte) {
		// Any result will do, as long as it returns.
		_, _ = unpack(body)
	})
}
