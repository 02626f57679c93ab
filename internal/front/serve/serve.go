package serve

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	tallies "github.com/uber-go/tally/v4"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/front/link"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/limit/budget"
	"github.com/skylarkquay/skylarkquay/internal/limit/hold"
	"github.com/skylarkquay/skylarkquay/internal/limit/quota"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/holder"
	"github.com/skylarkquay/skylarkquay/internal/route/learn"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

const (
	// defaultTimeout applies to requests without a deadline on routes without a timeout.
	defaultTimeout = 30 * time.Second
	// minRetryAfter is the shortest Retry-After of requests that could not be placed. The list of upstreams is refreshed in
	// that time.
	minRetryAfter = 300 * time.Millisecond
	// retryAfterNotCurrent is the Retry-After while this instance's document is missing or outdated. Other instances may
	// serve the request.
	retryAfterNotCurrent = 500 * time.Millisecond
	// retryAfterDraining is the Retry-After while this instance stops. Other instances serve the request at once.
	retryAfterDraining = 100 * time.Millisecond
	// freshAge is the document age up to which an unknown route or key is reported as unknown. The site allows 2 s or more
	// until a new document is in force.
	freshAge = 1800 * time.Millisecond
)

// CrashCounter counts upstream crashes by request fingerprint.
type CrashCounter interface {
	// Count returns how many upstreams crashed while running the request.
	Count(now time.Time, fingerprint uint64) int
	// Crashed records a crash.
	Crashed(now time.Time, fingerprint uint64)
}

// Origins tracks at which build of the upstreams' software streams began.
type Origins interface {
	// Began records the build that sent the first event of an attempt's stream.
	Began(now time.Time, service, id, build string)
	// Build returns the build that began the stream of an attempt, or false if it is unknown.
	Build(ctx context.Context, now time.Time, service, id string) (string, bool)
}

// Shifts says which builds may run requests while services are moved to other builds, and counts what the builds answer. Methods are
// also called for services that are not moved.
type Shifts interface {
	// Builds returns the builds that may run the next send of a request, and those that may if no upstream of these can; nil if there
	// are none. The seed is the same for all sends of a request, begun the build that began its stream, again whether it was sent before.
	Builds(service string, seed uint64, begun *string, again bool) (builds place.Builds, others *place.Builds)
	// Sent counts a request that is sent to a build.
	Sent(service, build string)
	// Answered counts an answer by its time to the first byte, Failed a failure.
	Answered(service, build, route string, took time.Duration, slow bool)
	Failed(service, build, route string)
}

// Settings holds this instance's zone and the limits on the age of the data that it serves from.
type Settings struct {
	// Zone is the availability zone of this instance.
	Zone string
	// MaxKeyAge is the maximum document age at which keys are accepted.
	MaxKeyAge time.Duration
	// SupersededLimit is how long superseded weights may start requests after newer ones are announced.
	SupersededLimit time.Duration
}

// Handler serves callers' requests. Its fields are set before the first request.
type Handler struct {
	Settings     Settings
	Dialect      Dialect
	Feed         *policy.Replica
	Fleet        *fleet.Fleet
	Pool         *link.Pool
	Quota        *quota.Limiter
	Budget       *budget.Budget
	Holders      *holder.Tracker
	CrashCounter CrashCounter
	Parts        PartTracker
	// suspects are the requests that broke off at upstreams that may have ended.
	suspects suspects
	Origins  Origins
	// Shifts moves services to other builds of their upstreams.
	Shifts Shifts
	// SendReport makes the instance report its state to the others at once.
	SendReport func()
	Costs      place.Costs
	// Learner estimates the costs of requests from the responses.
	Learner *learn.Tracker
	// PrefillRate measures the rate of prompt tokens that this instance sends to engines.
	PrefillRate place.PrefillRate
	// Peers returns how many other instances place prompts, and how long the report of a placement takes to reach them.
	Peers   func() (instances int, delay time.Duration)
	Log     logr.Logger
	Metrics tallies.Scope
	// Boot returns the time since boot, including suspension.
	Boot func() time.Duration
	// Draining reports whether the instance is about to stop, Closed whether it accepts no more requests.
	Draining atomic.Bool
	Closed   atomic.Bool
	// Stop says when a planned stop ends.
	Stop *Stop
	// Memory is the memory for responses that are buffered.
	Memory *bound.Budget
	// KVStores tracks which KV stores respond.
	KVStores KVStores
	// Shares are those of the workspaces in services that cannot keep up; nil where scarce room is not shared.
	Shares *ServiceShares
	// OpenRequests counts requests in progress.
	OpenRequests atomic.Int64
}

