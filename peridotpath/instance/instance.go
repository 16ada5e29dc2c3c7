package instance

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/answerbuffer"
	"peridotpath.example/peridotpath/availability"
	"peridotpath.example/peridotpath/booking"
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/fairshare"
	"peridotpath.example/peridotpath/gossip"
	"peridotpath.example/peridotpath/inbound"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/pace"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/quarantine"
	"peridotpath.example/peridotpath/reach"
	"peridotpath.example/peridotpath/relay"
	"peridotpath.example/peridotpath/reservation"
	"peridotpath.example/peridotpath/retrybudget"
	"peridotpath.example/peridotpath/routing"
	"peridotpath.example/peridotpath/shortqueue"
	"peridotpath.example/peridotpath/shutdown"
	"peridotpath.example/peridotpath/telemetry"
	"peridotpath.example/peridotpath/throttle"
	"peridotpath.example/peridotpath/tunnel"
)

// Adapter is the interface of an instance to the platform it runs on.
type Adapter struct {
	Store *keyvalue.Store
	// Account counts the calls to Store.
	Account *keyvalue.Account
	// Eras tracks the eras of Store and rejects calls that span two of them. An era is the
	// epoch of the store, which changes when it is restored from an older copy.
	Eras *keyvalue.EraTracker
	// RoutingKey is the key of the operators' routing; DecodeRouting decodes its value.
	RoutingKey    string
	DecodeRouting func(value []byte) (*peridotpath.Routing, error)
	// EndpointPrefix is the key prefix of the endpoints' entries; DecodeEndpoints decodes
	// them. CompactEndpoints reduces entries to what DecodeEndpoints uses.
	EndpointPrefix   string
	DecodeEndpoints  func(entries []keyvalue.Entry) []peridotpath.Endpoint
	CompactEndpoints func(entries []keyvalue.Entry) []keyvalue.Entry
	// DrainPrefix is the key prefix under which operators drain data centres; DecodeDrains
	// decodes the data centres. It is read where Settings.DrainTime is set.
	DrainPrefix  string
	DecodeDrains func(entries []keyvalue.Entry) []peridotpath.DataCentre
	// Send sends a call to an endpoint.
	Send relay.Sender
	// Check probes whether an engine is alive.
	Check relay.Checker
	// FetchSlowdown requests an engine's current slowdown.
	FetchSlowdown func(ctx context.Context, endpoint *peridotpath.Endpoint) (pace.Slowdown, error)
	// Reserve reserves KV cache on an endpoint, Release frees it; a reservation.Manager
	// calls them.
	Reserve func(ctx context.Context, endpoint *peridotpath.Endpoint, id string, tokens peridotpath.Tokens, hold time.Duration) (bool, error)
	Release func(ctx context.Context, endpoint *peridotpath.Endpoint, id string) error
	// SetAnnouncementHandler, when set, sets the function that receives what endpoints announce
	// in their answers to Check, FetchSlowdown, Reserve and Release.
	SetAnnouncementHandler func(availability.Handler)
	// Ingress returns the handler of requests from callers.
	Ingress func(IngressDependencies) http.Handler
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
}

// IngressDependencies holds the dependencies of a handler of callers' requests.
type IngressDependencies struct {
	Relay  *relay.Relay
	Bodies *caller.BodyReader
	// Stopping reports that callers should not reuse the connection, Closing that no
	// further request is accepted.
	Stopping, Closing func() bool
}

const (
	// servedLogLinesPerSecond bounds the log lines of successful requests, which take
	// processor time.
	servedLogLinesPerSecond = 50
	// failureLogLinesPerSecond bounds the log lines of refusals and failures with one result.
	failureLogLinesPerSecond = 50
	// despiteLogLinesPerSecond bounds the log lines of requests that are sent to an endpoint
	// although it announced that it takes none.
	despiteLogLinesPerSecond = 20
	// queuedLogLinesPerSecond bounds the log lines of short prompts that have waited for a free
	// slot.
	queuedLogLinesPerSecond = 5
	// fairShareLogLinesPerSecond bounds the log lines about customers above their share.
	fairShareLogLinesPerSecond = 5
	// keyExpiryMargin is how much earlier than required a revoked key expires here. It
	// covers the time between the last clock check and the request reaching the endpoint.
	keyExpiryMargin = 500 * time.Millisecond
	// answerMemoryShare is the share of the process memory that answers which are buffered whole
	// may take.
	answerMemoryShare = 0.15
	// maxAnswerBytes bounds an answer that is not streamed; it is buffered whole.
	maxAnswerBytes = 8 << 20
	// memoryLimitShare is the share of the process memory that is set as the soft limit of
	// the garbage collector. The rest is for stacks, buffers and kernel memory.
	memoryLimitShare = 0.7
)

