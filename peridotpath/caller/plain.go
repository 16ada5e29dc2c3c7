package caller

import (
	"context"
	"net/http"
	"strings"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/service"
)

// ServicePrefix precedes the profile's name and the service's own path:
// /services/{profile}/{path...}.
const ServicePrefix = "/services/"

// ServiceHandler returns the handler of the paths under ServicePrefix.
func (server *Server) ServiceHandler() http.Handler { return server.newHandler(server.servePlain) }

// servePlain forwards a call to a plain service.
func (server *Server) servePlain(exchange *exchange) *peridotpath.Result {
	name, target, found := strings.Cut(strings.TrimPrefix(exchange.request.URL.EscapedPath(), ServicePrefix), "/")
	profile := exchange.config.Profile(name)
	if profile == nil || !found {
		return &peridotpath.Result{Code: peridotpath.CodeUnknownProfile, Detail: name}
	}
	deadline, result := exchange.requestDeadline(profile)
	if result != nil {
		return result
	}
	body, release, result := server.readBody(exchange, deadline)
	if result != nil {
		return result
	}
	defer release()
	target = "/" + target
	if query := exchange.request.URL.RawQuery; query != "" {
		target += "?" + query
	}
	exchange.setWork(&decide.Work{
		ID: exchange.id, Customer: exchange.customer, Profile: profile,
		ArrivedAt: exchange.arrivedAt, Deadline: deadline,
	})
	call := &service.Request{
		ID: exchange.id, Method: exchange.request.Method, Target: target,
		Header: exchange.request.Header, Body: body,
	}
	return server.runOnce(exchange, body, func(ctx context.Context, maySend func() error) *peridotpath.Result {
		return server.DoPlain(ctx, exchange.work, call, maySend, &startMarker{exchange.writer, exchange})
	})
}

// startMarker records that the answer has begun, so that a later failure is not
// written into it.
type startMarker struct {
	http.ResponseWriter
	exchange *exchange
}

// WriteHeader marks the answer as begun and writes the status.
func (startMarker *startMarker) WriteHeader(status int) {
	startMarker.exchange.answerBegun = true
	startMarker.exchange.isOpaque = true
	startMarker.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (startMarker *startMarker) Unwrap() http.ResponseWriter { return startMarker.ResponseWriter }
