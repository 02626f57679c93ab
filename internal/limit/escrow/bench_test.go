package escrow

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/limit/share"
	"github.com/skylarkquay/skylarkquay/internal/peer/lease"
)

// BenchmarkCapacityAdmit measures one admission and its settlement on an instance that holds all shares.
func BenchmarkCapacityAdmit(b *testing.B) {
	whole := share.Budget{PerSecond: 1 << 40, Burst: 1 << 50}
	for _, n := range []int{8, 16, 24} {
		b.Run(fmt.Sprintf("shares/n=%d", n), func(b *testing.B) {
			w := newWorld(1, 1, n, whole)
			all(w)
			node := w.nodes[0]
			id := 0
			b.ReportAllocs()
			for b.Loop() {
				id++
				w.now = w.now.Add(time.Second)
				_, g := node.limiter.try(context.Background(), node.clock, Request{ID: strconv.Itoa(id), Workspace: tenant, Whole: whole, Firm: 1000, Spare: 100})
				node.limiter.Settle(context.Background(), node.clock(), g, 1050)
			}
		})
	}
}

// BenchmarkCapacityShares measures the memory of shares that are in use.
func BenchmarkCapacityShares(b *testing.B) {
	part := share.Part{Rate: 1000, Burst: 10_000}
	now := time.Unix(1_800_000_000, 0)
	for _, n := range []int{1000, 5000, 10_000} {
		b.Run(fmt.Sprintf("shares/n=%d", n), func(b *testing.B) {
			var book *share.Book
			before := heapBytes()
			for b.Loop() {
				book = share.NewBook()
				for i := range n {
					k := share.Key{Workspace: fmt.Sprintf("workspace-%d", i/24), Partition: i % 24}
					book.Take(now, k, share.Tenure{Full: true, Since: now}, part, share.Want{ID: "r", Tokens: 10, Firm: 5})
				}
			}
			b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
			runtime.KeepAlive(book)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkCapacityLeases measures one look of an instance at all leases.
func BenchmarkCapacityLeases(b *testing.B) {
	for _, n := range []int{24, 96, 384} {
		b.Run(fmt.Sprintf("partitions/n=%d", n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			v := lease.View{Self: "n0", Held: map[int]lease.Held{}, Counts: map[string]int{"n0": 1, "n1": 1}, FreeSince: map[int]time.Time{}, Ended: map[string]bool{}}
			for p := range n {
				v.Rows = append(v.Rows, lease.Row{Partition: p, Address: "n1", Incarnation: "i", End: now.Add(lease.Duration), Rev: 1})
			}
			b.ReportAllocs()
			for b.Loop() {
				lease.Decide(now, v)
			}
		})
	}
}
