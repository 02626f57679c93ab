package edge

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/platform"
)

const (
	// operatorsWait is how long the store may hold a question for changes of the operators' rows.
	operatorsWait = 1500 * time.Millisecond
	// feedBlind is how long a feed may miss changes before the store cuts it, by the users' page of troubles.
	feedBlind = 1100 * time.Millisecond
	// storeTimeout bounds a call that the store answers at once; its slow days take a quarter of a second.
	storeTimeout = 900 * time.Millisecond
	// listPause is the pause between reads of the list of upstreams; it leaves half of the drain bound.
	listPause = 700 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 60 * time.Millisecond
	retryMost  = 600 * time.Millisecond
	// instancesTable holds a row for each instance, by its address for datagrams.
	instancesTable = "instance"
	// instancesWait is how long the store may hold a question for new instances.
	instancesWait = 15 * time.Second
)

// pause waits for a random part of a doubling time after a failure; false when the context has ended.
func pause(ctx context.Context, failures int) bool {
	most := min(retryMost, retryLeast<<min(failures, 5))
	timer := time.NewTimer(most/2 + rand.N(most/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// dependency logs when the store is lost and when it is back.
type dependency struct {
	edge     *Edge
	name     string
	failures int
	lost     time.Time
}

func (d *dependency) failed(err error) {
	if d.failures == 0 {
		d.lost = time.Now()
		d.edge.log.Info("store: lost", "for", d.name, "error", err.Error())
		d.edge.metrics.Counter("store_lost").Inc(1)
	}
	d.failures++
}

func (d *dependency) worked() {
	if d.failures > 0 {
		d.edge.log.Info("store: regained", "for", d.name, "failures", d.failures, "away_ms", time.Since(d.lost).Milliseconds())
	}
	d.failures = 0
}

// followOperators keeps the document and the announced weights up to date.
func (e *Edge) followOperators(ctx context.Context) {
	dep := dependency{edge: e, name: "operators"}
	version := int64(-1)
	for ctx.Err() == nil {
		var rows platform.Rows
		var err error
		asked := clock.Boot()
		blind := asked
		if version < 0 {
			rows, err = e.get(ctx, platform.OperatorTable)
		} else {
			rows, err = e.feedWoken(ctx, version)
			// A feed that was held answers what was new at its end, but for the time in which it may be blind.
			blind = max(asked, clock.Boot()-feedBlind)
		}
		if errors.Is(err, platform.ErrHistoryLost) {
			e.log.Info("store: history lost, reading all", "for", dep.name, "after", version)
			version = -1
			continue
		}
		if errors.Is(err, errWoken) {
			version = -1
			continue
		}
		if err != nil {
			dep.failed(err)
			// What was missed is read whole, because a new connection may meet a store without its history.
			version = -1
			if !pause(ctx, dep.failures) {
				return
			}
			continue
		}
		dep.worked()
		for _, row := range rows.Rows {
			e.operatorRow(row)
		}
		version = max(version, rows.Version)
		if e.feed.Document() != nil {
			e.feed.Confirm(blind)
		}
	}
}

// errWoken says that a question was dropped because another instance knows a newer document.
var errWoken = errors.New("woken by another instance")

// feedWoken asks for changes until the store answers or another instance knows of a newer document.
func (e *Edge) feedWoken(ctx context.Context, version int64) (platform.Rows, error) {
	call, cancel := context.WithTimeoutCause(ctx, operatorsWait+storeTimeout, context.DeadlineExceeded)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	woken := make(chan struct{})
	go func() {
		select {
		case <-e.changed:
			// The answer is probably on its way.
			timer := time.NewTimer(wakeDelay)
			defer timer.Stop()
			select {
			case <-timer.C:
				close(woken)
				cancel()
			case <-done:
			}
		case <-done:
		}
	}()
	rows, err := e.store.Feed(call, platform.OperatorTable, version, operatorsWait)
	if err != nil {
		select {
		case <-woken:
			return rows, errWoken
		default:
		}
	}
	return rows, err
}

// wakeDelay is how long a feed may still bring what another instance knows already.
const wakeDelay = 150 * time.Millisecond

func (e *Edge) get(ctx context.Context, table string) (platform.Rows, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return e.store.Get(call, table, "")
}

// operatorRow takes one of the operators' rows.
func (e *Edge) operatorRow(row platform.Row) {
	if row.Deleted {
		return
	}
	doc, err := platform.Document(row)
	if err != nil {
		e.log.Info("config: document cannot be read, the former stays", "row", row.Version, "error", err.Error())
		return
	}
	if doc != nil && e.feed.Offer(doc) {
		e.limits(doc)
		e.log.Info("config: document in force", "revision", doc.Revision, "row", row.Version, "routes", len(doc.Routes),
			"keys", len(doc.Keys))
		e.exchange.Now()
	}
	model, number, ok, err := platform.Weights(row)
	if err != nil {
		e.log.Info("weights: announcement cannot be read", "row", row.Version, "error", err.Error())
		return
	}
	if ok && e.feed.Announce(clock.Boot(), model, number) {
		e.log.Info("weights: announced", "model", model, "version", number, "row", row.Version)
		e.roll.wake()
	}
}

// followList keeps the list of upstreams up to date.
func (e *Edge) followList(ctx context.Context) {
	dep := dependency{edge: e, name: "list"}
	version := int64(-1)
	for ctx.Err() == nil {
		var rows platform.Rows
		var err error
		whole := version < 0
		if whole {
			rows, err = e.get(ctx, platform.ListTable)
		} else {
			call, cancel := context.WithTimeout(ctx, storeTimeout)
			rows, err = e.store.Feed(call, platform.ListTable, version, time.Millisecond)
			cancel()
		}
		now := time.Now()
		if errors.Is(err, platform.ErrHistoryLost) {
			e.log.Info("store: history lost, reading all", "for", dep.name, "after", version)
			version = -1
			continue
		}
		if err != nil {
			dep.failed(err)
			e.fleet.Away(now)
			version = -1
			if !pause(ctx, dep.failures) {
				return
			}
			continue
		}
		dep.worked()
		e.listRows(now, rows.Rows, whole)
		version = max(version, rows.Version)
		if !sleep(ctx, listPause) {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// listRows takes rows of the list; whole tells that what it lacks is gone.
func (e *Edge) listRows(now time.Time, rows []platform.Row, whole bool) {
	var entries []fleet.Entry
	for _, row := range rows {
		if row.Deleted {
			if e.fleet.Drop(now, row.Key) {
				e.log.Info("list: upstream is gone", "upstream", row.Key, "row", row.Version)
			}
			continue
		}
		entry, err := platform.Entry(row)
		if err != nil {
			e.log.Info("list: entry names no upstream", "upstream", row.Key, "row", row.Version, "error", err.Error())
			e.fleet.Drop(now, row.Key)
			continue
		}
		entries = append(entries, entry)
		if !whole && e.fleet.Put(entry) {
			e.log.Info("list: upstream changed", "upstream", entry.ID, "service", entry.Service, "state", string(entry.State),
				"weights", entry.Weights, "row", row.Version)
		}
	}
	if whole {
		e.fleet.Replace(now, entries)
		e.log.Info("list: read whole", "upstreams", len(entries))
	}
}

// join makes the instance known to the others and meets those that come.
func (e *Edge) join(ctx context.Context) {
	dep := dependency{edge: e, name: "instances"}
	version := int64(-1)
	joined := false
	for ctx.Err() == nil {
		var err error
		if !joined {
			err = e.register(ctx)
			joined = err == nil
		}
		var rows platform.Rows
		switch {
		case err != nil:
		case version < 0:
			rows, err = e.get(ctx, instancesTable)
		default:
			call, cancel := context.WithTimeout(ctx, instancesWait+storeTimeout)
			rows, err = e.store.Feed(call, instancesTable, version, instancesWait)
			cancel()
		}
		if errors.Is(err, platform.ErrHistoryLost) {
			version = -1
			continue
		}
		if err != nil {
			dep.failed(err)
			if !pause(ctx, dep.failures) {
				return
			}
			continue
		}
		dep.worked()
		for _, row := range rows.Rows {
			if row.Deleted || row.Key == e.settings.Peer {
				continue
			}
			e.exchange.Meet(row.Key)
			e.quota.Join(clock.Boot(), row.Key)
		}
		version = max(version, rows.Version)
		e.exchange.Now()
	}
}

// instanceRow is what an instance tells of itself in the store.
type instanceRow struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation int64  `json:"incarnation"`
}

// register writes the instance's row. Nobody else writes it, so it needs no condition.
func (e *Edge) register(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(instanceRow{Name: e.settings.Name, Zone: e.settings.Zone, Incarnation: e.incarnation})
	if err != nil {
		return err
	}
	_, err = e.store.Put(call, platform.Row{Table: instancesTable, Key: e.settings.Peer, Value: value, Version: -1})
	return err
}

const (
	// keptWait is how long the kept store holds a question; shorter ones count as probes.
	keptWait = 1000 * time.Millisecond
)

// watchKeptStore notices when the store of kept KV cache is down, so that engines do not wait for it.
func (e *Edge) watchKeptStore(ctx context.Context) {
	since := int64(0)
	for sleep(ctx, keptWait) {
		doc := e.feed.Document()
		if doc == nil || doc.KeptStore() == nil {
			continue
		}
		next, err := e.engines.KeptEvents(ctx, doc.KeptStore().StoreAddress, since, keptWait)
		since = next
		if ctx.Err() != nil {
			return
		}
		alive := err == nil
		if e.handler.KeptStore.Swap(alive) != alive {
			reason := ""
			if err != nil {
				reason = err.Error()
			}
			e.log.Info("kept store: changed", "alive", alive, "error", reason)
		}
	}
}
