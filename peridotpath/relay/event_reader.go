package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("relay")

const (
	// eventBuffer holds several ordinary events, in bytes; each stream has one.
	eventBuffer = 4 << 10
	// maxEvent bounds one event, in bytes, so that an endpoint that never ends
	// one costs bounded memory.
	maxEvent = 1 << 20
)

// rawEvents reads whole server-sent events as they came, for handing them on.
type rawEvents struct {
	reader *bufio.Reader
	event  []byte
}

func newRawEvents(stream io.Reader) *rawEvents {
	return &rawEvents{reader: bufio.NewReaderSize(stream, eventBuffer)}
}

// next returns the next event, its empty line included, and its id. At the end
// it returns io.EOF; bytes after the last whole event are an error, since the
// stream broke off within one. What it returns is valid until the next call.
func (events *rawEvents) next() (raw []byte, id string, err error) {
	events.event = events.event[:0]
	for {
		start := len(events.event)
		if err := events.line(); err != nil {
			if errors.Is(err, io.EOF) && len(events.event) > 0 {
				return nil, "", io.ErrUnexpectedEOF
			}
			return nil, "", err
		}
		line := bytes.TrimRight(events.event[start:], "\r\n")
		if len(line) == 0 {
			if start == 0 {
				events.event = events.event[:0]
				continue
			}
			return events.event, id, nil
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// line appends one line with its end.
func (events *rawEvents) line() error {
	for {
		part, err := events.reader.ReadSlice('\n')
		events.event = append(events.event, part...)
		if len(events.event) > maxEvent {
			return Error.New("event larger than %d bytes", maxEvent)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
