package soak

import (
	"context"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
)

// Play is one fault of a run.
type Play struct {
	Fault  string        `json:"fault"`
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Target int           `json:"target"`
}

// staged is a play with its kind of fault.
type staged[F any] struct {
	Play
	fault F
}

func playsOf[F any](all []staged[F]) []Play {
	plays := make([]Play, 0, len(all))
	for _, p := range all {
		plays = append(plays, p.Play)
	}
	return plays
}

// run waits for the play's time, begins the fault and ends it when it has lasted.
func (p Play) run(ctx context.Context, began time.Time, log logr.Logger, begin func() (end func() error)) {
	if sleep.For(ctx, time.Until(began.Add(p.At))) != nil {
		return
	}
	log.Info("soak: fault began", "fault", p.Fault, "target", p.Target, "for", p.For.String())
	end := begin()
	// A fault ends also when the context ends before.
	_ = sleep.For(ctx, p.For)
	if err := end(); err != nil {
		log.Info("soak: fault could not be ended", "fault", p.Fault, "target", p.Target, "error", err.Error())
		return
	}
	log.Info("soak: fault ended", "fault", p.Fault, "target", p.Target)
}

// named returns the faults of one name, all when it is empty.
func named[F any](all []F, name func(F) string, only string) ([]F, error) {
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
	return nil, oops.Errorf("unknown fault %q; there are: %s", only, strings.Join(names, ", "))
}
