package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/platform"
)

const (
	// operatorsWait is how long the store may hold a question for changes of the operators' rows.
	operatorsWait = 600 * time.Millisecond
	// feedBlind is how long a feed may miss changes before the store cuts it, by the users' page of troubles.
	feedBlind = 1100 * time.Millisecond
	// storeTimeout bounds a call that the store answers at once; its slow days take a quarter of a second.
	storeTimeout = 900 * time.Millisecond
	// followPause is the pause between looks at whether another instance follows the operators' rows.
	followPause = 100 * time.Millisecond
	// listPause is the pause between reads of the list of upstreams; with a failed reader's replacement it stays below
	// the drain bound.
	listPause = 600 * time.Millisecond
	// listLook is the longest pause between looks at the age of the list.
	listLook = 100 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 60 * time.Millisecond
	retryMost  = 1000 * time.Millisecond
	// instancesTable holds a row for each instance, by its address for datagrams.
	instancesTable = "instance"
)

// retry waits for a random part of a doubling time after a failure; false when the context has ended.
func retry(ctx context.Context, failures int) bool {
	most := min(retryMost, retryLeast<<min(failures, 5))
	return sleep.For(ctx, most/2+rand.N(most/2+1)) == nil
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

// followOperators keeps the document and the announced weights up to date, from the store or by the word of an instance
// that follows them.
func (e *Edge) followOperators(ctx context.Context) {
	dep := dependency{edge: e, name: "operators"}
	version := int64(-1)
	// live tells that the last question was asked a moment ago, so that what comes now was written just now.
	live := false
	for ctx.Err() == nil {
		if version >= 0 && !e.circle.Follow(time.Now()) {
			e.following.Store(false)
			live = false
			// The condition of the loop sees the end of the context.
			_ = sleep.For(ctx, followPause)
			continue
		}
		rows, confirmed, err := e.askOperators(ctx, version)
		if errors.Is(err, platform.ErrHistoryLost) {
			e.log.Info("store: history lost, reading all", "for", dep.name, "after", version)
			version = -1
			continue
		}
		if err != nil {
			e.following.Store(false)
			live = false
			dep.failed(err)
			// What was missed is read whole, because a new connection may meet a store without its history.
			version = -1
			if !retry(ctx, dep.failures) {
				return
			}
			continue
		}
		dep.worked()
		for _, row := range rows.Rows {
			e.operatorRow(row, live)
		}
		live = true
		version = max(version, rows.Version)
		e.following.Store(true)
		if e.feed.Document() != nil {
			e.feed.Confirm(confirmed)
		}
	}
}

// askOperators reads the operators' rows whole, or what changed after a version. It returns the time at which the store
// had nothing newer.
func (e *Edge) askOperators(ctx context.Context, version int64) (platform.Rows, time.Duration, error) {
	asked := clock.SinceBoot()
	if version < 0 {
		rows, err := e.get(ctx, platform.OperatorTable)
		return rows, asked, err
	}
	call, cancel := context.WithTimeout(ctx, operatorsWait+storeTimeout)
	defer cancel()
	rows, err := e.store.Feed(call, platform.OperatorTable, version, operatorsWait)
	// A feed that was held answers what was new at its end, but for the time in which it may be blind.
	return rows, max(asked, clock.SinceBoot()-feedBlind), err
}

func (e *Edge) get(ctx context.Context, table string) (platform.Rows, error) {
	return e.store.Get(ctx, table, "", storeTimeout)
}

// operatorRow takes one of the operators' rows. Live tells that it was written just now.
func (e *Edge) operatorRow(row platform.Row, live bool) {
	if row.Deleted {
		return
	}
	doc, err := platform.Document(row)
	if err != nil {
		e.log.Info("config: document cannot be read, the former stays", "row", row.Version, "error", err.Error())
		return
	}
	if doc != nil && e.feed.Offer(doc) {
		e.document.Store(&row)
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
	if !ok {
		return
	}
	// A version whose announcement was not seen counts as due, unless something bounds its age.
	learnt := clock.SinceBoot()
	if !live {
		learnt -= e.handler.Settings.WeightsAge
	}
	e.announced(policy.Weights{Model: model, Version: number, Learnt: learnt, Seen: live}, "store")
}

// announced takes an announcement of weights.
func (e *Edge) announced(w policy.Weights, from string) {
	if !e.feed.Announce(w) {
		return
	}
	e.log.Info("weights: announced", "model", w.Model, "version", w.Version, "from", from, "seen", w.Seen,
		"age_ms", (clock.SinceBoot() - w.Learnt).Milliseconds())
	e.roll.wake()
	e.exchange.Now()
}
