package engine

import (
	"io"
	"net/http"
	"sync/atomic"
)

// Body is a request's body that can be let go of while the request still runs.
//
// net/http holds on to a request, and with it to its body, until the answer has
// been read to its end. A long prompt's body is 4 to 6 MB and its answer takes
// minutes; some forty of them would use up what an instance may hold and have
// it refuse every other request.
type Body struct {
	bytes atomic.Pointer[[]byte]
}

// NewBody returns a Body with the given bytes, which are not copied.
func NewBody(bytes []byte) *Body {
	body := &Body{}
	body.bytes.Store(&bytes)
	return body
}

// Drop lets go of the bytes. What is read from then on fails.
func (body *Body) Drop() { body.bytes.Store(nil) }

// Len returns the number of bytes, zero after Drop.
func (body *Body) Len() int {
	if bytes := body.bytes.Load(); bytes != nil {
		return len(*bytes)
	}
	return 0
}

// attach makes the request send the body.
func (body *Body) attach(request *http.Request) {
	request.ContentLength = int64(body.Len())
	request.Body = &bodyReader{body: body}
	request.GetBody = func() (io.ReadCloser, error) { return &bodyReader{body: body}, nil }
}

// bodyReader reads a Body from its start.
type bodyReader struct {
	body *Body
	done int
}

// Read returns io.ErrUnexpectedEOF when the body was let go of.
func (reader *bodyReader) Read(piece []byte) (int, error) {
	bytes := reader.body.bytes.Load()
	if bytes == nil {
		return 0, io.ErrUnexpectedEOF
	}
	if reader.done == len(*bytes) {
		return 0, io.EOF
	}
	n := copy(piece, (*bytes)[reader.done:])
	reader.done += n
	return n, nil
}

// Close does nothing.
func (reader *bodyReader) Close() error { return nil }
