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

// readers bounds how many engines are asked for their state at once.
const readers = 16

// Reconciler gives the orders for one data centre and service while its
// process holds the lease. Set the exported fields before Run.
type Reconciler struct {
	// Desired returns what the engines are to be; Book.Get does.
	Desired func(ctx context.Context) (Desired, error)
	// Held returns the process's term; lease.Holder.Held does.
	Held func() (lease.Term, bool)
	// Endpoints returns the engines that can take orders now.
	Endpoints func() []peridotpath.Endpoint
	// Read returns an engine's own state.
	Read func(ctx context.Context, endpoint peridotpath.Endpoint) (State, error)
	// Send gives an order and returns when the engine has carried it out.
	Send func(ctx context.Context, endpoint peridotpath.Endpoint, order Order) error

	Settings Settings
	Logger   zerolog.Logger
	// Metrics takes the counters; nil stands for the default set.
	Metrics *metrics.Set

	planner *planner
	busy    map[peridotpath.EndpointID]bool
	results chan result
}

// result is how a repair ended.
type result struct {
	repair repair
	err    error
}

// Run looks at the engines at each interval until ctx ends, and then waits for
// the orders under way.
func (reconciler *Reconciler) Run(ctx context.Context) error {
	reconciler.Settings.Defaults()
	if reconciler.Metrics == nil {
		reconciler.Metrics = metrics.GetDefaultSet()
	}
	reconciler.planner = newPlanner(reconciler.Settings)
	reconciler.busy = map[peridotpath.EndpointID]bool{}
	reconciler.results = make(chan result)
	ticker := time.NewTicker(reconciler.Settings.IntervalMS.Duration())
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			reconciler.look(ctx)
		case result := <-reconciler.results:
			reconciler.end(result)
		case <-ctx.Done():
		}
	}
	for len(reconciler.busy) > 0 {
		reconciler.end(<-reconciler.results)
	}
	return nil
}

// look reads what is wanted and what is, and begins the orders that are due.
func (reconciler *Reconciler) look(ctx context.Context) {
	if _, held := reconciler.Held(); !held {
		reconciler.count("order_looks_without_lease_total")
		return
	}
	ctxRead, cancel := context.WithTimeout(ctx, reconciler.Settings.ReadTimeoutMS.Duration())
	defer cancel()
	desired, err := reconciler.Desired(ctxRead)
	if err != nil {
		reconciler.count("order_desired_unread_total")
		return
	}
	endpoints := map[peridotpath.EndpointID]peridotpath.Endpoint{}
	for _, endpoint := range reconciler.Endpoints() {
		if _, wanted := desired.Endpoints[endpoint.ID]; wanted && !reconciler.busy[endpoint.ID] {
			endpoints[endpoint.ID] = endpoint
		}
	}
	seen := reconciler.readAll(ctx, endpoints)
	for _, repair := range reconciler.planner.plan(time.Now(), desired.Endpoints, seen) {
		reconciler.busy[repair.endpoint] = true
		go func() {
			reconciler.results <- result{repair, reconciler.send(ctx, endpoints[repair.endpoint], repair)}
		}()
	}
}

// readAll asks the engines for their states. One that does not answer in time
// is left out and holds up nobody.
func (reconciler *Reconciler) readAll(ctx context.Context, endpoints map[peridotpath.EndpointID]peridotpath.Endpoint) map[peridotpath.EndpointID]State {
	ctx, cancel := context.WithTimeout(ctx, reconciler.Settings.ReadTimeoutMS.Duration())
	defer cancel()
	var mu sync.Mutex
	seen := map[peridotpath.EndpointID]State{}
	var group errgroup.Group
	group.SetLimit(readers)
	for id, endpoint := range endpoints {
		group.Go(func() error {
			state, err := reconciler.Read(ctx, endpoint)
			if err != nil {
				reconciler.count("order_states_unread_total")
				return nil //nolint:nilerr // it is left out
			}
			mu.Lock()
			defer mu.Unlock()
			seen[id] = state
			return nil
		})
	}
	_ = group.Wait()
	return seen
}

// send gives one order. The lease is asked for as late as can be, since the
// process may have been paused since the look. What is left of it must be
// enough for the whole order: one that outlives the lease could undo the next
// holder's, and one cut short has read weights for nothing.
func (reconciler *Reconciler) send(ctx context.Context, endpoint peridotpath.Endpoint, repair repair) error {
	limit := reconciler.Settings.LongestOrderMS.Duration()
	term, held := reconciler.Held()
	if !held || term.Remaining < limit {
		return Error.New("send: too little of the lease is left")
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return reconciler.Send(ctx, endpoint, Order{Want: repair.want, Fencing: term.Fencing, Limit: limit})
}

// end notes how an order went. What it did shows at the next look.
func (reconciler *Reconciler) end(result result) {
	delete(reconciler.busy, result.repair.endpoint)
	reconciler.planner.done(time.Now(), result.repair, result.err)
	event := reconciler.Logger.Info()
	outcome := "order_sent"
	switch {
	case ErrBusy.Has(result.err):
		outcome = "order_weights_busy"
	case result.err != nil:
		outcome = "order_failed"
		event = reconciler.Logger.Warn().Err(result.err)
	}
	reconciler.count(outcome + "_total")
	event.Str("event", outcome).Str("endpoint", string(result.repair.endpoint)).Send()
}

func (reconciler *Reconciler) count(name string) {
	reconciler.Metrics.GetOrCreateCounter("peridotpath_" + name).Inc()
}