// exchange is one request of a caller and its response.
type exchange struct {
	*Handler
	w         http.ResponseWriter
	r         *http.Request
	info      RequestInfo
	doc       *policy.Document
	route     *policy.Route
	workspace *policy.Workspace
	service   string
	body      []byte
	// conn is the caller's connection, or nil; grant is the memory for the body, running that for the rest of the request.
	conn    *hold.Conn
	grant   *hold.Grant
	running *hold.Grant
	// unread reports whether a part of the body has not been read, discarded whether it has been read but is not known.
	unread, discarded bool
	started           time.Time
	// deadline is when the final response is due.
	deadline time.Time
	// docAge is the time since the document was last confirmed.
	docAge      time.Duration
	fingerprint uint64
	// parts identifies the prompt's shared parts. survived reports whether an upstream has outlived the request.
	parts    []uint64
	survived bool
	// units is the quota charged for the request.
	units  float64
	counts sendCounts
	avoid  map[string]bool
	// sent holds the upstreams to which the request was sent, whether or not they received it.
	sent map[string]bool
	// chains holds the prompt's prefix chain by weights version.
	chains map[int64][]uint64
	// lastChoice is the latest placement, for the log.
	lastChoice place.Choice
	// build is the build that began the stream and the only one that may go on with it; nil before.
	build *string
	// lastEventID is the id of the last event that the caller has, also from an earlier attempt.
	lastEventID string
	// begun reports whether an event has been forwarded to the caller.
	begun bool
	// unnumbered reports whether the last event that was forwarded has no id, so that no other upstream can go on after it.
	unnumbered bool
	// numbering describes the ids of the events that were forwarded.
	numbering numbering
	// eventBegun reports whether an upstream has sent a part of the event after lastEventID, but not all of it.
	eventBegun bool
	// streaming reports whether the head of a streamed response has been sent to the caller.
	streaming bool
	// headDelay is the time from the request's arrival until the head of a stream was sent.
	headDelay time.Duration
	// shed is the error of a request that is refused for want of room; nil otherwise.
	shed error
	// eventCount is the number of events forwarded to the caller.
	eventCount int64
	// failure is the upstream's error response to the last send, returned to the caller if there is no further send.
	failure failure
}

// failure is an upstream's error response.
type failure struct {
	status int
	header http.Header
	// buffer holds the body.
	buffer *bound.Buffer
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.OpenRequests.Add(1)
	defer h.OpenRequests.Add(-1)
	x := &exchange{Handler: h, w: w, r: r, started: time.Now(), avoid: make(map[string]bool), sent: make(map[string]bool), chains: make(map[int64][]uint64)}
	if len(r.TransferEncoding) > 0 {
		// Request smuggling: bytes after a chunked body that also had a length could be parsed as another caller's request.
		w.Header().Set("Connection", "close")
	}
	x.conn = hold.FromContext(r.Context())
	x.grant = hold.NewGrant(x.conn, hold.Bodies)
	defer x.grant.Release()
	x.running = hold.NewGrant(x.conn, hold.Requests)
	defer x.running.Release()
	if err := x.admit(); err != nil {
		x.respondError(err)
		return
	}
	x.run()
}

