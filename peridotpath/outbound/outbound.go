// Package outbound makes every HTTP call of the system, through go-zero's
// httpc, with connection limits that suit long streams to many endpoints.
package outbound

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/httpc"
)

var (
	// ErrNotSent says that the request's headers were never written to a
	// connection: whatever it asked for was certainly not done.
	ErrNotSent = errs.Class("not sent")
	// ErrLost says that the request may have arrived, but no answer came.
	ErrLost = errs.Class("answer lost")
)

const (
	// dialTimeout bounds the making of a connection; a request that found none
	// did not run and goes elsewhere.
	dialTimeout = 2 * time.Second
	// keepAlive is the interval of TCP's probes, by which a connection to a
	// machine that is gone ends though nothing is sent on it.
	keepAlive = 15 * time.Second
	// idleConnections and idlePerEndpoint bound the connections kept for reuse,
	// and idleTimeout how long each is kept.
	idleConnections = 256
	idlePerEndpoint = 64
	idleTimeout     = 90 * time.Second
	// maxResponseHeaders bounds an answer's headers, in bytes.
	maxResponseHeaders = 64 << 10
)

var once sync.Once

// Do sends the request and returns the response as soon as its headers are in.
// An error is of class ErrNotSent or ErrLost.
//
// httpc's package function is used and not its named services: those carry a
// breaker of their own, which would refuse calls without a counter of ours.
func Do(request *http.Request) (*http.Response, error) {
	once.Do(tune)
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := httpc.DoRequest(request)
	if err == nil {
		return response, nil
	}
	if sent.Load() {
		return nil, ErrLost.Wrap(err)
	}
	return nil, ErrNotSent.Wrap(err)
}

// Doer is Do as the client type that generated code takes.
type Doer struct{}

// Do sends the request.
func (Doer) Do(request *http.Request) (*http.Response, error) { return Do(request) }

// tune replaces the default transport: it keeps two idle connections to a
// host, which costs a dial for nearly every request of a busy endpoint, and it
// honours proxy variables, though addresses are IP numbers from settings.
// Redirects are not followed: an endpoint may not send a request elsewhere.
func tune() {
	logx.Disable()
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	http.DefaultClient.Transport = &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConns:           idleConnections,
		MaxIdleConnsPerHost:    idlePerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaders,
		DisableCompression:     true,
	}
	http.DefaultClient.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
}
