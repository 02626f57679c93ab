package serve

import (
	"net/http"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/learn"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

// paces looks up the paces of upstreams for one placement.
type paces struct {
	learner *learn.Tracker
	now     time.Time
}

// Pace implements place.Paces.
func (p paces) Pace(v *fleet.View) (pace, samples float64) {
	return p.learner.Pace(p.now, v.ID, v.Born, learn.WeightsKey(v.Weights))
}

// learned returns what is known of the service, or nil if the document and what was seen do not call for it.
func (x *exchange) learned(now time.Time) *place.Learned {
	if !x.route.Language || !x.LearnedCosts(now, x.doc) {
		return nil
	}
	estimate := x.Learner.Estimate(now, x.service)
	l := &place.Learned{
		Base: estimate.Base, PerToken: estimate.PerToken, PerRunning: estimate.PerRunning, First: estimate.First, Paces: paces{x.Learner, now},
	}
	if s := x.doc.Services[x.service]; s != nil && s.Engine != nil && x.Learner.CacheBinds(now, x.service, s.Engine.CacheTokens, s.Engine.Slots) {
		l.CacheTokens, l.HeldTokens = s.Engine.CacheTokens, x.cacheTokens(now)
		l.Lasting = estimate.Lasting
	}
	return l
}

// LearnedCosts reports whether requests are placed by learned costs: if engines of the document hold fewer mean requests in their
// KV caches than they have slots, or work at another speed than is assumed or than each other.
func (h *Handler) LearnedCosts(now time.Time, doc *policy.Document) bool {
	if h.Learner == nil || doc == nil {
		return false
	}
	for name, s := range doc.Services {
		if s.Engine == nil {
			continue
		}
		estimate := h.Learner.Estimate(now, name)
		if estimate.Acting || estimate.Mixed || h.Learner.CacheBinds(now, name, s.Engine.CacheTokens, s.Engine.Slots) {
			return true
		}
	}
	return false
}

// cacheTokens returns the number of tokens that the request is expected to need in a KV cache.
func (x *exchange) cacheTokens(now time.Time) int64 {
	return x.info.PromptTokens + x.Learner.ExpectedOutput(now, x.route.Name, x.info.MaxOutputTokens)
}

// holdCache records the room that a call needs in the KV cache of its engine.
func (x *exchange) holdCache(c *call) {
	s := x.doc.Services[x.service]
	if x.Learner == nil || !x.route.Language || s == nil || s.Engine == nil || s.Engine.CacheTokens <= 0 {
		return
	}
	tokens := x.cacheTokens(c.sentAt)
	x.Learner.Held(c.sentAt, x.service, tokens)
	if x.Learner.CacheBinds(c.sentAt, x.service, s.Engine.CacheTokens, s.Engine.Slots) {
		c.held = tokens
		x.Fleet.CacheHeld(c.choice.ID, tokens)
	}
}

// learnFrom adds the time of a call to what is known of its service and upstream. Cut reports whether it ended without a response.
func (x *exchange) learnFrom(now time.Time, c *call, cut bool) {
	if x.Learner == nil || !cut && c.resp.Status >= http.StatusMultipleChoices {
		return
	}
	sample := learn.Sample{
		Service: x.service, Upstream: c.choice.ID, Born: c.choice.Born, Version: learn.WeightsKey(c.choice.Weights), Took: now.Sub(c.sentAt), Cut: cut,
	}
	if !x.route.Language {
		sample.Route = x.route.Name
		x.Learner.Plain(now, sample)
		return
	}
	sample.Tokens, sample.Ahead, sample.Running = c.choice.PrefillTokens, c.choice.PendingTokens, c.choice.Running
	x.Learner.Prompt(now, sample)
}

// learnAnswer adds the length of a complete answer, unless an earlier request brought the beginning of it, and the time between its
// events.
func (x *exchange) learnAnswer(now time.Time, c *call) {
	if x.Learner == nil || !x.route.Language {
		return
	}
	if x.info.LastEventID == "" {
		x.Learner.Output(now, x.route.Name, x.eventCount)
	}
	x.Learner.Lasted(now, x.service, now.Sub(c.sentAt))
	if c.eventCount < minStepEvents {
		return
	}
	x.Learner.Steps(now, learn.Sample{
		Service: x.service, Upstream: c.choice.ID, Born: c.choice.Born, Version: learn.WeightsKey(c.choice.Weights),
		Took: c.lastAt.Sub(c.firstAt) / time.Duration(c.eventCount-1),
	})
}

// minStepEvents is the number of events from which the time between them is counted.
const minStepEvents = 4
