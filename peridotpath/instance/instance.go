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
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/gossip"
	"peridotpath.example/peridotpath/inbound"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/pace"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/quarantine"
	"peridotpath.example/peridotpath/readings"
	"peridotpath.example/peridotpath/relay"
	"peridotpath.example/peridotpath/reservation"
	"peridotpath.example/peridotpath/routing"
	"peridotpath.example/peridotpath/telemetry"
	"peridotpath.example/peridotpath/throttle"
)

// Adapter is what an instance needs of the platform it runs on.
type Adapter struct {
	Store *keyvalue.Store
	// Eras guards Store, and follows its eras.
	Eras *keyvalue.Eras
	// RoutingKey is where the operators' routing lies, DecodeRouting reads it.
	RoutingKey    string
	DecodeRouting func(value []byte) (*peridotpath.Routing, error)
	// EndpointPrefix is where the endpoints' entries lie, DecodeEndpoints reads them.
	// CompactEndpoints leaves nothing in them but what DecodeEndpoints reads.
	EndpointPrefix   string
	DecodeEndpoints  func(entries []keyvalue.Entry) []peridotpath.Endpoint
	CompactEndpoints func(entries []keyvalue.Entry) []keyvalue.Entry
	// Send sends a call to an endpoint.
	Send relay.Sender
	// Check asks an engine whether it is there, Pace how slow it is.
	Check relay.Checker
	Pace  func(ctx context.Context, endpoint *peridotpath.Endpoint) (pace.Pace, error)
	// Reserve and Release are the orders that a reservation.Keeper gives.
	Reserve func(ctx context.Context, endpoint *peridotpath.Endpoint, id string, tokens peridotpath.Tokens, hold time.Duration) (bool, error)
	Release func(ctx context.Context, endpoint *peridotpath.Endpoint, id string) error
	// Ingress returns the handler of callers' requests.
	Ingress func(Callers) http.Handler
	// ReadyPath is where the balancer asks.
	ReadyPath string
}

// Callers is what a handler of callers' requests needs of the instance.
type Callers struct {
	Relay  *relay.Relay
	Bodies *caller.Bodies
	// Stopping says that callers should not come back on the same connection,
	// Closing that no further request is taken.
	Stopping, Closing func() bool
}

const (
	// lookLeast and lookSpread are the ages of what was read of the store between
	// which one of the instances looks again, as parts of the time within which a
	// change must be in force. In that way it is known everywhere after six tenths
	// of it and two calls; the rest is for a call that fails. The spread keeps two
	// from looking at once.
	lookLeast, lookSpread = 0.35, 0.25
	// lookRetry is the pause after a look that failed.
	lookRetry = 250 * time.Millisecond
	// lookGap is the least time between two looks: at the start, when there is
	// nothing yet, and when peers tell of something newer again and again.
	lookGap = 60 * time.Millisecond
	// mostBefore bounds those that look before this instance: they may all be cut off
	// from the store.
	mostBefore = 9
	// servedLines bounds the log lines of requests that went well, a second: each
	// takes some of the processor.
	servedLines = 50
	// keyMargin is how long before its end a key's lifetime is over here, for the
	// time between the last look at the clock and the endpoint.
	keyMargin = 500 * time.Millisecond
	// readyMargin is how long before keys stop working the instance turns not
	// ready, so that the balancer, which asks each second, has moved callers on.
	readyMargin = 1500 * time.Millisecond
	// memoryShare is the part of the process's memory at which the collector
	// works harder; the rest is for stacks, buffers and what the kernel holds.
	memoryShare = 0.7
)

