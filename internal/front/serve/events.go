package serve

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// event is one event of a stream.
type event struct {
	// raw is the event's bytes on the wire, including the terminating blank line. It is valid until the next event is read.
	raw []byte
	// id is the event's id, or "".
	id string
}

// eventReader reads complete events, so that a partial one is never forwarded.
type eventReader struct {
	reader *bufio.Reader
	raw    *bound.Buffer
}

// newEventReader returns a reader of the events in r. It must be released after its last use.
func newEventReader(r io.Reader, memory *bound.Budget) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10), raw: memory.Buffer(maxEventBytes)}
}

func (e *eventReader) release() { e.raw.Release() }

// next returns the next event. At EOF it returns io.EOF, with the bytes after the last event in rest.
func (e *eventReader) next() (ev event, rest []byte, err error) {
	e.raw.Reset()
	lineStart := 0
	// hasText reports whether a line before the current one is more than white space.
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
		line := raw[lineStart:]
		if hasText && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event{raw: raw, id: eventID(raw)}, nil, nil
		}
		hasText = hasText || len(bytes.TrimSpace(line)) > 0
		lineStart = len(raw)
	}
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