// admit decodes the request and returns an error if it may not run.
func (x *exchange) admit() error {
	x.doc = x.Feed.Document()
	var err error
	if x.info, err = x.Dialect.ParseRequest(x.r); err != nil {
		return fault.New(fault.BadRequest, "%s", err)
	}
	if x.Closed.Load() {
		return fault.NewRetryAfter(fault.Draining, retryAfterDraining, "the instance is about to stop")
	}
	if x.doc == nil {
		return fault.NewRetryAfter(fault.NotCurrent, retryAfterNotCurrent, "this instance has no routing document yet")
	}
	if relay.HeaderSize(x.r.Header) > x.doc.Limits.HeaderBytes && x.doc.Limits.HeaderBytes > 0 {
		return fault.New(fault.HeaderTooLarge, "the header is longer than %d bytes", x.doc.Limits.HeaderBytes)
	}
	if err := x.readBody(); err != nil {
		return err
	}
	boot := x.Boot()
	// A confirmation holds for the document that it came with, which may be newer than the one before the body was read.
	doc, age, known := x.Feed.Current(boot)
	x.doc, x.docAge = doc, age
	fresh := known && age < freshAge
	x.route = x.doc.Match(x.r.Host, x.r.URL.EscapedPath())
	if x.route == nil {
		return x.rejectUnknown(fresh, fault.UnknownRoute, "no route matches host and path")
	}
	if !x.route.Open && len(x.doc.Workspaces) > 0 {
		x.workspace = x.doc.Keys[x.info.Key]
		if err := x.checkKey(x.workspace, known, fresh); err != nil {
			return err
		}
	}
	if x.discarded || x.unread {
		return fault.NewRetryAfter(fault.NotCurrent, retryAfterNotCurrent, "the route or key became known while the body arrived")
	}
	x.service = x.route.ServiceFor(x.info.streamID())
	x.deadline = x.started.Add(x.timeout())
	x.fingerprint = x.requestHash()
	x.parts = x.info.partHashes()
	if err := x.crashesUpstreams(x.started); err != nil {
		return err
	}
	if err := x.running.Grow(x.r.Context(), time.Now(), hold.RequestBytes); err != nil {
		return fault.New(fault.Overloaded, "no memory for another request now")
	}
	return x.chargeQuota(boot)
}

// checkKey returns an error if the caller's key may not be used. The workspace is that of the key in the document whose age is known,
// nil if it has none.
func (x *exchange) checkKey(w *policy.Workspace, known, fresh bool) error {
	if w == nil {
		return x.rejectUnknown(fresh, fault.BadKey, "the key is unknown")
	}
	if !known || x.docAge > x.Settings.MaxKeyAge {
		return fault.NewRetryAfter(fault.NotCurrent, retryAfterNotCurrent, "keys were last confirmed %s ago", x.docAge.Round(time.Millisecond))
	}
	return nil
}

// rejectUnknown returns the error for a route or key that the document lacks. If the document may be outdated, the error asks
// the caller to retry.
func (x *exchange) rejectUnknown(fresh bool, kind fault.Kind, message string) error {
	if !fresh {
		return fault.NewRetryAfter(fault.NotCurrent, retryAfterNotCurrent, "%s in a document confirmed %s ago", message, x.docAge.Round(time.Millisecond))
	}
	return fault.New(kind, "%s", message)
}

// timeout returns the time within which the final response is due.
func (x *exchange) timeout() time.Duration {
	timeout := defaultTimeout
	if x.route.Timeout > 0 {
		timeout = x.route.Timeout
	}
	if x.info.Timeout > 0 {
		timeout = min(timeout, x.info.Timeout)
	}
	return timeout
}