// Instance is one instance with its parts joined.
type Instance struct {
	Settings *Settings
	Adapter  Adapter
	Log      zerolog.Logger

	incarnation peridotpath.Incarnation
	keeper      *reservation.Keeper
	routing     *routing.State
	directory   *directory.Directory
	book        *placement.Book
	facts       *facts.Table
	quarantine  *quarantine.Quarantine
	throttle    *throttle.Throttle
	paces       *pace.Watch
	relay       *relay.Relay
	gossip      *gossip.Gossip
	registry    *gossip.Registry
	routes      *routing.Follower
	endpoints   *directory.Follower
	start       *start
	narrowed    atomic.Pointer[narrowed]
	active      atomic.Int64
	stopping    atomic.Bool
	// closing says that no further request is taken.
	closing  atomic.Bool
	callers  *inbound.Listener
	balancer *inbound.Listener
	readings *inbound.Listener
	metrics  *inbound.Listener
}

// New joins the parts; nothing runs yet.
func New(settings *Settings, adapter Adapter, log zerolog.Logger) *Instance {
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Memory)))
	instance := &Instance{Settings: settings, Adapter: adapter, Log: log, incarnation: peridotpath.Incarnation(time.Now().UnixNano())}
	instance.routing = &routing.State{Now: clock.SinceBoot, KeyLifetime: settings.KeyLifetime - keyMargin, Log: log}
	instance.directory = &directory.Directory{Log: log}
	instance.book = &placement.Book{}
	instance.facts = &facts.Table{}
	instance.quarantine = &quarantine.Quarantine{Instance: settings.InstanceID, Facts: instance.facts, Log: log}
	instance.throttle = &throttle.Throttle{
		Instance: settings.InstanceID, Sender: throttle.SenderOf(settings.InstanceID, instance.incarnation), Facts: instance.facts, Log: log,
	}
	instance.keeper = &reservation.Keeper{
		Instance: settings.InstanceID, Incarnation: instance.incarnation,
		Reserve: adapter.Reserve, Release: adapter.Release, MaxHold: settings.MaxHold, Log: log,
	}
	instance.paces = &pace.Watch{Facts: instance.facts, Ask: adapter.Pace, Find: instance.findEndpoint, Mine: instance.looksAfter, Log: log}
	instance.book.Paces = instance.slowEngines
	instance.start = newStart(instance.routed, instance.knows, instance.failing)
	instance.relay = &relay.Relay{
		Instance: settings.InstanceID, DataCentre: settings.DataCentre, Log: log, Routing: instance.routing,
		Endpoints: instance.near, AllEndpoints: instance.directory.Current, Book: instance.book, Send: adapter.Send, Check: adapter.Check,
		Served: &telemetry.Sampler{PerSecond: servedLines},
		Keeper: instance.keeper, Quarantine: instance.quarantine, Throttle: instance.throttle, Doubt: instance.paces.Doubt, Stall: settings.Stall, Routed: instance.start.routed, Started: instance.start.over,
		Budget: &relay.Budget{
			Ratio: settings.RetryRatio, Slack: settings.RetrySlack, Window: settings.RetryWindow,
			Instances: instance.count,
		},
	}
	instance.follow()
	instance.listen()
	instance.setGauges()
	return instance
}

func (instance *Instance) setGauges() {
	telemetry.SetGauges(&telemetry.Gauges{
		RoutingAge:     func() float64 { return instance.routing.Age().Seconds() },
		EndpointsAge:   func() float64 { return instance.endpoints.Age().Seconds() },
		RoutingVersion: func() float64 { return float64(instance.routing.Version()) },
		Peers:          func() float64 { return float64(instance.book.Peers(time.Now())) },
		Reservations:   func() float64 { return float64(instance.keeper.Held()) },
		Active:         func() float64 { return float64(instance.active.Load()) },
	})
}

// ready reports whether new callers are served here: by a routing that is known
// to be the newest, and endpoints.
func (instance *Instance) ready() bool {
	return !instance.stopping.Load() && instance.knows() && instance.routing.Age() < instance.Settings.KeyLifetime-readyMargin
}

// routed reports whether there is a routing.
func (instance *Instance) routed() bool { return instance.routing.Current() != nil }

