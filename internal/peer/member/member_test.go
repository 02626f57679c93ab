package member

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/skylarkquay/skylarkquay/internal/conf/feed"
	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
	"github.com/skylarkquay/skylarkquay/internal/plat/roster"
)

var start = time.Unix(1_800_000_000, 0)

func TestNewIncarnationReplaces(t *testing.T) {
	table := New(Member{Address: "a"})
	table.Merge(start, &wire.Member{Address: "b", Incarnation: "2", Counter: 1}, true)
	table.Merge(start, &wire.Member{Address: "b", Incarnation: "1", Counter: 99}, false)
	must.Eq(t, "2", table.Live(start)[1].Incarnation)
	table.Merge(start, &wire.Member{Address: "b", Incarnation: "3", Counter: 1}, false)
	must.Eq(t, "3", table.Live(start)[1].Incarnation)
}

func TestOldWordKeepsNobodyAlive(t *testing.T) {
	table := New(Member{Address: "a"})
	old := &wire.Member{Address: "b", Incarnation: "1", Counter: 5}
	table.Merge(start, old, true)
	later := start.Add(Suspect + 1)
	table.Merge(later, old, false)
	must.SliceLen(t, 1, table.Live(later))
}

func TestHintsAreAskedAndCounted(t *testing.T) {
	table := New(Member{Address: "a"})
	table.Hint([]roster.Entry{{Address: "a", State: roster.Live}, {Address: "b", State: roster.Live}, {Address: "c", State: roster.Leaving}})
	must.Eq(t, 2, table.Size(start))
	must.SliceLen(t, 2, table.Targets(start, rand.New(rand.NewPCG(1, 1))))
}

// fleet is a set of instances that exchange heartbeats in virtual time.
type fleet struct {
	tables   []*Table
	index    map[string]int
	informed []bool
	random   *rand.Rand
	bytes    int
	messages int
}

func newFleet(n int) *fleet {
	f := &fleet{index: make(map[string]int), informed: make([]bool, n), random: rand.New(rand.NewPCG(1, uint64(n)))}
	var list []roster.Entry
	for i := range n {
		address := fmt.Sprintf("10.0.%d.%d:8081", i/256, i%256)
		f.index[address] = i
		list = append(list, roster.Entry{Address: address, Zone: "zone-1", State: roster.Live})
	}
	for i := range n {
		t := New(Member{Address: list[i].Address, Zone: "zone-1", Incarnation: fmt.Sprintf("%019d-ABCDEFGH", i), Partitions: []uint32{uint32(i)}})
		t.Hint(list)
		f.tables = append(f.tables, t)
	}
	return f
}

// round lets every instance send its heartbeats; what one knows the other knows after the exchange.
func (f *fleet) round(now time.Time) {
	before := append([]bool(nil), f.informed...)
	for i, t := range f.tables {
		request := &wire.BeatRequest{Self: t.Beat(), Members: t.Sample(now, f.random), Revision: 1_000_000, AgeMillis: 5000}
		for _, address := range t.Targets(now, f.random) {
			peer := f.tables[f.index[address]]
			reply := &wire.BeatReply{Self: peer.Beat(), Members: peer.Sample(now, f.random), Revision: 1_000_000, AgeMillis: 5000}
			f.exchange(now, t, peer, request, reply)
			known := before[i] || before[f.index[address]]
			f.informed[i] = f.informed[i] || known
			f.informed[f.index[address]] = f.informed[f.index[address]] || known
		}
	}
}

func (f *fleet) exchange(now time.Time, t, peer *Table, request *wire.BeatRequest, reply *wire.BeatReply) {
	f.messages++
	f.bytes += proto.Size(request) + proto.Size(reply)
	peer.Merge(now, request.Self, true)
	t.Merge(now, reply.Self, true)
	for _, m := range request.Members {
		peer.Merge(now, m, false)
	}
	for _, m := range reply.Members {
		t.Merge(now, m, false)
	}
}

const (
	// budget is the control traffic that a node may spend, in bytes per second.
	budget = 21_000
	// envelope is the size of the HTTP headers of a question and its answer, in bytes.
	envelope = 450
	// inForce is the time in which a change must be in force everywhere, in rounds of one second.
	inForce = 11
)

// TestHeartbeatBudget counts the messages and bytes of heartbeats at the letter's size, and the rounds until all know a change.
func TestHeartbeatBudget(t *testing.T) {
	for _, n := range []int{3, 19, 340} {
		f := newFleet(n)
		now := start
		for range 20 {
			now = now.Add(time.Second)
			f.round(now)
		}
		f.bytes, f.messages = 0, 0
		f.informed[0] = true
		rounds := 0
		for known := 1; known < n; rounds++ {
			now = now.Add(time.Second)
			f.round(now)
			known = 0
			for _, ok := range f.informed {
				if ok {
					known++
				}
			}
		}
		// Each message is sent by one node and received by another.
		perNode := 2 * (f.bytes + f.messages*envelope) / n / rounds
		t.Logf("%d nodes: all know after %d rounds; %d bytes a second for each node", n, rounds, perNode)
		must.LessEq(t, inForce, rounds)
		must.LessEq(t, budget, perNode)
		for _, table := range f.tables {
			must.Greater(t, n*9/10-1, len(table.Live(now)))
		}
	}
}

// BenchmarkCapacityBeat measures one heartbeat that is built and one that is taken in.
func BenchmarkCapacityBeat(b *testing.B) {
	for _, n := range []int{19, 100, 340} {
		b.Run(fmt.Sprintf("members/n=%d", n), func(b *testing.B) {
			before := heapBytes()
			f := newFleet(n)
			now := start
			for range 20 {
				now = now.Add(time.Second)
				f.round(now)
			}
			used := float64(heapBytes()-before) / float64(n)
			t := f.tables[0]
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				request := &wire.BeatRequest{Self: t.Beat(), Members: t.Sample(now, f.random), Revision: 1_000_000, AgeMillis: 5000}
				data, err := proto.Marshal(request)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				var got wire.BeatRequest
				if err := proto.Unmarshal(data, &got); err != nil {
					b.Fatal(err)
				}
				for _, m := range got.Members {
					t.Merge(now, m, false)
				}
				t.Targets(now, f.random)
				t.Live(now)
			}
			b.ReportMetric(float64(size), "wire-bytes")
			b.ReportMetric(used, "heap-bytes")
			runtime.KeepAlive(f)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestConfirmationsReachAll lets each instance read the store at the interval that the daemon uses, passes what is known on by
// heartbeats, and checks that no instance's knowledge gets older than the time for which it counts as current.
func TestConfirmationsReachAll(t *testing.T) {
	for _, n := range []int{3, 19, 40, 340} {
		every := min(10, max(1, n/2))
		f := newFleet(n)
		confirmed := make([]time.Time, n)
		now := start
		worst := time.Duration(0)
		for round := range 60 {
			now = now.Add(time.Second)
			before := append([]time.Time(nil), confirmed...)
			for i, table := range f.tables {
				for _, address := range table.Targets(now, f.random) {
					if peer := before[f.index[address]]; peer.After(confirmed[i]) {
						confirmed[i] = peer
					}
				}
				if (round+i)%every == 0 {
					confirmed[i] = now
				}
				if round > 20 {
					worst = max(worst, now.Sub(confirmed[i]))
				}
			}
		}
		t.Logf("%d instances: oldest confirmation %s", n, worst)
		must.Less(t, feed.ConfirmationTTL, worst)
	}
}
