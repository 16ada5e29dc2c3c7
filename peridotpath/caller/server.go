// Package caller speaks HTTP to callers: the completion and chat-completion
// interface that clients of language models already use, with streams as
// server-sent events, and plain services under a path prefix.
package caller

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim"
	"peridotpath.example/peridotpath/cursor"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/dispatch"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/service"
	"peridotpath.example/peridotpath/telemetry"
)

// Headers of the callers' interface.
const (
	HeaderProfile        = "Peridotpath-Profile"
	HeaderDeadlineMS     = "Peridotpath-Deadline-Ms"
	HeaderCode           = "Peridotpath-Code"
	HeaderEndpoint       = "Peridotpath-Endpoint"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-Id"
)

// Server answers callers. Set the exported fields before Routes.
type Server struct {
	Log zerolog.Logger
	// Config returns the configuration in force, nil before there is one.
	Config func() *peridotpath.Config
	// Ready, when set, reports whether the configuration is recent enough to take
	// new callers by.
	Ready func() bool
	// MaxActive bounds the requests that are served at a time; zero for no bound.
	// The load it is made for is callers that open connections without end: each
	// takes memory before anything is known of its request.
	MaxActive int
	// MaxHeaderBytes bounds the headers of a request; zero for no bound.
	MaxHeaderBytes peridotpath.Bytes
	// Do runs a request; Continue goes on with a stream by its cursor.
	Do       func(ctx context.Context, request *dispatch.Request, sink *dispatch.Sink) *peridotpath.Result
	Continue func(ctx context.Context, work *decide.Work, endpoint peridotpath.Endpoint, id string, after int64, sink *dispatch.Sink) *peridotpath.Result
	DoPlain  func(ctx context.Context, work *decide.Work, call *service.Request, maySend func() error, writer http.ResponseWriter) *peridotpath.Result
	// Claims is the ledger of idempotency keys.
	Claims *claim.Ledger
	// Endpoint returns the endpoint with that id, if the fleet has it.
	Endpoint func(id peridotpath.EndpointID) (peridotpath.Endpoint, bool)
	// EngineHolds returns the KV memory of the service's largest engine.
	EngineHolds func(service peridotpath.Service) peridotpath.Tokens
	// IsPlain, when set, reports whether the service's endpoints are no engines.
	IsPlain func(service peridotpath.Service) bool
	// Oversize, when set, is told of each prompt that no single engine holds.
	Oversize func(service peridotpath.Service, tokens peridotpath.Tokens)
	Signer   *cursor.Signer
	Bodies   *Bodies

	estimator estimator
	stopping  atomic.Bool
	active    atomic.Int64
}

// Routes returns the routes for go-zero's rest.
func (server *Server) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: engine.PathCompletions, Handler: server.handle(server.complete)},
		{Method: http.MethodPost, Path: engine.PathChatCompletions, Handler: server.handle(server.complete)},
		{Method: http.MethodGet, Path: "/v1/streams", Handler: server.handle(server.resume)},
		{Method: http.MethodGet, Path: "/v1/models", Handler: server.handle(server.models)},
		{Method: http.MethodGet, Path: "/health/live", Handler: server.live},
		{Method: http.MethodGet, Path: "/health/ready", Handler: server.ready},
	}
}

// Stop makes the instance not ready; what comes in all the same is still served.
func (server *Server) Stop() { server.stopping.Store(true) }

// Stopping reports whether Stop was called.
func (server *Server) Stopping() bool { return server.stopping.Load() }

// IsReady reports whether the balancer may send new callers.
func (server *Server) IsReady() bool {
	if server.stopping.Load() || server.Config() == nil {
		return false
	}
	return server.Ready == nil || server.Ready()
}

// Active returns how many requests are being served.
func (server *Server) Active() int64 { return server.active.Load() }

func (server *Server) live(writer http.ResponseWriter, _ *http.Request) {
	writer.WriteHeader(http.StatusOK)
}

