package serve

import (
	"net/http"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

// RecordHead records what the head of a response says about its upstream. The response was to a request of another instance that
// was sent, at a time, over a connection of this one.
func (h *Handler) RecordHead(now, sent time.Time, upstream fleet.Entry, head *http.Response) {
	c := &call{sentAt: sent, headAt: now}
	c.choice.Entry = upstream
	h.recordNotices("", c, head.StatusCode, h.Dialect.ParseResponse(head.Header))
}

// recordNotices records what an upstream said about itself in the head of a response to a request.
func (h *Handler) recordNotices(id string, c *call, status int, v ResponseInfo) {
	now, choice := time.Now(), c.choice
	if status == http.StatusMisdirectedRequest && v.Version == 0 {
		// Another upstream has taken over the address.
		return
	}
	if v.Leaving && h.Fleet.MarkLeaving(now, fleet.Departure{ID: choice.ID, Born: choice.Born}, true) {
		h.Log.Info("route: upstream announced that it stops", "id", id, "upstream", choice.ID, "status", status)
		h.Pool.CloseIdle(choice.Address)
	}
	h.recordLimit(now, id, c, status, v)
	if status == http.StatusServiceUnavailable && v.RetryAfter > 0 {
		h.Fleet.PauseUntil(now, choice.ID, choice.Born, now.Add(v.RetryAfter))
		h.Log.Info("route: upstream accepts no requests for a time", "id", id, "upstream", choice.ID, "wait_ms", v.RetryAfter.Milliseconds())
	}
}

// recordLimit records the limit that a response names, or that it names none. Responses that may not come from the upstream's
// application do not end a limit.
func (h *Handler) recordLimit(now time.Time, id string, c *call, status int, v ResponseInfo) {
	l := fleet.Limit{ID: c.choice.ID, Born: c.choice.Born, Rate: v.Limit, Brittle: v.Brittle, Age: int64(now.Sub(c.headAt))}
	switch {
	case v.Limit != nil || v.Brittle != nil:
		h.Metrics.Counter("responses_with_limit").Inc(1)
	case v.Signed || v.NotRun:
		l.Age = int64(now.Sub(c.sentAt))
	default:
		return
	}
	if h.Fleet.ObserveLimit(now, l, true) {
		h.Log.Info("route: limit of an upstream changed", "id", id, "upstream", l.ID, "status", status, "per_second", l.Rate, "brittle", l.Brittle)
	}
}
