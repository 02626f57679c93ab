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

// answers implements wire.Peer: the heartbeats of peers, and the calls for tokens and claims.
type answers struct {
	*peers
}

// Take spends tokens of an own share for a peer.
func (a answers) Take(_ context.Context, in *wire.TakeRequest) (*wire.TakeReply, error) {
	budget, ok := a.budget(in.Workspace)
	if !ok || in.Tokens <= 0 {
		return &wire.TakeReply{}, nil
	}
	k := share.Key{Workspace: in.Workspace, Partition: int(in.Partition)}
	given, left, held := a.router.limiter.ServeTake(time.Now(), k, budget, share.TakeRequest{ID: in.Request, Tokens: in.Tokens, Firm: in.Firm})
	return &wire.TakeReply{Given: given, Level: left, Held: held}, nil
}

// Give puts a peer's unused tokens back; none is an answer too, that frees the room kept for them.
func (a answers) Give(_ context.Context, in *wire.GiveRequest) (*wire.GiveReply, error) {
	budget, ok := a.budget(in.Workspace)
	if ok && in.Tokens >= 0 {
		k := share.Key{Workspace: in.Workspace, Partition: int(in.Partition)}
		a.router.limiter.ServeReturn(time.Now(), k, budget, in.Request, in.Tokens)
	}
	return &wire.GiveReply{}, nil
}

// Withdraw promises not to support a silent incarnation for a while.
func (a answers) Withdraw(_ context.Context, in *wire.WithdrawRequest) (*wire.WithdrawReply, error) {
	return &wire.WithdrawReply{Votes: unsigned(a.router.keeper.WithdrawSupport(time.Now(), in.Incarnation))}, nil
}

// Resolve answers how far an attempt of this router got.
func (a answers) Resolve(_ context.Context, in *wire.ResolveRequest) (*wire.ResolveReply, error) {
	state, answer := a.router.desk.Resolve(in.Attempt)
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

// resolve implements claim.Resolver.
func (p *peers) resolve(ctx context.Context, router, attempt string) (claim.State, *claim.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	reply, err := p.to(router).Resolve(ctx, &wire.ResolveRequest{Attempt: attempt})
	if err != nil {
		return "", nil, err
	}
	if len(reply.Answer) == 0 {
		return claim.State(reply.State), nil, nil
	}
	var answer claim.Response
	if err := json.Unmarshal(reply.Answer, &answer); err != nil {
		return "", nil, oops.Wrapf(err, "answer of attempt %s", attempt)
	}
	return claim.State(reply.State), &answer, nil
}

// deaths implements chat.CrashRecorder: it counts here at once and in the table soon after.
type deaths struct {
	router *Router
}

const deathStoreLimit = 30 * time.Second

// RecordCrash counts the death of an upstream.
func (d *deaths) RecordCrash(fingerprint string) {
	m := d.router.crashes.Crashed(time.Now(), fingerprint)
	d.router.log.Info("crash: upstream died under a request", "fingerprint", fingerprint, "deaths", m.Count)
	go d.store(fingerprint, 1)
}

// RecordSuccess clears the count.
func (d *deaths) RecordSuccess(fingerprint string) {
	d.router.crashes.Completed(time.Now(), fingerprint)
	go d.store(fingerprint, -1)
}

func (d *deaths) store(fingerprint string, count int) {
	ctx, cancel := context.WithTimeout(context.Background(), deathStoreLimit)
	defer cancel()
	if err := d.router.crashes.Store(ctx, time.Now(), d.router.table, fingerprint, rand.Text(), count); err != nil {
		d.router.log.Info("crash: count not stored", "fingerprint", fingerprint, "reason", err.Error())
	}
}
