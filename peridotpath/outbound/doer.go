package outbound

import (
	"net/http"

	"peridotpath.example/peridotpath"
)

// Doer implements the HTTP client interface of generated code, which reads each reply whole into memory.
// A faulty server sends one without an end.
type Doer struct {
	// MaxReply bounds the body of a reply: reading beyond it fails.
	MaxReply peridotpath.Bytes
	// Send sends the request; nil means the function Do.
	Send func(request *http.Request) (*http.Response, error)
}

// Do sends the request and returns the response, whose body is bounded.
func (doer Doer) Do(request *http.Request) (*http.Response, error) {
	send := doer.Send
	if send == nil {
		send = Do
	}
	response, err := send(request)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, int64(doer.MaxReply))
	return response, nil
}
