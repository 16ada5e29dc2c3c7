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
