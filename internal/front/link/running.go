package link

import (
	"context"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/base/socket"
	"github.com/skylarkquay/skylarkquay/internal/front/detour"
)

// CheckRunning returns an error unless an upstream accepts a new connection after the end of another one. A direct connection is kept
// for later requests.
func (p *Pool) CheckRunning(ctx context.Context, t detour.Target) error {
	if err := sleep.For(ctx, socket.ExitTime); err != nil {
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
	c := newConn(raw, t.Address, p.Memory)
	c.idleTimeout, c.lastUsed = defaultIdleTimeout, time.Now()
	p.putIdle(c)
	return nil
}
