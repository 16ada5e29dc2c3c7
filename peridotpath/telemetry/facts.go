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

var backoffsAnnounced = metrics.NewCounter("peridotpath_endpoint_backoffs_total")

// CountLeavingAnnouncement counts an endpoint that announced that it leaves, by how this
// instance learned it: from an answer or from a peer.
func CountLeavingAnnouncement(source string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_endpoints_leaving_total{source=%q}", source)).Inc()
}

// CountBackoffAnnouncement counts an answer that set or extended the backoff of an endpoint.
func CountBackoffAnnouncement() { backoffsAnnounced.Inc() }

// CountSendDespiteAnnouncement counts a request that was sent to an endpoint that had
// announced that it takes none: "leaving" or "backoff".
func CountSendDespiteAnnouncement(announced string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_sent_despite_total{announced=%q}", announced)).Inc()
}
