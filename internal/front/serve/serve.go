package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	tallies "github.com/uber-go/tally/v4"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/front/link"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/limit/budget"
	"github.com/skylarkquay/skylarkquay/internal/limit/quota"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/holder"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

const (
	// deadlineDefault bounds requests that name no deadline on routes without a timeout.
	deadlineDefault = 30 * time.Second
	// comeBackSoon is told to callers whose request could not be placed; a list of upstreams is renewed in that time.
	comeBackSoon = 300 * time.Millisecond
	// comeBackLater is told while this instance does not know enough to serve; other instances may.
	comeBackLater = 500 * time.Millisecond
	// certainAge is the age of the document up to which an unknown route or key is answered as unknown. The site's bound
	// on putting a document in force is 2 s or more.
	certainAge = 1800 * time.Millisecond
)

// Crashers counts requests that kill upstreams.
type Crashers interface {
	// Deaths returns how many upstreams died of a request.
	Deaths(now time.Time, fingerprint uint64) int
	// Died records one more.
	Died(now time.Time, fingerprint uint64)
}

// Settings bound how requests are served.
type Settings struct {
	// Zone is the availability zone of this instance.
	Zone string
	// KeyAge is the age of the document up to which keys are trusted.
	KeyAge time.Duration
	// WeightsAge is how long after the announcement of new weights older ones may still begin requests.
	WeightsAge time.Duration
}

// Handler serves callers. Its fields are set once.
type Handler struct {
	Settings Settings
	Dialect  Dialect
	Feed     *policy.Feed
	Fleet    *fleet.Fleet
	Pool     *link.Pool
	Quota    *quota.Keeper
	Budget   *budget.Budget
	Holders  *holder.Tracker
	Crashers Crashers
	Costs    place.Costs
	// Flow is what this instance gives engines to read; Others returns how many other instances place prompts, and how long
	// word of a placement takes between them.
	Flow    place.PrefillRate
	Others  func() (instances int, delay time.Duration)
	Log     logr.Logger
	Metrics tallies.Scope
	// Boot is the clock that counts suspensions.
	Boot func() time.Duration
	// Draining tells that the instance is about to stop.
	Draining atomic.Bool
	// Kept says which stores of kept KV cache do not answer.
	Kept KeptStores
	// Open counts requests in progress.
	Open atomic.Int64
}

// exchange is one request of a caller on its way.
type exchange struct {
	*Handler
	w         http.ResponseWriter
	r         *http.Request
	ask       Ask
	doc       *policy.Document
	route     *policy.Route
	workspace *policy.Workspace
	service   string
	body      []byte
	started   time.Time
	// ends is when the caller is owed a final answer.
	ends        time.Time
	age         time.Duration
	fingerprint uint64
	units       float64
	tally       tally
	avoid       map[string]bool
	// chains are those of the prompt's prefixes, by version of the weights.
	chains map[int64][]uint64
	// last is the last placement, for the log.
	last place.Choice
	// sent is when the last send began.
	sent time.Time
	// resumed is the id of the last event that was passed on.
	resumed string
	// streaming tells that the answer's head has gone to the caller.
	streaming bool
	// saving tells that the last send asked for its prefix to be saved to the kept store.
	saving bool
	// first is the time to the head of a stream.
	first time.Duration
	// failure is the upstream's own failure after the last send, which the caller gets when nothing follows.
	failure failure
}

// failure is an upstream's failure as it answered it.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.Open.Add(1)
	defer h.Open.Add(-1)
	x := &exchange{Handler: h, w: w, r: r, started: time.Now(), avoid: make(map[string]bool), chains: make(map[int64][]uint64)}
	if h.Draining.Load() || len(r.TransferEncoding) > 0 {
		// What follows a chunked body that also had a length could be taken for a request of another caller.
		w.Header().Set("Connection", "close")
	}
	if err := x.admit(); err != nil {
		x.refuse(err)
		return
	}
	x.run()
}

// admit decodes the request and decides whether it may run at all.
func (x *exchange) admit() error {
	x.doc = x.Feed.Document()
	var err error
	if x.ask, err = x.Dialect.Ask(x.r); err != nil {
		return fault.New(fault.BadRequest, "%s", err)
	}
	if x.doc == nil {
		return fault.NewRetryAfter(fault.NotCurrent, comeBackLater, "this instance has no routing document yet")
	}
	if relay.Size(x.r.Header) > x.doc.Limits.HeaderBytes && x.doc.Limits.HeaderBytes > 0 {
		return fault.New(fault.HeaderTooLarge, "the header is longer than %d bytes", x.doc.Limits.HeaderBytes)
	}
	if err := x.readBody(); err != nil {
		return err
	}
	boot := x.Boot()
	age, known := x.Feed.Age(boot)
	x.age = age
	certain := known && age < certainAge
	x.route = x.doc.Match(x.r.Host, x.r.URL.EscapedPath())
	if x.route == nil {
		return x.unknown(certain, fault.UnknownRoute, "no route matches host and path")
	}
	if !x.route.Open && len(x.doc.Workspaces) > 0 {
		if x.workspace = x.doc.Keys[x.ask.Key]; x.workspace == nil {
			return x.unknown(certain, fault.BadKey, "the key is unknown")
		}
		if !known || age > x.Settings.KeyAge {
			return fault.NewRetryAfter(fault.NotCurrent, comeBackLater, "keys were last confirmed %s ago", age.Round(time.Millisecond))
		}
	}
	x.service = x.route.Service(x.ask.ID)
	x.ends = x.started.Add(x.allowed())
	x.fingerprint = x.mark()
	if deaths := x.Crashers.Deaths(x.started, x.fingerprint); deaths >= deathsMost {
		return fault.NewRetryAfter(fault.NoUpstream, 5*time.Second, "%d upstreams died of this request", deaths)
	}
	return x.take(boot)
}

