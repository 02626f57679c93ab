// Package sleep sleeps until a duration has passed or a context ends.
package sleep

import (
	"context"
	"time"
)

// For sleeps for a duration. It returns the context's error if the context ends first.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
