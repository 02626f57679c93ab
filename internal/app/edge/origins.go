package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/route/origin"
)

const (
	// originTimeout bounds a question to another instance, which responds from memory. The caller's request waits meanwhile.
	originTimeout = 150 * time.Millisecond
	// maxOriginAsked is how many instances are asked if the first one does not respond or know; it may have ended.
	maxOriginAsked = 2
)

// originAnswer is what an instance knows of a stream.
type originAnswer struct {
	// Build began the stream, if Known is true.
	Build string `json:"build"`
	Known bool   `json:"known"`
	// Builds are those that have recently served in the stream's service, as far as the instance knows.
	Builds []string `json:"builds"`
	// Complete reports whether it knows all at which streams may have begun.
	Complete bool `json:"complete"`
}

// Began implements serve.Origins.
func (e *Edge) Began(now time.Time, service, id, build string) {
	e.origins.Began(now, service, id, build)
}

// Build implements serve.Origins. A stream without a record is of the only build that has served lately, if there is only one.
// An instance that may not know all of them asks others.
func (e *Edge) Build(ctx context.Context, now time.Time, service, id string) (string, bool) {
	own := e.originOf(clock.SinceBoot(), now, service, id)
	if own.Known {
		return own.Build, true
	}
	if len(own.Builds) == 1 && own.Complete {
		return own.Builds[0], true
	}
	from, answer, err := e.askOrigin(ctx, service, id)
	if answer.Known {
		own.Build, own.Known = answer.Build, true
	} else if builds := union(own.Builds, answer.Builds); len(builds) == 1 && (own.Complete || answer.Complete) {
		own.Build, own.Known = builds[0], true
	}
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	e.log.Info("route: build of a stream asked for", "resumes", id, "from", from, "known", own.Known, "build", own.Build,
		"builds", union(own.Builds, answer.Builds), "current", own.Complete || answer.Complete, "error", reason)
	return own.Build, own.Known
}

func (e *Edge) originOf(boot time.Duration, now time.Time, service, id string) originAnswer {
	build, known := e.origins.Build(now, id)
	complete := e.hasCurrentList(boot) && (e.history.records(service) || now.Sub(e.startedAt) >= origin.Memory)
	return originAnswer{Build: build, Known: known, Builds: e.fleet.Builds(now, service), Complete: complete}
}

// askOrigin asks the instances that have records of most streams, one after the other until one knows the stream or all builds. It
// returns what those that responded know together.
func (e *Edge) askOrigin(ctx context.Context, service, id string) (from string, known originAnswer, err error) {
	for _, from = range e.exchange.Live(maxOriginAsked) {
		var body []byte
		body, _, err = e.fetchFromPeer(ctx, from, "/origin?"+url.Values{"service": {service}, "id": {id}}.Encode(), originTimeout)
		var answer originAnswer
		if err == nil {
			err = json.Unmarshal(body, &answer)
		}
		if err != nil {
			continue
		}
		answer.Builds = union(known.Builds, answer.Builds)
		known = answer
		if known.Known || known.Complete {
			break
		}
	}
	return from, known, err
}

func (e *Edge) serveOrigin(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	// The requester may have disconnected.
	_ = json.NewEncoder(w).Encode(e.originOf(clock.SinceBoot(), time.Now(), query.Get("service"), query.Get("id")))
}

// hasCurrentList reports whether this instance's list has the upstreams of all builds. After a restore of the store some have to write
// their entries again.
func (e *Edge) hasCurrentList(boot time.Duration) bool {
	_, restoredAt := e.epochs.get()
	return e.list.isCurrent(boot) && (restoredAt == 0 || boot-restoredAt >= policy.RestoreSettleTime)
}

// needsRecord reports whether a stream of a service needs a record of its build: upstreams of several builds serve, have recently served,
// or may serve unknown to this instance.
func (e *Edge) needsRecord(boot time.Duration, now time.Time, service string) bool {
	return len(e.fleet.Builds(now, service)) > 1 || !e.hasCurrentList(boot)
}

// union returns the elements of both slices, each once.
func union(a, b []string) []string {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}
