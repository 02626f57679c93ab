package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

// maxLineBytes bounds one line of a stream, and the data of one event.
const maxLineBytes = 1 << 20

// doneMark is the data of the last event of a complete stream.
const doneMark = "[DONE]"

// ErrTruncated is returned for a truncated response, such as a stream without [DONE].
var ErrTruncated = errors.New("the stream ended before its end mark")

// Event is one server-sent event of an engine, or a whole response. Its receiver releases it after its last use.
type Event struct {
	// ID is the event's number in the stream, from 1, or 0 when the engine sends none. That of the [DONE] event is the number of the
	// last event before it.
	ID   int64
	Data []byte
	// buffer holds the data, or is nil if that is short.
	buffer *bound.Buffer
}

// ReadWhole reads a response of at most limit bytes as one event.
func ReadWhole(r io.Reader, memory *bound.Budget, limit int64) (Event, error) {
	buffer := memory.Buffer(limit)
	if _, err := buffer.ReadFrom(r); err != nil {
		buffer.Release()
		return Event{}, err
	}
	return Event{Data: buffer.Bytes(), buffer: buffer}, nil
}

// Release returns the memory of the data to its budget.
func (e Event) Release() {
	if e.buffer != nil {
		e.buffer.Release()
	}
}

// Done reports whether the event is the [DONE] event.
func (e Event) Done() bool {
	return string(e.Data) == doneMark
}

// EventReader reads server-sent events.
type EventReader struct {
	scanner *bufio.Scanner
	// lastID is the ID of the event that was read last.
	lastID int64
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &EventReader{scanner: scanner}
}

// Next returns the next event with data, or ErrTruncated at the end of input. An event without its closing blank line is truncated.
func (e *EventReader) Next() (Event, error) {
	var event Event
	var data []byte
	for e.scanner.Scan() {
		line := e.scanner.Bytes()
		if len(line) == 0 {
			if data == nil {
				continue
			}
			event.Data = data
			if event.Done() {
				event.ID = e.lastID
			}
			e.lastID = event.ID
			return event, nil
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			event.ID, _ = strconv.ParseInt(string(value), 10, 64)
		case "data":
			if data != nil {
				data = append(data, '\n')
			}
			data = append(data, value...)
			if len(data) > maxLineBytes {
				return Event{}, errors.Join(ErrTruncated, bound.ErrTooLong)
			}
			if data == nil {
				data = []byte{}
			}
		}
	}
	if err := e.scanner.Err(); err != nil {
		return Event{}, errors.Join(ErrTruncated, err)
	}
	return Event{}, ErrTruncated
}
