package link

import (
	"context"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/front/detour"
)

// exitTime is the time that the kernel takes to close the listener and the connections of a process that has been killed.
const exitTime = 10 * time.Millisecond

// CheckRunning returns an error unless an upstream accepts a new connection after the end of another one. A direct connection is kept
// for later requests.
func (p *Pool) CheckRunning(ctx context.Context, t detour.Target) error {
	if err := sleep.For(ctx, exitTime); err != nil {
		return err
	}
	raw, err := p.dialer.Dial(ctx, t, examineTimeout)
	if err != nil {
		return err
	}
	limit := p.limit(t.Address)
	if _, relayed := raw.(*detour.Conn); relayed || !p.reserve(t.Address, limit) {
		// The connection has served its purpose.
		_ = raw.Close()
		return nil
	}
	p.onOpen()
	c := newConn(raw, t.Address)
	c.idleTimeout, c.lastUsed = defaultIdleTimeout, time.Now()
	p.putIdle(c)
	return nil
}
