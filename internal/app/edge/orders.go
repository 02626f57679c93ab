package edge

import (
	"context"
	"errors"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/peer/gossip"
	"github.com/skylarkquay/skylarkquay/internal/roll/plan"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

// loadEngine makes one engine load a version or a later one, and waits until it is loaded.
func (r *rollout) loadEngine(ctx context.Context, load plan.Load, model string, version int64) {
	engine := load.Engine
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	started := time.Now()
	loaded, err := r.ensureLoaded(ctx, load, model, version)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	supersededFor := r.supersededFor(model, engine.Weights[model])
	if err != nil {
		r.progress[engine.ID] = r.progress[engine.ID].Fail(now.Add(orderRetryDelay))
		r.edge.fleet.SetSwitching(engine.ID, now)
		r.edge.log.Info("weights: engine failed to load", "upstream", engine.ID, "model", model, "version", version,
			"took_ms", now.Sub(started).Milliseconds(), "superseded_ms", supersededFor.Milliseconds(), "error", err.Error())
		return
	}
	delete(r.progress, engine.ID)
	r.edge.fleet.ConfirmWeights(engine.ID, model, loaded)
	r.loaded = append(r.loaded, loadedReport{
		Loaded: gossip.Loaded{Upstream: engine.ID, Model: model, Version: loaded}, until: now.Add(loadedReportTTL),
	})
	r.edge.log.Info("weights: engine loaded", "upstream", engine.ID, "model", model, "version", loaded,
		"took_ms", now.Sub(started).Milliseconds(), "superseded_ms", supersededFor.Milliseconds())
	r.edge.exchange.TriggerSend()
	r.wake()
}

// errLeaseLost means that this instance may no longer send orders.
var errLeaseLost = errors.New("the rollout lease is no longer held")

// errEngineLeaves means that the engine has announced that it stops.
var errEngineLeaves = errors.New("the engine stops")

// ensureLoaded polls the engine until the version or a later one is loaded, which it returns, and sends orders when needed. Each order is
// conditional on the number of earlier orders, so that one that arrives late has no effect.
func (r *rollout) ensureLoaded(ctx context.Context, load plan.Load, model string, version int64) (int64, error) {
	engine := load.Engine
	// orderCount is the engine's number of orders including the last one sent, resendAt is when another may be sent.
	orderCount, resendAt := int64(0), time.Time{}
	// first is the engine's number of orders at the first report; negative before.
	first := int64(-1)
	for {
		r.edge.fleet.CountSend(time.Now(), engine.ID)
		report, err := r.edge.engines.Report(ctx, engine.ID, engine.Address)
		if err != nil {
			return 0, err
		}
		if report.Leaving {
			r.edge.markLeaving(time.Now(), fleet.Departure{ID: engine.ID, Born: engine.Born}, true, "report")
			return 0, errEngineLeaves
		}
		if report.Weights[model] >= version && !report.Busy {
			return report.Weights[model], nil
		}
		if first < 0 {
			first = report.Orders
		}
		if report.Busy || report.Orders > first {
			r.noteAccepted(engine.ID, time.Now())
		}
		if now := time.Now(); !report.Busy && report.Orders >= orderCount && !now.Before(resendAt) {
			newest := max(version, r.edge.replica.Weights(model).Version)
			if orderCount, err = r.sendOrder(ctx, load, model, newest, report); err != nil {
				return 0, err
			}
			resendAt = now.Add(resendInterval)
		}
		if err := sleep.For(ctx, max(reportPollInterval, r.edge.fleet.CallInterval(engine.ID))); err != nil {
			return 0, err
		}
	}
}

// sendOrder sends one order. It returns the engine's number of orders that includes this one.
func (r *rollout) sendOrder(ctx context.Context, load plan.Load, model string, version int64, report plan.Report) (int64, error) {
	engine := load.Engine
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	if !lease.Valid(clock.SinceBoot()) {
		return 0, errLeaseLost
	}
	now := time.Now()
	mode := load.Mode(now)
	r.edge.fleet.CountSend(now, engine.ID)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome, err := r.edge.engines.OrderLoad(ctx, plan.Order{
		Upstream: engine.ID, Address: engine.Address, Model: model, Version: version, Mode: mode,
		Holder: r.edge.settings.Peer, Token: lease.Token, After: report.Orders,
	})
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	r.edge.log.Info("weights: order given", "upstream", engine.ID, "model", model, "version", version, "token", lease.Token,
		"mode", string(mode), "after", report.Orders, "running", report.Running, "weights", report.Weights[model],
		"superseded_ms", r.supersededFor(model, report.Weights[model]).Milliseconds(), "outcome", string(outcome), "error", reason)
	switch outcome {
	case plan.Accepted, plan.AlreadyLoaded:
		r.noteAccepted(engine.ID, time.Now())
		return report.Orders + 1, nil
	case plan.Unknown:
		// The engine may have accepted it; the next report shows whether it did.
		r.noteUnanswered(engine.ID)
		return report.Orders, nil
	default:
		return report.Orders, err
	}
}

// noteAccepted records that an engine carries out an order.
func (r *rollout) noteAccepted(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.progress[id]
	if p.AcceptedAt.IsZero() {
		p.AcceptedAt = now
		r.progress[id] = p
	}
}

// noteUnanswered records that an order to an engine brought no answer.
func (r *rollout) noteUnanswered(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.progress[id]
	p.Unanswered++
	r.progress[id] = p
}