// knows reports whether there is a routing and endpoints.
func (instance *Instance) knows() bool {
	return instance.routed() && instance.directory.Current() != nil
}

// failing reports whether the store cannot be read.
func (instance *Instance) failing() bool {
	return instance.registry.Failing() || instance.routes.Failing() || instance.endpoints.Failing()
}

// looksAfter reports whether this instance asks a slow engine again.
func (instance *Instance) looksAfter(endpoint peridotpath.EndpointKey) bool {
	return instance.book.Chosen(instance.Settings.InstanceID, endpoint)
}

// slowEngines returns the engines that are known to be slow.
func (instance *Instance) slowEngines(now time.Time) map[peridotpath.EndpointKey]float64 {
	paces := instance.paces.Slow(now)
	slow := make(map[peridotpath.EndpointKey]float64, len(paces))
	for key, pace := range paces {
		slow[key] = float64(pace)
	}
	return slow
}

// findEndpoint returns the endpoint of that key; nil where it is not in use.
func (instance *Instance) findEndpoint(key peridotpath.EndpointKey) *peridotpath.Endpoint {
	return instance.directory.Current().Find(key)
}

// task is one background task.
type task struct {
	name string
	run  func(ctx context.Context) error
}

// follow joins what reads the store and what peers say of it.
func (instance *Instance) follow() {
	settings, adapter := instance.Settings, instance.Adapter
	instance.gossip = &gossip.Gossip{
		Instance: settings.InstanceID, Incarnation: instance.incarnation, Address: settings.PeerAddress,
		DataCentre: settings.DataCentre, ReadingsPort: settings.ReadingsAddress.Port(),
		Book: instance.book, Facts: instance.facts, Clock: clock.SinceBoot, Fresh: instance.fresh, Heard: instance.heard, Log: instance.Log,
	}
	adapter.Eras.Risen = func(_, _ keyvalue.Era) { instance.wentBack() }
	instance.book.Changed = instance.gossip.Changed
	instance.facts.Changed = instance.gossip.Changed
	instance.registry = &gossip.Registry{
		Store: adapter.Store, Instance: settings.InstanceID, Incarnation: instance.incarnation, Address: settings.PeerAddress,
		DataCentre: settings.DataCentre, SetPeers: instance.gossip.SetPeers, Eras: adapter.Eras, Log: instance.Log,
	}
	instance.gossip.OtherCells = instance.registry.Look
	instance.routes = &routing.Follower{
		State: instance.routing, Key: adapter.RoutingKey, Decode: adapter.DecodeRouting, Check: adapter.Store.Check,
		Eras: adapter.Eras, Ask: readings.AskRouting, Confirmed: instance.gossip.Changed, Log: instance.Log,
		Before: func(version peridotpath.RoutingVersion) int { return instance.gossip.Before(uint64(version)) },
		Pace: instance.pace(
			func() bool { return instance.routing.Current() != nil && adapter.Eras.Settled() },
			func() uint64 { return uint64(instance.routing.Version()) },
		),
	}
	instance.endpoints = &directory.Follower{
		Directory: instance.directory, List: instance.listEndpoints, Decode: adapter.DecodeEndpoints, Now: clock.SinceBoot,
		Eras: adapter.Eras, Ask: readings.AskEndpoints, Confirmed: instance.gossip.Changed, Log: instance.Log,
		Pace: instance.pace(func() bool { return instance.directory.Current() != nil }, instance.directory.Content),
	}
}

// pace returns the pace of looks at something of the store. The instances' order
// changes with its content, so that no instance looks more often than others.
func (instance *Instance) pace(known func() bool, content func() uint64) clock.Pace {
	within := float64(instance.Settings.ChangeWithin)
	return clock.Pace{
		Least: time.Duration(lookLeast * within), Spread: time.Duration(lookSpread * within), Retry: lookRetry, Gap: lookGap,
		Others: func() int { return instance.book.Peers(time.Now()) },
		Known:  known, Before: func() int { return min(instance.gossip.Before(content()), mostBefore) },
	}
}

