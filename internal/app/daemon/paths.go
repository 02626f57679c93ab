package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/memory"
	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/front/detour"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
)

const (
	// relayCheckInterval is the interval at which a stopping instance checks whether it still relays.
	relayCheckInterval = 50 * time.Millisecond
	// maxRelayed limits the connections for other instances, which take tens of kilobytes each.
	maxRelayed = 500
)

// buildDialer builds what connects to upstreams, through other instances where this one has no path.
func (r *Router) buildDialer() {
	r.dialer = &detour.Dialer{
		Direct: relay.DialTCP, Candidates: r.relayCandidates, Upstreams: r.upstreamAddresses, Paths: detour.NewPaths(), Log: r.log,
	}
	r.relay = &detour.Relay{
		Dialer: r.dialer, Max: maxRelayed, Accepts: r.acceptsRelay, OnHead: func(_, _ time.Time, _ detour.Target, _ *http.Response) {},
	}
	r.pool = relay.NewPool(func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
		return r.dialer.Dial(ctx, detour.Target{Address: address}, timeout)
	})
	r.pool.SetMemory(memoryBytes(r.settings, memory.OfMachine()) / responsesDivisor)
}

// acceptsRelay reports whether this instance may connect to an upstream for another one. One that is about to stop would cut it.
func (r *Router) acceptsRelay(_ time.Time, t detour.Target) bool {
	return !r.members.Self().Leaving && slices.Contains(r.upstreamAddresses(), t.Address)
}

// SetDirect replaces the function that connects to upstreams without another instance. It is called before Run.
func (r *Router) SetDirect(dial relay.Dial) { r.dialer.Direct = dial }

// relayCandidates returns the other instances in random order.
func (r *Router) relayCandidates() []string {
	var addresses []string
	for _, m := range r.members.Live(time.Now()) {
		if m.Address != r.settings.Peer && !m.Leaving {
			addresses = append(addresses, m.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// upstreamAddresses returns the addresses of the upstreams in the routing document.
func (r *Router) upstreamAddresses() []string {
	doc, _ := r.feed.Document()
	if doc == nil {
		return nil
	}
	var addresses []string
	for _, u := range doc.Upstreams {
		addresses = append(addresses, u.Address)
	}
	return addresses
}

// checkPaths checks the paths to the upstreams until the context ends.
func (r *Router) checkPaths(ctx context.Context) error {
	r.dialer.CheckPaths(ctx, r.upstreamAddresses)
	return nil
}

// waitRelayed waits until no connection is relayed for other instances, or the context ends.
func (r *Router) waitRelayed(ctx context.Context) {
	for r.relay.Open() > 0 && sleep.For(ctx, relayCheckInterval) == nil {
	}
}
