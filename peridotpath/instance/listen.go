package instance

import (
	"errors"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/gossip"
	"peridotpath.example/peridotpath/inbound"
	"peridotpath.example/peridotpath/readings"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// bodyMemoryShare is the share of the memory that request bodies may take.
	bodyMemoryShare = 0.2
	// initialMaxBodyBytes bounds a request body until the routing sets its limit.
	initialMaxBodyBytes = 8 * mebibyte
	// bodyReadTimeout bounds the time between two chunks of a body.
	bodyReadTimeout = 5 * time.Second
)

// createListeners creates and opens the listeners.
func (instance *Instance) createListeners() {
	settings := instance.Settings
	bodies := caller.NewBodyReader(initialMaxBodyBytes, peridotpath.Bytes(bodyMemoryShare*float64(settings.Memory)), bodyReadTimeout)
	bodies.ExitNotice = &instance.exitNotice
	handler := instance.Adapter.Ingress(IngressDependencies{
		Relay: instance.relay, Bodies: bodies, Closing: instance.closing.Load,
		Stopping: func() bool { return instance.stopping.Load() || instance.shouldMoveCallers() },
	})
	limits := newConnectionLimits(settings.Memory, settings.MaxDescriptors)
	instance.callerListener = &inbound.Listener{
		Name: "callers", Address: settings.CallerAddress, Limits: limits.callers, HeadLimits: instance.callerHeadLimits, Log: instance.Log,
		Prefix: "/", PrefixHandler: instance.countActive(handler),
	}
	instance.readinessListener = &inbound.Listener{
		Name: "balancer", Address: settings.ReadyAddress, Limits: limits.readiness, HeadLimits: otherHeadLimits, Log: instance.Log,
		Routes: []rest.Route{{Method: http.MethodGet, Path: instance.Adapter.ReadyPath, Handler: instance.handleReady}},
	}
	peers := &readings.Server{
		NewestRouting: instance.routingFollower.Newest, RoutingByVersion: instance.routingFollower.AtVersion,
		NewestEndpoints: instance.endpointFollower.Newest, EndpointsByHash: instance.endpointFollower.ByContentHash,
	}
	instance.snapshotListener = &inbound.Listener{
		Name: "readings", Address: settings.SnapshotAddress, Limits: limits.peers, HeadLimits: otherHeadLimits, Log: instance.Log,
		Routes: append(instance.tunnelRoutes(),
			rest.Route{Method: http.MethodPost, Path: readings.PathPrefix + "/:service/:method", Handler: peers.Handler().ServeHTTP},
			rest.Route{Method: http.MethodPost, Path: gossip.RegistrarPathPrefix + "/:service/:method", Handler: gossip.RegistrarHandler(instance.registry).ServeHTTP},
		),
	}
	instance.metricsListener = &inbound.Listener{
		Name: "metrics", Address: settings.MetricsAddress, Limits: limits.metrics, HeadLimits: otherHeadLimits, Log: instance.Log,
		Routes: []rest.Route{{Method: http.MethodGet, Path: "/metrics", Handler: telemetry.WriteMetrics}},
	}
	for _, listener := range append(instance.requiredListeners(), instance.metricsListener) {
		listener.Init()
	}
}

// requiredListeners returns the listeners that the instance cannot work without. The
// metrics listener is not one of them.
func (instance *Instance) requiredListeners() []*inbound.Listener {
	return []*inbound.Listener{instance.callerListener, instance.readinessListener, instance.snapshotListener}
}

// serveMetrics serves metrics until the instance stops. Their port is the same on every
// machine; if another process has it, the instance works without metrics.
func (instance *Instance) serveMetrics() {
	if err := instance.metricsListener.Run(); !errors.Is(err, http.ErrServerClosed) {
		instance.Log.Warn().Err(err).Msg("metrics_unserved")
	}
}

// countActive counts running requests.
func (instance *Instance) countActive(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		instance.activeRequests.Add(1)
		defer instance.activeRequests.Add(-1)
		handler.ServeHTTP(writer, request)
	})
}