// Instance is one instance, assembled from its parts.
type Instance struct {
	Settings *Settings
	Adapter  Adapter
	Log      zerolog.Logger

	incarnation         peridotpath.Incarnation
	reservations        *reservation.Manager
	routing             *routing.State
	directory           *directory.Directory
	loads               *placement.LoadTracker
	facts               *facts.Table
	quarantine          *quarantine.Quarantine
	bookings            *booking.Ledger
	throttle            *throttle.Throttle
	retryBudget         *retrybudget.Budget
	availability        *availability.Tracker
	prober              *pace.Prober
	reachability        *reach.Tracker
	dialer              *reach.Dialer
	tunnels             *tunnel.Server
	relay               *relay.Relay
	gossip              *gossip.Gossip
	registry            *gossip.Registry
	routingFollower     *routing.Follower
	endpointFollower    *directory.Follower
	startup             *startup
	cachedCellEndpoints atomic.Pointer[cellSnapshot]
	readiness           readiness
	activeRequests      atomic.Int64
	stopping            atomic.Bool
	exitNotice          shutdown.Notice
	// closing reports that no further request is accepted.
	closing           atomic.Bool
	callerListener    *inbound.Listener
	readinessListener *inbound.Listener
	snapshotListener  *inbound.Listener
	metricsListener   *inbound.Listener
}

