package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"github.com/zeromicro/go-zero/rest"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/claim"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/cursor"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/dispatch"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/inbound"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/operator"
	"peridotpath.example/peridotpath/peer"
	"peridotpath.example/peridotpath/service"
	"peridotpath.example/peridotpath/settings"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// resumeWindow is how long a stream without a reader is kept for its caller.
	resumeWindow = 10 * time.Second
	// bodyTimeout bounds the time between two pieces of a caller's body.
	bodyTimeout = 10 * time.Second
)

// daemon is one instance: its parts, joined.
type daemon struct {
	settings    *settings.Settings
	incarnation peridotpath.Incarnation
	log         zerolog.Logger
	keyValue    *keyvalue.Store
	config      *config.Store
	fleet       *fleetSide
	engines     *engine.Client
	scheduler   *decide.Scheduler
	dispatcher  *dispatch.Dispatcher
	claims      *claim.Ledger
	shifts      *shiftSide
	signer      *cursor.Signer
	callers     *caller.Server
	callerSide  *inbound.Listener
	peerSide    *inbound.Listener
}

// newDaemon joins the parts; nothing runs yet.
func newDaemon(settings *settings.Settings) (*daemon, error) {
	log, err := telemetry.NewLog(os.Stdout, settings.LogLevel, settings.InstanceID)
	if err != nil {
		return nil, err
	}
	// A later run has a higher number as long as the clock does not step back
	// by more than the instance was gone; the number only tells runs apart.
	incarnation := peridotpath.Incarnation(time.Now().UnixNano())
	daemon := &daemon{settings: settings, log: log, incarnation: incarnation, signer: &cursor.Signer{}}
	daemon.keyValue = keyvalue.Connect(settings.KeyValueAddress, &keyvalue.EraTracker{Now: clock.SinceBoot, Log: daemon.log, OnEraChange: daemon.wentBack})
	daemon.config = &config.Store{KeyValue: daemon.keyValue, Log: log}
	daemon.engines = &engine.Client{Instance: settings.InstanceID, Incarnation: incarnation}
	daemon.scheduler = &decide.Scheduler{Seed: uint64(incarnation)}
	daemon.fleet = joinFleet(daemon)
	daemon.dispatcher = &dispatch.Dispatcher{
		Scheduler: daemon.scheduler, Log: log, ResumeWindow: resumeWindow,
		Send: daemon.engines.Send, Resume: daemon.engines.Resume, Cancel: daemon.engines.Cancel,
		SendPlain: (&service.Client{}).Send, Draining: daemon.fleet.view.Refused,
	}
	daemon.claims = &claim.Ledger{
		Store: daemon.keyValue, Instance: settings.InstanceID, Incarnation: incarnation,
		Alive: daemon.fleet.alive, Logger: log,
	}
	daemon.shifts = joinShifts(daemon)
	daemon.joinCallers()
	daemon.joinPeers()
	return daemon, nil
}

func (daemon *daemon) joinCallers() {
	limits := daemon.settings.Limits
	daemon.callers = &caller.Server{
		Log: daemon.log, Config: daemon.currentConfig, Ready: daemon.ready,
		Do: daemon.dispatcher.Do, Continue: daemon.dispatcher.Continue, DoPlain: daemon.dispatcher.DoPlain,
		Endpoint: daemon.fleet.follower.Endpoint, EngineHolds: daemon.fleet.engineHolds, IsPlain: daemon.fleet.isPlain,
		Oversize: daemon.shifts.counter.Note, Signer: daemon.signer, Claims: daemon.claims,
		MaxActive: limits.MaxConnections, MaxHeaderBytes: limits.MaxHeaderBytes,
		Bodies: caller.NewBodies(limits.MaxBodyBytes, limits.BodyMemoryBytes, bodyTimeout),
	}
	daemon.callerSide = &inbound.Listener{
		Name: "callers", Address: daemon.settings.CallerAddress,
		Routes: daemon.callers.Routes(), Prefix: caller.ServicePrefix, PrefixHandler: daemon.callers.Services(),
		NotFound: daemon.callers.NotFound(), MaxHeaderBytes: int(limits.MaxHeaderBytes),
	}
	daemon.callerSide.Open()
}

