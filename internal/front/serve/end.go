package serve

import (
	"context"
	"fmt"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/front/detour"
	"github.com/skylarkquay/skylarkquay/internal/front/link"
)

// checkEnd returns an error if the body of a call, which has been read to EOF, may not be whole. Where only the end of the connection
// marks that of the body, the upstream has to run still: the kernel ends the connections of a process that is killed in the same way.
func (x *exchange) checkEnd(ctx context.Context, c *call) error {
	if c.resp.Framing() != link.ByConnection {
		return nil
	}
	started := time.Now()
	err := x.Pool.CheckRunning(ctx, detour.Target{ID: c.choice.ID, Address: c.choice.Address})
	outcome := "running"
	if err != nil {
		outcome = "not reached"
		err = fmt.Errorf("the connection that ends the response is closed, and the upstream cannot be reached: %w", err)
	}
	x.Log.Info("route: response ended with its connection", "id", x.info.ID, "upstream", c.choice.ID, "relayed", c.resp.Relayed(),
		"outcome", outcome, "error", errorText(err), "took_ms", time.Since(started).Milliseconds())
	x.Metrics.Tagged(map[string]string{"outcome": outcome}).Counter("connection_ends").Inc(1)
	return err
}
