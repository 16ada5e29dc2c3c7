// Package caller is the HTTP interface to callers: the completion and
// chat-completion API that clients of language models already use, with streams as
// server-sent events, and plain services under a path prefix.
//
// It authenticates callers, estimates prompt lengths, runs requests with an
// idempotency key at most once and resumes streams by signed cursor. Against slow
// or stalled clients and under floods of large prompts it bounds memory and time:
// body memory, a minimum upload rate, and read and write deadlines derived from the
// request's deadline.
package caller

import (
	"context"
	"net/http"
	"strings"
	"sync"
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

// Server serves callers. Set the exported fields before Routes.
type Server struct {
	Log zerolog.Logger
	// LogSampler, when set, samples the log lines of requests, each result by itself.
	LogSampler *telemetry.KindSampler
	// ActiveConfig returns the active configuration, nil before there is one.
	ActiveConfig func() *peridotpath.Config
	// IsConfigRecent, when set, reports whether the configuration is recent enough to
	// admit new callers.
	IsConfigRecent func() bool
	// MaxActiveRequests bounds the concurrent requests; zero for no bound. It matters when
	// callers open connections without limit: each uses memory before its request
	// is parsed.
	MaxActiveRequests int
	// MaxHeaderBytes bounds the size of a request's headers; zero for no bound.
	MaxHeaderBytes peridotpath.Bytes
	// Do runs a prompt, ContinueStream resumes a stream by cursor, and DoPlain makes a
	// call to a plain service.
	Do             func(ctx context.Context, request *dispatch.Request, sink *dispatch.Sink) *peridotpath.Result
	ContinueStream func(ctx context.Context, work *decide.Work, endpoint peridotpath.Endpoint, id string, after int64, sink *dispatch.Sink) *peridotpath.Result
	DoPlain        func(ctx context.Context, work *decide.Work, call *service.Request, maySend func() error, writer http.ResponseWriter) *peridotpath.Result
	// Claims is the ledger of idempotency keys.
	Claims *claim.Ledger
	// FindEndpoint returns the endpoint with the given id, if the fleet has it.
	FindEndpoint func(id peridotpath.EndpointID) (peridotpath.Endpoint, bool)
	// LargestEngineKV returns the KV cache size of the service's largest engine.
	LargestEngineKV func(service peridotpath.Service) peridotpath.Tokens
	// IsPlainService, when set, reports whether the service is a plain one, without
	// engines.
	IsPlainService func(service peridotpath.Service) bool
	// OnOversizePrompt, when set, is called for each request that exceeds the KV cache of
	// every single engine.
	OnOversizePrompt func(service peridotpath.Service, tokens peridotpath.Tokens)
	Signer           *cursor.Signer
	BodyReader       *BodyReader

	estimator   tokenEstimator
	isStopping  atomic.Bool
	activeCount atomic.Int64
}

// Routes returns the routes for go-zero's rest.
func (server *Server) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: engine.PathCompletions, Handler: server.newHandler(server.serveCompletion)},
		{Method: http.MethodPost, Path: engine.PathChatCompletions, Handler: server.newHandler(server.serveCompletion)},
		{Method: http.MethodGet, Path: "/v1/streams", Handler: server.newHandler(server.resumeStream)},
		{Method: http.MethodGet, Path: "/v1/models", Handler: server.newHandler(server.listModels)},
		{Method: http.MethodGet, Path: "/health/live", Handler: server.serveLive},
		{Method: http.MethodGet, Path: "/health/ready", Handler: server.serveReady},
	}
}

// BeginStop makes the instance not ready. Requests that still arrive are served.
func (server *Server) BeginStop() { server.isStopping.Store(true) }

// IsStopping reports whether BeginStop was called.
func (server *Server) IsStopping() bool { return server.isStopping.Load() }

// IsReady reports whether the balancer may send new callers.
func (server *Server) IsReady() bool {
	if server.isStopping.Load() || server.ActiveConfig() == nil {
		return false
	}
	return server.IsConfigRecent == nil || server.IsConfigRecent()
}

// ActiveRequests returns the number of requests that are being served.
func (server *Server) ActiveRequests() int64 { return server.activeCount.Load() }

func (server *Server) serveLive(writer http.ResponseWriter, request *http.Request) {
	writeHealth(writer, request, http.StatusOK)
}

// serveReady serves the balancer's readiness check. An Instance without configuration or
// about to stop is not ready, but still serves the requests that it receives.
func (server *Server) serveReady(writer http.ResponseWriter, request *http.Request) {
	if !server.IsReady() {
		writeHealth(writer, request, http.StatusServiceUnavailable)
		return
	}
	writeHealth(writer, request, http.StatusOK)
}

// writeHealth answers a health check, whose body, if it has one, is not used.
func writeHealth(writer http.ResponseWriter, request *http.Request, status int) {
	if request.ContentLength == 0 {
		writer.WriteHeader(status)
		return
	}
	AnswerUnread(writer, request, func() { writer.WriteHeader(status) })
}

