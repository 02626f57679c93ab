package soak

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
)

// Injection is one fault injection of a run.
type Injection struct {
	Fault  string        `json:"fault"`
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Target int           `json:"target"`
}

// scheduled is an Injection with its kind of fault.
type scheduled[F any] struct {
	Injection
	fault F
}

func injectionsOf[F any](all []scheduled[F]) []Injection {
	injections := make([]Injection, 0, len(all))
	for _, p := range all {
		injections = append(injections, p.Injection)
	}
	return injections
}

// run waits until the fault is due, injects it and removes it after its duration.
func (p Injection) run(ctx context.Context, start time.Time, log logr.Logger, inject func() (remove func() error)) {
	if sleep.For(ctx, time.Until(start.Add(p.At))) != nil {
		return
	}
	log.Info("soak: fault injected", "fault", p.Fault, "target", p.Target, "for", p.For.String())
	remove := inject()
	// The fault is removed also if the context ends earlier.
	_ = sleep.For(ctx, p.For)
	if err := remove(); err != nil {
		log.Info("soak: fault could not be removed", "fault", p.Fault, "target", p.Target, "error", err.Error())
		return
	}
	log.Info("soak: fault removed", "fault", p.Fault, "target", p.Target)
}

// selectFaults returns the faults with the names in a list that commas separate, or all faults if it is empty.
func selectFaults[F any](all []F, name func(F) string, only string) ([]F, error) {
	if only == "" {
		return all, nil
	}
	names := make([]string, 0, len(all))
	for _, f := range all {
		names = append(names, name(f))
	}
	var selected []F
	for want := range strings.SplitSeq(only, ",") {
		n := slices.Index(names, strings.TrimSpace(want))
		if n < 0 {
			return nil, oops.Errorf("unknown fault %q; known faults: %s", want, strings.Join(names, ", "))
		}
		selected = append(selected, all[n])
	}
	return selected, nil
}
