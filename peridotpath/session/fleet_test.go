// Package session_test compares whole sessions of callers with golden files:
// requests, answers, log lines and the requests that the endpoints ran. All code is
// the production code except the endpoints, the platform and the sockets, which are
// fakes; the clock is that of testing/synctest. "go test ./session -update" rewrites
// the files.
package session_test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeromicro/go-zero/rest/router"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/claim"
	"peridotpath.example/peridotpath/cursor"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/digest"
	"peridotpath.example/peridotpath/dispatch"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/engine/enginetest"
	endpoints "peridotpath.example/peridotpath/fleet"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
	"peridotpath.example/peridotpath/service"
	"peridotpath.example/peridotpath/service/servicetest"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	engineAddress   = "10.0.1.1:7100"
	serviceAddress1 = "10.0.2.1:7200"
	serviceAddress2 = "10.0.2.2:7200"
)

// deployment is the part of a fleet that differs between sessions.
type deployment struct {
	llm, plain  peridotpath.Service
	instances   []peridotpath.InstanceID
	dataCentres []peridotpath.DataCentre
	config      *peridotpath.Config
}

// fleet is two instances with one engine and two replicas of a plain service.
type fleet struct {
	deployment *deployment
	network    enginetest.Network
	platform   memory.Memory
	// outage, while set, makes every call to the platform fail.
	outage     atomic.Bool
	engine     enginetest.Engine
	services   [2]servicetest.Service
	endpoints  []peridotpath.Endpoint
	instances  map[peridotpath.InstanceID]*instance
	transcript *transcript

	cancel context.CancelFunc
	ended  []chan error
}

// instance is one instance of the fleet.
type instance struct {
	address netip.AddrPort
	log     instanceLog
}

func newFleet(t *testing.T, deployment *deployment) *fleet {
	t.Helper()
	fleet := &fleet{deployment: deployment, instances: map[peridotpath.InstanceID]*instance{}}
	fleet.transcript = &transcript{t: t, fleet: fleet}
	deployment.config.Defaults()
	if err := deployment.config.Validate().OrNil(); err != nil {
		t.Fatal(err)
	}
	deployment.config.Index()
	fleet.platform.Fault = func(context.Context, string, string, bool) error {
		if fleet.outage.Load() {
			return keyvalue.ErrUnavailable.New("outage")
		}
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	fleet.cancel = cancel
	fleet.startEndpoints(ctx)
	for i, id := range deployment.instances {
		fleet.startInstance(ctx, t, id, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 8080))
	}
	// The first load reports arrive within this time. It is no whole number of
	// seconds, so that later reports do not coincide with the session's steps.
	time.Sleep(1101 * time.Millisecond)
	fleet.transcript.startedAt = time.Now()
	return fleet
}

// start starts a task that ends when stop is called.
func (fleet *fleet) start(ctx context.Context, task func(ctx context.Context) error) {
	ended := make(chan error, 1)
	fleet.ended = append(fleet.ended, ended)
	go func() { ended <- task(ctx) }()
}

// stop stops all tasks and waits for them.
func (fleet *fleet) stop() {
	fleet.network.Close()
	fleet.cancel()
	for _, ended := range fleet.ended {
		if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
			fleet.transcript.t.Error(err)
		}
	}
}

func (fleet *fleet) startEndpoints(ctx context.Context) {
	deployment := fleet.deployment
	fleet.engine = enginetest.Engine{Name: string(deployment.llm), PrefillPerS: 50_000, DecodePerS: 40}
	fleet.network.Serve(engineAddress, fleet.engine.Handler())
	fleet.start(ctx, fleet.engine.Run)
	fleet.endpoints = []peridotpath.Endpoint{{
		ID: peridotpath.EndpointID(deployment.llm + "-1"), Service: deployment.llm, Kind: peridotpath.KindEngine,
		DataCentre: deployment.dataCentres[0], Address: netip.MustParseAddrPort(engineAddress),
		State: peridotpath.StateLive, KVTokens: 400_000,
	}}
	for i, address := range []string{serviceAddress1, serviceAddress2} {
		id := string(deployment.plain) + "-" + string(rune('1'+i))
		fleet.services[i].Name, fleet.services[i].CallDuration = string(deployment.plain), 20*time.Millisecond
		fleet.network.Serve(address, fleet.services[i].Handler())
		fleet.endpoints = append(fleet.endpoints, peridotpath.Endpoint{
			ID: peridotpath.EndpointID(id), Service: deployment.plain, Kind: peridotpath.KindPlain,
			DataCentre: deployment.dataCentres[i], Address: netip.MustParseAddrPort(address), State: peridotpath.StateLive,
		})
	}
}

