// Package inbound provides the HTTP listeners of an instance, for callers and for other
// instances and operators. It serves routes through go-zero's rest with that package's
// limits, load shedding, circuit breaker, logs and signal handling switched off.
package inbound

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/router"

	"peridotpath.example/peridotpath/disconnect"
)

// Error is the class of this package's errors.
var Error = errs.Class("inbound")

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// headerLimitFactor times MaxHeaderBytes is the limit on headers in net/http.
	headerLimitFactor = 4
	// never is longer than the lifetime of any process.
	never = 100 * 365 * 24 * time.Hour
)

// Listener serves routes on one address. Set the exported fields before Run.
type Listener struct {
	Name    string
	Address netip.AddrPort
	Routes  []rest.Route
	// Prefix, when set, routes all methods and paths under it to PrefixHandler.
	Prefix        string
	PrefixHandler http.Handler
	// NotFound, when set, serves requests that match no route and no prefix.
	NotFound http.Handler
	// MaxHeaderBytes is the limit on a request's headers that the handlers enforce with
	// a result code. Headers several times as large get the plain 431 of net/http, which
	// bounds the memory for reading them.
	MaxHeaderBytes int

	server    chan *http.Server
	answering answering
}

// Run serves until Close, and returns once go-zero's shutdown hooks have run as well.
func (listener *Listener) Run() error {
	disableGlobalHooks()
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{Name: listener.Name, Mode: service.ProMode},
		Host:        listener.Address.Addr().String(),
		Port:        int(listener.Address.Port()),
		// Zero switches a limit off: a timeout would truncate long streams, a body
		// limit would reject million-token prompts, and a connection limit would reject
		// callers, none of which our metrics would count. For the same reason go-zero's
		// middlewares stay off: load shedding, circuit breaker and logs.
		Timeout: 0, MaxBytes: 0, MaxConns: 0,
	}
	restServer, err := rest.NewServer(conf, rest.WithRouter(listener.router()))
	if err != nil {
		return Error.New("listen on %s: %v", listener.Address, err)
	}
	// NewServer enables the log again.
	logx.Disable()
	restServer.AddRoutes(listener.Routes)
	err = startServer(restServer, func(server *http.Server) {
		server.ReadHeaderTimeout = readHeaderTimeout
		server.IdleTimeout = idleTimeout
		server.ReadTimeout = 0
		server.WriteTimeout = 0
		server.MaxHeaderBytes = headerLimitFactor * listener.MaxHeaderBytes
		server.ConnState = listener.answering.track
		server.ConnContext = disconnect.WithConn
		listener.server <- server
	})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.New("listen on %s: %v", listener.Address, err)
}

// Init initialises the listener without listening. It must precede Run and Close.
func (listener *Listener) Init() { listener.server = make(chan *http.Server, 1) }

// Close stops accepting connections and waits for requests in flight until ctx ends, in
// which case it returns the error of ctx.
func (listener *Listener) Close(ctx context.Context) error {
	select {
	case server := <-listener.server:
		return Error.Wrap(server.Shutdown(ctx))
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// AnsweringCount returns the number of connections on which a request has been read and its answer is
// not written to the end.
func (listener *Listener) AnsweringCount() int { return listener.answering.count() }

// RunShutdownHooks runs go-zero's shutdown hooks, without which Run does not return. Call
// it once all listeners of the process are closed.
func RunShutdownHooks() { proc.Shutdown() }

// startServer starts the server and converts go-zero's panic on a bind failure to an error.
func startServer(restServer *rest.Server, option func(*http.Server)) (err error) {
	defer func() {
		if failure := recover(); failure != nil {
			err = Error.New("%v", failure)
		}
	}()
	restServer.StartWithOpts(option)
	return http.ErrServerClosed
}

// disableGlobalHooks disables go-zero's signal handling and logs. On SIGTERM, go-zero's
// package proc closes all listeners after 1 s and terminates the process after 5.5 s, which
// truncates longer streams, such as one of 12 s. The daemon controls the shutdown instead.
func disableGlobalHooks() {
	logx.Disable()
	disableOnce.Do(func() { proc.Setup(proc.ShutdownConf{WrapUpTime: never, WaitTime: 2 * never}) })
}

var disableOnce sync.Once

func (listener *Listener) router() *prefixRouter {
	routes := router.NewRouter()
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
