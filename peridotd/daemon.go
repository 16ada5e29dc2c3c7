package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"github.com/zeromicro/go-zero/rest"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/claim"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/cursor"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/dispatch"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/membership"
	"peridotpath.example/peridotpath/service"
	"peridotpath.example/peridotpath/settings"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	membershipInterval = time.Second
	loadInterval       = 500 * time.Millisecond
	resumeWindow       = 10 * time.Second
	bodyTimeout        = 10 * time.Second
	activePoll         = 20 * time.Millisecond
)

// daemon is one instance: its parts, joined.
type daemon struct {
	settings   *settings.Settings
	log        zerolog.Logger
	keyValue   *keyvalue.Store
	config     *config.Store
	follower   *membership.Follower
	engines    *engine.Client
	poller     *engine.Poller
	scheduler  *decide.Scheduler
	dispatcher *dispatch.Dispatcher
	claims     *claim.Ledger
	signer     *cursor.Signer
	callers    *caller.Server
	callerSide *caller.Listener
	peerSide   *caller.Listener
}

// newDaemon joins the parts; nothing runs yet.
func newDaemon(settings *settings.Settings) *daemon {
	log, err := telemetry.NewLog(os.Stdout, settings.LogLevel, settings.InstanceID)
	if err != nil {
		log = zerolog.Nop()
	}
	daemon := &daemon{settings: settings, log: log}
	daemon.keyValue = keyvalue.Connect(settings.KeyValueAddress)
	daemon.config = &config.Store{KeyValue: daemon.keyValue, Log: log}
	daemon.scheduler = &decide.Scheduler{}
	daemon.follower = &membership.Follower{
		Fetch: func(ctx context.Context) (*membership.List, error) {
			return membership.Fetch(ctx, settings.MembershipAddress)
		},
		Interval: membershipInterval, Log: log, Changed: daemon.membersChanged,
	}
	daemon.engines = &engine.Client{
		Instance:    settings.InstanceID,
		Incarnation: peridotpath.Incarnation(time.Now().UnixNano()),
	}
	daemon.poller = &engine.Poller{
		Load: daemon.engines.Load, Endpoints: daemon.endpoints,
		Interval: loadInterval, Report: daemon.scheduler.Report,
	}
	daemon.dispatcher = &dispatch.Dispatcher{
		Scheduler: daemon.scheduler, Log: log, ResumeWindow: resumeWindow,
		Send: daemon.engines.Send, Resume: daemon.engines.Resume, Cancel: daemon.engines.Cancel,
		SendPlain: (&service.Client{}).Send,
	}
	daemon.claims = &claim.Ledger{
		Store: daemon.keyValue, Instance: settings.InstanceID, Incarnation: daemon.engines.Incarnation,
		Alive: daemon.alive, Logger: log,
	}
	daemon.signer = &cursor.Signer{}
	daemon.joinCallers()
	return daemon
}

func (daemon *daemon) joinCallers() {
	limits := daemon.settings.Limits
	daemon.callers = &caller.Server{
		Log: daemon.log, Config: daemon.currentConfig,
		Do: daemon.dispatcher.Do, Continue: daemon.dispatcher.Continue, DoPlain: daemon.dispatcher.DoPlain,
		Endpoint: daemon.follower.Endpoint, EngineHolds: daemon.engineHolds,
		Signer: daemon.signer, Claims: daemon.claims,
		Bodies: caller.NewBodies(limits.MaxBodyBytes, limits.BodyMemoryBytes, bodyTimeout),
	}
	daemon.callerSide = &caller.Listener{
		Name: "callers", Address: daemon.settings.CallerAddress,
		Routes: daemon.callers.Routes(), Prefix: caller.ServicePrefix, PrefixHandler: daemon.callers.Services(),
		MaxHeaderBytes: int(limits.MaxHeaderBytes),
	}
	daemon.peerSide = &caller.Listener{
		Name: "peers", Address: daemon.settings.PeerAddress, MaxHeaderBytes: int(limits.MaxHeaderBytes),
		Routes: []rest.Route{{Method: http.MethodGet, Path: "/metrics", Handler: writeMetrics}},
	}
	daemon.callerSide.Open()
	daemon.peerSide.Open()
}

