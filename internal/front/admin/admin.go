// Package admin implements the operator API: status, sections of the routing document, placement explanations and drains.
package admin

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/feed"
	"github.com/skylarkquay/skylarkquay/internal/conf/ledger"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/peer/lease"
	"github.com/skylarkquay/skylarkquay/internal/peer/member"
	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
	"github.com/skylarkquay/skylarkquay/internal/route/picker"
	"github.com/skylarkquay/skylarkquay/internal/route/placer"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
)

// Operator implements wire.Operator.
type Operator struct {
	Feed    *feed.Feed
	Ledger  *ledger.Ledger
	Members *member.Table
	Leases  *lease.Manager
	Placer  *placer.Placer
	Log     logr.Logger
	Zone    string
	// OpenRequests returns the number of requests in progress.
	OpenRequests func() int
	// StartDrain marks the instance as draining. It keeps serving.
	StartDrain func()
	// EditCommitted is called with each committed edit, to activate it on this instance.
	EditCommitted func(ledger.Outcome)
}

// Status implements wire.Operator.
func (o *Operator) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	now := time.Now()
	self := o.Members.Self()
	reply := &wire.StatusReply{
		Self:         wireMember(self),
		Revision:     o.Feed.Revision(),
		AgeMillis:    o.Feed.ConfirmationAge(now).Milliseconds(),
		Current:      o.Feed.Check(now, o.Members.Size(now)) == nil,
		Draining:     self.Leaving,
		Partitions:   o.Leases.Partitions(now),
		OpenRequests: int64(o.OpenRequests()),
	}
	for _, m := range o.Members.Live(now) {
		reply.Members = append(reply.Members, wireMember(m))
	}
	return reply, nil
}

// Fetch implements wire.Operator. It reads the latest document from the store, or the active one when the store is down.
func (o *Operator) Fetch(ctx context.Context, in *wire.FetchRequest) (*wire.FetchReply, error) {
	doc := o.document()
	if loaded, err := o.Ledger.Load(ctx, doc); err == nil {
		doc = loaded
	}
	section := rules.Section(in.Section)
	text, err := doc.Text(section)
	if err != nil {
		return nil, twirp.InvalidArgumentError("section", err.Error())
	}
	return &wire.FetchReply{Section: in.Section, Text: text, Revision: doc.Changed[section]}, nil
}

// Apply implements wire.Operator.
func (o *Operator) Apply(ctx context.Context, in *wire.ApplyRequest) (*wire.ApplyReply, error) {
	if in.Edit == "" {
		return nil, twirp.RequiredArgumentError("edit")
	}
	out, err := o.Ledger.Commit(ctx, time.Now(), o.document(), ledger.Edit{
		ID:       in.Edit,
		Section:  rules.Section(in.Section),
		Text:     in.Text,
		Base:     in.Base,
		Operator: in.Operator,
	})
	if err != nil {
		o.Log.Info("config: refused edit", "section", in.Section, "operator", in.Operator, "reason", err.Error())
		return nil, twirpError(err)
	}
	o.Log.Info("config: accepted edit", "section", in.Section, "operator", in.Operator, "revision", out.Entry.Revision, "again", out.AlreadyAccepted)
	o.EditCommitted(out)
	return &wire.ApplyReply{Revision: out.Entry.Revision, Again: out.AlreadyAccepted}, nil
}

// Explain implements wire.Operator.
func (o *Operator) Explain(_ context.Context, in *wire.ExplainRequest) (*wire.ExplainReply, error) {
	now := time.Now()
	doc := o.document()
	model, ok := doc.Models[in.Model]
	if !ok {
		return nil, twirp.NotFoundError("model " + in.Model + " is not served here")
	}
	prompt := []byte(in.Prompt)
	query := picker.Query{
		Model:  in.Model,
		Zone:   o.Zone,
		Chain:  prefix.Chain(prefix.Salt{Workspace: in.Workspace, Model: in.Model, Weights: model.Weights}, prompt),
		Tokens: prefix.Tokens(prompt),
	}
	decision := o.Placer.Evaluate(now, query)
	reply := &wire.ExplainReply{
		PromptTokens: query.Tokens,
		Why:          "no engine can take the request",
		Placer:       o.Placer.Owner(now, in.Model, in.Workspace),
	}
	if c, ok := decision.Chosen(); ok {
		reply.Chosen = c.Name
		reply.Why = "lowest expected time to first token"
	}
	for _, c := range decision.Candidates {
		reply.Candidates = append(reply.Candidates, &wire.Candidate{
			Upstream:       c.Name,
			Zone:           c.Zone,
			QueueSeconds:   c.Queue.Seconds(),
			ComputeSeconds: c.Compute.Seconds(),
			HopSeconds:     c.CrossZone.Seconds(),
			TotalSeconds:   c.Total.Seconds(),
			CachedTokens:   c.CachedTokens,
		})
	}
	return reply, nil
}

// Drain implements wire.Operator. The process keeps serving until it receives its stop signal.
func (o *Operator) Drain(context.Context, *wire.DrainRequest) (*wire.DrainReply, error) {
	o.StartDrain()
	return &wire.DrainReply{}, nil
}

// document returns the active document, or an empty one.
func (o *Operator) document() *rules.Document {
	doc, _ := o.Feed.Document()
	if doc == nil {
		return rules.Empty()
	}
	return doc
}

// twirpError converts a listed fault to a Twirp error with the same kind and message.
func twirpError(err error) error {
	e := fault.From(err)
	code := twirp.Internal
	switch e.Kind {
	case fault.BadRequest:
		code = twirp.InvalidArgument
	case fault.Conflict:
		code = twirp.FailedPrecondition
	case fault.ClaimStoreDown:
		code = twirp.Unavailable
	case fault.OutcomeUnknown:
		code = twirp.DeadlineExceeded
	}
	return twirp.NewError(code, e.Message).WithMeta("kind", string(e.Kind))
}

func wireMember(m member.Member) *wire.Member {
	return &wire.Member{Address: m.Address, Zone: m.Zone, Incarnation: m.Incarnation, Counter: m.Counter, Leaving: m.Leaving, Partitions: m.Partitions}
}