// joinPeers makes the side that other instances and operators reach.
func (daemon *daemon) joinPeers() {
	operators := (&operatorSide{daemon: daemon}).server()
	daemon.peerSide = &inbound.Listener{
		Name: "peers", Address: daemon.settings.PeerAddress,
		MaxHeaderBytes: int(daemon.settings.Limits.MaxHeaderBytes),
		Routes: []rest.Route{
			{Method: http.MethodGet, Path: "/metrics", Handler: telemetry.WriteMetrics},
			{Method: http.MethodPost, Path: operator.PathPrefix + ":method", Handler: operators.Handler().ServeHTTP},
			{Method: http.MethodPost, Path: peer.PathPrefix + ":method", Handler: daemon.fleet.service.Handler().ServeHTTP},
		},
	}
	daemon.peerSide.Open()
}

// ready reports whether the instance knows enough to serve new callers: by a
// recent configuration and at least one reading of the membership list. Without
// the second it refused its first callers with no_endpoint.
func (daemon *daemon) ready() bool {
	return daemon.config.Ready() && daemon.fleet.follower.Current() != nil
}

func (daemon *daemon) currentConfig() *peridotpath.Config {
	if snapshot := daemon.config.Current(); snapshot != nil {
		return snapshot.Config
	}
	return nil
}

// drained reports whether operators took the endpoint out of placement.
func (daemon *daemon) drained(id peridotpath.EndpointID) bool {
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

// tasks lists everything that runs beside the listeners.
func (daemon *daemon) tasks() []task {
	fleet := daemon.fleet
	return []task{
		{"config", daemon.config.Run},
		{"membership", fleet.follower.Run},
		{"load_reports", fleet.poller.Run},
		{"exchange", fleet.exchanger.Run},
		{"shares", fleet.limiter.Run},
		{"sweep", fleet.sweeper.Run},
		{"dispatch", daemon.dispatcher.Run},
		{"claims", daemon.claims.Run},
		{"demand", daemon.shifts.counter.Run},
		{"shifts", daemon.shifts.run},
		{"cursor_secret", daemon.shareSecret},
	}
}

// wentBack begins what follows when the key-value service came back from an older copy.
func (daemon *daemon) wentBack(_, _ keyvalue.Era) {
	daemon.signer.WentBack()
	daemon.claims.WentBack()
}

func (daemon *daemon) shareSecret(ctx context.Context) error {
	return daemon.signer.Run(ctx, daemon.keyValue)
}

// run serves until a signal comes on stop and everything is finished.
func (daemon *daemon) run(stop <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tasks := daemon.tasks()
	ended := make(chan string, len(tasks))
	for _, task := range tasks {
		go func() {
			daemon.watch(ctx, task)
			ended <- task.name
		}()
	}
	listeners := []*inbound.Listener{daemon.callerSide, daemon.peerSide}
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
	inbound.Finish()
	for range listeners {
		err = errs.Combine(err, <-failed)
	}
	daemon.log.Info().Msg("stopped")
	return err
}

// watch runs a task and logs an end that nobody asked for.
func (daemon *daemon) watch(ctx context.Context, task task) {
	err := task.run(ctx)
	if ctx.Err() == nil && !daemon.callers.Stopping() {
		daemon.log.Error().Str("task", task.name).Err(err).Msg("task_ended")
	}
}

// stop is the planned stop.
func (daemon *daemon) stop(ctx context.Context) error {
	daemon.log.Info().Int64("active", daemon.callers.Active()).Msg("stopping")
	stop := &plannedStop{
		Notice: daemon.settings.Drain.BalancerNoticeMS.Duration(), Handover: daemon.settings.Drain.HandoverMS.Duration(),
		TurnNotReady: daemon.callers.Stop, Active: daemon.callers.Active, CloseCallers: daemon.callerSide.Close,
		CloseClaims: daemon.claims.Close, ClosePeers: daemon.peerSide.Close,
	}
	return stop.run(ctx)
}
