package telemetry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	endpointsTerminated = metrics.NewCounter("peridotpath_endpoint_ends_seen_total")
	requestsQuarantined = metrics.NewCounter("peridotpath_requests_barred_total")
)

// CountEndpointTermination counts an endpoint that terminated while it ran a request of
// this instance.
func CountEndpointTermination() { endpointsTerminated.Inc() }

// CountQuarantine counts a decision to quarantine a request.
func CountQuarantine() { requestsQuarantined.Inc() }

// CountDroppedFact counts a fact that was dropped because its kind was at capacity.
func CountDroppedFact(kind string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_facts_forgotten_total{kind=%q}", kind)).Inc()
}