// New assembles an instance without starting it.
func New(settings *Settings, adapter Adapter, log zerolog.Logger) *Instance {
	outbound.SetSource(settings.CallerAddress.Addr())
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Memory)))
	instance := &Instance{Settings: settings, Adapter: adapter, Log: log, incarnation: peridotpath.Incarnation(time.Now().UnixNano())}
	instance.routing = &routing.State{Now: clock.SinceBoot, KeyLifetime: settings.KeyLifetime - keyExpiryMargin, Log: log}
	instance.directory = &directory.Directory{Log: log}
	instance.loads = &placement.LoadTracker{}
	instance.facts = &facts.Table{}
	instance.quarantine = &quarantine.Quarantine{Instance: settings.InstanceID, Facts: instance.facts, Log: log}
	instance.createBookings()
	instance.createLinks()
	linked := instance.linkedAdapter()
	instance.throttle = &throttle.Throttle{
		Instance: settings.InstanceID, SenderID: throttle.SenderID(settings.InstanceID, instance.incarnation), Facts: instance.facts,
		HasCold: func() bool { return instance.directory.Current().HasCold() }, ColdRate: instance.coldRate, Log: log,
	}
	instance.availability = &availability.Tracker{Instance: settings.InstanceID, Facts: instance.facts, FindEndpoint: instance.findEndpoint, Log: log}
	instance.createRetryBudget()
	instance.facts.OnReceive = func(fact facts.Fact) {
		instance.retryBudget.ReceiveFact(fact, time.Now())
		instance.availability.ReceiveFact(fact)
		instance.quarantine.ReceiveFact(fact, time.Now())
		instance.receiveBooking(fact)
	}
	if adapter.SetAnnouncementHandler != nil {
		adapter.SetAnnouncementHandler(instance.availability.Record)
	}
	instance.reservations = &reservation.Manager{
		Instance: settings.InstanceID, Incarnation: instance.incarnation,
		Reserve: linked.Reserve, Release: linked.Release, MaxTTL: settings.MaxHold, Log: log,
	}
	instance.prober = &pace.Prober{Facts: instance.facts, FetchSlowdown: linked.FetchSlowdown, FindEndpoint: instance.findEndpoint, OwnsEndpoint: instance.ownsEndpoint, Log: log}
	instance.loads.ReportedSlowdowns = instance.slowEngines
	instance.startup = newStartup(instance.hasRouting, instance.hasRoutingAndEndpoints, instance.isStoreFailing)
	instance.relay = &relay.Relay{
		Instance: settings.InstanceID, DataCentre: settings.DataCentre, Log: log, Routing: instance.routing,
		Endpoints: instance.cellEndpoints, AllEndpoints: instance.directory.Current, LoadTracker: instance.loads, Send: linked.Send, Check: linked.Check, CheckDirectly: adapter.Check, CanReach: instance.dialer.CanReach, IsCutOff: instance.reachability.IsCutOff, NotifyStalled: instance.reachability.NotifyStalled,
		AnswerMemory:  answerbuffer.NewPool(peridotpath.Bytes(answerMemoryShare*float64(settings.Memory)), maxAnswerBytes),
		ServedSampler: &telemetry.LogSampler{PerSecond: servedLogLinesPerSecond}, DespiteSampler: &telemetry.LogSampler{PerSecond: despiteLogLinesPerSecond},
		Reservations: instance.reservations, Quarantine: instance.quarantine, Throttle: instance.throttle, Availability: instance.availability,
		ShortQueue: &shortqueue.Queue{LogSampler: &telemetry.LogSampler{PerSecond: queuedLogLinesPerSecond}},
		Bookings:   instance.bookings, AdmissionSampler: &telemetry.LogSampler{PerSecond: admissionLogLinesPerSecond},
		OnOverdueFirstEvent: instance.prober.ProbeOverdue, EngineStallTime: settings.StallTime,
		RoutingReady: instance.startup.routingReady, StartDone: instance.startup.finished,
		RetryBudget: instance.retryBudget, ExitNotice: &instance.exitNotice,
	}
	instance.relay.FailureSampler = &telemetry.KindSampler{PerSecond: failureLogLinesPerSecond}
	instance.relay.FairShare = &fairshare.Divider{
		Log: log, Sampler: &telemetry.LogSampler{PerSecond: fairShareLogLinesPerSecond}, LoadTracker: instance.loads,
		Routing: instance.routing, Endpoints: instance.cellEndpoints,
	}
	instance.loads.OnPeerWaits = instance.relay.FairShare.Update
	instance.createFollowers()
	instance.createListeners()
	instance.setGauges()
	return instance
}

// setGauges registers the gauges of the metrics.
func (instance *Instance) setGauges() {
	telemetry.SetGauges(&telemetry.Gauges{
		RoutingAge:         func() float64 { return instance.routing.Age().Seconds() },
		EndpointsAge:       func() float64 { return instance.endpointFollower.Age().Seconds() },
		RoutingVersion:     func() float64 { return float64(instance.routing.Version()) },
		DrainedDataCentres: func() float64 { return float64(instance.directory.Current().DrainedCount()) },
		Peers:              func() float64 { return float64(instance.loads.LivePeerCount(time.Now())) },
		Reservations:       func() float64 { return float64(instance.reservations.ActiveCount()) },
		ActiveRequests:     func() float64 { return float64(instance.activeRequests.Load()) },
		RetryBudgetLeft:    func() float64 { return instance.retryBudget.Left(time.Now()) },
		CustomersOverShare: func() float64 { return float64(instance.relay.FairShare.AboveShareCount(time.Now())) },
	})
}

// hasRouting reports whether a routing was read.
func (instance *Instance) hasRouting() bool { return instance.routing.Current() != nil }

// hasRoutingAndEndpoints reports whether a routing and endpoints were read.
func (instance *Instance) hasRoutingAndEndpoints() bool {
	return instance.hasRouting() && instance.directory.Current() != nil
}

// isStoreFailing reports whether the last access to the store by the registry or by a
// follower failed.
func (instance *Instance) isStoreFailing() bool {
	return instance.registry.IsFailing() || instance.routingFollower.IsFailing() || instance.endpointFollower.IsFailing()
}

