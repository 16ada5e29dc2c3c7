package order_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue/memory"
	"peridotpath.example/peridotpath/lease"
	"peridotpath.example/peridotpath/order"
)

// engine is a fake model engine that follows orders.
type engine struct {
	mu             sync.Mutex
	state          order.State
	checksFencing  bool
	highestFencing peridotpath.FencingNumber
	refusals       int
}

func (engine *engine) read() order.State {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.state
}

func (engine *engine) apply(received order.Order) error {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.checksFencing && received.Fencing < engine.highestFencing {
		engine.refusals++
		return fmt.Errorf("fencing token %d is outdated", received.Fencing)
	}
	engine.highestFencing = max(engine.highestFencing, received.Fencing)
	engine.state = received.Desired
	return nil
}

// weightStore is a fake weight store that refuses more than limit concurrent loads.
type weightStore struct {
	loadTime time.Duration

	mu                            sync.Mutex
	active, peak, limit, refusals int
}

func (store *weightStore) acquire() bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.active >= store.limit {
		store.refusals++
		return false
	}
	store.active++
	store.peak = max(store.peak, store.active)
	return true
}

func (store *weightStore) read(ctx context.Context) error {
	if !store.acquire() {
		return order.ErrWeightStoreBusy.New("limit")
	}
	defer func() {
		store.mu.Lock()
		defer store.mu.Unlock()
		store.active--
	}()
	if !clock.SleepContext(ctx, store.loadTime) {
		return ctx.Err()
	}
	return nil
}

// setLimit sets the limit and returns the number of loads refused so far.
func (store *weightStore) setLimit(limit int) (refused int) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.limit = limit
	return store.refusals
}

// site is the engines of one data centre and service, with a key-value store.
type site struct {
	keyValue  memory.Memory
	desired   *order.DesiredStore
	engines   map[peridotpath.EndpointID]*engine
	endpoints []peridotpath.Endpoint
	weights   weightStore
	// Reads of the states of hanging engines time out; orders to failing engines fail.
	hanging, failing map[peridotpath.EndpointID]bool
}

func newSite(engines int, checksFencing bool) *site {
	site := &site{engines: map[peridotpath.EndpointID]*engine{}, weights: weightStore{limit: 2, loadTime: 5 * time.Second}}
	site.desired = &order.DesiredStore{Store: site.keyValue.Store(), Key: order.Key("colombo-a", "claims-llm")}
	for i := range engines {
		id := peridotpath.EndpointID(fmt.Sprintf("e%02d", i))
		site.engines[id] = &engine{state: oldState, checksFencing: checksFencing}
		site.endpoints = append(site.endpoints, peridotpath.Endpoint{ID: id})
	}
	return site
}

// setDesired sets the same desired state for all engines.
func (site *site) setDesired(is *is.I, id order.ChangeID, from peridotpath.Revision, state order.State) {
	set := map[peridotpath.EndpointID]order.State{}
	for _, endpoint := range site.endpoints {
		set[endpoint.ID] = state
	}
	_, err := site.desired.Change(background, order.Change{ID: id, BaseRevision: from, Set: set})
	is.NoErr(err)
}

// countPending counts the engines that are not in the state.
func (site *site) countPending(state order.State) int {
	pending := 0
	for _, engine := range site.engines {
		if !engine.read().Equal(state) {
			pending++
		}
	}
	return pending
}

// awaitState waits until all engines but the failing ones have the state, and
// returns how long that took.
func (site *site) awaitState(is *is.I, state order.State) time.Duration {
	begin := time.Now()
	for site.countPending(state) > len(site.failing) {
		if time.Since(begin) > 10*time.Minute {
			is.Fail() // engines did not reach the state within 10 minutes
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(begin)
}

// process is an instance that sends orders while it holds the lease.
type process struct {
	holder *lease.Holder
	link   memory.Link
	cancel context.CancelFunc
	ended  chan error
	// ordersBlockedUntil and readsBlockedUntil are the times until which orders (after the lease check)
	// and reads of states are blocked, in nanoseconds since 1970.
	ordersBlockedUntil, readsBlockedUntil atomic.Int64
	// ordersPastLease counts orders whose time limit exceeded the rest of the lease.
	ordersPastLease atomic.Int64
}

func (site *site) start(name string, waitForOldOrders bool) *process {
	process := &process{ended: make(chan error, 2)}
	process.holder = &lease.Holder{
		Store: process.link.Store(&site.keyValue), Key: lease.Key("colombo-a", "claims-llm"),
		Instance: peridotpath.InstanceID(name), WaitForOldOrders: waitForOldOrders, Logger: zerolog.Nop(), Metrics: metrics.NewSet(),
	}
	reconciler := &order.Reconciler{
		Desired: site.desired.Get, Held: process.holder.Held,
		Endpoints: func() []peridotpath.Endpoint { return site.endpoints },
		ReadState: func(ctx context.Context, endpoint peridotpath.Endpoint) (order.State, error) {
			clock.SleepContext(background, time.Until(time.Unix(0, process.readsBlockedUntil.Load())))
			if site.hanging[endpoint.ID] {
				<-ctx.Done()
				return order.State{}, ctx.Err()
			}
			return site.engines[endpoint.ID].read(), nil
		},
		SendOrder: func(ctx context.Context, endpoint peridotpath.Endpoint, received order.Order) error {
			if term, held := process.holder.Held(); !held || term.Remaining < received.Timeout {
				process.ordersPastLease.Add(1)
			}
			weights := site.engines[endpoint.ID].read().NeedsWeights(received.Desired)
			time.Sleep(time.Until(time.Unix(0, process.ordersBlockedUntil.Load())))
			if weights {
				if err := site.weights.read(ctx); err != nil {
					return err
				}
			}
			if site.failing[endpoint.ID] {
				return fmt.Errorf("out of memory")
			}
			return site.engines[endpoint.ID].apply(received)
		},
		Settings: order.Settings{LoadsPerMinute: 20},
		Logger:   zerolog.Nop(), Metrics: metrics.NewSet(),
	}
	ctx, cancel := context.WithCancel(background)
	process.cancel = cancel
	go func() { process.ended <- process.holder.Run(ctx) }()
	go func() { process.ended <- reconciler.Run(ctx) }()
	return process
}

// freeze blocks the process's orders and its calls to the key-value store.
func (process *process) freeze(span time.Duration) {
	until := time.Now().Add(span)
	process.ordersBlockedUntil.Store(until.UnixNano())
	process.link.SetFaults(func(string) memory.Fault { return memory.Fault{RequestDelay: max(0, time.Until(until))} })
}

// kill stops the process without releasing its lease.
func (process *process) kill(is *is.I) {
	process.link.SetFaults(func(string) memory.Fault { return memory.Fault{NotSent: true} })
	process.stop(is)
}

func (process *process) stop(is *is.I) {
	process.cancel()
	is.NoErr(<-process.ended)
	is.NoErr(<-process.ended)
}
