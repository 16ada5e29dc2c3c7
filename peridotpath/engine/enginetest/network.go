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
	hosts   map[string]*host
	closed  bool
	running sync.WaitGroup
}

// host is one address with the calls that it is answering.
type host struct {
	handler http.Handler
	calls   map[*networkExchange]context.CancelFunc
}

func (host *host) breakOff() {
	for exchange, cancel := range host.calls {
		// First the error: the handler, told to stop, would end the answer as whole.
		_ = exchange.body.CloseWithError(io.ErrUnexpectedEOF)
		cancel()
	}
}

// Close refuses new calls, breaks the others off and waits until their handlers
// have returned.
func (network *Network) Close() {
	network.mu.Lock()
	network.closed = true
	for _, host := range network.hosts {
		host.breakOff()
	}
	network.mu.Unlock()
	network.running.Wait()
}

// Serve has handler answer calls to address; nil takes the host away: the calls
// that it is answering break off, and later ones fail as a connection that is
// never made. Errors are of outbound's classes.
func (network *Network) Serve(address string, handler http.Handler) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.hosts == nil {
		network.hosts = map[string]*host{}
	}
	if before := network.hosts[address]; before != nil {
		before.breakOff()
	}
	network.hosts[address] = &host{handler: handler, calls: map[*networkExchange]context.CancelFunc{}}
}

// open notes a call and returns the host that answers it, nil for none.
func (network *Network) open(address string, exchange *networkExchange, cancel context.CancelFunc) *host {
	network.mu.Lock()
	defer network.mu.Unlock()
	host := network.hosts[address]
	if host == nil || host.handler == nil || network.closed {
		return nil
	}
	host.calls[exchange] = cancel
	network.running.Add(1)
	return host
}

// close forgets a call that is over.
func (network *Network) close(host *host, exchange *networkExchange) {
	network.mu.Lock()
	defer network.mu.Unlock()
	delete(host.calls, exchange)
	network.running.Done()
}

// Do makes one call and returns when its headers are in.
func (network *Network) Do(request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(request.Context())
	reader, writer := io.Pipe()
	exchange := &networkExchange{
		ctx: ctx, body: writer, begun: make(chan struct{}),
		response: &http.Response{Header: http.Header{}, Request: request, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1},
	}
	exchange.response.Body = &networkBody{PipeReader: reader, cancel: cancel}
	host := network.open(request.URL.Host, exchange, cancel)
	if host == nil {
		cancel()
		return nil, outbound.ErrNotSent.New("connection refused")
	}
	context.AfterFunc(ctx, func() { _ = reader.CloseWithError(ctx.Err()) })
	inner := request.Clone(ctx)
	inner.RequestURI = request.URL.RequestURI()
	if inner.Body == nil {
		inner.Body = http.NoBody
	}
	go func() {
		defer network.close(host, exchange)
		exchange.serve(host.handler, inner)
	}()
	select {
	case <-exchange.begun:
	case <-ctx.Done():
		cancel()
		return nil, outbound.ErrNoResponse.Wrap(ctx.Err())
	}
	if exchange.broken != nil {
		cancel()
		return nil, outbound.ErrNoResponse.Wrap(exchange.broken)
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
