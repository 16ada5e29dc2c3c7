package telemetry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	endpointsTerminated = metrics.NewCounter("peridotpath_endpoint_ends_seen_total")
	requestsQuarantined = metrics.NewCounter("peridotpath_requests_barred_total")
)

// EndSeen counts an endpoint that terminated while it ran a request of this instance.
func EndSeen() { endpointsTerminated.Inc() }

// Barred counts a decision to quarantine a request.
func Barred() { requestsQuarantined.Inc() }

// FactForgotten counts a fact that was dropped because its kind was at capacity.
func FactForgotten(kind string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_facts_forgotten_total{kind=%q}", kind)).Inc()
}
