package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/peer/gossip"
	"github.com/skylarkquay/skylarkquay/platform"
)

// maxRegisterJitter spreads the writes of all instances after a restore of the store.
const maxRegisterJitter = time.Second

// join registers the instance, and again after each restore of the store, whose copy may lack the row.
func (e *Edge) join(ctx context.Context) {
	for {
		e.registerAndMeet(ctx)
		select {
		case <-ctx.Done():
			return
		case <-e.registerAgain:
		}
		if sleep.For(ctx, rand.N(maxRegisterJitter)) != nil {
			return
		}
	}
}

// registerAndMeet writes the instance's row and reads the rows of the others and the blocked prompt parts. Every other instance
// either reads this one's row or first receives a message from it, because each reads the rows after it has written its own.
func (e *Edge) registerAndMeet(ctx context.Context) {
	outage := storeOutage{edge: e, purpose: "instances"}
	for ctx.Err() == nil {
		err := e.register(ctx)
		var rows platform.Rows
		if err == nil {
			rows, err = e.readTable(ctx, instancesTable)
		}
		if err == nil {
			_, err = e.loadBlocks(ctx)
		}
		if err == nil {
			e.addInstances(rows)
			// In a large site, the head of the zone can be asked for streams.
			if !e.exchange.UsesHead() {
				err = e.loadOrigins(ctx)
			}
		}
		if err != nil {
			outage.recordFailure(err)
			if !waitRetry(ctx, outage.failures) {
				return
			}
			continue
		}
		outage.recordSuccess()
		for _, row := range rows.Rows {
			if !row.Deleted && row.Key != e.settings.Peer {
				e.quota.AddPeer(clock.SinceBoot(), row.Key)
			}
		}
		e.exchange.TriggerSend()
		e.joined.CompareAndSwap(0, int64(clock.SinceBoot()))
		e.log.Info("member: joined", "instances", e.exchange.Count())
		return
	}
}

// addInstances adds the other instances of rows as peers.
func (e *Edge) addInstances(rows platform.Rows) {
	for _, row := range rows.Rows {
		if !row.Deleted && row.Key != e.settings.Peer {
			e.addInstance(row)
		}
	}
}

// instanceRow is the store's row of an instance.
type instanceRow struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Size is a measure of the machine's capacity, as in gossip messages.
	Size        int   `json:"size"`
	Incarnation int64 `json:"incarnation"`
}

// addInstance adds the instance of a row as a peer.
func (e *Edge) addInstance(row platform.Row) {
	var r instanceRow
	if err := json.Unmarshal(row.Value, &r); err != nil {
		e.log.Info("member: cannot decode the row of an instance", "address", row.Key, "error", err.Error())
	}
	e.exchange.AddPeer(gossip.Instance{Address: row.Key, Zone: r.Zone, Size: r.Size})
}

// register writes the instance's row. No other instance writes it, so the write is unconditional.
func (e *Edge) register(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(instanceRow{Name: e.settings.Name, Zone: e.settings.Zone, Size: e.settings.size(), Incarnation: e.incarnation})
	if err != nil {
		return err
	}
	_, err = e.store.Put(callCtx, platform.Row{Table: instancesTable, Key: e.settings.Peer, Value: value, Version: -1})
	return err
}
