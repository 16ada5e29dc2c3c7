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

// engine takes orders as a model engine does.
type engine struct {
	mu      sync.Mutex
	state   order.State
	checks  bool
	highest peridotpath.FencingNumber
	refused int
}

func (engine *engine) read() order.State {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.state
}

func (engine *engine) take(given order.Order) error {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.checks && given.Fencing < engine.highest {
		engine.refused++
		return fmt.Errorf("old fencing number %d", given.Fencing)
	}
	engine.highest = max(engine.highest, given.Fencing)
	engine.state = given.Want
	return nil
}

// weightStore counts the loads at once; more than limit are refused.
type weightStore struct {
	load time.Duration

	mu                        sync.Mutex
	now, peak, limit, refused int
}

func (store *weightStore) begin() bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.now >= store.limit {
		store.refused++
		return false
	}
	store.now++
	store.peak = max(store.peak, store.now)
	return true
}

func (store *weightStore) read(ctx context.Context) error {
	if !store.begin() {
		return order.ErrBusy.New("limit")
	}
	defer func() {
		store.mu.Lock()
		defer store.mu.Unlock()
		store.now--
	}()
	if !clock.SleepContext(ctx, store.load) {
		return ctx.Err()
	}
	return nil
}

func (store *weightStore) setLimit(limit int) (refused int) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.limit = limit
	return store.refused
}

// site is one data centre's engines of one service, and the platform.
type site struct {
	platform memory.Memory
	book     *order.Book
	engines  map[peridotpath.EndpointID]*engine
	list     []peridotpath.Endpoint
	weights  weightStore
	// hanging engines do not tell their state, failing ones fail their orders.
	hanging, failing map[peridotpath.EndpointID]bool
}

func newSite(engines int, checks bool) *site {
	site := &site{engines: map[peridotpath.EndpointID]*engine{}, weights: weightStore{limit: 2, load: 5 * time.Second}}
	site.book = &order.Book{Store: site.platform.Store(), Key: order.Key("colombo-a", "claims-llm")}
	for i := range engines {
		id := peridotpath.EndpointID(fmt.Sprintf("e%02d", i))
		site.engines[id] = &engine{state: oldState, checks: checks}
		site.list = append(site.list, peridotpath.Endpoint{ID: id})
	}
	return site
}

// want puts one state in force for all engines.
func (site *site) want(is *is.I, id order.ChangeID, from peridotpath.Revision, state order.State) {
	set := map[peridotpath.EndpointID]order.State{}
	for _, endpoint := range site.list {
		set[endpoint.ID] = state
	}
	_, err := site.book.Change(background, order.Change{ID: id, From: from, Set: set})
	is.NoErr(err)
}

// wrong counts the engines that are not in the state.
func (site *site) wrong(state order.State) int {
	wrong := 0
	for _, engine := range site.engines {
		if !engine.read().Equal(state) {
			wrong++
		}
	}
	return wrong
}

// repaired returns how long it took until all engines that can were in the state.
func (site *site) repaired(is *is.I, state order.State) time.Duration {
	begin := time.Now()
	for site.wrong(state) > len(site.failing) {
		if time.Since(begin) > 10*time.Minute {
			is.Fail() // never repaired
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(begin)
}

// process is an instance that gives orders when it holds the lease.
type process struct {
	holder *lease.Holder
	link   memory.Link
	cancel context.CancelFunc
	ended  chan error
	// thaw and thawReads are until when sends, after their check, and reads are
	// held up.
	thaw, thawReads atomic.Int64
	// outlived counts the orders that were sent with too little of the lease left.
	outlived atomic.Int64
}

func (site *site) start(name string, waitOut bool) *process {
	process := &process{ended: make(chan error, 2)}
	process.holder = &lease.Holder{
		Store: process.link.Store(&site.platform), Key: lease.Key("colombo-a", "claims-llm"),
		Instance: peridotpath.InstanceID(name), WaitForOldOrders: waitOut, Logger: zerolog.Nop(), Metrics: metrics.NewSet(),
	}
	reconciler := &order.Reconciler{
		Desired: site.book.Get, Held: process.holder.Held,
		Endpoints: func() []peridotpath.Endpoint { return site.list },
		Read: func(ctx context.Context, endpoint peridotpath.Endpoint) (order.State, error) {
			clock.SleepContext(background, time.Until(time.Unix(0, process.thawReads.Load())))
			if site.hanging[endpoint.ID] {
				<-ctx.Done()
				return order.State{}, ctx.Err()
			}
			return site.engines[endpoint.ID].read(), nil
		},
		Send: func(ctx context.Context, endpoint peridotpath.Endpoint, given order.Order) error {
			if term, held := process.holder.Held(); !held || term.Remaining < given.Limit {
				process.outlived.Add(1)
			}
			weights := site.engines[endpoint.ID].read().NeedsWeights(given.Want)
			time.Sleep(time.Until(time.Unix(0, process.thaw.Load())))
			if weights {
				if err := site.weights.read(ctx); err != nil {
					return err
				}
			}
			if site.failing[endpoint.ID] {
				return fmt.Errorf("out of memory")
			}
			return site.engines[endpoint.ID].take(given)
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

// freeze holds up what the process sends, and its calls to the platform.
func (process *process) freeze(span time.Duration) {
	thaw := time.Now().Add(span)
	process.thaw.Store(thaw.UnixNano())
	process.link.SetFaults(func(string) memory.Fault { return memory.Fault{RequestDelay: max(0, time.Until(thaw))} })
}

// kill ends the process; its lease is not given back.
func (process *process) kill(is *is.I) {
	process.link.SetFaults(func(string) memory.Fault { return memory.Fault{NotSent: true} })
	process.stop(is)
}

func (process *process) stop(is *is.I) {
	process.cancel()
	is.NoErr(<-process.ended)
	is.NoErr(<-process.ended)
}
