// Package pause waits with a context.
package pause

import (
	"context"
	"time"
)

// For waits for a duration, or returns the context's error when that ends first.
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
