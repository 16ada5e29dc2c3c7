package order

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/lease"
)

// maxConcurrentReads bounds the concurrent reads of engines' states.
const maxConcurrentReads = 16

// Reconciler sends orders to the engines of one data centre and service while
// its process holds the lease. Set the exported fields before Run.
type Reconciler struct {
	// Desired returns the current desired state from the store.
	Desired func(ctx context.Context) (Desired, error)
	// Held returns the current lease term, if any; usually lease.Holder.Held.
	Held func() (lease.Term, bool)
	// Endpoints returns the engines that accept orders now.
	Endpoints func() []peridotpath.Endpoint
	// ReadState returns the state that the engine reports.
	ReadState func(ctx context.Context, endpoint peridotpath.Endpoint) (State, error)
	// SendOrder sends an order and returns when the engine has executed it.
	SendOrder func(ctx context.Context, endpoint peridotpath.Endpoint, order Order) error

	Settings Settings
	Logger   zerolog.Logger
	// Metrics holds the counters; nil selects the default set.
	Metrics *metrics.Set

	planner *planner
	// inFlight holds the engines that have an order in flight.
	inFlight map[peridotpath.EndpointID]bool
	results  chan orderResult
}

// orderResult is the outcome of a sent order.
type orderResult struct {
	order dueOrder
	err   error
}

// Run reconciles at each interval until ctx is done, then waits for the orders in
// flight.
func (reconciler *Reconciler) Run(ctx context.Context) error {
	reconciler.Settings.Defaults()
	if reconciler.Metrics == nil {
		reconciler.Metrics = metrics.GetDefaultSet()
	}
	reconciler.planner = newPlanner(reconciler.Settings)
	reconciler.inFlight = map[peridotpath.EndpointID]bool{}
	reconciler.results = make(chan orderResult)
	ticker := time.NewTicker(reconciler.Settings.IntervalMS.Duration())
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			reconciler.reconcile(ctx)
		case result := <-reconciler.results:
			reconciler.recordResult(result)
		case <-ctx.Done():
		}
	}
	for len(reconciler.inFlight) > 0 {
		reconciler.recordResult(<-reconciler.results)
	}
	return nil
}

// reconcile reads the desired and actual states and sends the orders that are due.
func (reconciler *Reconciler) reconcile(ctx context.Context) {
	if _, held := reconciler.Held(); !held {
		reconciler.incrementCounter("order_looks_without_lease_total")
		return
	}
	readCtx, cancel := context.WithTimeout(ctx, reconciler.Settings.ReadTimeoutMS.Duration())
	defer cancel()
	desired, err := reconciler.Desired(readCtx)
	if err != nil {
		reconciler.incrementCounter("order_desired_unread_total")
		return
	}
	endpoints := map[peridotpath.EndpointID]peridotpath.Endpoint{}
	for _, endpoint := range reconciler.Endpoints() {
		if _, wanted := desired.Endpoints[endpoint.ID]; wanted && !reconciler.inFlight[endpoint.ID] {
			endpoints[endpoint.ID] = endpoint
		}
	}
	actual := reconciler.readStates(ctx, endpoints)
	for _, due := range reconciler.planner.dueOrders(time.Now(), desired.Endpoints, actual) {
		reconciler.inFlight[due.endpoint] = true
		go func() {
			reconciler.results <- orderResult{due, reconciler.send(ctx, endpoints[due.endpoint], due)}
		}()
	}
}

// readStates returns the states of the engines that reply within the timeout. The
// others are left out, so one that hangs does not delay the rest.
func (reconciler *Reconciler) readStates(ctx context.Context, endpoints map[peridotpath.EndpointID]peridotpath.Endpoint) map[peridotpath.EndpointID]State {
	ctx, cancel := context.WithTimeout(ctx, reconciler.Settings.ReadTimeoutMS.Duration())
	defer cancel()
	var mu sync.Mutex
	states := map[peridotpath.EndpointID]State{}
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for id, endpoint := range endpoints {
		group.Go(func() error {
			state, err := reconciler.ReadState(ctx, endpoint)
			if err != nil {
				reconciler.incrementCounter("order_states_unread_total")
				return nil //nolint:nilerr // engines that cannot be read are left out
			}
			mu.Lock()
			defer mu.Unlock()
			states[id] = state
			return nil
		})
	}
	_ = group.Wait()
	return states
}

// send sends one order. It checks the lease immediately before sending, because the
// process may have been paused after it read the states. The rest of the lease
// must cover the order's time limit: an order that outlives the lease could
// overwrite one of the next holder, and one that is cut short has loaded weights
// in vain.
func (reconciler *Reconciler) send(ctx context.Context, endpoint peridotpath.Endpoint, due dueOrder) error {
	limit := reconciler.Settings.LongestOrderMS.Duration()
	term, held := reconciler.Held()
	if !held || term.Remaining < limit {
		return Error.New("send: remaining lease time is shorter than the order's time limit")
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return reconciler.SendOrder(ctx, endpoint, Order{Desired: due.desired, Fencing: term.Fencing, Timeout: limit})
}

// recordResult records the outcome of an order. The engine's new
// state is read at the next interval.
func (reconciler *Reconciler) recordResult(result orderResult) {
	delete(reconciler.inFlight, result.order.endpoint)
	reconciler.planner.recordResult(time.Now(), result.order, result.err)
	event := reconciler.Logger.Info()
	outcome := "order_sent"
	switch {
	case ErrWeightStoreBusy.Has(result.err):
		outcome = "order_weights_busy"
	case result.err != nil:
		outcome = "order_failed"
		event = reconciler.Logger.Warn().Err(result.err)
	}
	reconciler.incrementCounter(outcome + "_total")
	event.Str("event", outcome).Str("endpoint", string(result.order.endpoint)).Send()
}

func (reconciler *Reconciler) incrementCounter(name string) {
	reconciler.Metrics.GetOrCreateCounter("peridotpath_" + name).Inc()
}
