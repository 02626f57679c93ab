package claim

import (
	"fmt"
	"testing"

	"github.com/skylarkquay/skylarkquay/internal/stand/store"
)

// BenchmarkCapacityClaim measures claiming, sending and storing the response, and counts the store writes per request.
func BenchmarkCapacityClaim(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("answerbytes/n=%d", n), func(b *testing.B) {
			memory := store.NewMemory()
			d := NewDesk(memory, "r", unreachable)
			response := &Answer{Status: 200, Body: make([]byte, n)}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				c, _, err := d.Begin(b.Context(), start, fmt.Sprint(i%1000, "/", i), fmt.Sprint(i), body)
				if err != nil {
					b.Fatal(err)
				}
				d.Send(c)
				if err := d.Finish(b.Context(), c, response); err != nil {
					b.Fatal(err)
				}
			}
			_, writes := memory.Counts()
			b.ReportMetric(float64(writes)/float64(i), "store-writes")
		})
	}
}
