package engine

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestBodyCanBeReadAgainUntilDropped covers a sending that the transport starts
// again on a fresh connection, and one that is still being read when the body
// is let go of: it must fail, not end short and look whole.
func TestBodyCanBeReadAgainUntilDropped(t *testing.T) {
	is := is.New(t)
	body := NewBody([]byte("a prompt"))
	request := &http.Request{}
	body.attach(request)
	is.Equal(request.ContentLength, int64(8))
	for range 2 {
		reader, err := request.GetBody()
		is.NoErr(err)
		text, err := io.ReadAll(reader)
		is.NoErr(err)
		is.Equal(string(text), "a prompt")
	}
	piece := make([]byte, 3)
	_, err := request.Body.Read(piece)
	is.NoErr(err)
	body.Drop()
	_, err = io.ReadAll(request.Body)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(body.Len(), 0)
}
