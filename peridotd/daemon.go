package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"github.com/zeromicro/go-zero/rest"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/answerbuffer"
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/claim"
	"peridotpath.example/peridotpath/clientconn"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/cursor"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/dispatch"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/inbound"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/operator"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/peer"
	"peridotpath.example/peridotpath/service"
	"peridotpath.example/peridotpath/settings"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// resumeWindow is how long a disconnected stream is kept for its caller to resume.
	resumeWindow = 10 * time.Second
	// bodyTimeout bounds the time between two reads of a request body.
	bodyTimeout = 10 * time.Second
	// requestLogLinesPerSecond bounds the log lines of requests with one result.
	requestLogLinesPerSecond = 200
	// headRoom is for what the limit on parsed headers does not count: the method and the host.
	headRoom peridotpath.Bytes = 4 << 10
	// peerLimitDivisor divides the limits of callers' connections into those of peers'.
	peerLimitDivisor   = 8
	minPeerConnections = 16
)

// daemon holds the components of an instance.
type daemon struct {
	settings       *settings.Settings
	incarnation    peridotpath.Incarnation
	log            zerolog.Logger
	keyValue       *keyvalue.Store
	config         *config.Store
	fleet          *fleetTracker
	links          *links
	engines        *engine.Client
	scheduler      *decide.Scheduler
	dispatcher     *dispatch.Dispatcher
	claims         *claim.Ledger
	groups         *groupController
	signer         *cursor.Signer
	callers        *caller.Server
	callerListener *inbound.Listener
	peerListener   *inbound.Listener
}

// newDaemon creates and connects the components without starting them. They log to out, which must
// not block.
func newDaemon(settings *settings.Settings, out io.Writer) (*daemon, error) {
	log, err := telemetry.NewLog(out, settings.LogLevel, settings.InstanceID)
	if err != nil {
		return nil, err
	}
	// A later run of the instance has a higher incarnation, unless the clock is set back by
	// more than the time between the runs. The number only distinguishes runs.
	incarnation := peridotpath.Incarnation(time.Now().UnixNano())
	outbound.SetSource(settings.CallerAddress.Addr())
	daemon := &daemon{settings: settings, log: log, incarnation: incarnation, signer: &cursor.Signer{}}
	daemon.keyValue = keyvalue.Connect(settings.KeyValueAddress, &keyvalue.EraTracker{Now: clock.SinceBoot, Log: daemon.log, OnEraChange: daemon.onStoreRestored})
	daemon.config = &config.Store{KeyValue: daemon.keyValue, Log: log}
	daemon.links = newLinks(daemon)
	daemon.engines = &engine.Client{Instance: settings.InstanceID, Incarnation: incarnation, Do: daemon.links.do}
	daemon.scheduler = &decide.Scheduler{Seed: uint64(incarnation)}
	daemon.fleet = newFleetTracker(daemon)
	daemon.dispatcher = &dispatch.Dispatcher{
		Scheduler: daemon.scheduler, Log: log, ResumeWindow: resumeWindow,
		Send: daemon.engines.Send, Resume: daemon.engines.Resume, Cancel: daemon.engines.Cancel,
		SendPlain: (&service.Client{Do: daemon.links.do}).Send, OnEndpointDraining: daemon.fleet.view.RecordRefusal, OnEndpointBackoff: daemon.scheduler.BackOff,
		AnswerMemory: answerbuffer.NewPool(settings.Limits.AnswerMemoryBytes, dispatch.MaxWholeAnswer),
	}
	daemon.claims = &claim.Ledger{
		Store: daemon.keyValue, Instance: settings.InstanceID, Incarnation: incarnation,
		IsAlive: daemon.fleet.mayBeAlive, Logger: log,
	}
	daemon.groups = newGroupController(daemon)
	daemon.initCallers()
	daemon.initPeers()
	return daemon, nil
}

func (daemon *daemon) initCallers() {
	limits := daemon.settings.Limits
	daemon.callers = &caller.Server{
		Log: daemon.log, ActiveConfig: daemon.currentConfig, IsConfigRecent: daemon.ready,
		Do: daemon.dispatcher.Do, ContinueStream: daemon.dispatcher.ContinueStream, DoPlain: daemon.dispatcher.DoPlain,
		FindEndpoint: daemon.fleet.follower.Endpoint, LargestEngineKV: daemon.fleet.largestEngineKV, IsPlainService: daemon.fleet.hasOnlyPlainEndpoints,
		OnOversizePrompt: daemon.groups.counter.RecordPrompt, Signer: daemon.signer, Claims: daemon.claims,
		LogSampler: &telemetry.KindSampler{PerSecond: requestLogLinesPerSecond}, MaxActiveRequests: limits.MaxConnections, MaxHeaderBytes: limits.MaxHeaderBytes,
		BodyReader: caller.NewBodyReader(limits.MaxBodyBytes, limits.BodyMemoryBytes, bodyTimeout),
	}
	daemon.callerListener = &inbound.Listener{
		Name: "callers", Address: daemon.settings.CallerAddress,
		Routes: daemon.callers.Routes(), Prefix: caller.ServicePrefix, PrefixHandler: daemon.callers.ServiceHandler(),
		NotFound: daemon.callers.NotFoundHandler(), Log: daemon.log,
		Limits:     clientconn.Limits{Connections: limits.MaxConnections, HeadMemory: limits.HeadMemoryBytes},
		HeadLimits: daemon.headLimits,
	}
	daemon.callerListener.Init()
}

