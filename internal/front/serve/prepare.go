package serve

import (
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

// barredError is returned when a request that was placed may no longer be sent to its upstream. Nothing was sent.
type barredError struct{ reason fleet.Bar }

// Error implements error.
func (e *barredError) Error() string { return "barred after it was placed: " + string(e.reason) }

// prepare returns an error if a call may no longer be sent. It is called when there is a connection, which may take longer than it takes
// to learn that the upstream must not get the request.
func (x *exchange) prepare(now time.Time, c *call) error {
	if bar := x.Fleet.Check(now, c.choice.Entry); bar != fleet.NotBarred {
		return &barredError{bar}
	}
	return nil
}
