// Package inbound listens: it serves routes through go-zero's rest, whose own
// limits, logs and shutdown are off. Both sides of an instance stand on it, that
// of the callers and that of other instances and operators.
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
)

// Error is the class of this package's errors.
var Error = errs.Class("inbound")

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// headerBackstop is how many times the bound on headers net/http still reads.
	headerBackstop = 4
	// never is longer than any process lives.
	never = 100 * 365 * 24 * time.Hour
)

// Listener serves routes through go-zero's rest on one address. Set the
// exported fields before Run.
type Listener struct {
	Name    string
	Address netip.AddrPort
	Routes  []rest.Route
	// Prefix, when set, serves every path under it, with any method.
	Prefix        string
	PrefixHandler http.Handler
	// NotFound, when set, answers what no route and no prefix takes.
	NotFound http.Handler
	// MaxHeaderBytes bounds one request's headers. Server refuses what is larger
	// with its code; a request that is several times as large gets net/http's own
	// bare 431, so that reading it costs bounded memory.
	MaxHeaderBytes int

	server chan *http.Server
}

// Run serves until Close and Finish.
func (listener *Listener) Run() error {
	silence()
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{Name: listener.Name, Mode: service.ProMode},
		Host:        listener.Address.Addr().String(),
		Port:        int(listener.Address.Port()),
		// Zero turns a limit off: a time limit would cut long streams, a limit
		// on bodies refuse million-token prompts, and one on connections refuse
		// callers, each without a counter of ours. Middlewares stay off for the
		// same reason: shedding, breaker and logs of go-zero's own.
		Timeout: 0, MaxBytes: 0, MaxConns: 0,
	}
	inner, err := rest.NewServer(conf, rest.WithRouter(listener.router()))
	if err != nil {
		return Error.New("listen on %s: %v", listener.Address, err)
	}
	// NewServer sets its own log up again.
	logx.Disable()
	inner.AddRoutes(listener.Routes)
	err = run(inner, func(server *http.Server) {
		server.ReadHeaderTimeout = readHeaderTimeout
		server.IdleTimeout = idleTimeout
		server.ReadTimeout = 0
		server.WriteTimeout = 0
		server.MaxHeaderBytes = headerBackstop * listener.MaxHeaderBytes
		listener.server <- server
	})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.New("listen on %s: %v", listener.Address, err)
}

// Open prepares the listener; call it before Run and Close.
func (listener *Listener) Open() { listener.server = make(chan *http.Server, 1) }

// Close stops accepting, waits for the requests that run until ctx ends, and
// returns what ended the wait.
func (listener *Listener) Close(ctx context.Context) error {
	select {
	case server := <-listener.server:
		return Error.Wrap(server.Shutdown(ctx))
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Finish lets Run return on all listeners of the process, once each is closed:
// go-zero holds it back until its own shutdown hooks have run.
func Finish() { proc.Shutdown() }

// run starts the server and turns go-zero's panic at a bind failure into an error.
func run(inner *rest.Server, option func(*http.Server)) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = Error.New("%v", cause)
		}
	}()
	inner.StartWithOpts(option)
	return http.ErrServerClosed
}

// silence keeps go-zero from acting on signals and from printing. On SIGTERM
// its proc package closes every listener after a second and ends the process
// after 5.5 s, which cut a stream of 12 s; shutdown is the daemon's own.
func silence() {
	logx.Disable()
	silenceOnce.Do(func() { proc.Setup(proc.ShutdownConf{WrapUpTime: never, WaitTime: 2 * never}) })
}

var silenceOnce sync.Once

func (listener *Listener) router() *prefixRouter {
	routes := router.NewRouter()
	if listener.NotFound != nil {
		routes.SetNotFoundHandler(listener.NotFound)
		routes.SetNotAllowedHandler(listener.NotFound)
	}
	return &prefixRouter{Router: routes, listener: listener}
}

// prefixRouter adds one prefix to go-zero's router, whose patterns match single
// path segments only.
type prefixRouter struct {
	httpx.Router
	listener *Listener
}

func (router *prefixRouter) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	prefix := router.listener.Prefix
	if prefix != "" && strings.HasPrefix(request.URL.Path, prefix) {
		router.listener.PrefixHandler.ServeHTTP(writer, request)
		return
	}
	router.Router.ServeHTTP(writer, request)
}
