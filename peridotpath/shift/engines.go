package shift

import (
	"context"
	"strings"

	"golang.org/x/sync/errgroup"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/order"
)

// looksAtOnce bounds the engines that are read at a time.
const looksAtOnce = 16

// Engines reads the engines of a site and gives them orders.
type Engines struct {
	Client *engine.Client
	// Endpoints returns the listed engines of the site.
	Endpoints func() []peridotpath.Endpoint
}

// Look reads the roles and the memory of all engines from themselves: what
// instances hand on is late, and a step taken too early cuts off work.
func (engines *Engines) Look(ctx context.Context) ([]Engine, error) {
	endpoints := engines.Endpoints()
	seen := make([]Engine, len(endpoints))
	var group errgroup.Group
	group.SetLimit(looksAtOnce)
	for i, endpoint := range endpoints {
		group.Go(func() error {
			seen[i] = engines.lookAt(ctx, endpoint)
			return nil
		})
	}
	return seen, group.Wait()
}

func (engines *Engines) lookAt(ctx context.Context, endpoint peridotpath.Endpoint) Engine {
	listed := endpoint.State == peridotpath.StateLive
	silent := Engine{ID: endpoint.ID, KVTokens: endpoint.KVTokens, Alive: listed}
	state, err := engines.State(ctx, endpoint)
	if err != nil {
		return silent
	}
	load, err := engines.Client.Load(ctx, endpoint.Address)
	if err != nil {
		return silent
	}
	streams, err := engines.Client.Streams(ctx, endpoint.Address)
	if err != nil {
		return silent
	}
	seen := silent
	seen.Answered = true
	seen.Actual = state
	seen.PrefillPerS = load.PrefillPerS
	for _, stream := range streams {
		seen.Held += stream.KVTokens
	}
	return seen
}

// State returns what an engine says it is; it is order.Reconciler's Read.
func (engines *Engines) State(ctx context.Context, endpoint peridotpath.Endpoint) (order.State, error) {
	state, err := engines.Client.Orders(ctx, endpoint.Address)
	if err != nil {
		return order.State{}, err
	}
	return order.State{Model: state.Model, Version: state.Version, Adapters: splitAdapters(state.Adapter), Role: order.Role(state.Role)}, nil
}

// adapterSeparator stands between adapters in an engine's orders.
const adapterSeparator = ","

func splitAdapters(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, adapterSeparator)
}

// Order gives an order; it is order.Reconciler's Send.
func (engines *Engines) Order(ctx context.Context, endpoint peridotpath.Endpoint, given order.Order) error {
	return engines.Client.Order(ctx, endpoint.Address, engine.Order{
		Fencing: given.Fencing, Model: given.Want.Model, Version: given.Want.Version,
		Adapter: strings.Join(given.Want.Adapters, adapterSeparator),
		Role:    engine.Role(given.Want.Role), LimitMS: peridotpath.Millis(given.Limit.Milliseconds()),
	})
}
