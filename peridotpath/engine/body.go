package engine

import (
	"io"
	"net/http"
	"sync/atomic"
)

// Body is a request body whose memory can be released while the request runs.
//
// net/http keeps a request, and so its body, reachable until the response has been
// read to its end. A long prompt's body is 4 to 6 MB and its answer takes minutes;
// about forty such requests at once would use up an instance's memory limit, and the
// instance would refuse all others.
type Body struct {
	bytes atomic.Pointer[[]byte]
}

// NewBody returns a Body with the given bytes, which are not copied.
func NewBody(bytes []byte) *Body {
	body := &Body{}
	body.bytes.Store(&bytes)
	return body
}

// Release releases the bytes. Later reads fail.
func (body *Body) Release() { body.bytes.Store(nil) }

// Len returns the number of bytes, zero once they are released.
func (body *Body) Len() int {
	if bytes := body.bytes.Load(); bytes != nil {
		return len(*bytes)
	}
	return 0
}

// attach sets the body as that of the request.
func (body *Body) attach(request *http.Request) {
	request.ContentLength = int64(body.Len())
	request.Body = &bodyReader{body: body}
	request.GetBody = func() (io.ReadCloser, error) { return &bodyReader{body: body}, nil }
}

// bodyReader reads a Body from its start.
type bodyReader struct {
	body   *Body
	offset int
}

// Read returns io.ErrUnexpectedEOF once the body's bytes are released.
func (reader *bodyReader) Read(piece []byte) (int, error) {
	bytes := reader.body.bytes.Load()
	if bytes == nil {
		return 0, io.ErrUnexpectedEOF
	}
	if reader.offset == len(*bytes) {
		return 0, io.EOF
	}
	n := copy(piece, (*bytes)[reader.offset:])
	reader.offset += n
	return n, nil
}

// Close has no effect.
func (reader *bodyReader) Close() error { return nil }