// startInstance starts an instance, wired like in peridotd.
func (fleet *fleet) startInstance(ctx context.Context, t *testing.T, id peridotpath.InstanceID, address netip.AddrPort) {
	t.Helper()
	started := &instance{address: address, log: instanceLog{transcript: fleet.transcript}}
	fleet.instances[id] = started
	logger, err := telemetry.NewLog(&started.log, "info", id)
	if err != nil {
		t.Fatal(err)
	}
	scheduler := &decide.Scheduler{Seed: uint64(len(fleet.instances))}
	engines := &engine.Client{Instance: id, Incarnation: 1, Do: fleet.network.Do}
	services := &service.Client{Do: fleet.network.Do}
	view := &endpoints.View{Log: logger, OnChange: scheduler.SetEndpoints, OnLoad: scheduler.ApplyReport}
	view.SetMembers(time.Now(), fleet.endpoints)
	poller := &endpoints.Poller{
		View: view, Published: &digest.PublishedState{Epoch: 1}, FetchLoad: engines.FetchLoad, Random: func() float64 { return 0.5 },
		IsOwner: func(peridotpath.EndpointID) bool { return true },
	}
	dispatcher := &dispatch.Dispatcher{
		Scheduler: scheduler, Log: logger, ResumeWindow: 10 * time.Second,
		Send: engines.Send, Resume: engines.Resume, Cancel: engines.Cancel, SendPlain: services.Send, OnEndpointDraining: view.RecordRefusal,
	}
	ledger := &claim.Ledger{
		Store: fleet.platform.Store(), Instance: id, Incarnation: 1, Logger: logger, Metrics: metrics.NewSet(),
		IsAlive: func(peridotpath.InstanceID, peridotpath.Incarnation) bool { return true },
	}
	signer := &cursor.Signer{}
	signer.SetSecret([]byte("the same at every instance"))
	server := &caller.Server{
		Log: logger, ActiveConfig: func() *peridotpath.Config { return fleet.deployment.config },
		Do: dispatcher.Do, ContinueStream: dispatcher.ContinueStream, DoPlain: dispatcher.DoPlain, FindEndpoint: fleet.endpoint,
		LargestEngineKV: func(peridotpath.Service) peridotpath.Tokens { return 400_000 },
		Signer:          signer, Claims: ledger, MaxHeaderBytes: 64 << 10, BodyReader: caller.NewBodyReader(16<<20, 64<<20, 10*time.Second),
	}
	fleet.start(ctx, dispatcher.Run)
	fleet.start(ctx, ledger.Run)
	fleet.start(ctx, poller.Run)
	fleet.network.Serve(address.String(), routesHandler(t, server))
}

func (fleet *fleet) endpoint(id peridotpath.EndpointID) (peridotpath.Endpoint, bool) {
	for _, endpoint := range fleet.endpoints {
		if endpoint.ID == id {
			return endpoint, true
		}
	}
	return peridotpath.Endpoint{}, false
}

// routesHandler returns a handler with the routes of inbound.Listener, without a socket.
func routesHandler(t testing.TB, server *caller.Server) http.Handler {
	t.Helper()
	routes := router.NewRouter()
	routes.SetNotFoundHandler(server.NotFoundHandler())
	routes.SetNotAllowedHandler(server.NotFoundHandler())
	for _, route := range server.Routes() {
		if err := routes.Handle(route.Method, route.Path, route.Handler); err != nil {
			t.Fatal(err)
		}
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, caller.ServicePrefix) {
			server.ServiceHandler().ServeHTTP(writer, request)
			return
		}
		routes.ServeHTTP(writer, request)
	})
}

// kill makes an instance unreachable at once, like a power failure: its open answers
// are interrupted.
func (fleet *fleet) kill(id peridotpath.InstanceID) {
	fleet.transcript.appendLine("%s dies", id)
	fleet.network.Serve(fleet.instances[id].address.String(), nil)
}
