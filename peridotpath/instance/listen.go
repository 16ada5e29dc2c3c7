package instance

import (
	"errors"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/inbound"
	"peridotpath.example/peridotpath/readings"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// bodyShare is the part of the memory that requests' bodies may take.
	bodyShare = 0.2
	// maxBody bounds one body until the routing says how large it may be.
	maxBody = 8 * mebibyte
	// bodyPause bounds the time between two pieces of a body.
	bodyPause = 5 * time.Second
	// maxHeader bounds the headers of any request, in bytes. What the routing allows
	// of callers is less.
	maxHeader = 64 << 10
)

// listen opens the listeners.
func (instance *Instance) listen() {
	settings := instance.Settings
	bodies := caller.NewBodies(maxBody, peridotpath.Bytes(bodyShare*float64(settings.Memory)), bodyPause)
	handler := instance.Adapter.Ingress(Callers{
		Relay: instance.relay, Bodies: bodies, Stopping: instance.stopping.Load, Closing: instance.closing.Load,
	})
	instance.callers = &inbound.Listener{
		Name: "callers", Address: settings.CallerAddress, MaxHeaderBytes: maxHeader,
		Prefix: "/", PrefixHandler: instance.countActive(handler),
	}
	instance.balancer = &inbound.Listener{
		Name: "balancer", Address: settings.ReadyAddress, MaxHeaderBytes: maxHeader,
		Routes: []rest.Route{{Method: http.MethodGet, Path: instance.Adapter.ReadyPath, Handler: instance.answerReady}},
	}
	peers := &readings.Server{
		LastRouting: instance.routes.Last, RoutingOf: instance.routes.Of,
		LastEndpoints: instance.endpoints.Last, EndpointsOf: instance.endpoints.Of,
	}
	instance.readings = &inbound.Listener{
		Name: "readings", Address: settings.ReadingsAddress, MaxHeaderBytes: maxHeader,
		Routes: []rest.Route{
			{Method: http.MethodPost, Path: readings.PathPrefix + "/:service/:method", Handler: peers.Handler().ServeHTTP},
		},
	}
	instance.metrics = &inbound.Listener{
		Name: "metrics", Address: settings.MetricsAddress, MaxHeaderBytes: maxHeader,
		Routes: []rest.Route{{Method: http.MethodGet, Path: "/metrics", Handler: telemetry.WriteMetrics}},
	}
	for _, listener := range append(instance.listeners(), instance.metrics) {
		listener.Open()
	}
}

// listeners returns those without which the instance does not work. Metrics are
// none of them.
func (instance *Instance) listeners() []*inbound.Listener {
	return []*inbound.Listener{instance.callers, instance.balancer, instance.readings}
}

// serveMetrics serves metrics until the instance stops. Their port is the same
// for all; where something else has it, the instance works without.
func (instance *Instance) serveMetrics() {
	if err := instance.metrics.Run(); !errors.Is(err, http.ErrServerClosed) {
		instance.Log.Warn().Err(err).Msg("metrics_unserved")
	}
}

// countActive counts the requests that run.
func (instance *Instance) countActive(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		instance.active.Add(1)
		defer instance.active.Add(-1)
		handler.ServeHTTP(writer, request)
	})
}

func (instance *Instance) answerReady(writer http.ResponseWriter, _ *http.Request) {
	if instance.ready() {
		writer.WriteHeader(http.StatusOK)
		return
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
}
