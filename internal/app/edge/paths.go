package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/front/detour"
	"github.com/skylarkquay/skylarkquay/internal/front/link"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

// sampleSize is how many upstreams are probed to distinguish a failed KV store from a broken path.
const sampleSize = 3

// newDialer returns the dialer for upstreams, and the relay that connects to them for other instances.
func (e *Edge) newDialer() (*detour.Dialer, *detour.Relay) {
	d := &detour.Dialer{
		Direct: link.DialTCP, Paths: detour.NewPaths(), Log: e.log,
		Candidates: func() []string { return e.exchange.Attached() }, Upstreams: e.upstreamAddresses,
	}
	// A connection takes tens of kilobytes here, so that all together take a small part of the memory.
	return d, &detour.Relay{Dialer: d, Max: e.settings.MemoryMB, Accepts: e.acceptsRelay, OnHead: e.recordRelayedHead}
}

// dialEngine connects to an engine or KV store without another instance, for orders and reports.
func (e *Edge) dialEngine(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := e.dialer.Direct(ctx, address, timeout)
	switch {
	case e.fleet.ServiceAt(address) == "":
	case err == nil:
		e.dialer.Paths.Connected(time.Now(), address)
	case ctx.Err() == nil:
		e.dialer.Paths.Failed(time.Now(), address, false)
	}
	return conn, err
}

// acceptsRelay reports whether this instance may connect to an upstream for another one. What the upstream has said to this
// instance holds for all requests that it gets from there.
func (e *Edge) acceptsRelay(now time.Time, t detour.Target) bool {
	v, ok := e.fleet.View(now, t.ID)
	return ok && v.Address == t.Address && (t.Born == 0 || t.Born == v.Born) && v.State == fleet.Ready && v.RetryAt.IsZero() && !e.handler.Draining.Load()
}

func (e *Edge) recordRelayedHead(now, connected time.Time, t detour.Target, head *http.Response) {
	if v, ok := e.fleet.View(now, t.ID); ok {
		e.handler.RecordHead(now, connected, v.Entry, head)
	}
}

// checkPaths checks the paths to the upstreams until the context ends.
func (e *Edge) checkPaths(ctx context.Context) {
	e.dialer.CheckPaths(ctx, e.upstreamAddresses)
}

func (e *Edge) upstreamAddresses() []string {
	var addresses []string
	for _, entry := range e.fleet.Entries() {
		addresses = append(addresses, entry.Address)
	}
	return addresses
}

// checkDetached reports whether this instance has no path to any upstream, and reports a change to the others at once.
func (e *Edge) checkDetached() bool {
	detached := e.dialer.Paths.Detached()
	if e.fleet.SetDetached(detached) {
		e.log.Info("detour: path to the upstreams changed", "detached", detached, "relayed", e.relay.Open())
		e.metrics.Counter("detached").Inc(1)
		e.exchange.TriggerSend()
	}
	return detached
}

// hasPath probes some upstreams and reports whether one of them can be reached.
func (e *Edge) hasPath(ctx context.Context) bool {
	addresses := e.upstreamAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return e.dialer.Probe(ctx, addresses[:min(sampleSize, len(addresses))])
}
