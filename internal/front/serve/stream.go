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

// errUnfinished says that a stream ended within an event.
var errUnfinished = errors.New("the stream ended within an event")

// stream passes whole events on as they come. When the upstream breaks off, the result is broken and the stream may go
// on elsewhere behind the last event that was passed on.
func (x *exchange) stream(ctx context.Context, choice place.Choice, reply *link.Reply, prefilled func()) (result, error) {
	events := newEventReader(reply.Body)
	silence := x.silence()
	first := true
	for {
		if silence > 0 {
			reply.Silence(ctx, silence)
		}
		ev, rest, err := events.next()
		if errors.Is(err, io.EOF) {
			if len(rest) > 0 {
				err = errUnfinished
			} else {
				return x.finish(choice, reply)
			}
		}
		if err != nil {
			reply.Abort()
			x.brokenOff(ctx, choice, err)
			return broken, err
		}
		if first {
			first = false
			prefilled()
			x.Fleet.AnswerStarted(time.Now(), choice.ID)
			x.begin(reply)
			x.read(time.Now(), choice)
		}
		if !x.newer(ev.id) {
			continue
		}
		if !x.forward(ev.raw) {
			reply.Abort()
			x.abandon()
		}
		if ev.id != "" {
			x.resumed = ev.id
		}
	}
}

// forward passes bytes on at once; false when the caller does not take them.
func (x *exchange) forward(raw []byte) bool {
	if _, err := x.w.Write(raw); err != nil {
		return false
	}
	return http.NewResponseController(x.w).Flush() == nil
}

// begin sends the answer's head. A stream that goes on elsewhere keeps the head of its first upstream.
func (x *exchange) begin(reply *link.Reply) {
	if x.streaming {
		return
	}
	x.streaming = true
	x.copyHead(reply.Header)
	x.w.Header().Del("Content-Length")
	x.w.WriteHeader(reply.Status)
	x.first = time.Since(x.started)
}

// newer tells whether an event follows the last one that was passed on. An upstream that goes on with a stream may
// repeat events.
func (x *exchange) newer(id string) bool {
	if id == "" || x.resumed == "" {
		return true
	}
	at, errAt := strconv.ParseInt(id, 10, 64)
	last, errLast := strconv.ParseInt(x.resumed, 10, 64)
	return errAt != nil || errLast != nil || at > last
}

// finish ends a complete stream.
func (x *exchange) finish(choice place.Choice, reply *link.Reply) (result, error) {
	x.begin(reply)
	reply.Done(time.Now())
	x.Fleet.AnswerCompleted(choice.ID)
	x.log("route: answered", reply.Status, "answered", "first_ms", x.first.Milliseconds(), "last_event", x.resumed)
	return answered, nil
}

// silence returns how long an upstream may send nothing before the stream goes on elsewhere; zero where it may not.
func (x *exchange) silence() time.Duration {
	if !x.route.Repeatable() || x.tally.Ran >= x.route.Attempts {
		return 0
	}
	return max(silenceLeast, 3*x.route.Gap, x.route.Objective)
}
