package admit

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

// BenchmarkCapacityAdmit measures the admission and settlement of one request on an instance that holds all shares.
func BenchmarkCapacityAdmit(b *testing.B) {
	limit := share.Limit{Rate: 1 << 40, Burst: 1 << 50}
	for _, n := range []int{8, 16, 24} {
		b.Run(fmt.Sprintf("shares/n=%d", n), func(b *testing.B) {
			c := newCluster(1, 1, n, limit)
			runRounds(c)
			instance := c.instances[0]
			id := 0
			b.ReportAllocs()
			for b.Loop() {
				id++
				c.now = c.now.Add(time.Second)
				_, g := instance.limiter.collect(context.Background(), instance.clock, Request{ID: strconv.Itoa(id), Workspace: workspace, Limit: limit, Firm: 1000, Spare: 100})
				instance.limiter.Settle(context.Background(), instance.clock(), g, 1050)
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
			var buckets *share.Buckets
			before := heapBytes()
			for b.Loop() {
				buckets = share.NewBuckets()
				for i := range n {
					k := share.Key{Workspace: fmt.Sprintf("workspace-%d", i/24), Partition: i % 24}
					buckets.Take(now, k, share.Lease{Full: true, Since: now}, part, share.TakeRequest{ID: "r", Tokens: 10, Firm: 5})
				}
			}
			b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
			runtime.KeepAlive(buckets)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkCapacityLeases measures one pass of an instance over all leases.
func BenchmarkCapacityLeases(b *testing.B) {
	for _, n := range []int{24, 96, 384} {
		b.Run(fmt.Sprintf("partitions/n=%d", n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			v := lease.View{Self: "n0", Held: map[int]lease.Held{}, PartitionCounts: map[string]int{"n0": 1, "n1": 1}, FreeSince: map[int]time.Time{}, Ended: map[string]bool{}}
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
