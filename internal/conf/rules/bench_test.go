package rules

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// largeDocument returns a document of n workspaces, each with a key and a rate.
func largeDocument(b *testing.B, n int) *Document {
	b.Helper()
	var workspaces, keys, rates strings.Builder
	for i := range n {
		fmt.Fprintf(&workspaces, "w%d: {title: Workspace %d, weight: 1}\n", i, i)
		fmt.Fprintf(&keys, "k%d: {workspace: w%d, hash: %064x}\n", i, i, i)
		fmt.Fprintf(&rates, "w%d: {tokens_per_second: 1000, burst_tokens: 10000}\n", i)
	}
	doc := Empty()
	for _, e := range [][2]string{{"workspaces", workspaces.String()}, {"keys", keys.String()}, {"rates", rates.String()}} {
		next, err := doc.Replace(Section(e[0]), e[1])
		if err != nil {
			b.Fatal(err)
		}
		doc = next
	}
	return doc
}

// keyRemoval returns the entry that removes one key.
func keyRemoval(b *testing.B, doc *Document) Entry {
	b.Helper()
	entry := Entry{Revision: doc.Revision + 1, Section: Keys, Edit: "e", Operator: "o", Changes: []Change{{Name: "k0"}}}
	next := doc.clone()
	if err := next.patch(entry); err != nil {
		b.Fatal(err)
	}
	next.derive()
	entry.Digest = next.Digest
	return entry
}

// BenchmarkCapacityChange measures applying one entry on an instance.
func BenchmarkCapacityChange(b *testing.B) {
	for _, n := range []int{100, 1000, 2600} {
		b.Run(fmt.Sprintf("workspaces/n=%d", n), func(b *testing.B) {
			doc := largeDocument(b, n)
			entry := keyRemoval(b, doc)
			data, err := json.Marshal(entry)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := doc.Apply(entry); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "wire-bytes")
		})
	}
}

// BenchmarkCapacityDocument measures the heap size and the snapshot size of a document.
func BenchmarkCapacityDocument(b *testing.B) {
	for _, n := range []int{100, 1000, 2600} {
		b.Run(fmt.Sprintf("workspaces/n=%d", n), func(b *testing.B) {
			data, err := largeDocument(b, n).Encode()
			if err != nil {
				b.Fatal(err)
			}
			var doc *Document
			before := heapBytes()
			for b.Loop() {
				if doc, err = Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
			b.ReportMetric(float64(len(data)), "wire-bytes")
			runtime.KeepAlive(doc)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
