package serve

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/front/link"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// errNoField is returned for a line of a stream that is neither blank nor a comment nor a field, and so belongs to no event.
var errNoField = fmt.Errorf("%w: the stream has a line that belongs to no event", link.ErrMalformed)

// errEventOrder is returned for an event whose id does not follow that of the event before, or is missing after events with ids.
var errEventOrder = fmt.Errorf("%w: an event of the stream is out of order", link.ErrMalformed)

// event is one event of a stream.
type event struct {
	// raw is the event's bytes on the wire, including the terminating blank line. It is valid until the next event is read.
	raw []byte
	// id is the event's id, or "".
	id string
	// isEvent is false for lines that only hold comments and retry delays.
	isEvent bool
}

// eventReader reads complete events, so that a partial one, or text that is none, is never forwarded.
type eventReader struct {
	reader *bufio.Reader
	raw    *bound.Buffer
	order  eventOrder
	// isAnswer reports whether header lines are those of a response; nil if the body shows where it ends.
	isAnswer func(http.Header) bool
}

// newEventReader returns a reader of the events in r. It must be released after its last use.
func newEventReader(r io.Reader, memory *bound.Budget) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10), raw: memory.Buffer(maxEventBytes)}
}

// readEvents returns a reader of the events of a call.
func (x *exchange) readEvents(c *call) *eventReader {
	e := newEventReader(c.resp.Body, x.Memory)
	e.order.resumed = x.lastEventID
	if c.resp.Framing() == link.ByConnection {
		e.isAnswer = x.isAnswer
	}
	return e
}

func (e *eventReader) release() { e.raw.Release() }

// next returns the next event. With an error it returns the bytes of an event that was begun in rest, and at io.EOF all bytes after the
// last event. After any error the stream cannot be read any further.
func (e *eventReader) next() (ev event, rest []byte, err error) {
	e.raw.Reset()
	lineStart := 0
	// hasText reports whether a line before the current one is not blank.
	hasText := false
	for {
		piece, err := e.reader.ReadSlice('\n')
		if appendErr := e.raw.Append(piece); appendErr != nil {
			return event{}, nil, appendErr
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		raw := e.raw.Bytes()
		if err != nil {
			return event{}, raw, err
		}
		line := bytes.TrimRight(raw[lineStart:], "\r\n")
		if hasText && len(line) == 0 {
			return e.check(raw)
		}
		if !isEventLine(line) {
			return event{}, raw[:lineStart], errNoField
		}
		hasText = hasText || len(line) > 0
		lineStart = len(raw)
	}
}

// check returns the event with these bytes if it may follow the events before it.
func (e *eventReader) check(raw []byte) (ev event, rest []byte, err error) {
	if e.isAnswer != nil && link.HoldsHead(raw, e.isAnswer) {
		// The head may have cut an event.
		return event{}, raw, errLateResponse
	}
	ids, isEvent := eventIDs(raw)
	if len(ids) > 1 {
		// The second id may begin another event, which has cut the first one.
		return event{}, raw, errEventOrder
	}
	if isEvent && !e.order.follow(ids) {
		return event{}, nil, errEventOrder
	}
	ev = event{raw: raw, isEvent: isEvent}
	if len(ids) > 0 {
		ev.id = ids[0]
	}
	return ev, nil, nil
}

// isEventLine reports whether a line, without its end, may stand in a stream.
func isEventLine(line []byte) bool {
	if len(line) == 0 || line[0] == ':' || string(line) == "data" {
		return true
	}
	_, _, ok := link.FieldLine(line)
	return ok
}

// eventIDs returns the values of the id lines. isEvent reports whether there are lines other than comments and retry delays, which
// need no id.
func eventIDs(raw []byte) (ids []string, isEvent bool) {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r"), []byte(":"))
		switch string(name) {
		case "", "retry":
		case "id":
			ids = append(ids, string(bytes.TrimPrefix(value, []byte(" "))))
			isEvent = true
		default:
			isEvent = true
		}
	}
	return ids, isEvent
}