// wentBack begins what follows when the store came back from an older copy. The routing is
// looked at when its turn comes, and by then as something that may be older than it was.
func (instance *Instance) wentBack() {
	instance.directory.WentBack(clock.SinceBoot())
	instance.registry.Renew()
	instance.gossip.Changed()
}

// fresh returns what this instance has read of the store, for its peers.
func (instance *Instance) fresh() gossip.Freshness {
	eras := instance.Adapter.Eras
	age, dated := eras.Age()
	return gossip.Freshness{
		Era: eras.Current(), EraAge: age, EraDated: dated,
		RoutingVersion: instance.routing.Version(), RoutingAge: instance.routing.Age(),
		Endpoints: instance.directory.Content(), EndpointsAge: instance.endpoints.Age(),
	}
}

// heard takes in what a peer has read of the store.
func (instance *Instance) heard(peer readings.Peer, fresh gossip.Freshness, asked time.Duration) {
	instance.Adapter.Eras.Heard(fresh.Era, fresh.EraAge, fresh.EraDated)
	if fresh.RoutingVersion > 0 && fresh.Endpoints != 0 {
		instance.registry.PeerReady()
	}
	instance.routes.HearPeer(peer, fresh.RoutingVersion, asked-fresh.RoutingAge)
	instance.endpoints.HearPeer(peer, fresh.Endpoints, asked-fresh.EndpointsAge)
}

// tasks lists everything that runs beside the listeners.
func (instance *Instance) tasks() []task {
	return []task{
		{"start", instance.start.Run},
		{"gossip", instance.gossip.Run},
		{"registry", instance.registry.Run},
		{"routing", instance.registry.AfterFirst(instance.routes.Run)},
		{"endpoints", instance.registry.AfterFirst(instance.endpoints.Run)},
		{"reservations", instance.keeper.Run},
		{"pace", instance.paces.Run},
		{"pauses", (&pauses{Now: clock.SinceBoot, Log: instance.Log}).Run},
	}
}

func (instance *Instance) listEndpoints(ctx context.Context) ([]keyvalue.Entry, keyvalue.Era, error) {
	entries, version, err := instance.Adapter.Store.List(ctx, instance.Adapter.EndpointPrefix)
	if err != nil {
		return nil, 0, err
	}
	return instance.Adapter.CompactEndpoints(entries), version.Era(), nil
}

// Run serves until a signal comes on stop and everything is finished.
func (instance *Instance) Run(stop <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tasks := instance.tasks()
	ended := make(chan string, len(tasks))
	for _, task := range tasks {
		go func() {
			if err := task.run(ctx); ctx.Err() == nil {
				instance.Log.Error().Str("task", task.name).Err(err).Msg("task_ended")
			}
			ended <- task.name
		}()
	}
	listeners := instance.listeners()
	failed := make(chan error, len(listeners))
	for _, listener := range listeners {
		go func() { failed <- listener.Run() }()
	}
	measured := make(chan struct{})
	go func() {
		defer close(measured)
		instance.serveMetrics()
	}()
	instance.Log.Info().Stringer("callers", instance.Settings.CallerAddress).Msg("started")
	select {
	case err := <-failed:
		return err
	case <-stop:
	}
	instance.stop(ctx)
	if active := instance.active.Load(); active > 0 {
		// go-zero's shutdown would wait for them, beyond the grace.
		instance.Log.Warn().Int64("active", active).Msg("stopped")
		return nil
	}
	cancel()
	for range tasks {
		<-ended
	}
	inbound.Finish()
	<-measured
	var err error
	for range listeners {
		err = errs.Combine(err, <-failed)
	}
	instance.Log.Info().Msg("stopped")
	return err
}
