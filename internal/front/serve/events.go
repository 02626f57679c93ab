package serve

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// errEventTooLong is returned for an event longer than maxEventBytes.
var errEventTooLong = errors.New("an event exceeds the size limit")

// event is one event of a stream; raw is its bytes on the wire, including the terminating blank line.
type event struct {
	raw []byte
	// id is the event's id, or "".
	id string
}

// eventReader reads complete events, so that a partial one is never forwarded.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10)}
}

// next returns the next event. At EOF it returns io.EOF, with the bytes after the last event in rest.
func (e *eventReader) next() (ev event, rest []byte, err error) {
	var raw []byte
	for {
		line, err := e.reader.ReadSlice('\n')
		raw = append(raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(raw) > maxEventBytes {
				return event{}, nil, errEventTooLong
			}
			continue
		}
		if err != nil {
			return event{}, raw, err
		}
		if len(raw) > maxEventBytes {
			return event{}, nil, errEventTooLong
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(bytes.TrimSpace(raw)) > 0 {
			return event{raw: raw, id: eventID(raw)}, nil, nil
		}
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
