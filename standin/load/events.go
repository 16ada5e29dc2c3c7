package load

import (
	"bufio"
	"bytes"
	"io"
)

const (
	eventBuffer = 16 << 10
	maxLine     = 4 << 20
)

// event is one server-sent event as a caller sees it.
type event struct {
	id   string
	kind string
	data []byte
}

// events reads server-sent events.
type events struct {
	scanner *bufio.Scanner
}

func readEvents(stream io.Reader) *events {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, eventBuffer), maxLine)
	return &events{scanner}
}

// next returns the next event; one that the end cuts off is dropped.
func (events *events) next() (event, error) {
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