// initPeers creates the listener for other instances and operators.
func (daemon *daemon) initPeers() {
	operators, limits := (&operatorBackend{daemon: daemon}).server(), daemon.settings.Limits
	daemon.peerListener = &inbound.Listener{
		Name: "peers", Address: daemon.settings.PeerAddress,
		Log: daemon.log, HeadLimits: daemon.headLimits,
		Limits: clientconn.Limits{
			Connections: max(minPeerConnections, limits.MaxConnections/peerLimitDivisor), HeadMemory: limits.HeadMemoryBytes / peerLimitDivisor,
		},
		Routes: append(daemon.links.routes(),
			rest.Route{Method: http.MethodGet, Path: "/metrics", Handler: telemetry.WriteMetrics},
			rest.Route{Method: http.MethodPost, Path: operator.PathPrefix + ":method", Handler: operators.Handler().ServeHTTP},
			rest.Route{Method: http.MethodPost, Path: peer.PathPrefix + ":method", Handler: daemon.fleet.service.Handler().ServeHTTP},
		),
	}
	daemon.peerListener.Init()
}

// headLimits returns the limits of the next head, with room above the limit on parsed headers, which
// refuses with a result code.
func (daemon *daemon) headLimits() clientconn.HeadLimits {
	return clientconn.HeadLimits{MaxBytes: daemon.settings.Limits.MaxHeaderBytes + headRoom}
}

// ready reports whether the instance can serve new callers: it needs a recent
// configuration and a membership list. Without the list it would refuse its first callers
// with no_endpoint.
func (daemon *daemon) ready() bool {
	return daemon.config.Ready() && daemon.fleet.follower.Current() != nil
}

func (daemon *daemon) currentConfig() *peridotpath.Config {
	if snapshot := daemon.config.Current(); snapshot != nil {
		return snapshot.Config
	}
	return nil
}

// isDrained reports whether operators have excluded the endpoint from placement.
func (daemon *daemon) isDrained(id peridotpath.EndpointID) bool {
	snapshot := daemon.config.Current()
	if snapshot == nil {
		return false
	}
	_, drained := snapshot.Drains[id]
	return drained
}

// task is one background task of the daemon.
type task struct {
	name string
	run  func(ctx context.Context) error
}

// tasks returns all background tasks.
func (daemon *daemon) tasks() []task {
	fleet := daemon.fleet
	return []task{
		{"config", daemon.config.Run},
		{"membership", fleet.follower.Run},
		{"links", daemon.links.dialer.Run},
		{"load_reports", fleet.poller.Run},
		{"exchange", fleet.exchanger.Run},
		{"shares", fleet.limiter.Run},
		{"sweep", fleet.sweeper.Run},
		{"dispatch", daemon.dispatcher.Run},
		{"claims", daemon.claims.Run},
		{"demand", daemon.groups.counter.Run},
		{"shifts", daemon.groups.run},
		{"cursor_secret", daemon.runCursorSigner},
	}
}

// closePeers waits for the connections that are carried for peers, and closes the listener for
// peers.
func (daemon *daemon) closePeers(ctx context.Context) error {
	return errs.Combine(daemon.links.tunnels.Close(ctx), daemon.peerListener.Close(ctx))
}

// onStoreRestored notifies the components that the key-value service was restored from an older
// copy.
func (daemon *daemon) onStoreRestored(_, _ keyvalue.Era) {
	daemon.signer.MarkStoreRestored()
	daemon.claims.MarkStoreRestored()
}

func (daemon *daemon) runCursorSigner(ctx context.Context) error {
	return daemon.signer.Run(ctx, daemon.keyValue)
}

// run serves until a signal on stop, then stops gracefully.
func (daemon *daemon) run(stop <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tasks := daemon.tasks()
	ended := make(chan string, len(tasks))
	for _, task := range tasks {
		go func() {
			daemon.runTask(ctx, task)
			ended <- task.name
		}()
	}
	listeners := []*inbound.Listener{daemon.callerListener, daemon.peerListener}
	failed := make(chan error, len(listeners))
	for _, listener := range listeners {
		go func() { failed <- listener.Run() }()
	}
	daemon.log.Info().Stringer("callers", daemon.settings.CallerAddress).
		Stringer("peers", daemon.settings.PeerAddress).Msg("started")
	select {
	case err := <-failed:
		return err
	case <-stop:
	}
	err := daemon.stop(ctx)
	cancel()
	for range tasks {
		daemon.log.Debug().Str("task", <-ended).Msg("task_ended")
	}
	for range listeners {
		err = errs.Combine(err, <-failed)
	}
	daemon.log.Info().Msg("stopped")
	return err
}

// runTask runs a task and logs an error if it ends before the daemon stops.
func (daemon *daemon) runTask(ctx context.Context, task task) {
	err := task.run(ctx)
	if ctx.Err() == nil && !daemon.callers.IsStopping() {
		daemon.log.Error().Str("task", task.name).Err(err).Msg("task_ended")
	}
}

// stop stops the instance gracefully.
func (daemon *daemon) stop(ctx context.Context) error {
	daemon.log.Info().Int64("active", daemon.callers.ActiveRequests()).Msg("stopping")
	stop := &gracefulStop{
		BalancerNotice: daemon.settings.Drain.BalancerNoticeMS.Duration(), PeerHandover: daemon.settings.Drain.HandoverMS.Duration(),
		SetNotReady: daemon.callers.BeginStop, ActiveRequests: daemon.callers.ActiveRequests, CloseCallers: daemon.callerListener.Close,
		CloseClaims: daemon.claims.Close, ClosePeers: daemon.closePeers,
	}
	return stop.run(ctx)
}
