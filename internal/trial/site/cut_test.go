package site

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/front/relay"
)

// A router without a path to any upstream serves its callers through another one.
func TestRouterWithoutUpstreamsServesItsCallers(t *testing.T) {
	var cut atomic.Bool
	s := startSite(t, Options{Routers: 3, Engines: 2, Services: 2, Direct: func(router int) relay.Dial {
		return func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
			if router == 0 && cut.Load() {
				select {
				case <-ctx.Done():
				case <-time.After(timeout):
				}
				return nil, errors.New("no path")
			}
			return relay.DialTCP(ctx, address, timeout)
		}
	}})
	waitPartitions(t, s)
	cut.Store(true)
	const calls = 8
	streams, bookings := 0, 0
	for i := range calls {
		text, err := streamText(t.Context(), s.Routers[0], s.Keys["acme"], fmt.Sprint("prompt ", i), 5)
		if err == nil && text == wantText(fmt.Sprint("prompt ", i), 5) {
			streams++
		}
		if post(t, s.Routers[0], s.Keys["acme"], "/bookings", bookingBody(i), idempotencyHeader(fmt.Sprint("k", i))).StatusCode == 200 {
			bookings++
		}
		must.LessEq(t, 1, runCount(s, bookingBody(i)))
	}
	t.Logf("%d streams and %d bookings of %d", streams, bookings, calls)
	must.GreaterEq(t, calls-1, streams)
	must.GreaterEq(t, calls-1, bookings)
}
