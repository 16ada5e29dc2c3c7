package eventstream

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRawEvents(t *testing.T) {
	is := is.New(t)
	const first, second = "x-version: 7\nid: 1\ndata: a\n\n", "data: b\r\nid:2\r\n\r\n"
	events := NewReader(strings.NewReader(first + "\n" + second + "id: 3\nda"))
	raw, id, err := events.Next()
	is.NoErr(err)
	is.Equal(string(raw), first)
	is.Equal(id, "1")
	raw, id, err = events.Next()
	is.NoErr(err)
	is.Equal(string(raw), second)
	is.Equal(id, "2")
	_, _, err = events.Next()
	is.True(errors.Is(err, io.ErrUnexpectedEOF)) // the stream ended within an event

	_, _, err = NewReader(strings.NewReader("data: " + strings.Repeat("x", maxEventBytes))).Next()
	is.True(err != nil) // an unterminated event uses bounded memory
}

// An endpoint sends bytes that are no event without end: the reader would read them until the deadline
// of the request, or forward them to the caller.
func TestEndlessFillerIsAnError(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for _, filler := range []string{"\n", "\r\n", ": x\n\n", "event: ping\n\n", "retry: 10\r\n\r\n"} {
		is := is.New(t)
		few := strings.Repeat(filler, MaxFillerBytes/len(filler))
		events := NewReader(strings.NewReader(few + event + few + event + few + few))
		for range 2 {
			raw, id, err := events.Next()
			is.NoErr(err)
			is.Equal(string(raw), event)
			is.Equal(id, "1")
		}
		_, _, err := events.Next()
		is.True(Error.Has(err))
		is.True(!events.IsWithinEvent())
	}
}

// The reader returns only whole, unchanged events of any stream.
func FuzzRawEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\n"))
	f.Add([]byte("\r\n\r\nid:\n\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		events := NewReader(bytes.NewReader(stream))
		rest := stream
		for {
			raw, _, err := events.Next()
			if err != nil {
				return
			}
			at := bytes.Index(rest, raw)
			if at < 0 {
				t.Fatalf("%q is not in %q", raw, rest)
			}
			rest = rest[at+len(raw):]
			if last := bytes.TrimRight(raw, "\r\n"); len(last) == 0 {
				t.Fatalf("an event without a line: %q", raw)
			}
		}
	})
}

// fixedMemory is a Memory of a number of bytes.
type fixedMemory struct{ left int64 }

func (memory *fixedMemory) TryReserve(bytes int64) bool {
	if bytes > memory.left {
		return false
	}
	memory.left -= bytes
	return true
}

func (memory *fixedMemory) Unreserve(bytes int64) { memory.left += bytes }

// Many streams send events that do not end: each is bounded, and their sum ends the process.
func TestLargeEventsShareMemory(t *testing.T) {
	is := is.New(t)
	const room = 2 * copiesOfEvent * maxEventBytes
	memory := &fixedMemory{left: room}
	large := "data: " + strings.Repeat("x", maxEventBytes-8) + "\n\n"
	open := func(text string) *Reader {
		reader := NewReader(strings.NewReader(text))
		reader.Memory = memory
		return reader
	}
	first, second, third := open(large+large), open(large), open(large)
	for _, reader := range []*Reader{first, second} {
		raw, _, err := reader.Next()
		is.NoErr(err)
		is.Equal(len(raw), len(large))
	}
	_, _, err := third.Next()
	is.True(Error.Has(err))
	third.Close()
	_, _, err = open("data: small\n\n").Next()
	is.NoErr(err) // an ordinary event needs no memory of others
	_, _, err = first.Next()
	is.NoErr(err) // its own memory is given back before the next event
	first.Close()
	second.Close()
	second.Close()
	is.Equal(memory.left, int64(room))
	_, _, err = open(large).Next()
	is.NoErr(err)
}
