package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"peridotpath.example/peridotpath/eventstream"
)

const (
	// eventBufferBytes is the read buffer of each stream; it holds several typical events.
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds the size of an event, and so the memory that an endpoint can
	// take up by never ending a line.
	maxEventBytes = 1 << 20
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
	reader *bufio.Reader
	line   []byte
	data   []byte
}

// NewEventReader returns a reader of the server-sent events in stream.
func NewEventReader(stream io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(stream, eventBufferBytes)}
}

// Next returns the next event that has data, or io.EOF at the end of the stream. An
// event that is not terminated by an empty line is dropped, as it may be incomplete.
func (eventReader *EventReader) Next() (Event, error) {
	event := Event{Offset: -1}
	eventReader.data = eventReader.data[:0]
	hasData, fillerBytes := false, 0
	for {
		line, err := eventReader.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if hasData {
				event.Data = eventReader.data
				return event, nil
			}
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		isData := string(field) == "data"
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "data":
			if hasData {
				eventReader.data = append(eventReader.data, '\n')
			}
			eventReader.data = append(eventReader.data, value...)
			hasData = true
		case "id":
			if offset, err := strconv.ParseInt(string(value), 10, 64); err == nil && offset >= 0 {
				event.Offset = offset
			}
		}
		if !isData {
			// The line is followed by its ending.
			fillerBytes += len(line) + 1
		}
		if fillerBytes > eventstream.MaxFillerBytes {
			return Event{}, ErrFailed.New("no event within %d bytes", eventstream.MaxFillerBytes)
		}
		if len(eventReader.data) > maxEventBytes {
			return Event{}, ErrFailed.New("event larger than %d bytes", maxEventBytes)
		}
	}
}

// readLine returns one line without its line ending. The line is valid until the next call.
func (eventReader *EventReader) readLine() ([]byte, error) {
	eventReader.line = eventReader.line[:0]
	for {
		part, err := eventReader.reader.ReadSlice('\n')
		if err == nil && len(eventReader.line) == 0 {
			return trimLineEnding(part), nil
		}
		eventReader.line = append(eventReader.line, part...)
		if err == nil {
			return trimLineEnding(eventReader.line), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(eventReader.line) > maxEventBytes {
			return nil, ErrFailed.New("line larger than %d bytes", maxEventBytes)
		}
	}
}

func trimLineEnding(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
