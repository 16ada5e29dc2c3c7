package load

import (
	"bufio"
	"bytes"
	"io"
)

const (
	initialBufferBytes = 16 << 10
	maxLineBytes       = 4 << 20
)

// event is a server-sent event.
type event struct {
	id   string
	kind string
	data []byte
}

// eventReader parses a stream of server-sent events.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(stream io.Reader) *eventReader {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, initialBufferBytes), maxLineBytes)
	return &eventReader{scanner}
}

// next returns the next event. It drops an incomplete one at the end of the stream.
func (events *eventReader) next() (event, error) {
	var next event
	for events.scanner.Scan() {
		line := events.scanner.Bytes()
		if len(line) == 0 {
			if next.data != nil {
				return next, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			next.id = string(value)
		case "event":
			next.kind = string(value)
		case "data":
			next.data = append(next.data, value...)
		}
	}
	if err := events.scanner.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.EOF
}
