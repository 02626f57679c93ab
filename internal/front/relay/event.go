package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// doneMark ends a complete stream.
const doneMark = "[DONE]"

// ErrCut says that a stream ended before its end mark.
var ErrCut = errors.New("the stream ended before its end mark")

// Event is one server-sent event of an engine.
type Event struct {
	// ID is the event's number in the whole stream, from 1, or 0 when the engine gives none.
	ID int64
	// Data is the event's data.
	Data []byte
}

// Done tells whether the event is the end mark.
func (e Event) Done() bool {
	return string(e.Data) == doneMark
}

// Events reads server-sent events.
type Events struct {
	lines *bufio.Scanner
}

// NewEvents returns a reader of events.
func NewEvents(r io.Reader) *Events {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &Events{lines: lines}
}

// Next returns the next event with data, or ErrCut at the end of input. An event without its closing blank line is cut.
func (e *Events) Next() (Event, error) {
	var event Event
	var data []byte
	for e.lines.Scan() {
		line := e.lines.Bytes()
		if len(line) == 0 {
			if data == nil {
				continue
			}
			event.Data = data
			return event, nil
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			event.ID, _ = strconv.ParseInt(string(value), 10, 64)
		case "data":
			if data != nil {
				data = append(data, '\n')
			}
			data = append(data, value...)
			if data == nil {
				data = []byte{}
			}
		}
	}
	if err := e.lines.Err(); err != nil {
		return Event{}, errors.Join(ErrCut, err)
	}
	return Event{}, ErrCut
}
