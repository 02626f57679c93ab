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

func TestNewerIncarnationReplacesOlder(t *testing.T) {
	table := New(Member{Address: "a"})
	table.Merge(start, &wire.Member{Address: "b", Incarnation: "2", Counter: 1}, true)
	table.Merge(start, &wire.Member{Address: "b", Incarnation: "1", Counter: 99}, false)
	must.Eq(t, "2", table.Live(start)[1].Incarnation)
	table.Merge(start, &wire.Member{Address: "b", Incarnation: "3", Counter: 1}, false)
	must.Eq(t, "3", table.Live(start)[1].Incarnation)
}

func TestOldRelayedHeartbeatDoesNotKeepMemberLive(t *testing.T) {
	table := New(Member{Address: "a"})
	old := &wire.Member{Address: "b", Incarnation: "1", Counter: 5}
	table.Merge(start, old, true)
	later := start.Add(SuspectTimeout + 1)
	table.Merge(later, old, false)
	must.SliceLen(t, 1, table.Live(later))
}

func TestListedInstancesAreTargetedAndCounted(t *testing.T) {
	table := New(Member{Address: "a"})
	table.SetList([]roster.Entry{{Address: "a", State: roster.Live}, {Address: "b", State: roster.Live}, {Address: "c", State: roster.Leaving}})
	must.Eq(t, 2, table.Size(start))
	must.SliceLen(t, 2, table.Targets(start, rand.New(rand.NewPCG(1, 1))))
}

// simFleet is a set of instances that exchange heartbeats in virtual time.
type simFleet struct {
	tables   []*Table
	index    map[string]int
	informed []bool
	random   *rand.Rand
	bytes    int
	messages int
}

func newSimFleet(n int) *simFleet {
	f := &simFleet{index: make(map[string]int), informed: make([]bool, n), random: rand.New(rand.NewPCG(1, uint64(n)))}
	var list []roster.Entry
	for i := range n {
		address := fmt.Sprintf("10.0.%d.%d:8081", i/256, i%256)
		f.index[address] = i
		list = append(list, roster.Entry{Address: address, Zone: "zone-1", State: roster.Live})
	}
	for i := range n {
		t := New(Member{Address: list[i].Address, Zone: "zone-1", Incarnation: fmt.Sprintf("%019d-ABCDEFGH", i), Partitions: []uint32{uint32(i)}})
		t.SetList(list)
		f.tables = append(f.tables, t)
	}
	return f
}

// round sends the heartbeats of every instance; after an exchange both sides know what either knew before.
func (f *simFleet) round(now time.Time) {
	before := append([]bool(nil), f.informed...)
	for i, t := range f.tables {
		request := &wire.BeatRequest{Self: t.Heartbeat(), Members: t.Sample(now, f.random), Revision: 1_000_000, AgeMillis: 5000}
		for _, address := range t.Targets(now, f.random) {
			peer := f.tables[f.index[address]]
			reply := &wire.BeatReply{Self: peer.Heartbeat(), Members: peer.Sample(now, f.random), Revision: 1_000_000, AgeMillis: 5000}
			f.exchange(now, t, peer, request, reply)
			known := before[i] || before[f.index[address]]
			f.informed[i] = f.informed[i] || known
			f.informed[f.index[address]] = f.informed[f.index[address]] || known
		}
	}
}

func (f *simFleet) exchange(now time.Time, t, peer *Table, request *wire.BeatRequest, reply *wire.BeatReply) {
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
	// maxBytesPerSecond is the limit on an instance's control traffic.
	maxBytesPerSecond = 21_000
	// httpHeaderBytes is the size of the HTTP headers of a request and its response.
	httpHeaderBytes = 450
	// maxRounds is the time within which a change must be in force everywhere, in rounds of one second.
	maxRounds = 11
)

// TestHeartbeatBudget bounds the bytes of heartbeats at each fleet size, and the rounds until a change has reached all.
func TestHeartbeatBudget(t *testing.T) {
	for _, n := range []int{3, 19, 340} {
		f := newSimFleet(n)
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
		// Each message is sent by one instance and received by another.
		perInstance := 2 * (f.bytes + f.messages*httpHeaderBytes) / n / rounds
		t.Logf("%d instances: change known to all after %d rounds; %d bytes/s per instance", n, rounds, perInstance)
		must.LessEq(t, maxRounds, rounds)
		must.LessEq(t, maxBytesPerSecond, perInstance)
		for _, table := range f.tables {
			must.Greater(t, n*9/10-1, len(table.Live(now)))
		}
	}
}

// BenchmarkCapacityBeat measures building one heartbeat and merging one.
func BenchmarkCapacityBeat(b *testing.B) {
	for _, n := range []int{19, 100, 340} {
		b.Run(fmt.Sprintf("members/n=%d", n), func(b *testing.B) {
			before := heapBytes()
			f := newSimFleet(n)
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
				request := &wire.BeatRequest{Self: t.Heartbeat(), Members: t.Sample(now, f.random), Revision: 1_000_000, AgeMillis: 5000}
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

// TestConfirmationsReachAllInstances lets each instance read the store at the daemon's interval and spreads the confirmations
// by heartbeats. No instance's confirmation may get older than the window in which it counts as current.
func TestConfirmationsReachAllInstances(t *testing.T) {
	for _, n := range []int{3, 19, 40, 340} {
		readInterval := min(10, max(1, n/2))
		f := newSimFleet(n)
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
				if (round+i)%readInterval == 0 {
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
