package serve

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/front/link"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// errNoField is returned for a line of a stream that is neither blank nor a comment nor a field, and so belongs to no event.
var errNoField = fmt.Errorf("%w: the stream has a line that belongs to no event", link.ErrMalformed)

// event is one event of a stream.
type event struct {
	// raw is the event's bytes on the wire, including the terminating blank line. It is valid until the next event is read.
	raw []byte
	// id is the event's id, or "".
	id string
}

// eventReader reads complete events, so that a partial one, or text that is none, is never forwarded.
type eventReader struct {
	reader *bufio.Reader
	raw    *bound.Buffer
}

// newEventReader returns a reader of the events in r. It must be released after its last use.
func newEventReader(r io.Reader, memory *bound.Budget) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10), raw: memory.Buffer(maxEventBytes)}
}

func (e *eventReader) release() { e.raw.Release() }

// next returns the next event. At EOF it returns io.EOF, with the bytes after the last event in rest. After any error the stream
// cannot be read any further.
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
			return event{raw: raw, id: eventID(raw)}, nil, nil
		}
		if !isEventLine(line) {
			return event{}, nil, errNoField
		}
		hasText = hasText || len(line) > 0
		lineStart = len(raw)
	}
}

// isEventLine reports whether a line, without its end, may stand in a stream.
func isEventLine(line []byte) bool {
	if len(line) == 0 || line[0] == ':' || string(line) == "data" {
		return true
	}
	_, _, ok := link.FieldLine(line)
	return ok
}

func eventID(raw []byte) string {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r"), []byte(":"))
		if string(name) == "id" {
			return string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
	return ""
}
