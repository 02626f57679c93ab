package edge

import (
	"context"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/route/holder"
)

const (
	// kvEventsWait is how long a KV store may hold a poll for events; shorter polls count as probes.
	kvEventsWait = 300 * time.Millisecond
	// kvPollInterval is the pause between rounds of polls.
	kvPollInterval = 400 * time.Millisecond
)

// pollKVStores detects KV stores that are down, so that engines do not wait for them. The instance of rank 0 polls on
// behalf of all.
func (e *Edge) pollKVStores(ctx context.Context) {
	nextEvent := make(map[string]int64)
	for sleep.For(ctx, kvPollInterval) == nil {
		doc := e.feed.Document()
		polling := doc != nil && e.ranks.Rank(time.Now()) == 0
		e.kvStorePoller.Store(polling)
		if !polling {
			continue
		}
		for _, address := range doc.KVStores() {
			next, err := e.engines.KVEvents(ctx, address, nextEvent[address], kvEventsWait)
			nextEvent[address] = next
			if ctx.Err() != nil {
				return
			}
			e.setKVStore(address, err == nil, "asked", err)
		}
	}
}

// setKVStore records whether a KV store responds.
func (e *Edge) setKVStore(address string, alive bool, from string, err error) {
	if !e.handler.KVStores.Set(address, alive) {
		return
	}
	// A KV store is empty after an outage.
	e.holders.RemoveHolder(holder.Store)
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	e.log.Info("kept store: availability changed", "address", address, "alive", alive, "from", from, "error", reason)
	e.exchange.TriggerSend()
}
