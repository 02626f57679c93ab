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

// pollKVStores detects KV stores that are down, so that engines do not wait for them. The instance of rank 0 among
// those with a path to the upstreams polls on behalf of all.
func (e *Edge) pollKVStores(ctx context.Context) {
	nextEvent := make(map[string]int64)
	for sleep.For(ctx, kvPollInterval) == nil {
		doc := e.replica.Document()
		now := time.Now()
		polling := doc != nil && !e.dialer.Paths.Detached() && e.ranks.RankAmong(now, e.isAttached) == 0
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
			if err != nil && !e.hasPath(ctx) {
				// The path to the KV store may be broken, as those to the upstreams are.
				continue
			}
			e.setKVStore(address, err == nil, "asked", err)
		}
	}
}

func (e *Edge) isAttached(address string) bool { return !e.exchange.IsDetached(address) }

// setKVStore records whether a KV store is available, as polled by this instance or reported by another.
func (e *Edge) setKVStore(address string, available bool, from string, err error) {
	if !e.handler.KVStores.Set(address, available) {
		return
	}
	// A KV store is empty after an outage.
	e.holders.RemoveHolder(holder.Store)
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	e.log.Info("kept store: availability changed", "address", address, "alive", available, "from", from, "error", reason)
	e.exchange.TriggerSend()
}
