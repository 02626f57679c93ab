package serve

import (
	"context"
	"time"
)

// countAnswer counts a good answer of a call whose first byte came at a time.
func (x *exchange) countAnswer(c *call, at time.Time) {
	took := at.Sub(c.sentAt)
	x.Shifts.Answered(x.service, c.choice.Build, x.route.Name, took, x.route.Objective > 0 && took > x.route.Objective)
}

// countFailure counts a failure of a call's upstream.
func (x *exchange) countFailure(c *call) { x.Shifts.Failed(x.service, c.choice.Build, x.route.Name) }

// countEnded counts a call that this instance ended before it was answered: as a failure at the deadline, and as a slow answer if the
// caller left when it was late.
func (x *exchange) countEnded(ctx context.Context, now time.Time, c *call) {
	switch {
	case ctx.Err() == nil || x.endedByStop(now) || x.streaming:
	case !now.Before(x.deadline):
		x.countFailure(c)
	case x.r.Context().Err() != nil && x.route.Objective > 0 && now.Sub(c.sentAt) > x.route.Objective:
		x.countAnswer(c, now)
	}
}