// deathsMost is the number of upstreams that may die of one request before it is refused.
const deathsMost = 3

// unknown refuses what the document does not have; while that may be outdated, the caller is to come back.
func (x *exchange) unknown(certain bool, kind fault.Kind, message string) error {
	if !certain {
		return fault.NewRetryAfter(fault.NotCurrent, comeBackLater, "%s in a document confirmed %s ago", message, x.age.Round(time.Millisecond))
	}
	return fault.New(kind, "%s", message)
}

// allowed returns the time within which the caller is owed a final answer.
func (x *exchange) allowed() time.Duration {
	allowed := deadlineDefault
	if x.route.Timeout > 0 {
		allowed = x.route.Timeout
	}
	if x.ask.Deadline > 0 {
		allowed = min(allowed, x.ask.Deadline)
	}
	return allowed
}

// take takes the request's units from the workspace's rate.
func (x *exchange) take(boot time.Duration) error {
	if x.workspace == nil {
		return nil
	}
	x.units = x.workspace.Cost(x.ask.Prompt, x.ask.Output)
	ok, wait := x.Quota.Admit(boot, x.workspace.Name, x.units)
	if !ok {
		x.units = 0
		return fault.NewRetryAfter(fault.OverRate, max(wait, comeBackSoon), "the workspace is over its rate")
	}
	return nil
}

func (x *exchange) readBody() error {
	if x.r.Body == nil || x.r.ContentLength == 0 {
		return nil
	}
	limit := x.doc.Limits.BodyBytes
	if limit <= 0 {
		limit = 4 << 20
	}
	if x.r.ContentLength > limit {
		return fault.New(fault.BodyTooLarge, "the body is longer than %d bytes", limit)
	}
	reader := http.MaxBytesReader(x.w, x.r.Body, limit)
	var err error
	if x.r.ContentLength > 0 {
		x.body = make([]byte, x.r.ContentLength)
		_, err = io.ReadFull(reader, x.body)
	} else {
		x.body, err = io.ReadAll(reader)
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return fault.New(fault.BodyTooLarge, "the body is longer than %d bytes", limit)
	}
	if err != nil {
		return fault.New(fault.BadRequest, "the body could not be read: %s", err)
	}
	if x.r.ContentLength > 0 {
		// The read to the end lets the server notice when the caller leaves.
		_, _ = x.r.Body.Read(make([]byte, 1))
	}
	return nil
}

// mark returns the fingerprint of what the caller asks for, which a repetition shares.
func (x *exchange) mark() uint64 {
	d := xxhash.New()
	// Writing to a digest does not fail.
	_, _ = d.WriteString(x.r.Method + "\x00" + x.r.Host + "\x00" + x.r.RequestURI + "\x00" + x.ask.Key + "\x00")
	_, _ = d.Write(x.body)
	for _, p := range x.ask.Parts {
		_, _ = d.WriteString(p.ID + "\x00")
	}
	return d.Sum64()
}

// context returns the context of the exchange with upstreams. Requests that may not be repeated run to their end also
// when their caller leaves.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	parent := x.r.Context()
	if x.route.Kind == policy.NonIdempotent {
		parent = context.WithoutCancel(parent)
	}
	return context.WithDeadline(parent, x.ends)
}

// refuse answers with an error of the system's own.
func (x *exchange) refuse(err error) {
	e := fault.From(err)
	a := fault.ResponseFor(e.Kind)
	if a.Ran == fault.RanNo && x.units > 0 {
		x.Quota.Refund(x.workspace.Name, x.units)
		x.units = 0
	}
	retry := e.Retry
	if retry == 0 {
		retry = a.Retry
	}
	head := x.w.Header()
	x.Dialect.Refusal(head, x.ask.ID, comeBack(retry, x.ask.ID))
	head.Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(a.Status)
	// The caller may have left; there is nobody else to tell.
	_, _ = fmt.Fprintln(x.w, e.Error())
	x.log("route: refused", a.Status, string(e.Kind), "reason", e.Message)
}

// left returns the time in which the caller is owed a final answer; zero before that is known.
func (x *exchange) left() time.Duration {
	if x.ends.IsZero() {
		return 0
	}
	return time.Until(x.ends)
}

// log writes the line of a finished request and counts it.
func (x *exchange) log(text string, status int, outcome string, more ...any) {
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
		"id", x.ask.ID, "status", status, "outcome", outcome, "route", route, "workspace", workspace, "revision", revision,
		"confirmed_ms", x.age.Milliseconds(), "upstream", x.last.ID, "weights", x.last.Version, "sends", x.tally.Sends,
		"ran", x.tally.Ran, "left_ms", x.left().Milliseconds(), "took_ms", took.Milliseconds(),
	}
	x.Log.Info(text, append(fields, more...)...)
	scope := x.Metrics.Tagged(map[string]string{"outcome": outcome, "kind": kind})
	scope.Counter("requests").Inc(1)
	if status < http.StatusBadRequest {
		x.Metrics.Tagged(map[string]string{"kind": kind}).Histogram("latency", Latencies).RecordDuration(took)
	}
}

// Latencies are the bounds of the latency histograms.
var Latencies = tallies.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)
