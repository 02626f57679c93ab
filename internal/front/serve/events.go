package serve

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// eventMost bounds one event of a stream.
const eventMost = 1 << 20

// errEventTooLong says that an upstream sent an event without an end.
var errEventTooLong = errors.New("an event exceeds the size limit")

// event is one event of a stream as its bytes on the wire, the closing blank line included.
type event struct {
	raw []byte
	// id is the event's id, or "".
	id string
}

// eventReader reads whole events, so that a part of one is never passed on.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10)}
}

// next returns the next event. At a proper end of the stream it returns io.EOF; rest holds bytes after the last event.
func (e *eventReader) next() (ev event, rest []byte, err error) {
	var raw []byte
	for {
		line, err := e.reader.ReadSlice('\n')
		raw = append(raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(raw) > eventMost {
				return event{}, nil, errEventTooLong
			}
			continue
		}
		if err != nil {
			return event{}, raw, err
		}
		if len(raw) > eventMost {
			return event{}, nil, errEventTooLong
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(bytes.TrimSpace(raw)) > 0 {
			return event{raw: raw, id: idOf(raw)}, nil, nil
		}
	}
}

func idOf(raw []byte) string {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r"), []byte(":"))
		if string(name) == "id" {
			return string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
	return ""
}
