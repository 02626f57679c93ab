package edge

import (
	"context"
	"errors"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/peer/pulse"
	"github.com/skylarkquay/skylarkquay/internal/roll/plan"
)

// load brings one engine to a version and waits until it is there.
func (r *rollout) load(ctx context.Context, m plan.Move, model string, version int64) {
	v := m.Engine
	ctx, cancel := context.WithTimeout(ctx, loadMost)
	defer cancel()
	began := time.Now()
	err := r.order(ctx, m, model, version)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.progress[v.ID] = plan.Progress{Retry: now.Add(orderRetry)}
		r.edge.fleet.SetSwitching(v.ID, now)
		r.edge.log.Info("weights: engine did not load", "upstream", v.ID, "model", model, "version", version,
			"took_ms", now.Sub(began).Milliseconds(), "error", err.Error())
		return
	}
	delete(r.progress, v.ID)
	r.edge.fleet.ConfirmWeights(v.ID, model, version)
	r.loaded = append(r.loaded, told{
		Loaded: pulse.Loaded{Upstream: v.ID, Model: model, Version: version}, until: now.Add(toldLoaded),
	})
	r.edge.log.Info("weights: engine loaded", "upstream", v.ID, "model", model, "version", version,
		"took_ms", now.Sub(began).Milliseconds())
	r.edge.exchange.Now()
	r.wake()
}

// errLeaseLost says that this instance may give no orders any more.
var errLeaseLost = errors.New("the lease is no longer held")

// order asks the engine, orders it when needed and asks until the version is loaded. The order's condition on the number
// of earlier orders makes one that is carried out late harmless.
func (r *rollout) order(ctx context.Context, m plan.Move, model string, version int64) error {
	v := m.Engine
	// ordered is the number of orders that the engine has with the last one given, due is when another may be given.
	ordered, due := int64(0), time.Time{}
	for {
		report, err := r.edge.engines.Report(ctx, v.ID, v.Address)
		if err != nil {
			return err
		}
		if report.Weights[model] >= version && !report.Busy {
			return nil
		}
		if now := time.Now(); !report.Busy && report.Orders >= ordered && !now.Before(due) {
			if ordered, err = r.give(ctx, m, model, version, report); err != nil {
				return err
			}
			due = now.Add(reorder)
		}
		if err := sleep.For(ctx, askPause); err != nil {
			return err
		}
	}
}

// give sends one order. It returns the number of orders after which the engine has this one.
func (r *rollout) give(ctx context.Context, m plan.Move, model string, version int64, report plan.Report) (int64, error) {
	v := m.Engine
	r.mu.Lock()
	held := r.held
	r.mu.Unlock()
	if !held.Holds(clock.SinceBoot()) {
		return 0, errLeaseLost
	}
	outcome, err := r.edge.engines.Load(ctx, plan.Order{
		Upstream: v.ID, Address: v.Address, Model: model, Version: version, Mode: m.Mode,
		Holder: r.edge.settings.Peer, Token: held.Token, After: report.Orders,
	})
	text := ""
	if err != nil {
		text = err.Error()
	}
	r.edge.log.Info("weights: order given", "upstream", v.ID, "model", model, "version", version, "token", held.Token,
		"mode", string(m.Mode), "after", report.Orders, "running", report.Running, "outcome", string(outcome), "error", text)
	switch outcome {
	case plan.Accepted, plan.Already:
		return report.Orders + 1, nil
	case plan.Unknown:
		// It may have been accepted; the next report tells.
		return report.Orders, nil
	default:
		return report.Orders, err
	}
}