// ownsEndpoint reports whether this instance is the one that probes an engine repeatedly.
func (instance *Instance) ownsEndpoint(endpoint peridotpath.EndpointKey) bool {
	return instance.loads.IsOwner(instance.Settings.InstanceID, endpoint)
}

// slowEngines returns the slowdown factors of engines that are known to be slow.
func (instance *Instance) slowEngines(now time.Time) map[peridotpath.EndpointKey]float64 {
	slowdowns := instance.prober.SlowEngines(now)
	slow := make(map[peridotpath.EndpointKey]float64, len(slowdowns))
	for key, slowdown := range slowdowns {
		slow[key] = float64(slowdown)
	}
	return slow
}

// coldRate returns the request rate that a cold endpoint tolerates; false for an endpoint that
// is not cold, or whose service publishes no such rate.
func (instance *Instance) coldRate(key peridotpath.EndpointKey) (peridotpath.Rate, bool) {
	endpoint, table := instance.findEndpoint(key), instance.routing.Current()
	if endpoint == nil || !endpoint.Cold || table == nil {
		return 0, false
	}
	rate := table.ServiceSpec(endpoint.Service).ColdRate
	return rate, rate > 0
}

// findEndpoint returns the endpoint with the key; nil if it is not in use.
func (instance *Instance) findEndpoint(key peridotpath.EndpointKey) *peridotpath.Endpoint {
	return instance.directory.Current().ByKey(key)
}

// task is a background task.
type task struct {
	name string
	run  func(ctx context.Context) error
}

// backgroundTasks returns the tasks that run next to the listeners.
func (instance *Instance) backgroundTasks() []task {
	return []task{
		{"start", instance.startup.Run},
		{"gossip", instance.gossip.Run},
		{"registry", instance.registry.Run},
		{"routing", instance.registry.AfterFirstList(instance.routingFollower.Run)},
		{"endpoints", instance.registry.AfterFirstList(instance.endpointFollower.Run)},
		{"reservations", instance.reservations.Run},
		{"links", instance.dialer.Run},
		{"pace", instance.prober.Run},
		{"calls", (&callLogger{Account: instance.Adapter.Account, Log: instance.Log}).Run},
		{"room", (&roomLogger{Demand: instance.loads.Demand, AddFields: instance.addRoomFields, Log: instance.Log}).Run},
		{"pauses", (&pauseDetector{Now: clock.SinceBoot, Log: instance.Log}).Run},
	}
}

// Run serves requests until a signal arrives on stop, and then shuts down.
func (instance *Instance) Run(stop <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	instance.loads.MarkStarted(time.Now())
	tasks := instance.backgroundTasks()
	ended := make(chan string, len(tasks))
	for _, task := range tasks {
		go func() {
			if err := task.run(ctx); ctx.Err() == nil {
				instance.Log.Error().Str("task", task.name).Err(err).Msg("task_ended")
			}
			ended <- task.name
		}()
	}
	listeners := instance.requiredListeners()
	failed := make(chan error, len(listeners))
	for _, listener := range listeners {
		go func() { failed <- listener.Run() }()
	}
	metricsDone := make(chan struct{})
	go func() {
		defer close(metricsDone)
		instance.serveMetrics()
	}()
	instance.Log.Info().Stringer("callers", instance.Settings.CallerAddress).Msg("started")
	select {
	case err := <-failed:
		return err
	case <-stop:
	}
	exitAt := instance.shutDown(ctx)
	if active := instance.activeRequests.Load(); active > 0 {
		// The shutdown of go-zero would wait for them beyond the grace period.
		instance.Log.Warn().Int64("active", active).Msg("stopped")
		return nil
	}
	cancel()
	stopped := make(chan error, 1)
	go func() {
		for range tasks {
			<-ended
		}
		<-metricsDone
		var err error
		for range listeners {
			err = errs.Combine(err, <-failed)
		}
		stopped <- err
	}()
	select {
	case err := <-stopped:
		instance.Log.Info().Msg("stopped")
		return err
	case <-time.After(time.Until(exitAt)):
		// A task that waits for the store or a peer would keep the process until it is killed.
		instance.Log.Warn().Int("tasks", len(tasks)).Msg("stopped")
		return nil
	}
}
