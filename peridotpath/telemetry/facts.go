package telemetry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	endsSeen = metrics.NewCounter("peridotpath_endpoint_ends_seen_total")
	barred   = metrics.NewCounter("peridotpath_requests_barred_total")
)

// EndSeen counts an endpoint that ended while it ran a request of this instance's.
func EndSeen() { endsSeen.Inc() }

// Barred counts a verdict that a request is to be kept off the endpoints.
func Barred() { barred.Inc() }

// FactForgotten counts a fact that was dropped because there were too many of its kind.
func FactForgotten(kind string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_facts_forgotten_total{kind=%q}", kind)).Inc()
}
