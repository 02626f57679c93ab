package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/samber/oops"
	"github.com/twitchtv/twirp"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/limit/share"
	"github.com/skylarkquay/skylarkquay/internal/once/crash"
	"github.com/skylarkquay/skylarkquay/internal/peer/member"
	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
)

const (
	heartbeatTimeout = time.Second
	takeTimeout      = 150 * time.Millisecond
	returnTimeout    = 150 * time.Millisecond
	resolveTimeout   = time.Second
	// withdrawTimeout bounds the parallel calls to all live instances.
	withdrawTimeout  = time.Second
	peerDialTimeout  = 200 * time.Millisecond
	peerIdleTimeout  = 30 * time.Second
	peerMaxIdleConns = 4
	// maxPeerResponseBytes bounds the response of another instance; the longest holds a routing document.
	maxPeerResponseBytes = 16 << 20
	// maxShortResponseBytes bounds responses of a few numbers, which many requests wait for at the same time.
	maxShortResponseBytes = 64 << 10
)

// peers calls the other instances and serves their heartbeats and configuration pulls.
type peers struct {
	router *Router
	client *http.Client
	// short is the client for calls with short responses.
	short *http.Client
}

func newPeers(r *Router) *peers {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    peerMaxIdleConns,
		IdleConnTimeout:        peerIdleTimeout,
		MaxResponseHeaderBytes: bound.MaxHeaderBytes,
	}
	return &peers{
		router: r,
		client: &http.Client{Transport: bound.Transport(transport, maxPeerResponseBytes)},
		short:  &http.Client{Transport: bound.Transport(transport, maxShortResponseBytes)},
	}
}

func (p *peers) clientFor(address string) wire.Peer {
	return wire.NewPeerProtobufClient("http://"+address, p.client)
}

// shortClientFor returns a client for calls with short responses.
func (p *peers) shortClientFor(address string) wire.Peer {
	return wire.NewPeerProtobufClient("http://"+address, p.short)
}

// heartbeat builds this instance's heartbeat.
func (p *peers) heartbeat(now time.Time, random *rand.Rand) *wire.BeatRequest {
	r := p.router
	return &wire.BeatRequest{
		Self:      r.members.Heartbeat(),
		Members:   r.members.Sample(now, random),
		Revision:  r.feed.Revision(),
		AgeMillis: r.feed.ConfirmationAge(now).Milliseconds(),
		Deaths:    p.recentCrashes(now),
	}
}

func (p *peers) recentCrashes(now time.Time) []*wire.Death {
	var crashes []*wire.Death
	for _, c := range p.router.crashes.Recent(now) {
		crashes = append(crashes, &wire.Death{Fingerprint: c.Fingerprint, Count: uint32(c.Count), AtMillis: c.At.UnixMilli()})
	}
	return crashes
}

// exchange sends one heartbeat and merges the reply.
func (p *peers) exchange(ctx context.Context, address string, request *wire.BeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := p.clientFor(address).Beat(ctx, request)
	if err != nil {
		p.router.log.V(1).Info("member: heartbeat failed", "peer", address, "reason", err.Error())
		return
	}
	p.merge(reply.Self, reply.Members, reply.Deaths)
	p.router.leases.RecordSupport(time.Now(), sent, toInts(reply.Votes))
	p.mergeRevision(ctx, sent, address, reply.Revision, time.Duration(reply.AgeMillis)*time.Millisecond)
}