// chargeQuota charges the request's units to the workspace's quota.
func (x *exchange) chargeQuota(boot time.Duration) error {
	if x.workspace == nil {
		return nil
	}
	x.units = x.workspace.Cost(x.info.PromptTokens, x.info.MaxOutputTokens)
	ok, wait := x.Quota.Admit(boot, x.workspace.Name, x.units)
	if !ok {
		x.units = 0
		return fault.NewRetryAfter(fault.OverRate, max(wait, minRetryAfter), "the workspace is over its rate")
	}
	return nil
}

// requestHash returns a fingerprint of the request's content; a retry by the caller has the same one.
func (x *exchange) requestHash() uint64 {
	d := xxhash.New()
	// Writing to a digest does not fail.
	_, _ = d.WriteString(x.r.Method + "\x00" + x.r.Host + "\x00" + x.r.RequestURI + "\x00" + x.info.Key + "\x00")
	_, _ = d.Write(x.body)
	for _, p := range x.info.Parts {
		_, _ = d.WriteString(p.ID + "\x00")
	}
	return d.Sum64()
}

// context returns the context for sends to upstreams, which ends in time for a response before the instance stops. Non-idempotent
// requests run to completion even if the caller disconnects.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	parent := x.r.Context()
	if x.route.Kind == policy.NonIdempotent {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, x.Stop.due(x.deadline))
	stop := context.AfterFunc(x.Stop.sends, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// respondError sends an error response that originates in the router.
func (x *exchange) respondError(err error) {
	e := fault.From(err)
	a := fault.ResponseFor(e.Kind)
	x.endUnread(time.Now())
	if a.Ran == fault.RanNo && x.units > 0 {
		x.Quota.Refund(x.workspace.Name, x.units)
		x.units = 0
	}
	retry := e.Retry
	if retry == 0 {
		retry = a.Retry
	}
	head := x.w.Header()
	x.Dialect.SetErrorHeader(head, x.info.ID, spreadRetryAfter(retry, x.info.ID))
	head.Set("Content-Type", "text/plain; charset=utf-8")
	x.closeAtStop()
	x.w.WriteHeader(a.Status)
	// A failed write cannot be reported to anyone: the caller may have disconnected.
	_, _ = fmt.Fprintln(x.w, e.Error())
	x.logResult("route: refused", a.Status, string(e.Kind), "reason", e.Message)
}

// remaining returns the time until the deadline; zero before the deadline is known.
func (x *exchange) remaining() time.Duration {
	if x.deadline.IsZero() {
		return 0
	}
	return time.Until(x.deadline)
}

// logResult logs and counts a finished request.
func (x *exchange) logResult(message string, status int, outcome string, more ...any) {
	took := time.Since(x.started)
	route, kind, workspace := "", "", ""
	if x.route != nil {
		route, kind = x.route.Name, string(x.route.Kind)
	}
	if x.workspace != nil {
		workspace = x.workspace.Name
	}
	revision := int64(0)
	if x.doc != nil {
		revision = x.doc.Revision
	}
	fields := []any{
		"id", x.info.ID, "status", status, "outcome", outcome, "route", route, "workspace", workspace, "revision", revision,
		"confirmed_ms", x.docAge.Milliseconds(), "upstream", x.lastChoice.ID, "weights", x.lastChoice.Version, "sends", x.counts.Sends,
		"ran", x.counts.Ran, "left_ms", x.remaining().Milliseconds(), "took_ms", took.Milliseconds(),
	}
	if x.info.Resumes != "" {
		fields = append(fields, "resumes", x.info.Resumes)
	}
	x.Log.Info(message, append(fields, more...)...)
	scope := x.Metrics.Tagged(map[string]string{"outcome": outcome, "kind": kind})
	scope.Counter("requests").Inc(1)
	if status < http.StatusBadRequest {
		x.Metrics.Tagged(map[string]string{"kind": kind}).Histogram("latency", LatencyBuckets).RecordDuration(took)
	}
}

// LatencyBuckets are the bucket bounds of the latency histograms.
var LatencyBuckets = tallies.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)
