package caller

import (
	"context"
	"net/http"
	"strings"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/service"
)

// ServicePrefix comes before the profile's name and the service's own path:
// /services/{profile}/{path...}.
const ServicePrefix = "/services/"

// Services returns the handler of everything under ServicePrefix.
func (server *Server) Services() http.Handler { return server.handle(server.plain) }

// plain passes a call through to a plain service.
func (server *Server) plain(exchange *exchange) *peridotpath.Result {
	name, target, found := strings.Cut(strings.TrimPrefix(exchange.request.URL.EscapedPath(), ServicePrefix), "/")
	profile := exchange.config.Profile(name)
	if profile == nil || !found {
		return &peridotpath.Result{Code: peridotpath.CodeUnknownProfile, Detail: name}
	}
	deadline, result := exchange.deadline(profile)
	if result != nil {
		return result
	}
	body, free, result := server.read(exchange, deadline)
	if result != nil {
		return result
	}
	defer free()
	target = "/" + target
	if query := exchange.request.URL.RawQuery; query != "" {
		target += "?" + query
	}
	exchange.serve(&decide.Work{
		ID: exchange.id, Customer: exchange.customer, Profile: profile,
		ArrivedAt: exchange.arrived, Deadline: deadline,
	})
	call := &service.Request{
		ID: exchange.id, Method: exchange.request.Method, Target: target,
		Header: exchange.request.Header, Body: body,
	}
	return server.once(exchange, body, func(ctx context.Context, maySend func() error) *peridotpath.Result {
		return server.DoPlain(ctx, exchange.work, call, maySend, &beginning{exchange.writer, exchange})
	})
}

// beginning notes that the answer has begun, so that a later failure is not
// written into the middle of it.
type beginning struct {
	http.ResponseWriter
	exchange *exchange
}

// WriteHeader writes the answer's status.
func (beginning *beginning) WriteHeader(status int) {
	beginning.exchange.begun = true
	beginning.exchange.opaque = true
	beginning.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (beginning *beginning) Unwrap() http.ResponseWriter { return beginning.ResponseWriter }
