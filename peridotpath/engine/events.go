package engine

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"peridotpath.example/peridotpath/eventstream"
)

// Event is one server-sent event. Data is valid until the next call of Next.
type Event struct {
	// Offset is the event's number in its stream, from the id field, or -1 if there
	// is none.
	Offset int64
	// Data is the event's data; several data lines are joined by line feeds.
	Data []byte
}

// EventReader is a reader of server-sent events.
type EventReader struct {
	events *eventstream.Reader
}

// NewEventReader returns a reader of the server-sent events in stream, whose large events take memory; nil
// bounds each event by itself only.
func NewEventReader(stream io.Reader, memory eventstream.Memory) *EventReader {
	events := eventstream.NewReader(stream)
	events.Memory = memory
	return &EventReader{events: events}
}

// Close gives the memory of the last event back.
func (eventReader *EventReader) Close() { eventReader.events.Close() }

// Next returns the next event that has data, or io.EOF at the end of the stream. An
// event that is not terminated by an empty line is dropped, as it may be incomplete.
func (eventReader *EventReader) Next() (Event, error) {
	event := Event{Offset: -1}
	fillerBytes := 0
	for {
		raw, _, err := eventReader.events.Next()
		switch {
		case errors.Is(err, io.ErrUnexpectedEOF) && eventReader.events.IsWithinEvent():
			return Event{}, io.EOF
		case eventstream.Error.Has(err):
			return Event{}, ErrFailed.Wrap(err)
		case err != nil:
			return Event{}, err
		case event.parse(raw):
			return event, nil
		}
		fillerBytes += len(raw)
		if fillerBytes > eventstream.MaxFillerBytes {
			return Event{}, ErrFailed.New("no event within %d bytes", eventstream.MaxFillerBytes)
		}
	}
}

// parse reads the fields of an event and reports whether it has data. The data replace the beginning of raw:
// they are shorter than their lines.
func (event *Event) parse(raw []byte) (hasData bool) {
	data := raw[:0]
	for len(raw) > 0 {
		var line []byte
		line, raw, _ = bytes.Cut(raw, []byte("\n"))
		field, value, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "data":
			if hasData {
				data = append(data, '\n')
			}
			data = append(data, value...)
			hasData = true
		case "id":
			if offset, err := strconv.ParseInt(string(value), 10, 64); err == nil && offset >= 0 {
				event.Offset = offset
			}
		}
	}
	event.Data = data
	return hasData
}
