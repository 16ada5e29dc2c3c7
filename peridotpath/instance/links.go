package instance

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/pace"
	"peridotpath.example/peridotpath/reach"
	"peridotpath.example/peridotpath/relay"
	"peridotpath.example/peridotpath/tunnel"
)

const (
	// tunnelMemoryShare is the share of the memory that connections carried for peers may take.
	tunnelMemoryShare = 0.1
	// unreadyAfter is how long the instance must be cut off from all endpoints to report not
	// ready. A shorter cut ends before the load balancer would have moved a caller.
	unreadyAfter = 500 * time.Millisecond
)

// createLinks creates what opens connections to endpoints, and what carries those of peers.
func (instance *Instance) createLinks() {
	instance.reachability = &reach.Tracker{Log: instance.Log, OnChange: instance.handleLinksChanged}
	client := &tunnel.Client{Dial: outbound.DialDirect}
	instance.dialer = &reach.Dialer{
		Tracker: instance.reachability, Direct: outbound.DialDirect, ThroughPeer: client.Open, Peers: instance.carriers,
		Sample: func(count int, except netip.AddrPort) []*peridotpath.Endpoint {
			return instance.directory.Current().Sample(count, except)
		},
		Probe: instance.Adapter.Check,
	}
	instance.dialer.Init()
	instance.tunnels = &tunnel.Server{
		IsEndpoint: instance.directory.HasListed, CanCarry: instance.reachesEndpoints, Dial: instance.dialer.DialForPeer,
		MaxTunnels: min(int(tunnelMemoryShare*float64(instance.Settings.Memory)/tunnel.BytesPerTunnel), newConnectionLimits(instance.Settings.Memory, instance.Settings.MaxDescriptors).tunnels),
		Log:        instance.Log,
	}
}

// linkedAdapter returns the adapter with all calls to endpoints made over the links, which is the
// only place that decides how an endpoint is reached.
func (instance *Instance) linkedAdapter() Adapter {
	adapter, dial := instance.Adapter, instance.dialer.Dial
	linked := adapter
	linked.Send = func(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
		return adapter.Send(outbound.WithDial(ctx, dial), call)
	}
	linked.Check = func(ctx context.Context, endpoint *peridotpath.Endpoint) error {
		return adapter.Check(outbound.WithDial(ctx, dial), endpoint)
	}
	linked.FetchSlowdown = func(ctx context.Context, endpoint *peridotpath.Endpoint) (pace.Slowdown, error) {
		return adapter.FetchSlowdown(outbound.WithDial(ctx, dial), endpoint)
	}
	linked.Reserve = func(ctx context.Context, endpoint *peridotpath.Endpoint, id string, tokens peridotpath.Tokens, hold time.Duration) (bool, error) {
		return adapter.Reserve(outbound.WithDial(ctx, dial), endpoint, id, tokens, hold)
	}
	linked.Release = func(ctx context.Context, endpoint *peridotpath.Endpoint, id string) error {
		return adapter.Release(outbound.WithDial(ctx, dial), endpoint, id)
	}
	return linked
}

// carriers returns the peers to ask for a connection to the address.
func (instance *Instance) carriers(address netip.AddrPort) []netip.AddrPort {
	return instance.gossip.Carriers(instance.directory.DataCentreOf(address), time.Now())
}

// reachesEndpoints reports whether the instance reaches endpoints over its own links.
func (instance *Instance) reachesEndpoints() bool {
	return !instance.reachability.IsCutOff() && instance.directory.Current() != nil
}

// carriesForPeers reports whether peers may ask this instance to carry connections.
func (instance *Instance) carriesForPeers() bool {
	return !instance.stopping.Load() && instance.reachesEndpoints() && instance.tunnels.HasRoom()
}

// handleLinksChanged tells peers whether this instance still reaches the endpoints.
func (instance *Instance) handleLinksChanged() { instance.gossip.RequestDigest() }

// shouldMoveCallers reports whether callers are better served by other instances: this one has
// been cut off from the endpoints for a while, a peer has reached them in that time, and one offers
// to carry. That a peer offers it is no evidence: it may have noticed nothing yet. If none reaches
// them, an instance that reports not ready would only add its callers to the others'.
func (instance *Instance) shouldMoveCallers() bool {
	now, links := time.Now(), instance.reachability
	return links.CutOffFor(now) >= unreadyAfter && links.IsReachedByPeers(now) && instance.gossip.HasCarrier(now)
}

// tunnelRoutes returns the routes at which peers ask for tunnels.
func (instance *Instance) tunnelRoutes() []rest.Route {
	return []rest.Route{{Method: http.MethodGet, Path: tunnel.Path, Handler: instance.tunnels.ServeHTTP}}
}
