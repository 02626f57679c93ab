package soak

import (
	"context"
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

// selectFaults returns the fault with a name, or all faults if the name is empty.
func selectFaults[F any](all []F, name func(F) string, only string) ([]F, error) {
	if only == "" {
		return all, nil
	}
	names := make([]string, 0, len(all))
	for _, f := range all {
		if name(f) == only {
			return []F{f}, nil
		}
		names = append(names, name(f))
	}
	return nil, oops.Errorf("unknown fault %q; known faults: %s", only, strings.Join(names, ", "))
}
