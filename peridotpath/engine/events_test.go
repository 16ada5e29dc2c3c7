package engine_test

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/engine"
)

// FuzzEvents checks that the reader terminates on any input, and that the events it
// returns have valid offsets and no more data than it read.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"id: 0\ndata: {}\n\n", "data: a\ndata: b\n\n", "data: cut off", ":\n\n\r\n", "id: -1\ndata:x\n\n",
		"id: 99999999999999999999\ndata: [DONE]\n\n", "event: error\r\ndata: {}\r\n\r\n", "data\n\ndata:\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		events := engine.NewEventReader(bytes.NewReader(text), nil)
		total := 0
		for {
			event, err := events.Next()
			if err != nil {
				break
			}
			total += len(event.Data) + 1
			if event.Offset < -1 {
				t.Fatalf("want an offset, have %d", event.Offset)
			}
		}
		if total > len(text) {
			t.Fatalf("want no more than the %d bytes of input, have %d", len(text), total)
		}
	})
}

func TestEvents(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
		err  error
	}{
		{"whole", "id: 3\ndata: a\n\n", "3:a", io.EOF},
		{"several data lines", "data: a\ndata: b\n\n", "-1:a\nb", io.EOF},
		{"cut off", "id: 3\ndata: a\n\nid: 4\ndata: b\n", "3:a", io.EOF},
		{"carriage returns", "id: 3\r\ndata: a\r\n\r\n", "3:a", io.EOF},
		{"id is not a number", "id: x\ndata: a\n\n", "-1:a", io.EOF},
		{"comments", ": alive\n\ndata: a\n\n", "-1:a", io.EOF},
		{"endless line", "data: " + strings.Repeat("a", 2<<20), "", nil},
		{"endless blank lines", "data: a\n\n" + strings.Repeat("\n", 1<<20), "-1:a", nil},
		{"endless comments", strings.Repeat(": alive\n\n", 1<<17), "", nil},
		{"endless ids", strings.Repeat("id: 1\n\n", 1<<17), "", nil},
		{"id before its data", "id: 3\n\ndata: a\n\n", "3:a", io.EOF},
		{"endless lines after data", "data: a\n" + strings.Repeat("event: x\n", 1<<17), "", nil},
		{"long data", "data: " + strings.Repeat("a", 100<<10) + "\n\n", "-1:" + strings.Repeat("a", 100<<10), io.EOF},
		{"endless event", strings.Repeat("data: "+strings.Repeat("a", 1000)+"\n", 2000), "", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			events := engine.NewEventReader(strings.NewReader(test.text), nil)
			var have []string
			var err error
			for {
				var event engine.Event
				if event, err = events.Next(); err != nil {
					break
				}
				have = append(have, strconv.FormatInt(event.Offset, 10)+":"+string(event.Data))
			}
			is.Equal(strings.Join(have, " "), test.want)
			is.True(errors.Is(err, test.err) || test.err == nil && engine.ErrFailed.Has(err))
		})
	}
}
