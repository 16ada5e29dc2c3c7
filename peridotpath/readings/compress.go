package readings

import (
	"net/http"

	"github.com/klauspost/compress/gzhttp"

	"peridotpath.example/peridotpath/outbound"
)

// compressed compresses the responses of a handler for clients that accept it.
//
// It matters when hundreds of instances start in a fleet of thousands of endpoints and each
// fetches the whole list from a peer. Uncompressed, the link of a small machine takes longer
// to send it to a few of them than the fetch timeout, and all of them read the store.
func compressed(handler http.Handler) http.Handler { return gzhttp.GzipHandler(handler) }

// httpClient sends requests to peers and accepts compressed responses. The bound holds for what they unpack to.
var httpClient = outbound.Doer{MaxReply: maxReplyBytes, Send: gzhttp.Transport(roundTripper{}, gzhttp.TransportEnableZstd(false)).RoundTrip}

// roundTripper adapts outbound.Do to http.RoundTripper.
type roundTripper struct{}

// RoundTrip sends the request and returns the response, with its body to be read.
func (roundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	return outbound.Do(request)
}
