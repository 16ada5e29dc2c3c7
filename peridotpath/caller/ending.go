package caller

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/telemetry"
)

// serveToEnd serves a request and returns a failure also where serve panics, or returns without an
// answer. Both are faults of this system: the caller would get a closed connection, or an empty
// success.
func (server *Server) serveToEnd(exchange *exchange, serve func(*exchange) *peridotpath.Result) (result *peridotpath.Result) {
	defer func() {
		if failure := recover(); failure != nil {
			result = server.faultResult(exchange, failure)
		}
	}()
	result = serve(exchange)
	if result != nil || exchange.answerBegun {
		return result
	}
	telemetry.CountUnanswered()
	server.Log.Error().Str("request", string(exchange.id)).Str("path", exchange.request.URL.Path).Msg("unanswered")
	return &peridotpath.Result{Code: peridotpath.CodeInternal}
}

// faultResult returns the result of a request whose handler panicked. A panic that aborts the
// connection is no fault.
func (server *Server) faultResult(exchange *exchange, failure any) *peridotpath.Result {
	if err, ok := failure.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(failure)
	}
	telemetry.CountUnanswered()
	server.Log.Error().Str("request", string(exchange.id)).Str("path", exchange.request.URL.Path).
		Str("fault", fmt.Sprint(failure)).Bytes("stack", debug.Stack()).Msg("panicked")
	return &peridotpath.Result{Code: peridotpath.CodeInternal}
}