// ready answers the balancer. An Instance without configuration or about to
// stop asks for no new callers, but still serves the ones that come.
func (server *Server) ready(writer http.ResponseWriter, _ *http.Request) {
	if !server.IsReady() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// exchange is one caller's request while it is being served.
type exchange struct {
	id       peridotpath.RequestID
	customer *peridotpath.Customer
	config   *peridotpath.Config
	request  *http.Request
	writer   http.ResponseWriter
	arrived  time.Time
	work     *decide.Work
	// begun says that part of the answer was written; opaque, that it is of a
	// form in which no failure can be told.
	begun  bool
	opaque bool
	// bodyRead says that nothing of the body is left on the connection.
	bodyRead bool
}

// writeMargin is how long after its deadline a request's answer may still be
// written: the failure that says so has to go out.
const writeMargin = time.Second

// serve notes the work that the exchange is about. Its caller may stop reading
// without closing the connection. The writes then block, and would hold an
// engine's stream or a service's connection, and a planned stop with them, for
// as long as the caller likes; they fail at the deadline instead.
func (exchange *exchange) serve(work *decide.Work) {
	exchange.work = work
	exchange.writeUntil(work.Deadline.Add(writeMargin))
}

func (exchange *exchange) writeUntil(limit time.Time) {
	_ = http.NewResponseController(exchange.writer).SetWriteDeadline(limit)
}

// handle wraps a handler with what all share: an id, the customer, the final
// answer of a failure, one log line and the counters.
func (server *Server) handle(serve func(*exchange) *peridotpath.Result) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		server.active.Add(1)
		defer server.active.Add(-1)
		exchange := &exchange{id: requestID(request), request: request, writer: writer, arrived: time.Now()}
		exchange.bodyRead = request.ContentLength == 0
		writer.Header().Set(HeaderRequestID, string(exchange.id))
		if server.Stopping() {
			// Connections in use would be closed under their callers when the notice
			// is over, with a request on the way to them perhaps lost; one that closes
			// with its answer has its caller connect anew, to another instance.
			writer.Header().Set("Connection", "close")
		}
		result := server.authenticate(exchange)
		if server.MaxActive > 0 && server.Active() > int64(server.MaxActive) {
			result = &peridotpath.Result{Code: peridotpath.CodeBodyMemory, RetryAfter: retryBodies, Detail: "too many requests at a time"}
		}
		if server.MaxHeaderBytes > 0 && HeaderBytes(request) > server.MaxHeaderBytes {
			result = &peridotpath.Result{Code: peridotpath.CodeHeaderTooLarge}
		}
		if result == nil {
			result = serve(exchange)
		}
		server.finish(exchange, result)
	}
}

// HeaderBytes returns about how many bytes the headers took.
func HeaderBytes(request *http.Request) peridotpath.Bytes {
	const separators = len(": \r\n")
	size := len(request.RequestURI)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return peridotpath.Bytes(size)
}

// NotFound answers what nothing is served under.
func (server *Server) NotFound() http.Handler {
	return server.handle(func(*exchange) *peridotpath.Result {
		return &peridotpath.Result{Code: peridotpath.CodeNotFound}
	})
}

const maxRequestID = 128

// requestID keeps the caller's own id where it has a sane one. Nothing is
// looked up by it, so two callers with the same id cannot meet.
func requestID(request *http.Request) peridotpath.RequestID {
	id := request.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestID || strings.ContainsAny(id, "\r\n\t ") {
		id = uuid.NewString()
	}
	return peridotpath.RequestID(id)
}

func (server *Server) authenticate(exchange *exchange) *peridotpath.Result {
	exchange.config = server.Config()
	if exchange.config == nil {
		return &peridotpath.Result{Code: peridotpath.CodeNotReady, RetryAfter: time.Second}
	}
	key, found := strings.CutPrefix(exchange.request.Header.Get("Authorization"), "Bearer ")
	if found {
		exchange.customer = exchange.config.CustomerByKey(key)
	}
	if exchange.customer == nil {
		return &peridotpath.Result{Code: peridotpath.CodeUnauthorized}
	}
	return nil
}

// finish gives a failure its answer at once, counts it and logs the request.
func (server *Server) finish(exchange *exchange, result *peridotpath.Result) {
	code := peridotpath.CodeOK
	if result != nil {
		code = result.Code
		defer exchange.fail(result)
	}
	telemetry.CountResult(code)
	event := server.Log.Info().Str("request", string(exchange.id)).Int("code", int(code)).
		Str("result", code.String()).Dur("took_ms", time.Since(exchange.arrived))
	if exchange.customer != nil {
		event = event.Str("customer", string(exchange.customer.ID))
	}
	if work := exchange.work; work != nil {
		telemetry.RecordRequestTime(work.Class, time.Since(exchange.arrived))
		event = event.Str("profile", string(work.Profile.Name)).Str("length", work.Class.String()).Int("attempts", work.Attempts)
	}
	if result != nil && result.Detail != "" {
		event = event.Str("detail", result.Detail)
	}
	event.Msg("request")
}
