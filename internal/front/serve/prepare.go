package serve

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

const (
	// badKey is the reason of a request that may not be sent to any upstream, because of its key.
	badKey fleet.Bar = "key"
	// callerLeft is that of a request whose caller has disconnected.
	callerLeft fleet.Bar = "caller left"
	// otherBuild is that of a request whose service has been moved to another build.
	otherBuild fleet.Bar = "build"
	// oldWeights is that of a request whose upstream's weights may not start it any more.
	oldWeights fleet.Bar = "weights"
	// stopping is that of a request for which this instance has no time, because it is to stop.
	stopping fleet.Bar = "stopping"
)

// barredError is returned when a request that was placed may no longer be sent to its upstream. Nothing was sent.
type barredError struct {
	reason fleet.Bar
	// refusal is why no upstream may run the request; nil if others may.
	refusal error
}

// Error implements error.
func (e *barredError) Error() string { return "barred after it was placed: " + string(e.reason) }

// barredReason returns why a request was barred, or NotBarred if err says nothing of that.
func barredReason(err error) fleet.Bar {
	var barred *barredError
	if errors.As(err, &barred) {
		return barred.reason
	}
	return fleet.NotBarred
}

// refusalOf returns why no upstream may run a request whose attempt ended with err, or nil.
func refusalOf(err error) error {
	var barred *barredError
	if errors.As(err, &barred) {
		return barred.refusal
	}
	return nil
}

// prepare returns the header to send, or an error if a call may no longer be sent. It is called when there is a connection, which may
// take longer than it takes to learn that the upstream must not get the request. First and later attempts are checked alike.
func (x *exchange) prepare(now time.Time, c *call) (http.Header, error) {
	if err := x.r.Context().Err(); err != nil {
		return nil, &barredError{callerLeft, err}
	}
	if err := x.checkKeyAgain(x.Boot()); err != nil {
		return nil, &barredError{badKey, err}
	}
	if bar := x.Fleet.Check(now, c.sentAt, c.choice.Entry); bar != fleet.NotBarred {
		return nil, &barredError{bar, nil}
	}
	if !x.allowsBuild(c.choice.Build) {
		return nil, &barredError{otherBuild, nil}
	}
	if left, superseded := x.startTime(c.choice); superseded && left <= 0 {
		return nil, &barredError{oldWeights, nil}
	}
	if x.stopsTooSoon(now) {
		return nil, &barredError{stopping, nil}
	}
	x.connected(c)
	// The time that is left is the time from now on.
	forward := x.forwardInfo(now, c.choice)
	c.saving = forward.SaveTo != ""
	return x.Dialect.ForwardHeader(x.r.Header, x.info, forward), nil
}

// connected records that a call has a connection, or ends without one.
func (x *exchange) connected(c *call) {
	if !c.connected {
		c.connected = true
		x.Fleet.Connected(c.choice.ID)
	}
}

// allowsBuild reports whether a build may still run the attempt that is being made.
func (x *exchange) allowsBuild(build string) bool {
	builds, others := x.Shifts.Builds(x.service, x.seed(), x.build, x.counts.Sends > 1)
	return builds.Allows(build) || others != nil && others.Allows(build)
}

// checkKeyAgain returns an error if the caller's key may not be used any more.
func (x *exchange) checkKeyAgain(boot time.Duration) error {
	if x.workspace == nil {
		return nil
	}
	doc, age, known := x.Feed.Current(boot)
	if len(doc.Workspaces) == 0 {
		return nil
	}
	x.docAge = age
	w := doc.Keys[x.info.Key]
	if w != nil && w.Name != x.workspace.Name {
		w = nil
	}
	return x.checkKey(w, known, known && age < freshAge)
}

// refuseSend ends a request that may not be sent to any upstream any more.
func (x *exchange) refuseSend(ctx context.Context, refusal error) {
	if x.streaming || x.counts.Ran > 0 || x.r.Context().Err() != nil {
		x.failUnknown(ctx, refusal)
		return
	}
	x.respondError(refusal)
}
