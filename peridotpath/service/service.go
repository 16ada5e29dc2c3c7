// Package service speaks to plain services: it passes any method, path, body
// and header through, and tells whether a call that failed may have run.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"

	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/outbound"
)

// HeaderRequestID carries the request id through every process.
const HeaderRequestID = "X-Request-Id"

const (
	// HeaderNotRun on a refusal says that the service did not begin the work.
	HeaderNotRun = "X-Not-Run"
	// NotRunLeaving is its value where the replica is leaving the fleet.
	NotRunLeaving = "leaving"
)

var (
	// ErrUnreached says that the call never reached the service: not run.
	ErrUnreached = errs.Class("service: unreached")
	// ErrRefused says that the service refused before it began: not run.
	ErrRefused = errs.Class("service: refused")
	// ErrLeaving says, within ErrRefused, that the replica is leaving the fleet.
	ErrLeaving = errs.Class("service: leaving")
	// ErrFailed says that the call failed and may have run.
	ErrFailed = errs.Class("service: failed")
)

// Request is one call on its way to a service.
type Request struct {
	ID     peridotpath.RequestID
	Method string
	// Target is the path and query after the prefix, with a leading slash.
	Target string
	Header http.Header
	Body   []byte
}

// hopByHop are the headers that belong to one connection, not to the call.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the header without what belongs to one connection,
// which includes the headers that Connection itself names.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	for _, name := range header.Values("Connection") {
		for _, listed := range bytes.Split([]byte(name), []byte(",")) {
			kept.Del(string(bytes.TrimSpace(listed)))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}

// onceReader hides a body's type from net/http. Knowing how to read a body
// again, or that there is none, the transport sends a request anew by itself
// when its connection broke: always for GET, and for any method with an
// Idempotency-Key. A call that must run once would then run twice. A reader
// of unknown type it can read once only.
type onceReader struct{ io.Reader }

// Client makes calls to plain services.
type Client struct {
	// Do makes an HTTP call; nil stands for outbound.Do.
	Do func(request *http.Request) (*http.Response, error)
}

func (client *Client) do(request *http.Request) (*http.Response, error) {
	if client.Do != nil {
		return client.Do(request)
	}
	return outbound.Do(request)
}

// Send makes the call and returns when the response's headers are in. Any
// status is the service's own answer, but for a refusal that says not run.
func (client *Client) Send(ctx context.Context, address netip.AddrPort, call *Request) (*http.Response, error) {
	body := onceReader{bytes.NewReader(call.Body)}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address.String()+call.Target, body)
	if err != nil {
		return nil, ErrUnreached.Wrap(err)
	}
	request.Header = EndToEnd(call.Header)
	request.Header.Set(HeaderRequestID, string(call.ID))
	request.ContentLength = int64(len(call.Body))
	response, err := client.do(request)
	if outbound.ErrNotSent.Has(err) {
		return nil, ErrUnreached.Wrap(err)
	}
	if err != nil {
		return nil, ErrFailed.Wrap(err)
	}
	notRun := response.Header.Get(HeaderNotRun)
	if notRun == "" {
		return response, nil
	}
	response.Body.Close()
	if notRun == NotRunLeaving {
		return nil, ErrRefused.Wrap(ErrLeaving.New("status %d", response.StatusCode))
	}
	return nil, ErrRefused.New("status %d", response.StatusCode)
}
