package daemon

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/samber/oops"
	"github.com/twitchtv/twirp"

	"github.com/skylarkquay/skylarkquay/internal/limit/share"
	"github.com/skylarkquay/skylarkquay/internal/once/claim"
	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
)

// peerServer implements wire.Peer. The embedded peers serves heartbeats and configuration pulls.
type peerServer struct {
	*peers
}

// Take spends tokens of a share that this instance holds on behalf of a peer.
func (s peerServer) Take(_ context.Context, in *wire.TakeRequest) (*wire.TakeReply, error) {
	budget, ok := s.budget(in.Workspace)
	if !ok || in.Tokens <= 0 {
		return &wire.TakeReply{}, nil
	}
	k := share.Key{Workspace: in.Workspace, Partition: int(in.Partition)}
	given, left, held := s.router.limiter.ServeTake(time.Now(), k, budget, share.TakeRequest{ID: in.Request, Tokens: in.Tokens, Firm: in.Firm})
	return &wire.TakeReply{Given: given, Level: left, Held: held}, nil
}

// Give returns a peer's unused tokens to the share. Zero tokens is valid and releases the reservation.
func (s peerServer) Give(_ context.Context, in *wire.GiveRequest) (*wire.GiveReply, error) {
	budget, ok := s.budget(in.Workspace)
	if ok && in.Tokens >= 0 {
		k := share.Key{Workspace: in.Workspace, Partition: int(in.Partition)}
		s.router.limiter.ServeReturn(time.Now(), k, budget, in.Request, in.Tokens)
	}
	return &wire.GiveReply{}, nil
}

// Withdraw promises not to support an unresponsive incarnation for a period, and returns this instance's votes.
func (s peerServer) Withdraw(_ context.Context, in *wire.WithdrawRequest) (*wire.WithdrawReply, error) {
	return &wire.WithdrawReply{Votes: toUint32s(s.router.leases.WithdrawSupport(time.Now(), in.Incarnation))}, nil
}

// Resolve returns the state of an attempt of this router and its response, if any. An attempt that was not sent is voided.
func (s peerServer) Resolve(_ context.Context, in *wire.ResolveRequest) (*wire.ResolveReply, error) {
	state, answer := s.router.claims.Resolve(in.Attempt)
	reply := &wire.ResolveReply{State: string(state)}
	if answer != nil {
		data, err := json.Marshal(answer)
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		reply.Answer = data
	}
	return reply, nil
}

// resolve implements claim.Resolver by a call to the router of the attempt.
func (p *peers) resolve(ctx context.Context, router, attempt string) (claim.State, *claim.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	reply, err := p.clientFor(router).Resolve(ctx, &wire.ResolveRequest{Attempt: attempt})
	if err != nil {
		return "", nil, err
	}
	if len(reply.Answer) == 0 {
		return claim.State(reply.State), nil, nil
	}
	var answer claim.Response
	if err := json.Unmarshal(reply.Answer, &answer); err != nil {
		return "", nil, oops.Wrapf(err, "decode response of attempt %s", attempt)
	}
	return claim.State(reply.State), &answer, nil
}

// crashRecorder implements chat.Deaths. It updates the local count at once and stores it in the table asynchronously.
type crashRecorder struct {
	router *Router
}

const crashStoreTimeout = 30 * time.Second

// RecordCrash counts a crash of an upstream while it ran the request.
func (c *crashRecorder) RecordCrash(fingerprint string) {
	m := c.router.crashes.Crashed(time.Now(), fingerprint)
	c.router.log.Info("crash: upstream crashed while running a request", "fingerprint", fingerprint, "deaths", m.Count)
	go c.store(fingerprint, 1)
}

// RecordSuccess clears the count of a request that ran to its end.
func (c *crashRecorder) RecordSuccess(fingerprint string) {
	c.router.crashes.Completed(time.Now(), fingerprint)
	go c.store(fingerprint, -1)
}

func (c *crashRecorder) store(fingerprint string, count int) {
	ctx, cancel := context.WithTimeout(context.Background(), crashStoreTimeout)
	defer cancel()
	if err := c.router.crashes.Store(ctx, time.Now(), c.router.table, fingerprint, rand.Text(), count); err != nil {
		c.router.log.Info("crash: could not store the count", "fingerprint", fingerprint, "reason", err.Error())
	}
}
