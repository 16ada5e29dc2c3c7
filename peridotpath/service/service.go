// Package service sends requests to plain services, which are HTTP services that are not
// inference engines. It passes any method, path, body and headers through, sends each call
// at most once, and classifies failures by whether the call may have run, which decides
// whether it can be retried safely.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"

	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/answerhead"
	"peridotpath.example/peridotpath/outbound"
)

// HeaderRequestID is the header that carries the request id through every process.
const HeaderRequestID = "X-Request-Id"

const (
	// HeaderNotRun marks a refusal: the service did not start the call.
	HeaderNotRun = "X-Not-Run"
	// NotRunLeaving is the value of HeaderNotRun for a replica that is leaving the fleet.
	NotRunLeaving = "leaving"
)

var (
	// ErrUnreached reports that the call never reached the service, so that it did not run.
	ErrUnreached = errs.Class("service: unreached")
	// ErrRefused reports that the service refused the call before it started, so that it
	// did not run.
	ErrRefused = errs.Class("service: refused")
	// ErrLeaving reports, wrapped in ErrRefused, that the replica is leaving the fleet.
	ErrLeaving = errs.Class("service: leaving")
	// ErrFailed reports that the call failed and may have run.
	ErrFailed = errs.Class("service: failed")
)

// Request is a call to a service.
type Request struct {
	ID     peridotpath.RequestID
	Method string
	// Target is the path and query after the prefix, with a leading slash.
	Target string
	Header http.Header
	Body   []byte
}

// hopByHop lists the headers that apply to a single connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the headers without the hop-by-hop ones, including those that
// Connection lists.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	for _, value := range header.Values("Connection") {
		for _, listed := range bytes.Split([]byte(value), []byte(",")) {
			kept.Del(string(bytes.TrimSpace(listed)))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}

// onceReader hides the type of a body from net/http. If the transport can rewind a body or
// knows it to be empty, it resends a request by itself when its connection breaks: always
// for GET, and for any method with an Idempotency-Key. A call that must run once could then
// run twice. The transport cannot rewind a reader of unknown type.
type onceReader struct{ io.Reader }

// Client sends calls to plain services.
type Client struct {
	// Do sends an HTTP request; nil means outbound.Do.
	Do func(request *http.Request) (*http.Response, error)
}

// doRequest sends an HTTP request with Do or its default.
func (client *Client) doRequest(request *http.Request) (*http.Response, error) {
	if client.Do != nil {
		return client.Do(request)
	}
	return outbound.Do(request)
}

// Send sends the call and returns once the response headers have arrived. Any status is the
// service's own response, except for a refusal with HeaderNotRun. A success with it contradicts
// itself: the call may have run.
func (client *Client) Send(ctx context.Context, address netip.AddrPort, call *Request) (*http.Response, error) {
	body := onceReader{bytes.NewReader(call.Body)}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address.String()+call.Target, body)
	if err != nil {
		return nil, ErrUnreached.Wrap(err)
	}
	request.Header = EndToEnd(call.Header)
	request.Header.Set(HeaderRequestID, string(call.ID))
	request.ContentLength = int64(len(call.Body))
	response, err := client.doRequest(request)
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
	head := answerhead.Head{Status: response.StatusCode, StatesNotRun: true}
	if !head.ProvesNotRun() {
		return nil, ErrFailed.New("a success states that the call has not run: %v", &head)
	}
	if notRun == NotRunLeaving {
		return nil, ErrRefused.Wrap(ErrLeaving.New("status %d", response.StatusCode))
	}
	return nil, outbound.WithBackoff(response, ErrRefused.New("status %d", response.StatusCode))
}
