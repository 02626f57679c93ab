package edge

import (
	"context"
	"encoding/json"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/peer/pulse"
	"github.com/skylarkquay/skylarkquay/platform"
)

// join makes the instance known. Every other instance either reads its row or sends it a message first, because each
// reads the rows after it has written its own.
func (e *Edge) join(ctx context.Context) {
	dep := dependency{edge: e, name: "instances"}
	for ctx.Err() == nil {
		err := e.register(ctx)
		var rows platform.Rows
		if err == nil {
			rows, err = e.get(ctx, instancesTable)
		}
		if err != nil {
			dep.failed(err)
			if !retry(ctx, dep.failures) {
				return
			}
			continue
		}
		dep.worked()
		for _, row := range rows.Rows {
			if !row.Deleted && row.Key != e.settings.Peer {
				e.meet(row)
				e.quota.Join(clock.SinceBoot(), row.Key)
			}
		}
		e.exchange.Now()
		e.joined.Store(int64(clock.SinceBoot()))
		e.log.Info("member: joined", "instances", e.exchange.Count())
		return
	}
}

// instanceRow is what an instance tells of itself in the store.
type instanceRow struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Size is what the machine can bear, as in the messages between instances.
	Size        int   `json:"size"`
	Incarnation int64 `json:"incarnation"`
}

// meet adds an instance by its row.
func (e *Edge) meet(row platform.Row) {
	var r instanceRow
	if err := json.Unmarshal(row.Value, &r); err != nil {
		e.log.Info("member: row of an instance cannot be read", "address", row.Key, "error", err.Error())
	}
	e.exchange.Meet(pulse.Node{Name: row.Key, Zone: r.Zone, Size: r.Size})
}

// register writes the instance's row. Nobody else writes it, so it needs no condition.
func (e *Edge) register(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(instanceRow{Name: e.settings.Name, Zone: e.settings.Zone, Size: e.settings.size(), Incarnation: e.incarnation})
	if err != nil {
		return err
	}
	_, err = e.store.Put(call, platform.Row{Table: instancesTable, Key: e.settings.Peer, Value: value, Version: -1})
	return err
}
