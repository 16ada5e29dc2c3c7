package enginetest

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"syscall"

	"peridotpath.example/peridotpath/outbound"
)

// Network is an in-process HTTP transport without sockets, which works under
// testing/synctest. The zero value has no hosts.
type Network struct {
	mu            sync.Mutex
	hosts         map[string]*host
	closed        bool
	callsInFlight sync.WaitGroup
}

// host is the handler of an address with its calls in flight.
type host struct {
	handler http.Handler
	calls   map[*networkExchange]context.CancelFunc
}

func (host *host) abortCalls() {
	for exchange, cancel := range host.calls {
		// The error is set before the cancellation, after which the handler may return
		// and end the body as if it were complete.
		_ = exchange.body.CloseWithError(io.ErrUnexpectedEOF)
		cancel()
	}
}

// Close refuses new calls, aborts those in flight and waits until their handlers have
// returned.
func (network *Network) Close() {
	network.mu.Lock()
	network.closed = true
	for _, host := range network.hosts {
		host.abortCalls()
	}
	network.mu.Unlock()
	network.callsInFlight.Wait()
}

// Serve sets the handler of address and aborts the calls in flight to the previous one.
// With a nil handler later calls fail like refused connections. Errors are of the
// classes of package outbound.
func (network *Network) Serve(address string, handler http.Handler) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.hosts == nil {
		network.hosts = map[string]*host{}
	}
	if previous := network.hosts[address]; previous != nil {
		previous.abortCalls()
	}
	network.hosts[address] = &host{handler: handler, calls: map[*networkExchange]context.CancelFunc{}}
}

// register registers a call and returns the host that handles it, or nil if there is none.
func (network *Network) register(address string, exchange *networkExchange, cancel context.CancelFunc) *host {
	network.mu.Lock()
	defer network.mu.Unlock()
	host := network.hosts[address]
	if host == nil || host.handler == nil || network.closed {
		return nil
	}
	host.calls[exchange] = cancel
	network.callsInFlight.Add(1)
	return host
}

// unregister removes a call that has ended.
func (network *Network) unregister(host *host, exchange *networkExchange) {
	network.mu.Lock()
	defer network.mu.Unlock()
	delete(host.calls, exchange)
	network.callsInFlight.Done()
}

// Do sends a request and returns when the response headers have been received.
func (network *Network) Do(request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(request.Context())
	reader, writer := io.Pipe()
	exchange := &networkExchange{
		ctx: ctx, body: writer, headersSent: make(chan struct{}),
		response: &http.Response{Header: http.Header{}, Request: request, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1},
	}
	exchange.response.Body = &networkBody{PipeReader: reader, cancel: cancel}
	host := network.register(request.URL.Host, exchange, cancel)
	if host == nil {
		cancel()
		return nil, outbound.ErrNotSent.Wrap(syscall.ECONNREFUSED)
	}
	context.AfterFunc(ctx, func() { _ = reader.CloseWithError(ctx.Err()) })
	serverRequest := request.Clone(ctx)
	serverRequest.RequestURI = request.URL.RequestURI()
	if serverRequest.Body == nil {
		serverRequest.Body = http.NoBody
	}
	go func() {
		defer network.unregister(host, exchange)
		exchange.serve(host.handler, serverRequest)
	}()
	select {
	case <-exchange.headersSent:
	case <-ctx.Done():
		cancel()
		return nil, outbound.ErrNoResponse.Wrap(ctx.Err())
	}
	if exchange.err != nil {
		cancel()
		return nil, outbound.ErrNoResponse.Wrap(exchange.err)
	}
	return exchange.response, nil
}

var errConnectionClosed = errors.New("connection closed")

// networkExchange is the http.ResponseWriter of one call.
type networkExchange struct {
	ctx         context.Context
	body        *io.PipeWriter
	response    *http.Response
	once        sync.Once
	headersSent chan struct{}
	err         error
}

// serve runs the handler. A handler that panics with http.ErrAbortHandler
// closes the connection, before or after its headers.
func (exchange *networkExchange) serve(handler http.Handler, request *http.Request) {
	defer func() {
		if cause := recover(); cause != nil {
			exchange.once.Do(func() {
				exchange.err = errConnectionClosed
				close(exchange.headersSent)
			})
			_ = exchange.body.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		exchange.WriteHeader(http.StatusOK)
		_ = exchange.body.Close()
	}()
	handler.ServeHTTP(exchange, request)
}

// Header returns the response headers.
func (exchange *networkExchange) Header() http.Header { return exchange.response.Header }

// WriteHeader sends the headers; only the first call has an effect.
func (exchange *networkExchange) WriteHeader(status int) {
	exchange.once.Do(func() {
		exchange.response.StatusCode = status
		exchange.response.Status = http.StatusText(status)
		exchange.response.Header = exchange.response.Header.Clone()
		close(exchange.headersSent)
	})
}

// Write blocks until the reader has read the data or closed the body.
func (exchange *networkExchange) Write(data []byte) (int, error) {
	exchange.WriteHeader(http.StatusOK)
	if err := exchange.ctx.Err(); err != nil {
		return 0, err
	}
	return exchange.body.Write(data)
}

// Flush sends the headers; data is not buffered.
func (exchange *networkExchange) Flush() { exchange.WriteHeader(http.StatusOK) }

// networkBody is a response body; closing it cancels the request of the handler.
type networkBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

// Close closes the body and cancels the call.
func (body *networkBody) Close() error {
	body.cancel()
	return body.PipeReader.Close()
}
