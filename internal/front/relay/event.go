package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

const (
	// maxEventBytes bounds what a stream may have from the end of one event to the end of the next one.
	maxEventBytes = 1 << 20
	// maxCopiedBytes is the longest data of an event that is copied from the reader's buffer.
	maxCopiedBytes = 4 << 10
	// readerBytes is the size of the buffer for reads from the connection.
	readerBytes = 4 << 10
)

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

// Release returns the memory of the data to its budget. The data is not overwritten: a response may still be read elsewhere.
func (e Event) Release() {
	if e.buffer != nil {
		e.buffer.Discard()
	}
}

// Done reports whether the event is the [DONE] event.
func (e Event) Done() bool {
	return string(e.Data) == doneMark
}

// EventReader reads server-sent events. It must be closed after its last use.
type EventReader struct {
	reader *bufio.Reader
	memory *bound.Budget
	// line holds a line that is longer than the reader's buffer.
	line *bound.Buffer
	// data is that of the event that is being read.
	data *bound.Buffer
	// hasData reports whether the event has a data field, which may be empty.
	hasData bool
	// size is the number of bytes since the last event.
	size int
	// lastID is the ID of the event that was read last.
	lastID int64
}

// NewEventReader returns a reader of the events in r, which takes the memory of long lines and events from a budget.
func NewEventReader(r io.Reader, memory *bound.Budget) *EventReader {
	return &EventReader{
		reader: bufio.NewReaderSize(r, readerBytes), memory: memory, line: memory.Buffer(maxEventBytes), data: memory.Buffer(maxEventBytes),
	}
}

// Close releases the reader's memory.
func (e *EventReader) Close() {
	e.line.Release()
	e.data.Release()
}

// Next returns the next event with data, or ErrTruncated at the end of input. An event without its closing blank line is truncated.
func (e *EventReader) Next() (Event, error) {
	e.data.Reset()
	e.hasData, e.size = false, 0
	var id int64
	for {
		line, err := e.nextLine()
		if errors.Is(err, io.EOF) {
			return Event{}, ErrTruncated
		}
		if err != nil {
			return Event{}, errors.Join(ErrTruncated, err)
		}
		if len(line) == 0 {
			if !e.hasData {
				continue
			}
			return e.event(id), nil
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			id, _ = strconv.ParseInt(string(value), 10, 64)
		case "data":
			if err := e.add(value); err != nil {
				return Event{}, errors.Join(ErrTruncated, err)
			}
		}
	}
}

// nextLine returns the next line without its end. It is valid until the next call.
func (e *EventReader) nextLine() ([]byte, error) {
	e.line.Release()
	for {
		piece, err := e.reader.ReadSlice('\n')
		whole := err == nil
		if !whole && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if e.size += len(piece); e.size > maxEventBytes {
			return nil, bound.ErrTooLong
		}
		if whole && len(e.line.Bytes()) == 0 {
			return trimEnd(piece), nil
		}
		if err := e.line.Append(piece); err != nil {
			return nil, err
		}
		if whole {
			return trimEnd(e.line.Bytes()), nil
		}
	}
}

// trimEnd returns a line without its line feed and a carriage return before it.
func trimEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// add adds the value of a data field.
func (e *EventReader) add(value []byte) error {
	if e.hasData {
		if err := e.data.Append([]byte("\n")); err != nil {
			return err
		}
	}
	e.hasData = true
	return e.data.Append(value)
}

// event returns the event that has been read. A short one gets a copy of its data.
func (e *EventReader) event(id int64) Event {
	event := Event{ID: id}
	if data := e.data.Bytes(); len(data) <= maxCopiedBytes {
		event.Data = append([]byte{}, data...)
	} else {
		event.Data, event.buffer = data, e.data
		e.data = e.memory.Buffer(maxEventBytes)
	}
	if event.Done() {
		event.ID = e.lastID
	}
	e.lastID = event.ID
	return event
}
