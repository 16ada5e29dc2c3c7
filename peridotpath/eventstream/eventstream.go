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
	// ownEventBytes is the size of events that take no memory from Reader.Memory.
	ownEventBytes = 64 << 10
	// copiesOfEvent counts the event and the copy of it that is forwarded.
	copiesOfEvent = 2
)

// Memory bounds what all streams take for events that are large.
type Memory interface {
	// TryReserve takes memory, in bytes, and reports whether there was any left.
	TryReserve(bytes int64) bool
	// Unreserve gives memory back.
	Unreserve(bytes int64)
}

// Reader reads server-sent events whole and unchanged, so that they can be forwarded. Set the exported fields
// before the first call of Next.
type Reader struct {
	// Memory is shared with other streams; nil bounds each event by itself only. Many streams whose events do not
	// end take as many times the largest event.
	Memory Memory

	buffered *bufio.Reader
	event    []byte
	// reserved is what was taken from Memory, in bytes.
	reserved int64
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
	reader.Close()
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

// Close gives the memory of the last event back.
func (reader *Reader) Close() {
	if reader.reserved > 0 {
		reader.Memory.Unreserve(reader.reserved)
		reader.event, reader.reserved = nil, 0
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
		size := len(reader.event) + len(part)
		if size > maxEventBytes {
			return Error.New("event larger than %d bytes", maxEventBytes)
		}
		if err := reader.grow(size); err != nil {
			return err
		}
		reader.event = append(reader.event, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// grow makes room for an event of a size. It fails if the streams have no memory left for it.
func (reader *Reader) grow(size int) error {
	if size <= cap(reader.event) {
		return nil
	}
	size = min(max(size, 2*cap(reader.event)), maxEventBytes)
	if needed := int64(copiesOfEvent * size); reader.Memory != nil && size > ownEventBytes {
		if !reader.Memory.TryReserve(needed - reader.reserved) {
			return Error.New("no memory is left for an event of %d bytes", size)
		}
		reader.reserved = needed
	}
	larger := make([]byte, len(reader.event), size)
	copy(larger, reader.event)
	reader.event = larger
	return nil
}
