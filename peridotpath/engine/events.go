package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// eventBuffer holds several ordinary events; there is one for each stream.
	eventBuffer = 4 << 10
	// maxEvent bounds one event, so that an endpoint that never ends a line
	// costs bounded memory.
	maxEvent = 1 << 20
)

// Event is one server-sent event. Data is valid until the next call of Next.
type Event struct {
	// Offset is the event's number in its stream, from the id field; -1 without.
	Offset int64
	// Data is the event's data, several data lines joined by line feeds.
	Data []byte
}

// Events reads server-sent events from a stream.
type Events struct {
	reader *bufio.Reader
	line   []byte
	data   []byte
}

// Read returns a reader of the events in stream.
func Read(stream io.Reader) *Events {
	return &Events{reader: bufio.NewReaderSize(stream, eventBuffer)}
}

// Next returns the next event that has data. It returns io.EOF at the end of
// the stream; an event cut off by the end is dropped, since it may be partial.
func (events *Events) Next() (Event, error) {
	event := Event{Offset: -1}
	events.data = events.data[:0]
	seen := false
	for {
		line, err := events.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if seen {
				event.Data = events.data
				return event, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "data":
			if seen {
				events.data = append(events.data, '\n')
			}
			events.data = append(events.data, value...)
			seen = true
		case "id":
			if offset, err := strconv.ParseInt(string(value), 10, 64); err == nil && offset >= 0 {
				event.Offset = offset
			}
		}
		if len(events.data) > maxEvent {
			return Event{}, ErrFailed.New("event larger than %d bytes", maxEvent)
		}
	}
}

// readLine returns one line without its end. The line is valid until the next call.
func (events *Events) readLine() ([]byte, error) {
	events.line = events.line[:0]
	for {
		part, err := events.reader.ReadSlice('\n')
		if err == nil && len(events.line) == 0 {
			return trimEnd(part), nil
		}
		events.line = append(events.line, part...)
		if err == nil {
			return trimEnd(events.line), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(events.line) > maxEvent {
			return nil, ErrFailed.New("line larger than %d bytes", maxEvent)
		}
	}
}

func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
