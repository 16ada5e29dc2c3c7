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

// EngineClient reads the state of the engines of one data centre and service, and sends
// them orders.
type EngineClient struct {
	Client *engine.Client
	// Endpoints returns those engines that are on the membership list.
	Endpoints func() []peridotpath.Endpoint
}

// ReadEngines reads the roles and the KV memory in use of all engines. It queries the
// engines themselves, because loads that instances gossip are delayed and a role
// that changes too early aborts running requests.
func (engineClient *EngineClient) ReadEngines(ctx context.Context) ([]Engine, error) {
	endpoints := engineClient.Endpoints()
	states := make([]Engine, len(endpoints))
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for i, endpoint := range endpoints {
		group.Go(func() error {
			states[i] = engineClient.readEngine(ctx, endpoint)
			return nil
		})
	}
	return states, group.Wait()
}

func (engineClient *EngineClient) readEngine(ctx context.Context, endpoint peridotpath.Endpoint) Engine {
	listed := endpoint.State == peridotpath.StateLive
	unresponsive := Engine{ID: endpoint.ID, KVTokens: endpoint.KVTokens, Alive: listed}
	state, err := engineClient.ReadState(ctx, endpoint)
	if err != nil {
		return unresponsive
	}
	load, err := engineClient.Client.FetchLoad(ctx, endpoint.Address)
	if err != nil {
		return unresponsive
	}
	streams, err := engineClient.Client.ListStreams(ctx, endpoint.Address)
	if err != nil {
		return unresponsive
	}
	responsive := unresponsive
	responsive.Responded = true
	responsive.ActualState = state
	responsive.PrefillPerS = load.PrefillPerS
	for _, stream := range streams {
		responsive.UsedKV += stream.KVTokens
	}
	return responsive
}

// ReadState returns the state that an engine reports; it serves as order.Reconciler.ReadState.
func (engineClient *EngineClient) ReadState(ctx context.Context, endpoint peridotpath.Endpoint) (order.State, error) {
	state, err := engineClient.Client.FetchOrderState(ctx, endpoint.Address)
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

// SendOrder sends an order; it serves as order.Reconciler.SendOrder.
func (engineClient *EngineClient) SendOrder(ctx context.Context, endpoint peridotpath.Endpoint, sent order.Order) error {
	return engineClient.Client.SendOrder(ctx, endpoint.Address, engine.Order{
		Fencing: sent.Fencing, Model: sent.Desired.Model, Version: sent.Desired.Version,
		Adapter: strings.Join(sent.Desired.Adapters, adapterSeparator),
		Role:    engine.Role(sent.Desired.Role), TimeoutMS: peridotpath.Millis(sent.Timeout.Milliseconds()),
	})
}
