package edge

import (
	"context"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/route/holder"
)

const (
	// keptWait is how long the kept store holds a question; shorter ones count as probes.
	keptWait = 300 * time.Millisecond
	// keptPause is the pause between questions.
	keptPause = 400 * time.Millisecond
)

// watchKeptStores notices when a store of kept KV cache is down, so that engines do not wait for it. The first instance
// asks for all.
func (e *Edge) watchKeptStores(ctx context.Context) {
	since := make(map[string]int64)
	for sleep.For(ctx, keptPause) == nil {
		doc := e.feed.Document()
		asking := doc != nil && e.circle.Rank(time.Now()) == 0
		e.asksKept.Store(asking)
		if !asking {
			continue
		}
		for _, address := range doc.KeptStores() {
			next, err := e.engines.KeptEvents(ctx, address, since[address], keptWait)
			since[address] = next
			if ctx.Err() != nil {
				return
			}
			e.keptStore(address, err == nil, "asked", err)
		}
	}
}

// keptStore records whether a store of kept KV cache answers.
func (e *Edge) keptStore(address string, alive bool, from string, err error) {
	if !e.handler.Kept.Set(address, alive) {
		return
	}
	// A store that comes back comes back empty.
	e.holders.RemoveHolder(holder.Store)
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	e.log.Info("kept store: changed", "address", address, "alive", alive, "from", from, "error", reason)
	e.exchange.Now()
}
