package detour

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// checkInterval is the interval between checks of broken paths.
	checkInterval = 250 * time.Millisecond
	// probeTimeout bounds a connection that checks a path.
	probeTimeout = 150 * time.Millisecond
)

// Finding is why a connection to an upstream may have broken off.
type Finding string

// The findings.
const (
	// Ended means that the upstream refuses connections of an instance that reaches others, so that its process has ended.
	Ended Finding = "ended"
	// Reachable means that this instance can connect to the upstream.
	Reachable Finding = "reachable"
	// Silent means that no instance that was asked can connect to the upstream, and that it is not known to have ended.
	Silent Finding = "silent"
	// PathBroken means that this instance has no path of its own to the upstream.
	PathBroken Finding = "path broken"
)

// Examine connects to an upstream to find out why a connection to it has broken off. A refusal that only this instance sees shows a
// broken path.
func (d *Dialer) Examine(ctx context.Context, t Target, timeout time.Duration) Finding {
	began := time.Now()
	conn, err := d.Dial(ctx, t, timeout)
	if err == nil {
		_ = conn.Close()
	}
	_, relayed := conn.(*Conn)
	switch {
	case errors.Is(err, ErrRefused), errors.Is(err, syscall.ECONNREFUSED) && (d.isAlone(t.Address) || d.reachesOthers(ctx, began, t.Address)):
		return Ended
	case errors.Is(err, ErrNoPath):
		return PathBroken
	case err != nil:
		return Silent
	case relayed:
		return PathBroken
	default:
		return Reachable
	}
}

// CheckPaths checks, until the context ends, whether broken paths have been restored and whether this instance has lost its path to
// all upstreams. Upstreams returns the addresses of those that are listed.
func (d *Dialer) CheckPaths(ctx context.Context, upstreams func() []string) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.Paths.suspected:
		}
		d.checkPaths(ctx, time.Now(), upstreams())
	}
}

func (d *Dialer) checkPaths(ctx context.Context, now time.Time, upstreams []string) {
	broken := d.Paths.broken(now, upstreams)
	if d.Paths.Suspect(now) || d.Paths.Detached() {
		// The upstreams that failed may have ended. Others show whether it is the path.
		rand.Shuffle(len(upstreams), func(i, j int) { upstreams[i], upstreams[j] = upstreams[j], upstreams[i] })
		sample := upstreams[:min(maxProbes, len(upstreams))]
		if len(sample) > 0 && !d.Probe(ctx, sample) && ctx.Err() == nil {
			d.Paths.detach(now)
		}
	}
	if len(broken) > 0 && !d.Paths.Detached() {
		d.Probe(ctx, broken)
	}
}

// Probe checks whether this instance can connect to upstreams itself, and reports whether it could to any.
func (d *Dialer) Probe(ctx context.Context, addresses []string) bool {
	outcomes := make(chan outcome, len(addresses))
	for _, address := range addresses {
		go func() {
			conn, err := d.Direct(ctx, address, probeTimeout)
			if err == nil {
				_ = conn.Close()
				d.Paths.Connected(time.Now(), address)
			} else if ctx.Err() == nil {
				d.Paths.Failed(time.Now(), address, false)
			}
			outcomes <- outcome{err: err}
		}()
	}
	for range addresses {
		if o := <-outcomes; o.err == nil {
			return true
		}
	}
	return false
}
