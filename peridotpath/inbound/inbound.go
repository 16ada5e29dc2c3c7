// Package inbound provides the HTTP listeners of an instance, for callers and for other
// instances and operators. It serves routes through go-zero's router, without the limits, load
// shedding, circuit breaker, logs and signal handling of that package, and bounds what the
// connections of its clients cost.
package inbound

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/router"

	"peridotpath.example/peridotpath/clientconn"
	"peridotpath.example/peridotpath/disconnect"
)

// Error is the class of this package's errors.
var Error = errs.Class("inbound")

// never is longer than the lifetime of any process.
const never = 100 * 365 * 24 * time.Hour

// Listener serves routes on one address. Set the exported fields before Init.
type Listener struct {
	Name    string
	Address netip.AddrPort
	Routes  []rest.Route
	// Prefix, when set, routes all methods and paths under it to PrefixHandler.
	Prefix        string
	PrefixHandler http.Handler
	// NotFound, when set, serves requests that match no route and no prefix.
	NotFound http.Handler
	// Limits bound what all connections cost together.
	Limits clientconn.Limits
	// HeadLimits, when set, returns the limits of the next request's head. Handlers may apply a lower
	// limit to parsed headers, with a result code.
	HeadLimits func() clientconn.HeadLimits
	Log        zerolog.Logger

	server    *http.Server
	pool      *clientconn.Pool
	answering answering
	// routeErr is the fault of a route that the router does not take.
	routeErr error
}

// Init initialises the listener without listening. It must precede Run and Close.
func (listener *Listener) Init() {
	disableGlobalHooks()
	listener.Limits.Defaults()
	listener.pool = &clientconn.Pool{Port: listener.Name, Limits: listener.Limits, HeadLimits: listener.headLimits, Log: listener.Log}
	listener.server = &http.Server{
		Handler: clientconn.Handle(listener.router()),
		// The pool bounds heads and the time that they take. Bodies and answers are bounded by the
		// handlers: a timeout of the server would truncate long streams.
		MaxHeaderBytes: math.MaxInt32,
		ConnState:      listener.trackState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return clientconn.WithConn(disconnect.WithConn(ctx, conn), conn)
		},
	}
}

func (listener *Listener) headLimits() clientconn.HeadLimits {
	var limits clientconn.HeadLimits
	if listener.HeadLimits != nil {
		limits = listener.HeadLimits()
	}
	limits.Defaults()
	return limits
}

func (listener *Listener) trackState(conn net.Conn, state http.ConnState) {
	listener.answering.track(conn, state)
	listener.pool.ConnState(conn, state)
}

// Run serves until Close.
func (listener *Listener) Run() error {
	if listener.routeErr != nil {
		return listener.routeErr
	}
	if err := listener.Limits.Validate().OrNil(); err != nil {
		return Error.New("limits of %s: %w", listener.Name, err)
	}
	inner, err := listener.pool.Listen(context.Background(), listener.Address.String())
	if err != nil {
		return Error.New("listen on %s: %v", listener.Address, err)
	}
	err = listener.server.Serve(inner)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.New("serve on %s: %v", listener.Address, err)
}

// Close stops accepting connections and waits for requests in flight until ctx ends, in
// which case it returns the error of ctx.
func (listener *Listener) Close(ctx context.Context) error {
	return Error.Wrap(listener.server.Shutdown(ctx))
}

// AnsweringCount returns the number of connections on which a request has been read and its answer is
// not written to the end.
func (listener *Listener) AnsweringCount() int { return listener.answering.count() }

// disableGlobalHooks disables go-zero's signal handling and logs. On SIGTERM, go-zero's
// package proc closes all listeners after 1 s and terminates the process after 5.5 s, which
// truncates longer streams, such as one of 12 s. The daemon controls the shutdown instead.
func disableGlobalHooks() {
	disableOnce.Do(func() {
		logx.Disable()
		proc.Setup(proc.ShutdownConf{WrapUpTime: never, WaitTime: 2 * never})
	})
}

var disableOnce sync.Once

func (listener *Listener) router() *prefixRouter {
	routes := router.NewRouter()
	for _, route := range listener.Routes {
		if err := routes.Handle(route.Method, route.Path, route.Handler); err != nil {
			listener.routeErr = Error.New("route %q %q: %v", route.Method, route.Path, err)
		}
	}
	if listener.NotFound != nil {
		routes.SetNotFoundHandler(listener.NotFound)
		routes.SetNotAllowedHandler(listener.NotFound)
	}
	return &prefixRouter{Router: routes, listener: listener}
}

// prefixRouter adds a prefix match to go-zero's router, whose patterns only match single
// path segments.
type prefixRouter struct {
	httpx.Router
	listener *Listener
}

func (router *prefixRouter) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	ctx, stop := disconnect.Watch(request.Context())
	defer stop()
	request = request.WithContext(ctx)
	prefix := router.listener.Prefix
	if prefix != "" && strings.HasPrefix(request.URL.Path, prefix) {
		router.listener.PrefixHandler.ServeHTTP(writer, request)
		return
	}
	router.Router.ServeHTTP(writer, request)
}
