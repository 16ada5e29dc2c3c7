package engine

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestBodyIsReadableUntilReleased covers a request that the transport retries on a
// new connection, and one whose body is released while it is being sent: the read must
// fail, because a regular end would make the truncated body look complete.
func TestBodyIsReadableUntilReleased(t *testing.T) {
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
	body.Release()
	_, err = io.ReadAll(request.Body)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(body.Len(), 0)
}
