package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/front/link"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

// errUnfinished is returned when a stream ends within an event.
var errUnfinished = errors.New("the stream ended within an event")

// relayStream forwards complete events as they arrive. If the stream ends early, the result is broken and another upstream
// may resume it after the last forwarded event.
func (x *exchange) relayStream(ctx context.Context, choice place.Choice, resp *link.Response, prefilled func()) (result, error) {
	events := newEventReader(resp.Body, x.Memory)
	defer events.release()
	timeout := x.idleTimeout()
	first := true
	for {
		if timeout > 0 {
			resp.SetReadTimeout(ctx, timeout)
		}
		ev, rest, err := events.next()
		if errors.Is(err, io.EOF) {
			if len(rest) > 0 {
				err = errUnfinished
			} else {
				return x.finishStream(choice, resp)
			}
		}
		if err != nil {
			resp.Abort()
			x.recordBroken(ctx, choice, err)
			return broken, err
		}
		if first {
			first = false
			prefilled()
			x.Fleet.AnswerStarted(time.Now(), choice.ID)
			x.sendHead(resp)
			x.recordHolders(time.Now(), choice)
		}
		if !x.isNewEvent(ev.id) {
			continue
		}
		if !x.writeEvent(ev.raw) {
			resp.Abort()
			x.abortDisconnected()
		}
		if ev.id != "" {
			x.lastEventID = ev.id
		}
	}
}

// writeEvent writes and flushes an event; it reports whether that succeeded.
func (x *exchange) writeEvent(raw []byte) bool {
	if _, err := x.w.Write(raw); err != nil {
		return false
	}
	return http.NewResponseController(x.w).Flush() == nil
}

// sendHead sends the head of the response. A resumed stream keeps the head of its first upstream.
func (x *exchange) sendHead(resp *link.Response) {
	if x.streaming {
		return
	}
	x.streaming = true
	x.copyHeader(resp.Header)
	x.w.Header().Del("Content-Length")
	x.w.WriteHeader(resp.Status)
	x.headDelay = time.Since(x.started)
}

// isNewEvent reports whether an event follows the last forwarded one. An upstream that resumes a stream may repeat
// events.
func (x *exchange) isNewEvent(id string) bool {
	if id == "" || x.lastEventID == "" {
		return true
	}
	seq, errSeq := strconv.ParseInt(id, 10, 64)
	last, errLast := strconv.ParseInt(x.lastEventID, 10, 64)
	return errSeq != nil || errLast != nil || seq > last
}

// finishStream completes a stream that ended properly.
func (x *exchange) finishStream(choice place.Choice, resp *link.Response) (result, error) {
	x.sendHead(resp)
	resp.Done(time.Now())
	x.Fleet.AnswerCompleted(choice.ID)
	x.logResult("route: answered", resp.Status, "answered", "first_ms", x.headDelay.Milliseconds(), "last_event", x.lastEventID)
	return answered, nil
}

// idleTimeout returns how long an upstream may send nothing before another one resumes the stream; zero if none may.
func (x *exchange) idleTimeout() time.Duration {
	if !x.route.Repeatable() || x.counts.Ran >= x.route.Attempts {
		return 0
	}
	return max(minIdleTimeout, 3*x.route.GapObjective, x.route.Objective)
}
