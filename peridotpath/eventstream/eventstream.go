// Package eventstream reads the server-sent events of an endpoint's stream as they are, so that they
// can be forwarded.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("eventstream")

const (
	// eventBufferBytes is the size of a stream's read buffer, which holds several ordinary
	// events.
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds the memory of an event that an endpoint never terminates.
	maxEventBytes = 1 << 20
	// MaxFillerBytes bounds what an endpoint may send between two events that is none: blank lines,
	// comments, and blocks without data or id. A broken endpoint sends such bytes without end.
	MaxFillerBytes = 64 << 10
)

// Reader reads server-sent events whole and unchanged, so that they can be forwarded.
type Reader struct {
	buffered *bufio.Reader
	event    []byte
	// fillerBytes counts the bytes since the last event that belong to none.
	fillerBytes int
}

// NewReader returns a Reader of the events of a stream.
func NewReader(stream io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(stream, eventBufferBytes)}
}

// Next returns the next event, including its terminating empty line, and its id. What has
// neither data nor an id is no event and is left out. It returns io.EOF at the end, and
// io.ErrUnexpectedEOF if the stream ends within an event. The returned slice is valid until the
// next call.
func (reader *Reader) Next() (raw []byte, id string, err error) {
	reader.fillerBytes = 0
	for {
		raw, id, isEvent, err := reader.nextBlock()
		if err != nil || isEvent {
			return raw, id, err
		}
		reader.fillerBytes += len(raw)
		if reader.fillerBytes > MaxFillerBytes {
			reader.event = reader.event[:0]
			return nil, "", Error.New("no event within %d bytes", MaxFillerBytes)
		}
	}
}

// nextBlock returns the next lines up to an empty one, and whether they are an event.
func (reader *Reader) nextBlock() (raw []byte, id string, isEvent bool, err error) {
	reader.event = reader.event[:0]
	for {
		start := len(reader.event)
		if err := reader.readLine(); err != nil {
			if errors.Is(err, io.EOF) && len(reader.event) > 0 {
				return nil, "", false, io.ErrUnexpectedEOF
			}
			return nil, "", false, err
		}
		line := bytes.TrimRight(reader.event[start:], "\r\n")
		if len(line) == 0 {
			return reader.event, id, isEvent, nil
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, isEvent = string(bytes.TrimSpace(value)), true
		}
		isEvent = isEvent || bytes.HasPrefix(line, []byte("data:"))
	}
}

// IsWithinEvent reports, after an error, whether a part of another event had arrived.
func (reader *Reader) IsWithinEvent() bool { return len(reader.event) > 0 }

// readLine appends one line, including its terminator, to the event.
func (reader *Reader) readLine() error {
	for {
		part, err := reader.buffered.ReadSlice('\n')
		reader.event = append(reader.event, part...)
		if len(reader.event) > maxEventBytes {
			return Error.New("event larger than %d bytes", maxEventBytes)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
