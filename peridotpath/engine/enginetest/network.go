package enginetest

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"peridotpath.example/peridotpath/outbound"
)

// Network carries HTTP calls to handlers in the same process, without sockets,
// so that whole sessions run under testing/synctest. Its zero value has no hosts.
type Network struct {
	mu      sync.Mutex
	hosts   map[string]http.Handler
	closing []context.CancelFunc
	running sync.WaitGroup
}

// Close breaks all calls off and waits until their handlers have returned.
func (network *Network) Close() {
	network.mu.Lock()
	closing := network.closing
	network.closing = nil
	network.mu.Unlock()
	for _, cancel := range closing {
		cancel()
	}
	network.running.Wait()
}

// Serve has handler answer calls to address; nil takes the host away, and calls
// to it then fail as a connection that is never made. Errors are of outbound's classes.
func (network *Network) Serve(address string, handler http.Handler) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.hosts == nil {
		network.hosts = map[string]http.Handler{}
	}
	network.hosts[address] = handler
}

// Do makes one call and returns when its headers are in.
func (network *Network) Do(request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(request.Context())
	network.mu.Lock()
	handler := network.hosts[request.URL.Host]
	network.closing = append(network.closing, cancel)
	network.mu.Unlock()
	if handler == nil {
		cancel()
		return nil, outbound.ErrNotSent.New("connection refused")
	}
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = reader.CloseWithError(ctx.Err()) })
	exchange := &networkExchange{
		ctx: ctx, body: writer, begun: make(chan struct{}),
		response: &http.Response{Header: http.Header{}, Request: request, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1},
	}
	exchange.response.Body = &networkBody{PipeReader: reader, cancel: cancel}
	inner := request.Clone(ctx)
	inner.RequestURI = request.URL.RequestURI()
	if inner.Body == nil {
		inner.Body = http.NoBody
	}
	network.running.Go(func() { exchange.serve(handler, inner) })
	select {
	case <-exchange.begun:
	case <-ctx.Done():
		cancel()
		return nil, outbound.ErrLost.Wrap(ctx.Err())
	}
	if exchange.broken != nil {
		cancel()
		return nil, outbound.ErrLost.Wrap(exchange.broken)
	}
	return exchange.response, nil
}

var errConnectionClosed = errors.New("connection closed")

// networkExchange is the handler's side of one call.
type networkExchange struct {
	ctx      context.Context
	body     *io.PipeWriter
	response *http.Response
	once     sync.Once
	begun    chan struct{}
	broken   error
}

// serve runs the handler. A handler that panics with http.ErrAbortHandler
// closes the connection, before or after its headers.
func (exchange *networkExchange) serve(handler http.Handler, request *http.Request) {
	defer func() {
		if cause := recover(); cause != nil {
			exchange.once.Do(func() {
				exchange.broken = errConnectionClosed
				close(exchange.begun)
			})
			_ = exchange.body.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		exchange.WriteHeader(http.StatusOK)
		_ = exchange.body.Close()
	}()
	handler.ServeHTTP(exchange, request)
}

// Header returns the headers until they are sent.
func (exchange *networkExchange) Header() http.Header { return exchange.response.Header }

// WriteHeader sends the headers, once.
func (exchange *networkExchange) WriteHeader(status int) {
	exchange.once.Do(func() {
		exchange.response.StatusCode = status
		exchange.response.Status = http.StatusText(status)
		exchange.response.Header = exchange.response.Header.Clone()
		close(exchange.begun)
	})
}

// Write waits until the reader took the data or left.
func (exchange *networkExchange) Write(data []byte) (int, error) {
	exchange.WriteHeader(http.StatusOK)
	if err := exchange.ctx.Err(); err != nil {
		return 0, err
	}
	return exchange.body.Write(data)
}

// Flush sends the headers; data is never held back.
func (exchange *networkExchange) Flush() { exchange.WriteHeader(http.StatusOK) }

// networkBody is a response's body; closing it tells the handler.
type networkBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

// Close ends the reader's part.
func (body *networkBody) Close() error {
	body.cancel()
	return body.PipeReader.Close()
}
