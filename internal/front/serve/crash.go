package serve

import (
	"context"
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/front/detour"
	"github.com/skylarkquay/skylarkquay/internal/front/link"
)

// crashSuspectTime is the time from the head of a response in which its request may be the cause of a crash. A request whose
// upstream runs for longer has survived.
const crashSuspectTime = 2 * time.Second

// PartTracker finds prompt parts that crash upstreams.
type PartTracker interface {
	// Blocked reports whether requests with one of the parts are refused.
	Blocked(now time.Time, parts []uint64) bool
	// Crashed records that an upstream's incarnation ended while it ran a request with the parts, which was sent at a time.
	Crashed(now time.Time, parts []uint64, upstream uint64, sent time.Time)
	// Survived records that an upstream outlived a request with the parts, Began that it went on with its answer after it had begun it.
	Survived(now time.Time, parts []uint64)
	Began(now time.Time, parts []uint64)
}

// partHashes returns the identities of the prompt's shared parts.
func (r *RequestInfo) partHashes() []uint64 {
	shared := r.SharedParts()
	hashes := make([]uint64, len(shared))
	for i, p := range shared {
		hashes[i] = xxhash.Sum64String(p.ID)
	}
	return hashes
}

// recordCrash counts a request that was broken off against the request and, if the upstream has ended, against its prompt parts.
func (x *exchange) recordCrash(ctx context.Context, now time.Time, c *call, err error) {
	// An upstream may have no event left to send when it resumes a stream.
	nothingLeft := errors.Is(err, errNoEvent) && (x.info.LastEventID != "" || x.lastEventID != "")
	if errors.Is(err, bound.ErrTooLong) || nothingLeft {
		return
	}
	// An upstream that has announced that it stops may have ended as planned.
	if c.leaving {
		return
	}
	finding := x.Pool.Examine(ctx, detour.Target{ID: c.choice.ID, Address: c.choice.Address})
	// An upstream that runs and writes bytes that are no answer, or no event, has not crashed.
	noEvent := errors.Is(err, errNoEvent) && c.resp.Framing() != link.ByConnection
	noAnswer := errors.Is(err, link.ErrMalformed) || errors.Is(err, link.ErrStray)
	if finding != detour.Ended && (noAnswer || noEvent) {
		return
	}
	// A relayed connection to an upstream that runs may have broken off at the other instance.
	if finding == detour.PathBroken || finding == detour.Reachable && c.relayed(err) {
		return
	}
	x.CrashCounter.Crashed(now, x.fingerprint)
	sinceHead := time.Duration(0)
	if !c.headAt.IsZero() {
		sinceHead = now.Sub(c.headAt)
	}
	if len(x.parts) == 0 || sinceHead > crashSuspectTime {
		return
	}
	if finding != detour.Ended {
		x.Log.Info("crash: request broke off, its upstream is not known to have ended", "id", x.info.ID, "upstream", c.choice.ID, "parts",
			x.loggedParts(), "finding", string(finding))
		if finding == detour.Silent {
			x.suspects.add(suspect{
				id: x.info.ID, upstream: c.choice.ID, born: c.choice.Born, parts: x.parts, names: x.loggedParts(), sent: c.sentAt, at: now,
			})
		}
		return
	}
	x.Parts.Crashed(now, x.parts, upstreamHash(c.choice.ID, c.choice.Born), c.sentAt)
	x.Log.Info("crash: upstream ended while running a request", "id", x.info.ID, "upstream", c.choice.ID, "parts", x.loggedParts(),
		"since_head_ms", sinceHead.Milliseconds(), "head", c.resp != nil)
	x.SendReport()
}

// upstreamHash identifies an incarnation of an upstream.
func upstreamHash(id string, born int64) uint64 {
	d := xxhash.New()
	// Writing to a digest does not fail.
	_, _ = d.WriteString(id)
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(born)))
	return d.Sum64()
}

const (
	// maxCrashes is the number of upstreams that may crash while running a request before it is refused.
	maxCrashes = 3
	// retryAfterCrashes is the Retry-After of requests that crash upstreams.
	retryAfterCrashes = 5 * time.Second
)

// crashesUpstreams returns an error if the request or a part of its prompt is known to crash upstreams.
func (x *exchange) crashesUpstreams(now time.Time) error {
	if crashes := x.CrashCounter.Count(now, x.fingerprint); crashes >= maxCrashes {
		return fault.NewRetryAfter(fault.NoUpstream, retryAfterCrashes, "%d upstreams died of this request", crashes)
	}
	if len(x.parts) > 0 && x.Parts.Blocked(now, x.parts) {
		return fault.NewRetryAfter(fault.NoUpstream, retryAfterCrashes, "upstreams crash while running requests with a part of the prompt")
	}
	return nil
}

// recordSurvival records that an upstream has outlived the request. Responses without output prove nothing.
func (x *exchange) recordSurvival(now time.Time) {
	if len(x.parts) > 0 && !x.survived {
		x.survived = true
		x.Parts.Survived(now, x.parts)
	}
}

// beganEvents is the number of events with which an answer has gone on after its begin.
const beganEvents = 2

// recordBegan records that an upstream has gone on with its answer, so that the begin of such an answer does not crash it.
func (x *exchange) recordBegan(now time.Time, c *call) {
	if len(x.parts) > 0 && c.eventCount == beganEvents {
		x.Parts.Began(now, x.parts)
	}
}

// maxLoggedParts limits the prompt parts in a log line.
const maxLoggedParts = 8

func (x *exchange) loggedParts() []string {
	shared := x.info.SharedParts()
	ids := make([]string, 0, maxLoggedParts)
	for _, p := range shared[:min(len(shared), maxLoggedParts)] {
		ids = append(ids, p.ID)
	}
	return ids
}
