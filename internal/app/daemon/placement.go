package daemon

import (
	"context"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/peer/member"
	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
	"github.com/skylarkquay/skylarkquay/internal/route/picker"
	"github.com/skylarkquay/skylarkquay/internal/route/placer"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
)

const (
	placeTimeout = 50 * time.Millisecond
	learnTimeout = 500 * time.Millisecond
)

// placerMembers implements placer.Members on the member table.
type placerMembers struct {
	members *member.Table
}

// Self implements placer.Members.
func (p placerMembers) Self() string {
	return p.members.Self().Address
}

// Eligible implements placer.Members.
func (p placerMembers) Eligible(now time.Time) []string {
	var addresses []string
	for _, m := range p.members.Live(now) {
		if !m.Leaving {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// Place implements placer.Peers.
func (p *peers) Place(ctx context.Context, address string, q picker.Query) (placer.Choice, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	request := &wire.PlaceRequest{Model: q.Model, Chain: chainToWire(q.Chain), Tokens: q.Tokens, Zone: q.Zone, Seed: q.Seed}
	for name := range q.Avoid {
		request.Avoid = append(request.Avoid, name)
	}
	reply, err := p.clientFor(address).Place(ctx, request)
	if err != nil {
		return placer.Choice{}, err
	}
	return placer.Choice{
		Engine:       reply.Upstream,
		Incarnation:  reply.Incarnation,
		CachedTokens: reply.CachedTokens,
		Total:        time.Duration(reply.TotalMicros) * time.Microsecond,
		Considered:   int(reply.Considered),
	}, nil
}

// SendOutcomes implements placer.Peers.
func (p *peers) SendOutcomes(ctx context.Context, address string, outcomes []placer.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	request := &wire.LearnRequest{}
	for _, o := range outcomes {
		request.Outcomes = append(request.Outcomes, &wire.Outcome{
			Upstream: o.Engine, Incarnation: o.Incarnation, Chain: chainToWire(o.Chain), CachedTokens: o.CachedTokens, Failed: o.Failed,
		})
	}
	if _, err := p.clientFor(address).Learn(ctx, request); err != nil {
		p.router.log.V(1).Info("route: could not report outcomes to peer", "peer", address, "reason", err.Error())
	}
}

// Place chooses an engine for a peer's prompt from the state of this instance.
func (s peerServer) Place(_ context.Context, in *wire.PlaceRequest) (*wire.PlaceReply, error) {
	avoid := make(map[string]bool, len(in.Avoid))
	for _, name := range in.Avoid {
		avoid[name] = true
	}
	c := s.router.placer.PlaceLocally(time.Now(), picker.Query{
		Model:  in.Model,
		Seed:   in.Seed,
		Zone:   in.Zone,
		Chain:  chainFromWire(in.Chain),
		Tokens: in.Tokens,
		Avoid:  avoid,
	})
	return &wire.PlaceReply{
		Upstream: c.Engine, Incarnation: c.Incarnation, CachedTokens: c.CachedTokens, TotalMicros: c.Total.Microseconds(), Considered: int32(c.Considered),
	}, nil
}

// Learn records the outcomes of prompts that this instance placed for a peer.
func (s peerServer) Learn(_ context.Context, in *wire.LearnRequest) (*wire.LearnReply, error) {
	now := time.Now()
	for _, o := range in.Outcomes {
		s.router.placer.ApplyOutcome(now, placer.Outcome{
			Engine: o.Upstream, Incarnation: o.Incarnation, Chain: chainFromWire(o.Chain), CachedTokens: o.CachedTokens, Failed: o.Failed,
		})
	}
	return &wire.LearnReply{}, nil
}

func chainToWire(chain []prefix.Hash) []uint64 {
	all := make([]uint64, len(chain))
	for i, h := range chain {
		all[i] = uint64(h)
	}
	return all
}

func chainFromWire(chain []uint64) []prefix.Hash {
	all := make([]prefix.Hash, len(chain))
	for i, n := range chain {
		all[i] = prefix.Hash(n)
	}
	return all
}