func writeMetrics(writer http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(writer, true)
}

func (daemon *daemon) currentConfig() *peridotpath.Config {
	if snapshot := daemon.config.Current(); snapshot != nil {
		return snapshot.Config
	}
	return nil
}

func (daemon *daemon) endpoints() []peridotpath.Endpoint {
	if list := daemon.follower.Current(); list != nil {
		return list.Endpoints
	}
	return nil
}

func (daemon *daemon) membersChanged(list *membership.List) {
	daemon.scheduler.SetEndpoints(time.Now(), list.Endpoints)
	daemon.log.Info().Uint64("revision", list.Revision).Int("endpoints", len(list.Endpoints)).
		Int("instances", len(list.Instances)).Msg("membership")
}

// alive reports whether that run of that instance may still be at work.
func (daemon *daemon) alive(id peridotpath.InstanceID, incarnation peridotpath.Incarnation) bool {
	if id == daemon.settings.InstanceID {
		return incarnation == daemon.engines.Incarnation
	}
	list := daemon.follower.Current()
	if list == nil {
		return true
	}
	for _, instance := range list.Instances {
		if instance.ID == id {
			return instance.Incarnation == 0 || instance.Incarnation == incarnation
		}
	}
	return false
}

// engineHolds returns the KV memory of the service's largest live engine.
func (daemon *daemon) engineHolds(service peridotpath.Service) peridotpath.Tokens {
	var most peridotpath.Tokens
	for _, endpoint := range daemon.endpoints() {
		if endpoint.Service == service {
			most = max(most, endpoint.KVTokens)
		}
	}
	return most
}

// task is one background task of the daemon.
type task struct {
	name string
	run  func(ctx context.Context) error
}

// tasks lists everything that runs beside the listeners.
func (daemon *daemon) tasks() []task {
	return []task{
		{"config", daemon.followConfig},
		{"membership", daemon.follower.Run},
		{"load_reports", daemon.poller.Run},
		{"dispatch", daemon.dispatcher.Run},
		{"cursor_secret", daemon.shareSecret},
		{"claims", daemon.claims.Run},
	}
}

func (daemon *daemon) shareSecret(ctx context.Context) error {
	return daemon.signer.Run(ctx, daemon.keyValue)
}

func (daemon *daemon) followConfig(ctx context.Context) error {
	if _, err := daemon.config.Load(ctx); err != nil {
		return err
	}
	return daemon.config.Run(ctx)
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
	listeners := []*caller.Listener{daemon.callerSide, daemon.peerSide}
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
	caller.Finish()
	for range listeners {
		err = errs.Combine(err, <-failed)
	}
	daemon.log.Info().Msg("stopped")
	return err
}

// watch runs a task and logs an end that nobody asked for.
func (daemon *daemon) watch(ctx context.Context, task task) {
	err := task.run(ctx)
	if ctx.Err() == nil {
		daemon.log.Error().Str("task", task.name).Err(err).Msg("task_ended")
	}
}

// stop is the planned stop. The order matters: first the balancer must notice
// that this instance is not ready, while callers that still come are served;
// then nothing new is accepted and what runs is finished, each request by its
// own deadline; only then do the tasks end that those requests need.
func (daemon *daemon) stop(ctx context.Context) error {
	daemon.log.Info().Int64("active", daemon.callers.Active()).Msg("stopping")
	daemon.callers.Stop()
	time.Sleep(daemon.settings.Drain.BalancerNoticeMS.Duration())
	err := daemon.callerSide.Close(ctx)
	for daemon.callers.Active() > 0 {
		time.Sleep(activePoll)
	}
	err = errs.Combine(err, daemon.claims.Close())
	time.Sleep(daemon.settings.Drain.HandoverMS.Duration())
	return errs.Combine(err, daemon.peerSide.Close(ctx))
}