// Beat implements wire.Peer.
func (p *peers) Beat(ctx context.Context, in *wire.BeatRequest) (*wire.BeatReply, error) {
	if in.Self == nil {
		return nil, twirp.RequiredArgumentError("self")
	}
	now := time.Now()
	p.merge(in.Self, in.Members, in.Deaths)
	r := p.router
	if in.Revision > r.feed.Revision() {
		go p.catchUp(context.WithoutCancel(ctx), in.Self.Address)
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	out := p.heartbeat(now, random)
	return &wire.BeatReply{
		Self: out.Self, Members: out.Members, Revision: out.Revision, AgeMillis: out.AgeMillis, Deaths: out.Deaths,
		Votes: toUint32s(r.leases.GrantSupport(now, in.Self.Incarnation)),
	}, nil
}

func (p *peers) merge(self *wire.Member, others []*wire.Member, crashes []*wire.Death) {
	now := time.Now()
	p.router.members.Merge(now, self, true)
	for _, m := range others {
		p.router.members.Merge(now, m, false)
	}
	for _, d := range crashes {
		p.router.crashes.Merge(now, crash.Counter{Fingerprint: d.Fingerprint, Count: int(d.Count), At: time.UnixMilli(d.AtMillis)})
	}
}

// mergeRevision records a peer's revision and age. When the revision is newer, it catches up first.
func (p *peers) mergeRevision(ctx context.Context, sent time.Time, address string, revision int64, age time.Duration) {
	if revision > p.router.feed.Revision() {
		p.catchUp(ctx, address)
	}
	p.router.feed.RecordPeer(sent, address, revision, age)
}

// catchUp pulls the missing entries, or a snapshot, from a peer and activates them.
func (p *peers) catchUp(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	feed := p.router.feed
	reply, err := p.clientFor(address).Pull(ctx, &wire.PullRequest{After: feed.Revision()})
	if err != nil {
		p.router.log.Info("config: could not pull from peer", "peer", address, "reason", err.Error())
		return
	}
	if len(reply.Snapshot) > 0 {
		doc, err := rules.Decode(reply.Snapshot)
		if err != nil {
			p.router.log.Info("config: could not decode the snapshot from peer", "peer", address, "reason", err.Error())
			return
		}
		feed.InstallIfNewer(doc)
	}
	entries := make([]rules.Entry, 0, len(reply.Entries))
	for _, data := range reply.Entries {
		var e rules.Entry
		if json.Unmarshal(data, &e) != nil {
			return
		}
		entries = append(entries, e)
	}
	if err := feed.ApplyEntries(entries); err != nil {
		p.router.log.Info("config: could not apply the entries from peer", "peer", address, "reason", err.Error())
		return
	}
	p.router.log.Info("config: revision in force", "revision", feed.Revision(), "source", address)
}

// Pull implements wire.Peer: it returns the entries after a revision, or a snapshot if they are no longer available.
func (p *peers) Pull(_ context.Context, in *wire.PullRequest) (*wire.PullReply, error) {
	feed := p.router.feed
	doc, _ := feed.Document()
	if doc == nil {
		return &wire.PullReply{}, nil
	}
	entries, ok := feed.EntriesAfter(in.After)
	reply := &wire.PullReply{Revision: doc.Revision}
	if !ok {
		data, err := doc.Encode()
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		reply.Snapshot = data
		return reply, nil
	}
	for _, e := range entries {
		data, err := json.Marshal(e)
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		reply.Entries = append(reply.Entries, data)
	}
	return reply, nil
}

// Probe implements lease.Peers by a heartbeat that carries only this instance's own entry.
func (p *peers) Probe(ctx context.Context, address string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := p.clientFor(address).Beat(ctx, &wire.BeatRequest{Self: p.router.members.Heartbeat()})
	if err != nil {
		return "", err
	}
	if reply.Self == nil || reply.Self.Address != address {
		return "", oops.Errorf("another instance answers at %s", address)
	}
	return reply.Self.Incarnation, nil
}

// Withdraw implements lease.Peers.
func (p *peers) Withdraw(ctx context.Context, incarnation string) []int {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	self := p.router.settings.Peer
	others := slices.DeleteFunc(p.router.members.Live(time.Now()), func(m member.Member) bool { return m.Address == self })
	replies := make(chan []uint32, len(others))
	for _, m := range others {
		go func() {
			reply, err := p.shortClientFor(m.Address).Withdraw(ctx, &wire.WithdrawRequest{Incarnation: incarnation})
			if err != nil {
				replies <- nil
				return
			}
			replies <- reply.Votes
		}()
	}
	var votes []int
	for range others {
		votes = append(votes, toInts(<-replies)...)
	}
	return votes
}

func toInts(list []uint32) []int {
	all := make([]int, len(list))
	for i, n := range list {
		all[i] = int(n)
	}
	return all
}

func toUint32s(list []int) []uint32 {
	all := make([]uint32, len(list))
	for i, n := range list {
		all[i] = uint32(n)
	}
	return all
}

// Holder implements admit.Peers.
func (p *peers) Holder(now time.Time, partition int) string {
	return p.router.members.Holder(now, uint32(partition))
}

// Take implements admit.Peers.
func (p *peers) Take(ctx context.Context, address string, k share.Key, w share.TakeRequest) (given, left int64, held bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	reply, err := p.shortClientFor(address).Take(ctx, &wire.TakeRequest{
		Workspace: k.Workspace, Tokens: w.Tokens, Partition: uint32(k.Partition), Request: w.ID, Firm: w.Firm,
	})
	if err != nil {
		return 0, 0, false, err
	}
	return reply.Given, reply.Level, reply.Held, nil
}

// Return implements admit.Peers.
func (p *peers) Return(ctx context.Context, address string, k share.Key, id string, tokens int64) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	_, err := p.shortClientFor(address).Give(ctx, &wire.GiveRequest{
		Workspace: k.Workspace, Tokens: tokens, Partition: uint32(k.Partition), Request: id,
	})
	if err != nil {
		p.router.log.Info("limit: could not return tokens to peer", "workspace", k.Workspace, "tokens", tokens, "peer", address)
	}
}

// limitOf returns a workspace's rate and burst from the active document.
func (p *peers) limitOf(workspace string) (share.Limit, bool) {
	doc, _ := p.router.feed.Document()
	if doc == nil {
		return share.Limit{}, false
	}
	rate, ok := doc.Rates[workspace]
	return share.Limit{Rate: rate.TokensPerSecond, Burst: rate.BurstTokens}, ok
}
