// Package outbound sends all HTTP requests of the system, through go-zero's httpc, with a
// transport that is configured for long streams to many endpoints. Its errors show
// whether a request may have reached the server.
package outbound

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/httpc"

	"peridotpath.example/peridotpath/disconnect"
)

var (
	// ErrNotSent means that the request's headers were never written to a connection, so
	// the request was not executed.
	ErrNotSent = errs.Class("not sent")
	// ErrNoResponse means that the request may have been executed, but no response was
	// received, or one that is none by the protocol.
	ErrNoResponse = errs.Class("answer lost")
)

const (
	// dialTimeout bounds connecting. A request without a connection was not executed and
	// can be retried at another endpoint.
	dialTimeout = 2 * time.Second
	// keepAliveInterval is the interval of TCP keep-alive probes, which detect an unreachable
	// machine on an idle connection.
	keepAliveInterval = 15 * time.Second
	// maxIdleConnections and maxIdlePerEndpoint bound the idle connections kept for reuse,
	// idleTimeout how long one is kept.
	maxIdleConnections = 256
	maxIdlePerEndpoint = 64
	idleTimeout        = 90 * time.Second
	// maxResponseHeaderBytes bounds a response's headers.
	maxResponseHeaderBytes = 64 << 10
)

var configureOnce sync.Once

// Do sends the request and returns the response once its headers are received. An error
// is of class ErrNotSent or ErrNoResponse. Nothing is sent for a caller that has left.
//
// It uses httpc's package function because httpc's named services have a circuit breaker,
// whose rejections our metrics would not count.
func Do(request *http.Request) (*http.Response, error) {
	configureOnce.Do(configureClient)
	if err := disconnect.Check(request.Context()); err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	var sent atomic.Bool
	head := &responseHead{}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*responseConn); ok {
				head = conn.awaitResponse()
			}
		},
		WroteHeaders: func() { sent.Store(true) },
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := httpc.DoRequest(request)
	if err == nil {
		return accept(response, head)
	}
	if sent.Load() {
		return nil, ErrNoResponse.Wrap(err)
	}
	return nil, ErrNotSent.Wrap(err)
}

// accept returns the response if it is one.
func accept(response *http.Response, head *responseHead) (*http.Response, error) {
	if err := checkResponse(response, head); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// configureClient configures the default client, which httpc uses. Redirects are not followed:
// an endpoint must not divert a request to another server.
func configureClient() {
	logx.Disable()
	http.DefaultClient.Transport = &transports{reusing: newTransport(true), closing: newTransport(false)}
	http.DefaultClient.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
}

// CloseIdleConnections closes all connections that are kept for reuse. After the links of this
// instance have changed, they may be dead, or lead through a peer that is no longer needed.
func CloseIdleConnections() { http.DefaultClient.CloseIdleConnections() }

// transports sends requests that ask for the connection to be closed without any idle
// connections. A transport that keeps some would keep one that was opened for a request which
// was cancelled meanwhile, and send a later request on it: after a cut of the link such a request
// is lost, and may have run.
type transports struct{ reusing, closing *http.Transport }

// RoundTrip sends the request.
func (transports *transports) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Close {
		return transports.closing.RoundTrip(request)
	}
	return transports.reusing.RoundTrip(request)
}

// CloseIdleConnections closes the connections that are kept for reuse.
func (transports *transports) CloseIdleConnections() { transports.reusing.CloseIdleConnections() }

// newTransport returns a transport. The default one keeps only two idle connections per host, so
// that nearly each request to a busy endpoint needs a new one, and it obeys proxy variables,
// although addresses are IP addresses from the settings.
func newTransport(reuses bool) *http.Transport {
	dial := DialContext
	if !reuses {
		dial = dialForRequest
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newResponseConn(conn), nil
		},
		DisableKeepAlives:      !reuses,
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}