// exchange is the state of one request while it is being served.
type exchange struct {
	id        peridotpath.RequestID
	customer  *peridotpath.Customer
	config    *peridotpath.Config
	request   *http.Request
	writer    http.ResponseWriter
	arrivedAt time.Time
	work      *decide.Work
	// answerBegun is set once part of the answer was written. isOpaque is set if the
	// answer has a format in which no failure can be reported.
	answerBegun bool
	isOpaque    bool
	// bodyConsumed is set if no part of the body remains unread on the connection.
	bodyConsumed bool
	// leave ends the request's part in the number of active requests. It may be called twice.
	leave func()
}

// writeGracePeriod is how long after a request's deadline its answer may still be
// written, so that the deadline failure itself can be sent.
const writeGracePeriod = time.Second

// setWork sets the exchange's work and the write deadline. A caller may stop reading
// without closing the connection. Without a deadline the writes to this caller would
// block indefinitely and hold an engine's stream or a service's connection, and with them
// a planned stop.
func (exchange *exchange) setWork(work *decide.Work) {
	exchange.work = work
	exchange.setWriteDeadline(work.Deadline.Add(writeGracePeriod))
}

func (exchange *exchange) setWriteDeadline(deadline time.Time) {
	_ = http.NewResponseController(exchange.writer).SetWriteDeadline(deadline)
}

// newHandler wraps a handler with the steps that all requests share: the request id,
// authentication, the limits, the failure response, one log line and the counters.
func (server *Server) newHandler(serve func(*exchange) *peridotpath.Result) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		server.activeCount.Add(1)
		leave := sync.OnceFunc(func() { server.activeCount.Add(-1) })
		defer leave()
		exchange := &exchange{id: requestID(request), request: request, writer: writer, arrivedAt: time.Now(), leave: leave}
		exchange.bodyConsumed = request.ContentLength == 0
		writer.Header().Set(HeaderRequestID, string(exchange.id))
		if server.IsStopping() {
			// A connection that is kept open would be closed when the notice period
			// ends, and a request in transit on it could be lost. If the connection
			// closes with the answer, the caller reconnects to another instance.
			writer.Header().Set("Connection", "close")
		}
		result := server.authenticate(exchange)
		if server.MaxActiveRequests > 0 && server.ActiveRequests() > int64(server.MaxActiveRequests) {
			result = &peridotpath.Result{Code: peridotpath.CodeBodyMemory, RetryAfter: memoryRetryAfter, Detail: "too many requests at a time"}
		}
		if server.MaxHeaderBytes > 0 && HeaderSize(request) > server.MaxHeaderBytes {
			result = &peridotpath.Result{Code: peridotpath.CodeHeaderTooLarge}
		}
		if result == nil {
			result = server.serveToEnd(exchange, serve)
		}
		server.finishExchange(exchange, result)
	}
}

// HeaderSize returns the approximate size of the request line and the headers.
func HeaderSize(request *http.Request) peridotpath.Bytes {
	const separators = len(": \r\n")
	size := len(request.RequestURI)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return peridotpath.Bytes(size)
}

// NotFoundHandler returns the handler of unknown paths.
func (server *Server) NotFoundHandler() http.Handler {
	return server.newHandler(func(*exchange) *peridotpath.Result {
		return &peridotpath.Result{Code: peridotpath.CodeNotFound}
	})
}

const maxRequestIDLength = 128

// requestID returns the caller's own id if it is valid, or else a new one. No state
// is keyed by it, so equal ids of two callers cannot collide.
func requestID(request *http.Request) peridotpath.RequestID {
	id := request.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestIDLength || strings.ContainsAny(id, "\r\n\t ") {
		id = uuid.NewString()
	}
	return peridotpath.RequestID(id)
}

func (server *Server) authenticate(exchange *exchange) *peridotpath.Result {
	exchange.config = server.ActiveConfig()
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

// finishExchange writes the answer of a failure, counts the result and logs the request.
func (server *Server) finishExchange(exchange *exchange, result *peridotpath.Result) {
	code := peridotpath.CodeOK
	if result != nil {
		code = result.Code
		defer exchange.writeFailure(result)
	}
	telemetry.CountResult(code)
	if work := exchange.work; work != nil {
		telemetry.RecordRequestTime(work.Class, time.Since(exchange.arrivedAt))
	}
	leftOut, allowed := server.LogSampler.Take(code.String(), time.Now())
	if !allowed {
		return
	}
	event := server.Log.Info().Str("request", string(exchange.id)).Int("code", int(code)).
		Str("result", code.String()).Dur("took_ms", time.Since(exchange.arrivedAt))
	if exchange.customer != nil {
		event = event.Str("customer", string(exchange.customer.ID))
	}
	if work := exchange.work; work != nil {
		event = event.Str("profile", string(work.Profile.Name)).Str("length", work.Class.String()).Int("attempts", work.Attempts)
	}
	if result != nil && result.Detail != "" {
		event = event.Str("detail", result.Detail)
	}
	telemetry.AddLeftOut(event, leftOut).Msg("request")
}
