package claim

import (
	"fmt"
	"testing"

	"github.com/skylarkquay/skylarkquay/internal/fake/store"
)

// BenchmarkCapacityClaim measures claiming, sending and storing the response, with the store writes per request.
func BenchmarkCapacityClaim(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("answerbytes/n=%d", n), func(b *testing.B) {
			memory := store.NewMemory()
			m := NewManager(memory, "r", unreachable)
			response := &Response{Status: 200, Body: make([]byte, n)}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				c, _, err := m.Begin(b.Context(), start, fmt.Sprint(i%1000, "/", i), fmt.Sprint(i), body)
				if err != nil {
					b.Fatal(err)
				}
				m.MarkSent(c)
				if err := m.Finish(b.Context(), c, response); err != nil {
					b.Fatal(err)
				}
			}
			_, writes := memory.Counts()
			b.ReportMetric(float64(writes)/float64(i), "store-writes")
		})
	}
}
