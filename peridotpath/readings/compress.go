package readings

import (
	"net/http"

	"github.com/klauspost/compress/gzhttp"

	"peridotpath.example/peridotpath/outbound"
)

// compressed lets a handler answer those that take it with compressed lists.
//
// The load that it is made for is a start of hundreds of instances before thousands
// of endpoints. Each asks a peer for the whole list; a small machine's link takes
// longer to send it to a few of them than any of them waits, and all asked the store.
func compressed(handler http.Handler) http.Handler { return gzhttp.GzipHandler(handler) }

// doer sends questions to peers and takes compressed answers.
type doer struct{}

// Do sends the request and returns the answer's head.
func (doer) Do(request *http.Request) (*http.Response, error) {
	return gzhttp.Transport(roundTripper{}, gzhttp.TransportEnableZstd(false)).RoundTrip(request)
}

// roundTripper is outbound.Do.
type roundTripper struct{}

// RoundTrip sends the request and returns the answer's head.
func (roundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	return outbound.Do(request)
}
