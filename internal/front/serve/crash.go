package serve

import (
	"context"
	"time"
)

// maxLoggedParts limits the prompt parts in a log line.
const maxLoggedParts = 8

// logCrash logs a request whose upstream broke it off.
func (x *exchange) logCrash(ctx context.Context, now time.Time, c *call) {
	sinceHead := int64(-1)
	if !c.headAt.IsZero() {
		sinceHead = now.Sub(c.headAt).Milliseconds()
	}
	parts := make([]string, 0, maxLoggedParts)
	for _, p := range x.info.SharedParts() {
		if len(parts) < maxLoggedParts {
			parts = append(parts, p.ID)
		}
	}
	x.Log.Info("crash: upstream broke off a request", "id", x.info.ID, "upstream", c.choice.ID, "parts", parts, "since_head_ms", sinceHead,
		"events", x.lastEventID, "refuses", x.Pool.Refuses(ctx, c.choice.Address))
}
