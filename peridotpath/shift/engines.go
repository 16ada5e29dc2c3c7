package shift

import (
	"context"
	"strings"

	"golang.org/x/sync/errgroup"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/order"
)

// maxConcurrentReads bounds the engines that are read concurrently.
const maxConcurrentReads = 16

// Engines reads the state of a site's engines and sends them orders.
type Engines struct {
	Client *engine.Client
	// Endpoints returns the listed engines of the site.
	Endpoints func() []peridotpath.Endpoint
}

// Look reads the roles and the KV memory in use of all engines. It queries the
// engines themselves, because loads that instances gossip are delayed and a role
// that changes too early aborts running requests.
func (engines *Engines) Look(ctx context.Context) ([]Engine, error) {
	endpoints := engines.Endpoints()
	states := make([]Engine, len(endpoints))
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for i, endpoint := range endpoints {
		group.Go(func() error {
			states[i] = engines.readEngine(ctx, endpoint)
			return nil
		})
	}
	return states, group.Wait()
}

func (engines *Engines) readEngine(ctx context.Context, endpoint peridotpath.Endpoint) Engine {
	listed := endpoint.State == peridotpath.StateLive
	unresponsive := Engine{ID: endpoint.ID, KVTokens: endpoint.KVTokens, Alive: listed}
	state, err := engines.State(ctx, endpoint)
	if err != nil {
		return unresponsive
	}
	load, err := engines.Client.Load(ctx, endpoint.Address)
	if err != nil {
		return unresponsive
	}
	streams, err := engines.Client.Streams(ctx, endpoint.Address)
	if err != nil {
		return unresponsive
	}
	responsive := unresponsive
	responsive.Answered = true
	responsive.Actual = state
	responsive.PrefillPerS = load.PrefillPerS
	for _, stream := range streams {
		responsive.Held += stream.KVTokens
	}
	return responsive
}

// State returns the state that an engine reports; it serves as order.Reconciler.Read.
func (engines *Engines) State(ctx context.Context, endpoint peridotpath.Endpoint) (order.State, error) {
	state, err := engines.Client.Orders(ctx, endpoint.Address)
	if err != nil {
		return order.State{}, err
	}
	return order.State{Model: state.Model, Version: state.Version, Adapters: splitAdapters(state.Adapter), Role: order.Role(state.Role)}, nil
}

// adapterSeparator separates the adapters in an engine's order.
const adapterSeparator = ","

func splitAdapters(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, adapterSeparator)
}

// Order sends an order; it serves as order.Reconciler.Send.
func (engines *Engines) Order(ctx context.Context, endpoint peridotpath.Endpoint, sent order.Order) error {
	return engines.Client.Order(ctx, endpoint.Address, engine.Order{
		Fencing: sent.Fencing, Model: sent.Want.Model, Version: sent.Want.Version,
		Adapter: strings.Join(sent.Want.Adapters, adapterSeparator),
		Role:    engine.Role(sent.Want.Role), LimitMS: peridotpath.Millis(sent.Limit.Milliseconds()),
	})
}
